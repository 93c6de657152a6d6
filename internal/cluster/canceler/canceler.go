// Package canceler tracks the work that this instance does for its peers, so that they can cancel what they no longer
// wait for. The concentrator, the delegator and the router use it; cancellations reach them as messages of their own.
package canceler

import (
	"context"
	"sync"
	"time"
)

const (
	// earlyRetention is how long a cancellation is kept for work that has not begun: messages of different connections,
	// and those of one connection that are read together, are handled in any order.
	earlyRetention = 5 * time.Second
	// maxEarly limits the cancellations that are kept. The oldest ones are dropped first.
	maxEarly = 4096
)

// Canceler holds the work of an instance for its peers by keys, which the packages that use it choose; a key must stand for
// the same work over all restarts of a peer. It is safe for concurrent use.
type Canceler struct {
	mu sync.Mutex
	// running holds the functions that cancel the work that has begun and not ended.
	running map[string]context.CancelFunc
	// early holds the times of the cancellations of work that has not begun, and order their keys, the oldest first.
	early map[string]time.Time
	order []string
}

// New returns a Canceler without work.
func New() *Canceler {
	return &Canceler{running: make(map[string]context.CancelFunc), early: make(map[string]time.Time)}
}

// Begin records the begin of work. The returned context is canceled with the work, which may be at once. The
// returned function ends the work and must be called.
func (c *Canceler) Begin(ctx context.Context, key string) (work context.Context, end func()) {
	work, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, canceled := c.early[key]; canceled {
		cancel()
		return work, func() {}
	}
	c.running[key] = cancel
	return work, func() {
		c.mu.Lock()
		delete(c.running, key)
		c.mu.Unlock()
		cancel()
	}
}

// Cancel cancels the work of the key, also if its begin is handled only after this.
func (c *Canceler) Cancel(key string) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel, found := c.running[key]; found {
		cancel()
		return
	}
	if _, found := c.early[key]; !found {
		c.order = append(c.order, key)
	}
	c.early[key] = now
	for len(c.order) > maxEarly || now.Sub(c.early[c.order[0]]) > earlyRetention {
		delete(c.early, c.order[0])
		c.order = c.order[1:]
	}
}
