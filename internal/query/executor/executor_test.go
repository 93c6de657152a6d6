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

// withFirstReplica gives the first replica of shard 0 the behaviour b; all others answer.
func withFirstReplica(b behaviour) func(encoder.SubQuery) behaviour {
	return func(q encoder.SubQuery) behaviour {
		if q.Target == "r0-0" {
			return b
		}
		return answers
	}
}

func delayed(b behaviour, delay time.Duration) behaviour {
	b.delay = delay
	return b
}

// A slow target must not determine the latency of the query, and its attempt must be cancelled so that it does not keep
// its slot.
func TestAttemptIsHedgedAndCancelledWhenTargetIsSlow(t *testing.T) {
	behaviours := map[string]behaviour{"r0-0": delayed(answers, 80*time.Millisecond), "r0-1": answers, "r1-0": delayed(answers, 20*time.Millisecond)}
	h := newHarness(1, func(q encoder.SubQuery) behaviour { return behaviours[q.Target] })
	reply, took := h.run(t, 2, 2, search("q"))
	assert.Equal(t, took, 20*time.Millisecond)
	assert.Equal(t, reply.Outcome, encoder.QueryOutcomeComplete)
	assert.DeepEqual(t, h.cancelled, []string{h.sent[0].Attempt})
	assert.Equal(t, h.cancelledAt, h.sentAt.Add(hedgeDelay+answers.delay), "not cancelled with the answer of its shard")
	// Hedges are normal work: an event for each would hide everything else in the timeline.
	events, _ := h.Events(0)
	assert.Equal(t, len(events), 0)
}

// A hedge must not be sent without budget, nor before the delay has passed since a retry.
func TestHedgeIsSentOnlyWithBudgetAndAfterDelay(t *testing.T) {
	h := newHarness(0, withFirstReplica(delayed(answers, 15*time.Millisecond)))
	reply, _ := h.run(t, 3, 2, search("q"))
	assert.Assert(t, reply.Outcome == encoder.QueryOutcomeComplete && len(h.sent) == 3)
	h = newHarness(9, withFirstReplica(delayed(refuses(encoder.ReasonTargetDown, false), 9*time.Millisecond)))
	reply, _ = h.run(t, 3, 3, search("q"))
	assert.Assert(t, reply.Outcome == encoder.QueryOutcomeComplete && len(h.sent) == 4)
}

// A lost replica or a closed failure domain must not reduce coverage, even with an empty budget.
func TestRetryNeedsNoBudgetWhenNoByteReachedATarget(t *testing.T) {
	reply, _ := newHarness(0, withFirstReplica(refuses(encoder.ReasonTargetDown, false))).run(t, 3, 2, search("q"))
	assert.Equal(t, reply.Outcome, encoder.QueryOutcomeComplete)
}

// Retries of sub-queries that targets shed need budget, since they would multiply an overload.
func TestRetryNeedsBudgetWhenTargetWasReached(t *testing.T) {
	h := newHarness(0, withFirstReplica(refuses(encoder.ReasonShed, true)))
	reply, _ := h.run(t, 3, 2, search("q"))
	assert.Equal(t, reply.Outcome, encoder.QueryOutcomePartial)
	assert.DeepEqual(t, reply.Missing, []encoder.MissingShard{{Shard: "s0", Outcome: "not-run", Reason: encoder.ReasonBudgetEmpty}})
	assert.Assert(t, h.hasQueryEvent(recorder.KindQueryPartial))
	reply, _ = newHarness(1, withFirstReplica(refuses(encoder.ReasonShed, true))).run(t, 3, 2, search("q"))
	assert.Equal(t, reply.Outcome, encoder.QueryOutcomeComplete)
}

// A target that never answers must not delay the answer beyond the deadline, and the replies of the others must be
// kept.
func TestPartialAnswerComesBeforeDeadlineWhenTargetIsSilent(t *testing.T) {
	for _, request := range []encoder.QueryRequest{search("q"), order("q")} {
		h := newHarness(0, withFirstReplica(behaviour{delay: time.Hour, outcome: encoder.OutcomeUnknown}))
		reply, took := h.run(t, 3, 1, request)
		assert.Assert(t, took < deadline && took > deadline/2)
		assert.Equal(t, reply.Outcome, encoder.QueryOutcomePartial)
		assert.Equal(t, reply.Coverage.DocumentsAnswered, 20)
		assert.DeepEqual(t, reply.Missing, []encoder.MissingShard{{Shard: "s0", Outcome: "unknown", Reason: encoder.ReasonDeadlineExceeded}})
		assert.Assert(t, h.sent[0].DeadlineMs < int(deadline.Milliseconds()))
	}
}

// A query must restart at another version instead of mixing shards of two versions, which would break the snapshot.
func TestQueryRestartsWhenVersionIsMissing(t *testing.T) {
	h := newHarness(1, func(q encoder.SubQuery) behaviour {
		if q.Version == 2 && strings.HasPrefix(q.Target, "r0-") {
			return refuses(encoder.ReasonVersionMissing, true)
		}
		return answers
	})
	reply, _ := h.run(t, 3, 2, search("q"))
	assert.Assert(t, reply.Outcome == encoder.QueryOutcomeComplete && reply.Snapshot.Version == 1)
	assert.Assert(t, h.hasQueryEvent(recorder.KindQueryRestarted))
	assert.Equal(t, h.needed, 6)
}

// A restart with too little time left would turn a partial answer into none.
func TestQueryDoesNotRestartWhenLittleTimeIsLeft(t *testing.T) {
	h := newHarness(0, withFirstReplica(delayed(refuses(encoder.ReasonVersionMissing, true), 60*time.Millisecond)))
	reply, _ := h.run(t, 3, 1, search("q"))
	assert.Assert(t, reply.Outcome == encoder.QueryOutcomePartial && reply.Snapshot.Version == 2)
}

// A non-idempotent sub-query that may have reached a target must not be sent again, not even to another replica.
func TestNonIdempotentSubQueryIsSentOnceWhenTargetWasReached(t *testing.T) {
	for _, b := range append([]behaviour{delayed(answers, time.Hour)}, faults...) {
		h := newHarness(100, func(encoder.SubQuery) behaviour { return b })
		reply, _ := h.run(t, 1, 3, order("q"))
		reached := b.targetReplied || b.outcome != encoder.OutcomeNotRun
		assert.Assert(t, (len(h.sent) == 1) == reached && len(h.cancelled) == 0)
		assert.Equal(t, reply.Outcome == encoder.QueryOutcomeNotRun, b.outcome == encoder.OutcomeNotRun)
	}
}

// A non-idempotent sub-query must go to another replica if the first one is down before any byte was sent.
func TestNonIdempotentSubQueryIsRetriedWhenNoByteReachedATarget(t *testing.T) {
	h := newHarness(0, withFirstReplica(behaviour{outcome: encoder.OutcomeNotRun, reason: encoder.ReasonTargetDown, copies: 1}))
	reply, _ := h.run(t, 1, 3, order("q"))
	assert.Equal(t, reply.Outcome, encoder.QueryOutcomeComplete)
	assert.Equal(t, len(h.sent), 2)
}

// A query whose caller has left must not keep its slots, but a non-idempotent one that was sent must not be cancelled.
func TestOnlyIdempotentQueriesAreCancelledWhenCallerLeaves(t *testing.T) {
	for _, request := range []encoder.QueryRequest{search("q"), order("q")} {
		h := newHarness(0, func(encoder.SubQuery) behaviour { return delayed(answers, 50*time.Millisecond) })
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
			defer cancel()
			e := h.executor(newConfiguration(2, 1))
			reply, err := e.Execute(ctx, request)
			assert.NilError(t, err)
			assert.NilError(t, e.Drain(t.Context()))
			assert.Equal(t, reply.Outcome == encoder.QueryOutcomeComplete, request.QueryClass == "order")
		})
		assert.Equal(t, len(h.cancelled) == 2, request.QueryClass == "search")
	}
}

// A panic while one batch is sent must end neither the process nor the query.
func TestOnlyBatchIsLostWhenRouterPanics(t *testing.T) {
	reply, _ := newHarness(0, withFirstReplica(behaviour{outcome: encoder.OutcomeUnknown, panics: true})).run(t, 1, 1, search("q"))
	assert.Assert(t, reply.Outcome == encoder.QueryOutcomeUnknown && reply.Missing[0].Reason == encoder.ReasonTargetError)
}

// A keyed query must report the coverage of its own shard only, or it would never be complete.
func TestKeyedQueryIsCompleteWhenItsShardAnswers(t *testing.T) {
	key := "k"
	h := newHarness(0, func(encoder.SubQuery) behaviour { return answers })
	reply, _ := h.run(t, 4, 1, encoder.QueryRequest{QueryClass: "lookup", Key: &key})
	assert.Equal(t, reply.Outcome, encoder.QueryOutcomeComplete)
	assert.Equal(t, reply.Coverage, encoder.Coverage{Shards: 1, ShardsAnswered: 1, Documents: 10, DocumentsAnswered: 10})
	assert.Equal(t, h.sent[0].Key, key)
}

// A non-idempotent query without a ticket must be refused, since it could run twice if the caller resends it.
func TestNonIdempotentQueryIsRefusedWithoutTicket(t *testing.T) {
	h := newHarness(0, func(encoder.SubQuery) behaviour { return answers })
	request := order("q")
	request.Ticket = nil
	_, err := h.executor(newConfiguration(1, 1)).Execute(t.Context(), request)
	assert.ErrorType(t, err, &executor.TicketRequiredError{})
	assert.Equal(t, len(h.sent), 0)
}
