package router

import (
	"sync"

	"apricotflow/internal/wire/encoder"
)

// batch is one execute call to a peer that has not ended.
type batch struct {
	id   string
	peer string

	mu sync.Mutex
	// open holds the items without a reply by attempt; each is removed once.
	open map[string]*item
	// done is closed when open becomes empty.
	done chan struct{}
}

func newBatch(id, peer string, items []*item) *batch {
	b := &batch{id: id, peer: peer, open: make(map[string]*item, len(items)), done: make(chan struct{})}
	for _, i := range items {
		b.open[i.query.Attempt] = i
	}
	return b
}

// take removes and returns the item that a reply belongs to.
func (b *batch) take(r encoder.SubReply, matches func(encoder.SubQuery, encoder.SubReply) bool) (*item, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	i, found := b.open[r.Attempt]
	if !found || !matches(i.query, r) {
		return nil, false
	}
	b.remove(i)
	return i, true
}

func (b *batch) remove(i *item) {
	delete(b.open, i.query.Attempt)
	if len(b.open) == 0 {
		close(b.done)
	}
}

// rest removes and returns all items without a reply.
func (b *batch) rest() []*item {
	b.mu.Lock()
	defer b.mu.Unlock()
	items := make([]*item, 0, len(b.open))
	for _, i := range b.open {
		items = append(items, i)
	}
	for _, i := range items {
		b.remove(i)
	}
	return items
}

// empty reports whether every item has a reply.
func (b *batch) empty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.open) == 0
}
