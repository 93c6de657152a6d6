package connector

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/wire/encoder"
)

// Result is what became of one sub-query on a connection.
type Result struct {
	// Reply always carries the ids of the sub-query.
	Reply encoder.SubReply
	// Sent is set when a byte of the request was written.
	Sent bool
	// Replied is set when Reply came from the target.
	Replied bool
	// Lost is set when the connection ended before the reply.
	Lost bool
	// Settled is nil, or is closed when the target no longer runs an attempt that ended without a reply. It may
	// carry the late reply of the target before that.
	Settled <-chan *encoder.SubReply
}

// Execute sends a sub-query on a connection from Acquire and releases the connection. The deadline of ctx bounds
// the exchange; ending ctx earlier cancels the attempt. Check runs immediately before the write; when it
// returns a reason, nothing is sent.
func (c *Connector) Execute(ctx context.Context, connection *Connection, q encoder.SubQuery, check func() (encoder.Reason, bool)) Result {
	deadline, found := ctx.Deadline()
	if !found {
		deadline = time.Now().Add(time.Duration(q.DeadlineMs) * time.Millisecond)
	}
	body := encoder.Encode(q)
	if reason, ok := check(); !ok {
		c.Release(connection)
		return Result{Reply: NotRun(q, reason)}
	}
	if !connection.Alive() {
		c.Release(connection)
		return Result{Reply: NotRun(q, encoder.ReasonConnectionLost)}
	}
	x, n, err := connection.send(http.MethodPost, "/v1/execute", body, deadline)
	if err != nil {
		connection.close()
		if n == 0 {
			return Result{Reply: NotRun(q, encoder.ReasonConnectionLost), Lost: true}
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			// The peer took no more bytes until the deadline, so the other connections may be silent too.
			c.dropIdle()
		}
		return c.fail(connection, q, encoder.ReasonConnectionLost, deadline)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	raw, err := connection.await(ctx, x)
	switch {
	case err == nil:
		return c.accept(connection, q, raw, deadline)
	case errors.Is(err, errConnectionEnded):
		return c.fail(connection, q, encoder.ReasonConnectionLost, deadline)
	case errors.Is(err, context.DeadlineExceeded):
		return Result{
			Reply: Unknown(q, encoder.ReasonDeadlineExceeded), Sent: true,
			Settled: c.reclaim(connection, x, q, deadline, true),
		}
	default:
		return Result{
			Reply: Unknown(q, encoder.ReasonCancelled), Sent: true,
			Settled: c.reclaim(connection, x, q, deadline, false),
		}
	}
}

// accept turns the reply of a target into a result.
func (c *Connector) accept(connection *Connection, q encoder.SubQuery, raw []byte, deadline time.Time) Result {
	reply, reason := c.decode(connection, q, raw)
	if reason != encoder.ReasonNone {
		return c.fail(connection, q, reason, deadline)
	}
	return Result{Reply: reply, Sent: true, Replied: true}
}

// decode checks that a reply belongs to the sub-query and releases the connection; any other reply closes it.
func (c *Connector) decode(connection *Connection, q encoder.SubQuery, raw []byte) (encoder.SubReply, encoder.Reason) {
	reply, err := encoder.Decode[encoder.SubReply](raw)
	if err != nil {
		connection.close()
		return reply, encoder.ReasonTargetError
	}
	if !Matches(q, reply) {
		c.scope.Counter("target-replies-mismatched").Inc(1)
		c.events.Record(recorder.KindReplyDropped, c.target, "", "mismatch for attempt "+q.Attempt)
		connection.close()
		return reply, encoder.ReasonMismatch
	}
	connection.see(reply.State)
	if reply.Incarnation != connection.Incarnation() {
		connection.close()
	}
	c.Release(connection)
	return reply, encoder.ReasonNone
}

// fail closes the connection of an attempt that may have run, and cancels the attempt.
func (c *Connector) fail(connection *Connection, q encoder.SubQuery, reason encoder.Reason, deadline time.Time) Result {
	lost := connection.remote.Load()
	connection.close()
	settled := make(chan *encoder.SubReply)
	spawned := c.spawn(func() {
		defer close(settled)
		if c.Cancel(c.ctx, []string{q.Attempt}) != nil {
			c.sleepUntil(deadline)
		}
	})
	if !spawned {
		close(settled)
	}
	return Result{Reply: Unknown(q, reason), Sent: true, Lost: lost, Settled: settled}
}

// reclaim cancels an attempt on the control connection and waits for its reply, which comes shortly and leaves the
// connection usable. Otherwise the connection is closed; one on which nothing was received for an expired attempt
// has stopped responding.
func (c *Connector) reclaim(connection *Connection, x *exchange, q encoder.SubQuery, deadline time.Time, expired bool) <-chan *encoder.SubReply {
	c.scope.Counter("target-attempts-cancelled").Inc(1)
	settled := make(chan *encoder.SubReply, 1)
	cancelled := make(chan bool, 1)
	spawned := c.spawn(func() {
		defer close(settled)
		c.tasks.Go(func() { cancelled <- c.Cancel(c.ctx, []string{q.Attempt}) == nil })
		ctx, cancel := context.WithTimeout(c.ctx, cancelTimeout)
		defer cancel()
		raw, err := connection.await(ctx, x)
		if err == nil {
			if reply, reason := c.decode(connection, q, raw); reason == encoder.ReasonNone {
				settled <- &reply
				return
			}
		}
		silent := expired && connection.Alive() && !connection.received.Load()
		connection.close()
		ended := silent && c.handleSilence(q.Attempt) || !silent && <-cancelled
		if !ended {
			c.sleepUntil(deadline)
		}
	})
	if !spawned {
		connection.close()
		close(settled)
	}
	return settled
}

// sleepUntil waits for the deadline of an attempt that could not be cancelled; the target ends it by then.
func (c *Connector) sleepUntil(deadline time.Time) {
	select {
	case <-c.ctx.Done():
	case <-time.After(time.Until(deadline)):
	}
}

// Matches reports whether a reply belongs to the attempt, target and snapshot of a sub-query.
func Matches(q encoder.SubQuery, r encoder.SubReply) bool {
	return r.Attempt == q.Attempt && r.Target == q.Target &&
		r.Index == q.Index && r.Version == q.Version && r.Shard == q.Shard
}

// NotRun is the reply for a sub-query of which no byte was sent.
func NotRun(q encoder.SubQuery, reason encoder.Reason) encoder.SubReply {
	return withoutAnswer(q, encoder.OutcomeNotRun, reason)
}

// Unknown is the reply for a sub-query that may have run.
func Unknown(q encoder.SubQuery, reason encoder.Reason) encoder.SubReply {
	return withoutAnswer(q, encoder.OutcomeUnknown, reason)
}

func withoutAnswer(q encoder.SubQuery, outcome encoder.Outcome, reason encoder.Reason) encoder.SubReply {
	return encoder.SubReply{
		Attempt: q.Attempt, Target: q.Target, Index: q.Index, Version: q.Version, Shard: q.Shard,
		State: encoder.LoadStateCold, Outcome: outcome, Reason: reason, Hits: []encoder.Hit{},
	}
}
