package router

import (
	"context"
	"sync"

	"apricotflow/internal/target/connector"
	"apricotflow/internal/wire/encoder"
)

// item is one sub-query of an execution.
type item struct {
	query     encoder.SubQuery
	execution *execution
	// tried holds the owners that were already tried.
	tried []string
	// counter counts the item while it is at an owner; nil otherwise.
	counter *counter
}

// enter counts the item at an owner.
func (i *item) enter(c *counter) {
	i.counter = c
	c.Add(1)
}

// leave ends the count; the item may be at no owner.
func (i *item) leave() {
	if i.counter != nil {
		i.counter.Add(-1)
		i.counter = nil
	}
}

// execution is one call of Execute. Its deliver function is called once for each item, one call at a time.
type execution struct {
	// ctx ends shortly before the deadline of the caller.
	ctx context.Context

	mu      sync.Mutex
	deliver func(encoder.SubReply)
	// open holds the attempts that were not delivered.
	open map[string]encoder.SubQuery
	// done is closed when open becomes empty.
	done chan struct{}
}

func newExecution(ctx context.Context, queries []encoder.SubQuery, deliver func(encoder.SubReply)) *execution {
	e := &execution{ctx: ctx, deliver: deliver, open: make(map[string]encoder.SubQuery, len(queries)), done: make(chan struct{})}
	for _, q := range queries {
		e.open[q.Attempt] = q
	}
	if len(e.open) == 0 {
		close(e.done)
	}
	return e
}

// finish delivers the reply of an attempt and reports whether it was the first one.
func (e *execution) finish(r encoder.SubReply) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, found := e.open[r.Attempt]; !found {
		return false
	}
	delete(e.open, r.Attempt)
	e.deliver(r)
	if len(e.open) == 0 {
		close(e.done)
	}
	return true
}

// abort delivers an unknown outcome for everything that was not delivered.
func (e *execution) abort(reason encoder.Reason) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.open) == 0 {
		return
	}
	for attempt, q := range e.open {
		delete(e.open, attempt)
		e.deliver(connector.Unknown(q, reason))
	}
	close(e.done)
}
