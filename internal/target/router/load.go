package router

import (
	"cmp"
	"sync/atomic"
	"time"
)

// load is how busy a peer is with batches of this instance.
type load struct {
	batches atomic.Int64
	// latency is that of the latest batch, in nanoseconds.
	latency atomic.Int64
}

func (r *Router) load(peer string) *load {
	if l, found := r.loads.Load(peer); found {
		return l.(*load)
	}
	l, _ := r.loads.LoadOrStore(peer, &load{})
	return l.(*load)
}

// begin counts a batch until the returned function is called.
func (l *load) begin() func() {
	l.batches.Add(1)
	start := time.Now()
	return func() {
		l.batches.Add(-1)
		l.latency.Store(int64(time.Since(start)))
	}
}

// compare orders by batches in flight, then latency.
func (l *load) compare(o *load) int {
	if c := cmp.Compare(l.batches.Load(), o.batches.Load()); c != 0 {
		return c
	}
	return cmp.Compare(l.latency.Load(), o.latency.Load())
}
