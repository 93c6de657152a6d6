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
	// deadlineMargin is kept back from the deadline sent to a target, for its reply to arrive in time.
	deadlineMargin = 2 * time.Millisecond
	// connectionAttempts bounds the connections tried while no byte of the sub-query was written.
	connectionAttempts = 3
)

// Execute runs one sub-query on an owned target within its deadline. Ending ctx cancels it.
func (d *Dispatcher) Execute(ctx context.Context, q encoder.SubQuery) encoder.SubReply {
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	if d.closing.Load() {
		return d.refuse(q, encoder.ReasonNoOwner)
	}
	deadline := time.Duration(q.DeadlineMs) * time.Millisecond
	if !q.Idempotent && !d.attempts.claim(q.Attempt, deadline) {
		d.scope.Counter("dispatcher-duplicate-attempts").Inc(1)
		return connector.Unknown(q, encoder.ReasonMismatch)
	}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	for range connectionAttempts {
		reply, again := d.attempt(ctx, q)
		if !again {
			return reply
		}
	}
	return d.refuse(q, encoder.ReasonConnectionLost)
}

// attempt tries the sub-query on one connection; again means that no byte was written and another connection may
// be tried.
func (d *Dispatcher) attempt(ctx context.Context, q encoder.SubQuery) (reply encoder.SubReply, again bool) {
	e, reason := d.admit(d.snapshot(), q)
	if e == nil {
		return d.refuse(q, reason), false
	}
	if e.connector.Down() {
		return d.refuse(q, encoder.ReasonTargetDown), false
	}
	deadline, _ := ctx.Deadline()
	slot, err := e.limiter.Acquire(ctx, q.Priority, timekeeper.BootTime()+time.Until(deadline))
	if err != nil {
		return d.refuse(q, reasonOf(err)), false
	}
	connection, err := e.connector.Acquire(ctx)
	if err != nil {
		slot.Done(limiter.Outcome{})
		return d.refuse(q, reasonOf(err)), false
	}
	state, at := connection.State()
	if !slot.Bind(connection.Incarnation(), state, at) {
		if e.limiter.Current(connection.Incarnation()) {
			e.connector.Release(connection)
		} else {
			e.connector.Discard(connection)
		}
		slot.Done(limiter.Outcome{})
		return encoder.SubReply{}, true
	}
	return d.send(ctx, q, e, slot, connection)
}

// send writes the sub-query on a bound connection and gives the slot back.
func (d *Dispatcher) send(ctx context.Context, q encoder.SubQuery, e *entry, slot *limiter.Slot, connection *connector.Connection) (encoder.SubReply, bool) {
	deadline, _ := ctx.Deadline()
	sent := q
	sent.DeadlineMs = int((time.Until(deadline) - deadlineMargin) / time.Millisecond)
	if ctx.Err() != nil || sent.DeadlineMs < 1 {
		e.connector.Release(connection)
		slot.Done(limiter.Outcome{})
		if errors.Is(ctx.Err(), context.Canceled) {
			return d.refuse(q, encoder.ReasonCancelled), false
		}
		return d.refuse(q, encoder.ReasonDeadlineExceeded), false
	}
	result := e.connector.Execute(ctx, connection, sent, func() (encoder.Reason, bool) {
		return d.confirm(q, slot, connection)
	})
	if !result.Sent && !q.Idempotent {
		d.attempts.unwrite(q.Attempt)
	}
	d.finish(slot, result)
	reply := result.Reply
	d.checks.Check(reply.Outcome != encoder.OutcomeNotRun || !result.Sent || result.Replied,
		checker.NotRunIsTrue, q.Target, "attempt "+q.Attempt)
	if c, found := d.outcomes[reply.Outcome]; found {
		c.Inc(1)
	}
	again := !result.Sent && reply.Reason == encoder.ReasonConnectionLost
	return reply, again
}

// finish gives the slot back when the target no longer runs the attempt.
func (d *Dispatcher) finish(slot *limiter.Slot, result connector.Result) {
	outcome := limiter.Outcome{Reset: result.Lost}
	if result.Replied {
		outcome.Reply = &result.Reply
	}
	if result.Settled == nil {
		slot.Done(outcome)
		return
	}
	d.inFlight.Add(1)
	go func() {
		defer d.inFlight.Add(-1)
		if late, found := <-result.Settled; found {
			outcome.Reply = late
		}
		slot.Done(outcome)
	}()
}

// admit checks everything that must hold before a sub-query waits for its target.
func (d *Dispatcher) admit(s snapshot, q encoder.SubQuery) (*entry, encoder.Reason) {
	t, reason := s.allowed(q.Target)
	if reason != encoder.ReasonNone {
		return nil, reason
	}
	own := d.ownership(t)
	if own.Share == 0 {
		return nil, encoder.ReasonNoOwner
	}
	e := d.entry(t, own)
	if e == nil {
		return nil, encoder.ReasonNoOwner
	}
	if e.limiter.Draining() {
		return nil, encoder.ReasonDraining
	}
	return e, encoder.ReasonNone
}

// snapshot is the configuration that one decision is based on.
type snapshot struct {
	// manifest is nil before the first one.
	manifest *resolver.Manifest
	members  *resolver.Members
}

func (d *Dispatcher) snapshot() snapshot {
	return snapshot{manifest: d.configuration.Manifest(), members: d.configuration.Members()}
}

// allowed checks that the configuration allows new work for the target.
func (s snapshot) allowed(target string) (resolver.Target, encoder.Reason) {
	if s.manifest == nil {
		return resolver.Target{}, encoder.ReasonNoOwner
	}
	t, found := s.manifest.Target(target)
	switch {
	case !found:
		return t, encoder.ReasonNoOwner
	case !s.manifest.DomainOpen(t.FailureDomain):
		return t, encoder.ReasonFailureDomainClosed
	case !s.manifest.Serving(target) || s.members.TargetLeaving(target):
		return t, encoder.ReasonTargetLeaving
	}
	return t, encoder.ReasonNone
}

// confirm checks everything again immediately before the write, because the sub-query may have waited.
func (d *Dispatcher) confirm(q encoder.SubQuery, slot *limiter.Slot, connection *connector.Connection) (encoder.Reason, bool) {
	s := d.snapshot()
	if _, reason := d.admit(s, q); reason != encoder.ReasonNone {
		return reason, false
	}
	if reason, ok := slot.Confirm(connection.Incarnation()); !ok {
		return reason, false
	}
	if !q.Idempotent && !d.checks.Check(d.attempts.write(q.Attempt), checker.AtMostOnce, q.Target, "attempt "+q.Attempt) {
		return encoder.ReasonMismatch, false
	}
	d.checkWrite(s, q.Target)
	return encoder.ReasonNone, true
}

// checkWrite checks the invariants on new work for a write that is about to happen.
func (d *Dispatcher) checkWrite(s snapshot, target string) {
	t, _ := s.manifest.Target(target)
	d.checks.Check(s.manifest.DomainOpen(t.FailureDomain), checker.DomainClosed, target, t.FailureDomain)
	d.checks.Check(s.manifest.Serving(target) && !s.members.TargetLeaving(target), checker.TargetLeaving, target, "")
}

func (d *Dispatcher) refuse(q encoder.SubQuery, reason encoder.Reason) encoder.SubReply {
	d.scope.Counter("dispatcher-refused-" + string(reason)).Inc(1)
	return connector.NotRun(q, reason)
}

// reasonOf maps the errors of the limiter and the connector, which all mean that nothing was sent.
func reasonOf(err error) encoder.Reason {
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
