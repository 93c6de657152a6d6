// Package tracker counts work that outlives the request that started it, for a graceful stop.
package tracker

import (
	"context"
	"sync"
)

// Tracker runs functions in the background; its zero value is ready. Unlike a sync.WaitGroup, work may start while
// another goroutine waits, and a wait may be given up.
type Tracker struct {
	mu sync.Mutex
	// running counts the functions that have not returned.
	running int
	// idle is closed when running falls to zero; it is nil when nothing has run since.
	idle chan struct{}
}

// Go runs the function in a goroutine of its own.
func (t *Tracker) Go(f func()) {
	t.begin()
	go func() {
		defer t.end()
		f()
	}()
}

// Drain waits until nothing is running, or returns the error of the context.
func (t *Tracker) Drain(ctx context.Context) error {
	for {
		idle := t.current()
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

func (t *Tracker) current() chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.idle
}
