package router

import (
	"context"
	"sync"

	"apricotflow/internal/target/connector"
	"apricotflow/internal/wire/encoder"
)

// item is one sub-query of an execution and the state of its routing.
type item struct {
	subQuery  encoder.SubQuery
	execution *execution
	// tried holds the owners to which the item has already been routed.
	tried []string
	// outstandingCounter is the counter that includes the item while a peer runs it; nil otherwise.
	outstandingCounter *outstandingCounter
}

// countOutstanding counts the item as outstanding at an owner.
func (i *item) countOutstanding(c *outstandingCounter) {
	i.outstandingCounter = c
	c.Add(1)
}

// uncountOutstanding removes the item from its counter, if it is counted.
func (i *item) uncountOutstanding() {
	if i.outstandingCounter != nil {
		i.outstandingCounter.Add(-1)
		i.outstandingCounter = nil
	}
}

// execution is one call of Execute. It calls deliver once for each sub-query, one call at a time.
type execution struct {
	// ctx ends deliveryMargin before the deadline of Execute.
	ctx context.Context

	mu      sync.Mutex
	deliver func(encoder.SubReply)
	// pending holds the sub-queries whose replies have not been delivered, by attempt.
	pending map[string]encoder.SubQuery
	// done is closed when pending becomes empty.
	done chan struct{}
}

func newExecution(ctx context.Context, subQueries []encoder.SubQuery, deliver func(encoder.SubReply)) *execution {
	e := &execution{ctx: ctx, deliver: deliver, pending: make(map[string]encoder.SubQuery, len(subQueries)), done: make(chan struct{})}
	for _, q := range subQueries {
		e.pending[q.Attempt] = q
	}
	if len(e.pending) == 0 {
		close(e.done)
	}
	return e
}

// finish delivers the reply of an attempt and reports whether it was the first reply of that attempt.
func (e *execution) finish(r encoder.SubReply) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, found := e.pending[r.Attempt]; !found {
		return false
	}
	delete(e.pending, r.Attempt)
	e.deliver(r)
	if len(e.pending) == 0 {
		close(e.done)
	}
	return true
}

// abort delivers an unknown outcome for every sub-query that is still pending.
func (e *execution) abort(reason encoder.Reason) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.pending) == 0 {
		return
	}
	for attempt, q := range e.pending {
		delete(e.pending, attempt)
		e.deliver(connector.UnknownReply(q, reason))
	}
	close(e.done)
}
