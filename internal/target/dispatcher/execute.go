package dispatcher

import (
	"context"
	"errors"
	"time"

	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/operator/checker"
	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/target/connector"
	"apricotflow/internal/target/limiter"
	"apricotflow/internal/wire/encoder"
)

const (
	// deadlineMargin is subtracted from the deadline sent to a target, so that its reply arrives in time.
	deadlineMargin = 2 * time.Millisecond
	// maxConnectionTries is the maximum number of connections that are tried for one attempt, as long as no byte of the
	// sub-query has been sent.
	maxConnectionTries = 3
)

// Execute runs one sub-query on an owned target within its deadline. Ending ctx cancels the sub-query.
func (d *Dispatcher) Execute(ctx context.Context, q encoder.SubQuery) encoder.SubReply {
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	if d.closing.Load() {
		return d.refuse(q, encoder.ReasonNoOwner)
	}
	deadline := time.Duration(q.DeadlineMs) * time.Millisecond
	if !q.Idempotent && !d.attempts.claim(q.Attempt, deadline) {
		// The outcome is unknown, because the attempt that was received first may run.
		d.scope.Counter("dispatcher-duplicate-attempts").Inc(1)
		return connector.UnknownReply(q, encoder.ReasonMismatch)
	}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	for range maxConnectionTries {
		reply, tryAnother := d.tryConnection(ctx, q)
		if !tryAnother {
			return reply
		}
	}
	return d.refuse(q, encoder.ReasonConnectionLost)
}

// tryConnection tries the sub-query on one connection. tryAnother reports whether no byte was sent and another
// connection may be tried.
func (d *Dispatcher) tryConnection(ctx context.Context, q encoder.SubQuery) (reply encoder.SubReply, tryAnother bool) {
	e, reason := d.ownedEntry(d.configurationView(), q)
	if e == nil {
		return d.refuse(q, reason), false
	}
	if e.connector.IsDown() {
		return d.refuse(q, encoder.ReasonTargetDown), false
	}
	deadline, _ := ctx.Deadline()
	slot, err := e.limiter.Acquire(ctx, q.Priority, timekeeper.BootTime()+time.Until(deadline))
	if err != nil {
		return d.refuse(q, errorReason(err)), false
	}
	connection, err := e.connector.Acquire(ctx)
	if err != nil {
		slot.Done(limiter.SlotResult{})
		return d.refuse(q, errorReason(err)), false
	}
	state, at := connection.State()
	if !slot.Bind(connection.Incarnation(), state, at) {
		if e.limiter.IsCurrent(connection.Incarnation()) {
			e.connector.Release(connection)
		} else {
			e.connector.Discard(connection)
		}
		slot.Done(limiter.SlotResult{})
		return encoder.SubReply{}, true
	}
	return d.send(ctx, q, e, slot, connection)
}

// send sends the sub-query on a connection to the incarnation that the slot is bound to, and returns the slot once the
// target no longer runs the attempt. The boolean is the result tryAnother of tryConnection.
func (d *Dispatcher) send(ctx context.Context, q encoder.SubQuery, e *entry, slot *limiter.Slot, connection *connector.Connection) (encoder.SubReply, bool) {
	deadline, _ := ctx.Deadline()
	outgoing := q
	outgoing.DeadlineMs = int((time.Until(deadline) - deadlineMargin) / time.Millisecond)
	if ctx.Err() != nil || outgoing.DeadlineMs < 1 {
		e.connector.Release(connection)
		slot.Done(limiter.SlotResult{})
		if errors.Is(ctx.Err(), context.Canceled) {
			return d.refuse(q, encoder.ReasonCancelled), false
		}
		return d.refuse(q, encoder.ReasonDeadlineExceeded), false
	}
	result := e.connector.Execute(ctx, connection, outgoing, func() (encoder.Reason, bool) {
		return d.confirmSend(q, slot, connection)
	})
	if !result.Sent && !q.Idempotent {
		d.attempts.unmarkSent(q.Attempt)
	}
	d.releaseSlot(slot, result)
	reply := result.Reply
	d.checker.Check(reply.Outcome != encoder.OutcomeNotRun || !result.Sent || result.Replied,
		checker.NotRunIsTrue, q.Target, "attempt "+q.Attempt)
	if c, found := d.outcomes[reply.Outcome]; found {
		c.Inc(1)
	}
	tryAnother := !result.Sent && reply.Reason == encoder.ReasonConnectionLost
	return reply, tryAnother
}

// releaseSlot returns the slot once the target no longer runs the attempt. If it may still run, this happens in the
// background.
func (d *Dispatcher) releaseSlot(slot *limiter.Slot, result connector.Result) {
	slotResult := limiter.SlotResult{ConnectionLost: result.ConnectionLost}
	if result.Replied {
		slotResult.Reply = &result.Reply
	}
	if result.AttemptEnded == nil {
		slot.Done(slotResult)
		return
	}
	d.inFlight.Add(1)
	go func() {
		defer d.inFlight.Add(-1)
		if late, found := <-result.AttemptEnded; found {
			slotResult.Reply = late
		}
		slot.Done(slotResult)
	}()
}

// ownedEntry returns the entry of the target if the configuration, the ownership and the draining state allow new work,
// or else nil and the reason for the refusal.
func (d *Dispatcher) ownedEntry(s configurationView, q encoder.SubQuery) (*entry, encoder.Reason) {
	t, reason := s.servingTarget(q.Target)
	if reason != encoder.ReasonNone {
		return nil, reason
	}
	own := d.ownership(t)
	if own.Share == 0 {
		return nil, encoder.ReasonNoOwner
	}
	e := d.configuredEntry(t, own)
	if e == nil {
		return nil, encoder.ReasonNoOwner
	}
	if e.limiter.Draining() {
		return nil, encoder.ReasonDraining
	}
	return e, encoder.ReasonNone
}

// configurationView is the manifest and member list that one decision is based on.
type configurationView struct {
	// manifest is nil until the first one is available.
	manifest *resolver.Manifest
	members  *resolver.Members
}

func (d *Dispatcher) configurationView() configurationView {
	return configurationView{manifest: d.configuration.Manifest(), members: d.configuration.Members()}
}

// servingTarget returns the target if it is serving, or else the reason for the refusal.
func (s configurationView) servingTarget(target string) (resolver.Target, encoder.Reason) {
	if s.manifest == nil {
		return resolver.Target{}, encoder.ReasonNoOwner
	}
	t, found := s.manifest.Target(target)
	switch {
	case !found:
		return t, encoder.ReasonNoOwner
	case !s.manifest.IsDomainOpen(t.FailureDomain):
		return t, encoder.ReasonFailureDomainClosed
	case !s.manifest.IsServing(target) || s.members.IsTargetLeaving(target):
		return t, encoder.ReasonTargetLeaving
	}
	return t, encoder.ReasonNone
}

// confirmSend repeats all checks immediately before the sub-query is sent, because it may have waited since the first
// ones.
func (d *Dispatcher) confirmSend(q encoder.SubQuery, slot *limiter.Slot, connection *connector.Connection) (encoder.Reason, bool) {
	s := d.configurationView()
	if _, reason := d.ownedEntry(s, q); reason != encoder.ReasonNone {
		return reason, false
	}
	if reason, ok := slot.Confirm(connection.Incarnation()); !ok {
		return reason, false
	}
	if !q.Idempotent && !d.checker.Check(d.attempts.markSent(q.Attempt), checker.AtMostOnce, q.Target, "attempt "+q.Attempt) {
		return encoder.ReasonMismatch, false
	}
	d.checkSendInvariants(s, q.Target)
	return encoder.ReasonNone, true
}

// checkSendInvariants checks the invariants for new work on a target immediately before the sub-query is sent.
func (d *Dispatcher) checkSendInvariants(s configurationView, target string) {
	t, _ := s.manifest.Target(target)
	d.checker.Check(s.manifest.IsDomainOpen(t.FailureDomain), checker.NoSubQueryToClosedDomain, target, t.FailureDomain)
	d.checker.Check(s.manifest.IsServing(target) && !s.members.IsTargetLeaving(target), checker.NoSubQueryToLeavingTarget, target, "")
}

func (d *Dispatcher) refuse(q encoder.SubQuery, reason encoder.Reason) encoder.SubReply {
	d.scope.Counter("dispatcher-refused-" + string(reason)).Inc(1)
	return connector.NotRunReply(q, reason)
}

// errorReason maps errors of the limiter and the connector to reasons. All of them mean that nothing was sent.
func errorReason(err error) encoder.Reason {
	var refused *limiter.RefusedError
	var down *connector.DownError
	var closed *connector.ClosedError
	switch {
	case errors.As(err, &refused):
		return refused.Reason
	case errors.As(err, &down):
		return encoder.ReasonTargetDown
	case errors.As(err, &closed):
		return encoder.ReasonNoOwner
	case errors.Is(err, context.Canceled):
		return encoder.ReasonCancelled
	default:
		return encoder.ReasonDeadlineExceeded
	}
}
