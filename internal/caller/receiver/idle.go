package receiver

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleFactor extends the idle limit, because callers use a connection until shortly before the limit, and a changed
// limit takes some time to reach all instances.
const idleFactor = 1.5

// idleConnections records since when each idle connection has been idle.
type idleConnections struct {
	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
}

func newIdleConnections() *idleConnections {
	return &idleConnections{idleSince: make(map[net.Conn]time.Time)}
}

// trackState records a state change of a connection.
func (c *idleConnections) trackState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.idleSince[conn] = time.Now()
		return
	}
	delete(c.idleSince, conn)
}

// closeIdleLongerThan closes the connections that have been idle for longer than idleFactor times the limit.
func (c *idleConnections) closeIdleLongerThan(limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, idleSince := range c.idleSince {
		if time.Since(idleSince) > time.Duration(idleFactor*float64(limit)) {
			delete(c.idleSince, conn)
			// Close fails only if the connection is already closed.
			_ = conn.Close()
		}
	}
}
