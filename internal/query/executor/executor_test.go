package executor_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/query/executor"
	"apricotflow/internal/wire/encoder"
)

func refuses(reason encoder.Reason, reached bool) behaviour {
	return behaviour{outcome: encoder.OutcomeNotRun, reason: reason, reached: reached}
}

// firstReplica gives the first replica of shard 0 a behaviour of its own.
func firstReplica(b behaviour) func(encoder.SubQuery) behaviour {
	return func(q encoder.SubQuery) behaviour {
		if q.Target == "r0-0" {
			return b
		}
		return answers
	}
}

// A straggler must not determine the latency of the query, and the attempt that lost must not keep its slot.
func TestStragglerIsHedgedAndCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := answers
		slow.delay = 80 * time.Millisecond
		w := newWorld(1, firstReplica(slow))
		e := w.executor(newConfiguration(3, 2))
		started := time.Now()
		reply, err := e.Execute(t.Context(), search("q"))
		assert.NilError(t, err)
		assert.Equal(t, time.Since(started), hedgeDelay+answers.delay)
		assert.Equal(t, reply.Outcome, encoder.QueryOutcomeComplete)
		synctest.Wait()
		assert.DeepEqual(t, w.cancelled, []string{w.sent[0].Attempt})
		assert.Assert(t, w.has(recorder.KindQueryHedged))
		assert.NilError(t, e.Drain(t.Context()))
	})
}

// A hedge must not be sent without budget, nor for a retry that has only just been sent.
func TestHedgeNeedsBudgetAndDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow, refused := answers, refuses(encoder.ReasonTargetDown, false)
		slow.delay, refused.delay = 15*time.Millisecond, 9*time.Millisecond
		w := newWorld(0, firstReplica(slow))
		assert.Equal(t, run(t, w, newConfiguration(3, 2), search("q")).Outcome, encoder.QueryOutcomeComplete)
		assert.Equal(t, len(w.sent), 3)
		w = newWorld(9, firstReplica(refused))
		assert.Equal(t, run(t, w, newConfiguration(3, 3), search("q")).Outcome, encoder.QueryOutcomeComplete)
		assert.Equal(t, len(w.sent), 4)
	})
}

// A lost replica or a closed failure domain must cost no coverage, also with an empty budget.
func TestRefusalBeforeTheFirstByteIsRetriedWithoutBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(0, firstReplica(refuses(encoder.ReasonTargetDown, false)))
		assert.Equal(t, run(t, w, newConfiguration(3, 2), search("q")).Outcome, encoder.QueryOutcomeComplete)
	})
}

// Retries of sub-queries that targets shed would multiply an overload.
func TestRetryAfterATargetWasReachedNeedsBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(0, firstReplica(refuses(encoder.ReasonShed, true)))
		reply := run(t, w, newConfiguration(3, 2), search("q"))
		assert.Equal(t, reply.Outcome, encoder.QueryOutcomePartial)
		assert.DeepEqual(t, reply.Missing, []encoder.MissingShard{{Shard: "s0", Outcome: "not-run", Reason: encoder.ReasonBudgetEmpty}})
		assert.Assert(t, w.has(recorder.KindQueryPartial))
		w = newWorld(1, firstReplica(refuses(encoder.ReasonShed, true)))
		assert.Equal(t, run(t, w, newConfiguration(3, 2), search("q")).Outcome, encoder.QueryOutcomeComplete)
	})
}

// A target that never answers must not delay the answer beyond the deadline, and what answered must be kept.
func TestAnswerComesBeforeTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := behaviour{delay: time.Hour, outcome: encoder.OutcomeUnknown, silent: true}
		for _, request := range []encoder.QueryRequest{search("q"), order("q")} {
			w := newWorld(0, firstReplica(silent))
			started := time.Now()
			reply, err := w.executor(newConfiguration(3, 1)).Execute(t.Context(), request)
			assert.NilError(t, err)
			assert.Assert(t, time.Since(started) < deadline && time.Since(started) > deadline/2)
			assert.Equal(t, reply.Outcome, encoder.QueryOutcomePartial)
			assert.Equal(t, reply.Coverage.DocumentsAnswered, 20)
			assert.DeepEqual(t, reply.Missing, []encoder.MissingShard{{Shard: "s0", Outcome: "unknown", Reason: encoder.ReasonDeadlineExceeded}})
			synctest.Wait()
			for _, q := range w.sent {
				assert.Assert(t, q.DeadlineMs < int(deadline.Milliseconds()))
			}
		}
	})
}

// Mixing shards of a version that is gone with those of the next one would break the snapshot.
func TestQueryRestartsWhenAVersionIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, func(q encoder.SubQuery) behaviour {
			if q.Version == 2 && strings.HasPrefix(q.Target, "r0-") {
				return refuses(encoder.ReasonVersionMissing, true)
			}
			return answers
		})
		reply := run(t, w, newConfiguration(3, 2), search("q"))
		assert.Equal(t, reply.Outcome, encoder.QueryOutcomeComplete)
		assert.Equal(t, reply.Snapshot.Version, 1)
		assert.Assert(t, w.has(recorder.KindQueryRestarted))
		assert.Equal(t, w.needed, 6)
	})
}

// A restart with too little time left would turn a partial answer into none.
func TestNoRestartLateInTheQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(0, func(q encoder.SubQuery) behaviour {
			if q.Target == "r0-0" {
				b := refuses(encoder.ReasonVersionMissing, true)
				b.delay = 60 * time.Millisecond
				return b
			}
			return answers
		})
		reply := run(t, w, newConfiguration(3, 1), search("q"))
		assert.Equal(t, reply.Outcome, encoder.QueryOutcomePartial)
		assert.Equal(t, reply.Snapshot.Version, 2)
	})
}

// A non-idempotent sub-query that was refused or lost must not be sent again, not even to another replica.
func TestNonIdempotentIsDispatchedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, b := range []behaviour{
			refuses(encoder.ReasonTargetDown, false), refuses(encoder.ReasonShed, true), refuses(encoder.ReasonVersionMissing, true),
			{outcome: encoder.OutcomeUnknown, reason: encoder.ReasonConnectionLost},
			{delay: time.Hour, outcome: encoder.OutcomeUnknown},
		} {
			w := newWorld(100, func(encoder.SubQuery) behaviour { return b })
			reply := run(t, w, newConfiguration(1, 3), order("q"))
			assert.Equal(t, len(w.sent), 1)
			assert.Equal(t, len(w.cancelled), 0)
			want := encoder.QueryOutcomeUnknown
			if b.outcome == encoder.OutcomeNotRun {
				want = encoder.QueryOutcomeNotRun
			}
			assert.Equal(t, reply.Outcome, want)
		}
	})
}

// The work of a caller that has left would use slots for nothing, but an order that was sent must not be cancelled.
func TestCallerThatLeavesCancelsOnlyIdempotentQueries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := answers
		slow.delay = 50 * time.Millisecond
		for _, request := range []encoder.QueryRequest{search("q"), order("q")} {
			w := newWorld(0, func(encoder.SubQuery) behaviour { return slow })
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
			reply, err := w.executor(newConfiguration(2, 1)).Execute(ctx, request)
			cancel()
			assert.NilError(t, err)
			synctest.Wait()
			if request.QueryClass == "order" {
				assert.Equal(t, reply.Outcome, encoder.QueryOutcomeComplete)
				assert.Equal(t, len(w.cancelled), 0)
				continue
			}
			assert.Equal(t, reply.Outcome, encoder.QueryOutcomeUnknown)
			assert.Equal(t, len(w.cancelled), 2)
		}
	})
}

// A panic while one batch is sent must not end the process or the query.
func TestPanicInTheRouterLosesOnlyItsBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(0, firstReplica(behaviour{outcome: encoder.OutcomeUnknown, panics: true}))
		reply := run(t, w, newConfiguration(1, 1), search("q"))
		assert.Equal(t, reply.Outcome, encoder.QueryOutcomeUnknown)
		assert.Equal(t, reply.Missing[0].Reason, encoder.ReasonTargetError)
	})
}

// A non-idempotent query without a ticket could run twice when the caller resends it.
func TestNonIdempotentNeedsATicket(t *testing.T) {
	w := newWorld(0, func(encoder.SubQuery) behaviour { return answers })
	request := order("q")
	request.Ticket = nil
	_, err := w.executor(newConfiguration(1, 1)).Execute(t.Context(), request)
	assert.ErrorType(t, err, &executor.TicketError{})
	assert.Equal(t, len(w.sent), 0)
}
