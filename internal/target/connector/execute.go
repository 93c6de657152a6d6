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

// Result describes the end of one sub-query on a connection.
type Result struct {
	// Reply always carries the IDs of the sub-query.
	Reply encoder.SubReply
	// Sent is set if at least one byte of the request was written.
	Sent bool
	// Replied is set if Reply came from the target.
	Replied bool
	// ConnectionLost is set if the target or the network ended the connection before the reply, or if nothing could be
	// written.
	ConnectionLost bool
	// AttemptEnded is closed once the target no longer runs the attempt: it has replied or confirmed the cancellation, or
	// the deadline has passed. It is also closed when the connector is closed. A late reply of the target is sent on it
	// first. It is nil if the target replied in time or nothing was sent.
	AttemptEnded <-chan *encoder.SubReply
}

// Execute sends a sub-query on a connection from Acquire and releases or closes the connection. The deadline of ctx
// limits the request; ending ctx earlier cancels the attempt. confirm runs immediately before the sub-query is sent; if
// it returns false, nothing is sent.
func (c *Connector) Execute(ctx context.Context, connection *Connection, q encoder.SubQuery, confirm func() (encoder.Reason, bool)) Result {
	deadline, found := ctx.Deadline()
	if !found {
		deadline = time.Now().Add(time.Duration(q.DeadlineMs) * time.Millisecond)
	}
	body := encoder.Encode(q)
	if reason, ok := confirm(); !ok {
		c.Release(connection)
		return Result{Reply: NotRunReply(q, reason)}
	}
	if !connection.IsOpen() {
		c.Release(connection)
		return Result{Reply: NotRunReply(q, encoder.ReasonConnectionLost)}
	}
	p, n, err := connection.send(http.MethodPost, "/v1/execute", body, deadline)
	if err != nil {
		connection.close()
		if n == 0 {
			return Result{Reply: NotRunReply(q, encoder.ReasonConnectionLost), ConnectionLost: true}
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			// The target accepted no more bytes until the deadline, so the other connections may be silent too.
			c.dropIdle()
		}
		return c.failAttempt(connection, q, encoder.ReasonConnectionLost, deadline)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	raw, err := connection.await(ctx, p)
	switch {
	case err == nil:
		return c.acceptReply(connection, q, raw, deadline)
	case errors.Is(err, errConnectionClosed):
		return c.failAttempt(connection, q, encoder.ReasonConnectionLost, deadline)
	case errors.Is(err, context.DeadlineExceeded):
		return Result{
			Reply: UnknownReply(q, encoder.ReasonDeadlineExceeded), Sent: true,
			AttemptEnded: c.cancelAndReclaim(connection, p, q, deadline, true),
		}
	default:
		return Result{
			Reply: UnknownReply(q, encoder.ReasonCancelled), Sent: true,
			AttemptEnded: c.cancelAndReclaim(connection, p, q, deadline, false),
		}
	}
}

// acceptReply converts the reply of a target into a result. A reply that does not belong to the sub-query fails the
// attempt.
func (c *Connector) acceptReply(connection *Connection, q encoder.SubQuery, raw []byte, deadline time.Time) Result {
	reply, reason := c.decodeAndRelease(connection, q, raw)
	if reason != encoder.ReasonNone {
		return c.failAttempt(connection, q, reason, deadline)
	}
	return Result{Reply: reply, Sent: true, Replied: true}
}

// decodeAndRelease decodes a reply and checks that it belongs to the sub-query. It then releases the connection, or
// closes it if the check fails or the reply comes from another incarnation.
func (c *Connector) decodeAndRelease(connection *Connection, q encoder.SubQuery, raw []byte) (encoder.SubReply, encoder.Reason) {
	reply, err := encoder.Decode[encoder.SubReply](raw)
	if err != nil {
		connection.close()
		return reply, encoder.ReasonTargetError
	}
	if !Matches(q, reply) {
		c.scope.Counter("target-replies-mismatched").Inc(1)
		c.events.Record(recorder.KindReplyDropped, c.target, "", "mismatched reply to attempt "+q.Attempt)
		connection.close()
		return reply, encoder.ReasonMismatch
	}
	connection.recordState(reply.State)
	if reply.Incarnation != connection.Incarnation() {
		connection.close()
	}
	c.Release(connection)
	return reply, encoder.ReasonNone
}

// failAttempt closes the connection of an attempt that may have run, and cancels the attempt in the background.
func (c *Connector) failAttempt(connection *Connection, q encoder.SubQuery, reason encoder.Reason, deadline time.Time) Result {
	lost := connection.closedByRemote.Load()
	connection.close()
	attemptEnded := make(chan *encoder.SubReply)
	spawned := c.startTask(func() {
		defer close(attemptEnded)
		if c.Cancel(c.ctx, []string{q.Attempt}) != nil {
			c.sleepUntil(deadline)
		}
	})
	if !spawned {
		close(attemptEnded)
	}
	return Result{Reply: UnknownReply(q, reason), Sent: true, ConnectionLost: lost, AttemptEnded: attemptEnded}
}

// cancelAndReclaim cancels an attempt on the control connection and waits up to cancelTimeout for its reply, in the
// background. The reply normally arrives by then and leaves the connection usable; otherwise the connection is closed.
// A connection is silent if its attempt has exceeded the deadline and no byte was received on it by the end of
// cancelTimeout. The silence may affect the other connections too.
func (c *Connector) cancelAndReclaim(connection *Connection, p *pendingRequest, q encoder.SubQuery, deadline time.Time, expired bool) <-chan *encoder.SubReply {
	c.scope.Counter("target-attempts-cancelled").Inc(1)
	attemptEnded := make(chan *encoder.SubReply, 1)
	cancelled := make(chan bool, 1)
	spawned := c.startTask(func() {
		defer close(attemptEnded)
		c.tasks.Go(func() { cancelled <- c.Cancel(c.ctx, []string{q.Attempt}) == nil })
		ctx, cancel := context.WithTimeout(c.ctx, cancelTimeout)
		defer cancel()
		raw, err := connection.await(ctx, p)
		if err == nil {
			if reply, reason := c.decodeAndRelease(connection, q, raw); reason == encoder.ReasonNone {
				attemptEnded <- &reply
				return
			}
		}
		silent := expired && connection.IsOpen() && !connection.bytesReceived.Load()
		connection.close()
		ended := silent && c.dropSilentConnections(q.Attempt) || !silent && <-cancelled
		if !ended {
			c.sleepUntil(deadline)
		}
	})
	if !spawned {
		connection.close()
		close(attemptEnded)
	}
	return attemptEnded
}

// sleepUntil waits for the deadline of an attempt that could not be cancelled. The target ends the attempt by then.
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

// NotRunReply returns the reply for a sub-query that has not run, because no byte of it was sent.
func NotRunReply(q encoder.SubQuery, reason encoder.Reason) encoder.SubReply {
	return unansweredReply(q, encoder.OutcomeNotRun, reason)
}

// UnknownReply returns the reply for a sub-query that may have run.
func UnknownReply(q encoder.SubQuery, reason encoder.Reason) encoder.SubReply {
	return unansweredReply(q, encoder.OutcomeUnknown, reason)
}

func unansweredReply(q encoder.SubQuery, outcome encoder.Outcome, reason encoder.Reason) encoder.SubReply {
	return encoder.SubReply{
		Attempt: q.Attempt, Target: q.Target, Index: q.Index, Version: q.Version, Shard: q.Shard,
		State: encoder.LoadStateCold, Outcome: outcome, Reason: reason, Hits: []encoder.Hit{},
	}
}
