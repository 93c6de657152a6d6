package router

import (
	"sync"

	"apricotflow/internal/wire/encoder"
)

// batch is one unfinished execute call to a peer, with the sub-queries that the peer was asked to run.
type batch struct {
	id   string
	peer string

	mu sync.Mutex
	// pending holds the items without a reply, by attempt. Each item is removed once.
	pending map[string]*item
	// done is closed when pending becomes empty.
	done chan struct{}
}

func newBatch(id, peer string, items []*item) *batch {
	b := &batch{id: id, peer: peer, pending: make(map[string]*item, len(items)), done: make(chan struct{})}
	for _, i := range items {
		b.pending[i.subQuery.Attempt] = i
	}
	return b
}

// take removes and returns the pending item that a reply belongs to.
func (b *batch) take(r encoder.SubReply, matches func(encoder.SubQuery, encoder.SubReply) bool) (*item, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	i, found := b.pending[r.Attempt]
	if !found || !matches(i.subQuery, r) {
		return nil, false
	}
	b.remove(i)
	return i, true
}

func (b *batch) remove(i *item) {
	delete(b.pending, i.subQuery.Attempt)
	if len(b.pending) == 0 {
		close(b.done)
	}
}

// takePending removes and returns all items without a reply.
func (b *batch) takePending() []*item {
	b.mu.Lock()
	defer b.mu.Unlock()
	items := make([]*item, 0, len(b.pending))
	for _, i := range b.pending {
		items = append(items, i)
	}
	for _, i := range items {
		b.remove(i)
	}
	return items
}

// complete reports whether every item has a reply.
func (b *batch) complete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.pending) == 0
}
