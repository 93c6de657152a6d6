package router

import (
	"cmp"
	"sync/atomic"
	"time"
)

// peerLoad measures the batches that this instance has sent to one peer.
type peerLoad struct {
	batches atomic.Int64
	// latency is the duration of the latest batch, in nanoseconds.
	latency atomic.Int64
}

func (r *Router) peerLoad(peer string) *peerLoad {
	if l, found := r.peerLoads.Load(peer); found {
		return l.(*peerLoad)
	}
	l, _ := r.peerLoads.LoadOrStore(peer, &peerLoad{})
	return l.(*peerLoad)
}

// begin counts a batch as in flight until the returned function is called.
func (l *peerLoad) begin() func() {
	l.batches.Add(1)
	start := time.Now()
	return func() {
		l.batches.Add(-1)
		l.latency.Store(int64(time.Since(start)))
	}
}

// compare orders loads by batches in flight, then by latency.
func (l *peerLoad) compare(o *peerLoad) int {
	if c := cmp.Compare(l.batches.Load(), o.batches.Load()); c != 0 {
		return c
	}
	return cmp.Compare(l.latency.Load(), o.latency.Load())
}
