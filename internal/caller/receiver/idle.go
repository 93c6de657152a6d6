package receiver

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleFactor extends the idle limit, since callers use connections almost up to it and a changed limit takes a while to
// reach all instances.
const idleFactor = 1.5

// idleConnections knows since when each idle connection has been idle.
type idleConnections struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func newIdleConnections() *idleConnections {
	return &idleConnections{since: make(map[net.Conn]time.Time)}
}

// observe takes up a change of state of a connection.
func (c *idleConnections) observe(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.since[conn] = time.Now()
		return
	}
	delete(c.since, conn)
}

// closeOlder closes the connections that have been idle for longer than the limit.
func (c *idleConnections) closeOlder(limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.since {
		if time.Since(since) > time.Duration(idleFactor*float64(limit)) {
			delete(c.since, conn)
			// A connection that cannot be closed is already gone.
			_ = conn.Close()
		}
	}
}
