package router

import (
	"cmp"
	"sync/atomic"
	"time"
)

// peerLoad holds the number and the duration of the batches that this instance sends to one peer.
type peerLoad struct {
	batchesInFlight atomic.Int64
	// lastDuration is the duration of the latest batch, in nanoseconds.
	lastDuration atomic.Int64
}

func (r *Router) peerLoad(peer string) *peerLoad {
	if l, found := r.peerLoads.Load(peer); found {
		return l.(*peerLoad)
	}
	l, _ := r.peerLoads.LoadOrStore(peer, &peerLoad{})
	return l.(*peerLoad)
}

// begin counts a batch as in flight. The returned function ends this and records the duration of the batch.
func (l *peerLoad) begin() func() {
	l.batchesInFlight.Add(1)
	start := time.Now()
	return func() {
		l.batchesInFlight.Add(-1)
		l.lastDuration.Store(int64(time.Since(start)))
	}
}

// compare orders loads by batches in flight, then by the duration of the latest batch.
func (l *peerLoad) compare(o *peerLoad) int {
	if c := cmp.Compare(l.batchesInFlight.Load(), o.batchesInFlight.Load()); c != 0 {
		return c
	}
	return cmp.Compare(l.lastDuration.Load(), o.lastDuration.Load())
}
