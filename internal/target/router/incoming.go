package router

import (
	"context"
	"sync"
	"sync/atomic"

	"apricotflow/internal/wire/encoder"
)

// HandleExecute runs the items of a peer's batch on targets that this instance owns. It sends each reply to the peer as
// soon as it is available and returns after the last one. The returned message holds the number of replies sent.
func (r *Router) HandleExecute(ctx context.Context, peer string, request encoder.ExecuteRequest) (encoder.ExecuteReply, error) {
	r.clock.Observe(request.Clock)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var delivered atomic.Int64
	var wg sync.WaitGroup
	for _, q := range request.Items {
		wg.Go(func() {
			if r.runForPeer(ctx, peer, request.Batch, q) {
				delivered.Add(1)
			}
		})
	}
	wg.Wait()
	return encoder.ExecuteReply{Clock: r.clock.Now(), Delivered: int(delivered.Load())}, nil
}

// runForPeer runs one item for a peer and reports whether its reply was sent.
func (r *Router) runForPeer(ctx context.Context, peer, batch string, q encoder.SubQuery) bool {
	key := incomingKey(peer, q.Attempt)
	work, end := r.served.Begin(ctx, key)
	defer end()
	reply := r.runLocally(work, key, q)
	message := encoder.DeliverMessage{Batch: batch, Clock: r.clock.Now(), Reply: reply}
	// The replies of a cancelled batch are sent too, so that the peer can finish their attempts.
	if err := r.peers.Deliver(context.WithoutCancel(ctx), peer, message); err != nil {
		r.scope.Counter("router-deliveries-failed").Inc(1)
		return false
	}
	return true
}

// incomingKey is the key of a peer's attempt. It includes the peer, so that only that peer can cancel the attempt.
func incomingKey(peer, attempt string) string {
	return peer + "/" + attempt
}

// HandleCancel cancels attempts of a peer's batch.
func (r *Router) HandleCancel(peer string, message encoder.CancelBatchMessage) {
	for _, attempt := range message.Attempts {
		r.served.Cancel(incomingKey(peer, attempt))
	}
}

// HandleDeliver accepts one reply of a batch that was sent to the peer. It counts and drops a reply that is late, a
// duplicate, or for another sub-query.
func (r *Router) HandleDeliver(peer string, message encoder.DeliverMessage) {
	r.clock.Observe(message.Clock)
	value, found := r.batches.Load(message.Batch)
	if !found {
		r.dropReply("late", message.Reply)
		return
	}
	b := value.(*batch)
	if b.peer != peer {
		r.dropReply("crossed", message.Reply)
		return
	}
	i, found := b.take(message.Reply, r.matches)
	if !found {
		r.dropReply("unmatched", message.Reply)
		return
	}
	r.handleReply(i, peer, message.Reply)
}
