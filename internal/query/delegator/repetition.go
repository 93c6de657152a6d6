package delegator

import (
	"context"
	"sync/atomic"

	"apricotflow/internal/cluster/messenger"
	"apricotflow/internal/wire/encoder"
)

// States of a repetition.
const (
	repetitionOpen int32 = iota
	repetitionBegun
	repetitionHeld
)

// repetition decides who may send parts of a query once more: the instance that runs it, or its origin, which then starts
// the query on another instance. Both together would let a part run on more targets than its route allows.
type repetition struct {
	state atomic.Int32
	// announce tells the origin that this instance repeats parts.
	announce func()
}

// begin reports whether this instance may repeat parts, and announces it the first time.
func (r *repetition) begin() bool {
	if r.state.CompareAndSwap(repetitionOpen, repetitionBegun) {
		r.announce()
	}
	return r.state.Load() == repetitionBegun
}

// hold leaves repetitions to the origin, and reports whether it could: this instance has not begun any.
func (r *repetition) hold() bool {
	r.state.CompareAndSwap(repetitionOpen, repetitionHeld)
	return r.state.Load() == repetitionHeld
}

// holdRepetition leaves the repetitions of a query to its origin. A query that has ended, or has not begun because the
// messages are handled in another order, is not held: its answer is on the way.
func (d *Delegator) holdRepetition(_ context.Context, peer messenger.Peer, message encoder.HoldRequest) (encoder.HoldReply, error) {
	r, found := d.repetitions.Load(delegationKey(peer, message.Id))
	return encoder.HoldReply{Held: found && r.(*repetition).hold()}, nil
}

// askToHold asks another instance to leave the repetitions of a query to this one.
func (d *Delegator) askToHold(ctx context.Context, peer, id string) (held bool, err error) {
	reply, err := messenger.Call[encoder.HoldRequest, encoder.HoldReply](ctx, d.messenger, peer, methodHold, encoder.HoldRequest{Id: id})
	return reply.Held, err
}

// handedOverKey identifies a query that another instance runs for this one.
type handedOverKey struct{ peer, id string }

// receiveRepeatNotice takes the statement of another instance that it repeats parts of a query of this one.
func (d *Delegator) receiveRepeatNotice(_ context.Context, peer messenger.Peer, message encoder.RepeatNotice) (struct{}, error) {
	if notify, found := d.handedOver.Load(handedOverKey{peer: peer.Instance, id: message.Id}); found {
		notify.(func())()
	}
	return struct{}{}, nil
}

// sendRepeatNotice tells the origin of a query that this instance repeats parts of it.
func (d *Delegator) sendRepeatNotice(peer messenger.Peer, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	if err := messenger.NotifyIncarnation(ctx, d.messenger, peer, methodRepeats, encoder.RepeatNotice{Id: id}); err != nil {
		d.logger.Debug("repetition of a query not announced to its origin", "peer", peer.Instance, "error", err)
	}
}
