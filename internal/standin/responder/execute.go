package responder

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"apricotflow/internal/standin/hasher"
	"apricotflow/internal/standin/replier"
	"apricotflow/internal/wire/encoder"
)

// errCancelled is the cause of a context whose attempt was cancelled by the sender.
var errCancelled = errors.New("cancelled")

func (t *Responder) serveExecute(w http.ResponseWriter, r *http.Request) {
	// The deadline counts from the arrival, before the request is read.
	deadline := time.Now()
	q, ok := replier.ReadRequest[encoder.SubQuery](w, r)
	if !ok {
		return
	}
	deadline = deadline.Add(time.Duration(q.DeadlineMs) * time.Millisecond)
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	t.registerAttempt(q.Attempt, cancel)
	defer t.unregisterAttempt(q.Attempt)
	if !t.awaitNetwork(r) {
		return
	}
	reply, status := t.execute(ctx, q, deadline)
	if t.awaitNetwork(r) {
		replier.WriteReply(w, status, reply)
	}
}

func (t *Responder) registerAttempt(attempt string, cancel context.CancelCauseFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancelFuncs[attempt] = cancel
}

func (t *Responder) unregisterAttempt(attempt string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.cancelFuncs, attempt)
}

func (t *Responder) execute(ctx context.Context, q encoder.SubQuery, deadline time.Time) (encoder.SubReply, int) {
	serviceTime, reason := t.admit(ctx, q, deadline)
	if reason != encoder.ReasonNone {
		status := http.StatusOK
		if reason == encoder.ReasonShed {
			status = http.StatusServiceUnavailable
		}
		return t.newReply(q, encoder.OutcomeNotRun, reason), status
	}
	runCtx, stop := context.WithDeadline(ctx, deadline)
	defer stop()
	completed := t.wait(runCtx, serviceTime)
	t.finish(completed)
	switch {
	case completed:
		return t.newReply(q, encoder.OutcomeAnswered, encoder.ReasonNone), http.StatusOK
	case errors.Is(context.Cause(ctx), errCancelled):
		return t.newReply(q, encoder.OutcomeUnknown, encoder.ReasonCancelled), http.StatusOK
	default:
		return t.newReply(q, encoder.OutcomeUnknown, encoder.ReasonDeadlineExceeded), http.StatusOK
	}
}

// admit admits a sub-query and returns its service time, or the reason for which it is refused.
func (t *Responder) admit(ctx context.Context, q encoder.SubQuery, deadline time.Time) (time.Duration, encoder.Reason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if reason := t.refusalReason(ctx, q, deadline); reason != encoder.ReasonNone {
		t.counts.NotRun[reason]++
		return 0, reason
	}
	if t.state() == encoder.LoadStateCold && t.inFlight >= t.settings.ColdLimit {
		if t.coldAnnounced {
			t.counts.ColdOverload++
		} else {
			t.counts.ColdUnannounced++
		}
		t.slowUntil = time.Now().Add(overloadSlowDuration)
	}
	t.inFlight++
	t.counts.InFlightMax = max(t.counts.InFlightMax, t.inFlight)
	t.counts.Executed++
	t.counts.LastExecuteMs = int(time.Since(t.startTime).Milliseconds())
	t.runsByAttempt[q.Attempt]++
	if !q.Idempotent {
		t.counts.NonIdempotentRuns[q.Text]++
	}
	t.recordSample()
	return t.randomServiceTime(), encoder.ReasonNone
}

// refusalReason returns the reason for which a sub-query must not run, or ReasonNone, and counts it if the target sheds
// it. The caller must hold t.mu.
func (t *Responder) refusalReason(ctx context.Context, q encoder.SubQuery, deadline time.Time) encoder.Reason {
	switch {
	case q.Target != t.settings.Name:
		return encoder.ReasonMismatch
	case ctx.Err() != nil:
		return encoder.ReasonCancelled
	case t.draining:
		return encoder.ReasonDraining
	case !slices.Contains(t.versions, encoder.HeldVersion{Index: q.Index, Version: q.Version}):
		return encoder.ReasonVersionMissing
	case !time.Now().Before(deadline):
		return encoder.ReasonDeadlineExceeded
	case t.inFlight >= t.settings.Slots:
		t.counts.OverSlots++
		t.counts.Shed++
		return encoder.ReasonShed
	default:
		return encoder.ReasonNone
	}
}

func (t *Responder) finish(completed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	if completed {
		t.coldAnswersLeft--
	}
	t.recordSample()
}

func (t *Responder) newReply(q encoder.SubQuery, outcome encoder.Outcome, reason encoder.Reason) encoder.SubReply {
	t.mu.Lock()
	state := t.state()
	t.coldAnnounced = t.coldAnnounced || state == encoder.LoadStateCold
	t.mu.Unlock()
	reply := encoder.SubReply{
		Attempt: q.Attempt, Target: t.settings.Name, Incarnation: t.settings.Incarnation, State: state,
		Outcome: outcome, Reason: reason, Index: q.Index, Version: q.Version, Shard: q.Shard, Hits: []encoder.Hit{},
	}
	if outcome == encoder.OutcomeAnswered {
		reply.Hits = hasher.Hits(q.Index, q.Version, q.Shard, q.Text, q.Limit)
		reply.Documents = hasher.DocumentCount(q.Index, q.Version, q.Shard)
	}
	return reply
}
