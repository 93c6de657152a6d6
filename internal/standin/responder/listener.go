package responder

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// capListener resets connections above a cap and counts them.
type capListener struct {
	net.Listener
	limit   int64
	connect time.Duration
	// open is the number of accepted connections that are not closed.
	open    atomic.Int64
	most    atomic.Int64
	refused atomic.Int64
	// serial numbers the accepted connections in order.
	serial atomic.Int64
}

func (l *capListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Load() >= l.limit {
			l.refused.Add(1)
			reset(c)
			continue
		}
		l.most.Store(max(l.most.Load(), l.open.Add(1)))
		return &conn{Conn: c, listener: l, serial: l.serial.Add(1)}, nil
	}
}

// reset closes a connection so that the peer sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// conn is an accepted connection whose first read takes the connect delay.
type conn struct {
	net.Conn
	listener *capListener
	serial   int64
	first    sync.Once
	closed   sync.Once
}

func (c *conn) Read(b []byte) (int, error) {
	c.first.Do(func() { time.Sleep(c.listener.connect) })
	return c.Conn.Read(b)
}

func (c *conn) Close() error {
	c.closed.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
