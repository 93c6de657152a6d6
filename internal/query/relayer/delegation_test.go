package relayer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/query/relayer"
	"apricotflow/internal/standin/httpresponder"
)

// strand cuts the instance off from all targets: nothing answers, and probes fail. Requests that wait notice it.
func (f *fixture) strand(t *testing.T) {
	t.Helper()
	f.cutOff = map[string]bool{"": true}
	for service := range f.targets {
		f.setBehaviour(service, httpresponder.Hang)
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go f.prober.Run(ctx)
}

// strandNoticed strands the instance and waits until it has noticed.
func (f *fixture) strandNoticed(t *testing.T) {
	t.Helper()
	f.strand(t)
	f.prober.Begin(domain)
	time.Sleep(time.Second)
	assert.Assert(t, !f.prober.Reachable(domain))
}

// Guards against callers being refused by an instance that reaches no target, although others do.
func TestRequestIsHandedOverWhenTargetsAreOutOfReach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, "s0", "s1")
		f.strandNoticed(t)
		f.delegator.takes = true
		answer, took := f.relay(shardedRoute(0.5, "s0", "s1"), "r1")
		assert.DeepEqual(t, answer.Signatures, []string{"from another instance"})
		assert.Equal(t, took, time.Duration(0))
		assert.Equal(t, f.delegator.requests[0].PriorRuns, 0)
		_, _ = f.relay(singleRoute(false), "r2")
		assert.Equal(t, len(f.delegator.requests), 2)
		assert.Equal(t, f.runsOfS0(), 0)
	})
}

// Guards against requests that go from instance to instance, and against those that wait although no instance takes them.
func TestRequestIsRefusedAtOnceWhenNobodyTakesIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, "s0", "s1")
		f.strandNoticed(t)
		answer, took := f.relay(singleRoute(true), "r1")
		assert.Equal(t, answer.Outcome, relayer.NotRun)
		assert.Equal(t, took, time.Duration(0))
		assert.Equal(t, len(f.delegator.requests), 1)
		f.delegator.takes = true
		request := f.request(singleRoute(true), "r2")
		request.Delegated = true
		assert.Equal(t, f.relayer.Relay(t.Context(), request).Outcome, relayer.NotRun)
		assert.Equal(t, len(f.delegator.requests), 1)
	})
}

// Guards against changes to a calm day: while all failure domains are in reach, nothing is handed over, whatever else is
// wrong.
func TestNothingIsHandedOverWhenAllDomainsAreInReach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, "s0", "s1")
		f.delegator.takes = true
		f.setBehaviour("s0", httpresponder.Shed)
		_, _ = f.relay(shardedRoute(1, "s0", "s1"), "r1")
		_, _ = f.relay(shardedRoute(1, "s0", "unknown"), "r2")
		assert.Equal(t, len(f.delegator.requests), 0)
	})
}

// Guards against requests that were sent just before the targets went out of reach and wait for their deadline. They are
// handed over as repetitions, with one run less, unless they must not run twice.
func TestRequestInFlightIsHandedOverWhenReachIsLost(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, 3, "s0")
			f.delegator.takes = true
			f.strand(t)
			answer, took := f.relay(singleRoute(idempotent), "r1")
			if !idempotent {
				assert.Equal(t, answer.Outcome, relayer.TimedOut)
				assert.Equal(t, len(f.delegator.requests), 0)
				return
			}
			assert.DeepEqual(t, answer.Signatures, []string{"from another instance"})
			assert.Assert(t, took < timeout, took)
			assert.Equal(t, f.delegator.requests[0].PriorRuns, 1)
		})
	}
}

// Guards against requests to a target that leaves from an instance that has passed on its answer, which another instance has
// received.
func TestTargetThatLeavesGetsNothingAfterHandedOverAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 3, "s0")
		f.delegator.takes = true
		f.delegator.answer.Leaving = []relayer.Departure{{Target: "s0-1"}}
		f.strandNoticed(t)
		_, _ = f.relay(singleRoute(true), "r1")
		assert.Assert(t, !f.registrar.View().IsServing("s0-1"))
		assert.Assert(t, f.registrar.View().IsServing("s0-0"))
	})
}

// Guards against a promise that a request has not run, which holds for the other instance only.
func TestRequestInFlightIsNotToldAsNotRunWhenItIsRefusedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 3, "s0")
		f.delegator.takes, f.delegator.answer = true, relayer.Answer{Outcome: relayer.NotRun}
		f.strand(t)
		answer, _ := f.relay(singleRoute(true), "r1")
		assert.Equal(t, len(f.delegator.requests), 1)
		assert.Equal(t, answer.Outcome, relayer.Failed)
	})
}

// Guards against repetitions over the hop that exceed what targets may be sent: the runs before count, and each request is
// taken from the budget for retries.
func TestHandedOverRepetitionKeepsRunsAndBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 3, "s0", "s1")
		f.limits.Ratio, f.limits.Slack = 0, 2.5
		f.buildRelayer()
		for i := range 4 {
			request := f.request(shardedRoute(1, "s0", "s1"), "r")
			request.Delegated, request.PriorRuns = true, 1
			answer := f.relayer.Relay(t.Context(), request)
			assert.Equal(t, answer.Outcome == relayer.Merged, i < 2)
		}
		runs := f.runsOfS0()
		assert.Equal(t, runs, 2)
		// A hedge or retry would be the third run.
		f.limits.Slack = 100
		f.buildRelayer()
		f.setBehaviour("s0", httpresponder.Hang)
		request := f.request(singleRoute(true), "single")
		request.Delegated, request.PriorRuns = true, 1
		assert.Assert(t, f.relayer.Relay(t.Context(), request).Outcome != relayer.Relayed)
		assert.Equal(t, f.runsOfS0(), runs+1)
	})
}

// Guards against an instance that reaches some failure domains and hands over what it could serve itself, or keeps what it
// cannot.
func TestOnlyRequestsThatNeedTargetsOutOfReachAreHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, "s0")
		f.delegator.takes = true
		change := registrar.Change{Position: registrar.Position{Revision: 2}}
		for _, id := range []string{"far-0", "far-1", "far-2"} {
			far := f.startTarget(id, records(100, 10))
			change.Put = append(change.Put, registrar.Target{ID: id, Service: "s1", Address: far.Address(), FailureDomain: "west", Slots: 4})
		}
		f.registrar.Apply(change, true)
		f.cutOff = map[string]bool{"far": true}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.prober.Run(ctx)
		f.prober.Begin("west")
		time.Sleep(time.Second)
		assert.Assert(t, !f.prober.Reachable("west") && f.prober.Reachable(domain))
		own, _ := f.relay(singleRoute(true), "r1")
		assert.Equal(t, own.Outcome, relayer.Relayed)
		partial, _ := f.relay(shardedRoute(0.5, "s0", "s1"), "r2")
		assert.Equal(t, partial.Missing, 1)
		assert.Equal(t, len(f.delegator.requests), 0)
		whole, _ := f.relay(shardedRoute(1, "s0", "s1"), "r3")
		assert.DeepEqual(t, whole.Signatures, []string{"from another instance"})
	})
}
