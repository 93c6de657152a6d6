package router

import (
	"context"
	"sync"
	"sync/atomic"

	"apricotflow/internal/wire/encoder"
)

// HandleExecute runs the items of a peer's batch on the targets of this instance, sends each reply to the peer as
// soon as it is there, and returns the number of replies sent.
func (r *Router) HandleExecute(ctx context.Context, peer string, request encoder.ExecuteRequest) (encoder.ExecuteReply, error) {
	r.clock.Observe(request.Clock)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var delivered atomic.Int64
	var group sync.WaitGroup
	for _, q := range request.Items {
		group.Go(func() {
			if r.runFor(ctx, peer, request.Batch, q) {
				delivered.Add(1)
			}
		})
	}
	group.Wait()
	return encoder.ExecuteReply{Clock: r.clock.Now(), Delivered: int(delivered.Load())}, nil
}

// runFor runs one item for a peer and reports whether its reply was sent.
func (r *Router) runFor(ctx context.Context, peer, batch string, q encoder.SubQuery) bool {
	reply := r.runHere(ctx, incomingKey(peer, q.Attempt), q)
	message := encoder.DeliverMessage{Batch: batch, Clock: r.clock.Now(), Reply: reply}
	// The peer gets the reply of a cancelled batch too, so that it can free the attempt.
	if err := r.peers.Deliver(context.WithoutCancel(ctx), peer, message); err != nil {
		r.scope.Counter("router-deliveries-failed").Inc(1)
		return false
	}
	return true
}

// incomingKey names an attempt of a peer; only that peer can cancel it.
func incomingKey(peer, attempt string) string {
	return peer + "/" + attempt
}

// HandleCancel cancels attempts of a peer's batch.
func (r *Router) HandleCancel(peer string, message encoder.CancelBatchMessage) {
	for _, attempt := range message.Attempts {
		r.cancelHere(incomingKey(peer, attempt))
	}
}

// HandleDeliver takes one reply of a batch sent to the peer. A reply that is late, duplicate or of another sub-query is
// counted and dropped.
func (r *Router) HandleDeliver(peer string, message encoder.DeliverMessage) {
	r.clock.Observe(message.Clock)
	value, found := r.batches.Load(message.Batch)
	if !found {
		r.drop("late", message.Reply)
		return
	}
	b := value.(*batch)
	if b.peer != peer {
		r.drop("crossed", message.Reply)
		return
	}
	i, found := b.take(message.Reply, r.matches)
	if !found {
		r.drop("unmatched", message.Reply)
		return
	}
	r.settle(i, peer, message.Reply)
}
