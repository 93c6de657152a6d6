package responder

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// limitListener resets and counts the connections above a limit.
type limitListener struct {
	net.Listener
	limit        int64
	connectDelay time.Duration
	// openCount is the number of accepted connections that are not closed.
	openCount    atomic.Int64
	maxOpenCount atomic.Int64
	refusedCount atomic.Int64
	// serial is the serial number of the connection accepted last.
	serial atomic.Int64
}

func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.openCount.Load() >= l.limit {
			l.refusedCount.Add(1)
			reset(c)
			continue
		}
		l.maxOpenCount.Store(max(l.maxOpenCount.Load(), l.openCount.Add(1)))
		return &conn{Conn: c, listener: l, serial: l.serial.Add(1)}, nil
	}
}

// reset closes a connection so that the peer sees a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// conn is an accepted connection whose first read waits for the connect delay.
type conn struct {
	net.Conn
	listener  *limitListener
	serial    int64
	delayOnce sync.Once
	closeOnce sync.Once
}

func (c *conn) Read(b []byte) (int, error) {
	c.delayOnce.Do(func() { time.Sleep(c.listener.connectDelay) })
	return c.Conn.Read(b)
}

func (c *conn) Close() error {
	c.closeOnce.Do(func() { c.listener.openCount.Add(-1) })
	return c.Conn.Close()
}
