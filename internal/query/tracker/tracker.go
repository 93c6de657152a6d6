// Package tracker tracks background work that outlives the request that started it, so that a graceful stop can wait
// for it. The executor and the ticketer use it in native mode; it does not cancel work.
package tracker

import (
	"context"
	"sync"
)

// Tracker runs functions in the background and waits for them. Its zero value is ready to use. Unlike with a
// sync.WaitGroup, work may start while another goroutine waits, and a wait may be abandoned.
type Tracker struct {
	mu sync.Mutex
	// running is the number of functions that have not returned.
	running int
	// idle is closed when running drops to zero; it is nil while nothing is running.
	idle chan struct{}
}

// Go runs the function in a new goroutine.
func (t *Tracker) Go(f func()) {
	t.begin()
	go func() {
		defer t.end()
		f()
	}()
}

// Drain waits until nothing is running or the context ends, and returns the error of the context in that case.
func (t *Tracker) Drain(ctx context.Context) error {
	for {
		idle := t.idleChannel()
		if idle == nil {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (t *Tracker) begin() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running == 0 {
		t.idle = make(chan struct{})
	}
	t.running++
}

func (t *Tracker) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	if t.running == 0 {
		close(t.idle)
		t.idle = nil
	}
}

func (t *Tracker) idleChannel() chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.idle
}
