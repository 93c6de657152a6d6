package relayer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/query/relayer"
	"apricotflow/internal/standin/httpresponder"
)

// A non-idempotent request that may have run must not be sent again, nor be reported as not run.
func TestNonIdempotentRequestRunsOnceWhenTargetFails(t *testing.T) {
	for name, behaviour := range map[string]httpresponder.Behaviour{
		"reset": httpresponder.Reset, "garbled": httpresponder.Garble, "truncated": httpresponder.Truncate, "failed": httpresponder.Fail, "silent": httpresponder.Hang,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 3, "s0")
				f.setBehaviour("s0", behaviour)
				answer, _ := f.relay(singleRoute(false), "r1")
				assert.Assert(t, answer.Outcome != relayer.NotRun)
				assert.Equal(t, f.runsOfS0(), 1)
			})
		})
	}
}

// A request that one target sheds must be sent to another one.
func TestRequestGoesToAnotherTargetWhenTargetSheds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, "s0")
		f.targets["s0"][0].SetFixedBehaviour(httpresponder.Shed, 0)
		for i := range 6 {
			answer, _ := f.relay(singleRoute(false), "r"+string(rune('a'+i)))
			assert.Equal(t, answer.Outcome, relayer.Relayed)
			assert.Equal(t, answer.Reply.Status, 200)
		}
		assert.Equal(t, f.runsOfS0(), 6)
	})
}

// A request that all targets shed has not run, and must be refused with a retry delay.
func TestRequestIsNotRunWhenAllTargetsShed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, "s0")
		f.setBehaviour("s0", httpresponder.Shed)
		answer, _ := f.relay(singleRoute(false), "r1")
		assert.Equal(t, answer.Outcome, relayer.NotRun)
		assert.Assert(t, answer.RetryAfter > 0)
		assert.Equal(t, f.runsOfS0(), 0)
	})
}

// The failure reply of a target must be passed on unchanged when no other target is left.
func TestServerErrorIsRelayedWhenNoOtherTargetIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, "s0")
		f.setBehaviour("s0", httpresponder.Fail)
		answer, _ := f.relay(singleRoute(true), "r1")
		assert.Equal(t, answer.Outcome, relayer.Relayed)
		assert.Equal(t, answer.Reply.Status, 500)
		assert.Equal(t, string(answer.Reply.Body), "failed")
	})
}

// An idempotent request must be answered by another target when a reply is lost.
func TestIdempotentRequestIsRetriedWhenReplyIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, "s0")
		f.targets["s0"][0].SetFixedBehaviour(httpresponder.Reset, 0)
		f.targets["s0"][1].SetFixedBehaviour(httpresponder.Answer, 0)
		for i := range 4 {
			answer, _ := f.relay(singleRoute(true), "r"+string(rune('a'+i)))
			assert.Equal(t, answer.Outcome, relayer.Relayed)
			assert.Equal(t, answer.Reply.Status, 200)
		}
	})
}

// A request that is still running at its deadline must be answered then, and not later.
func TestRequestTimesOutAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, "s0")
		f.setBehaviour("s0", httpresponder.Hang)
		answer, took := f.relay(singleRoute(true), "r1")
		assert.Equal(t, answer.Outcome, relayer.TimedOut)
		assert.Assert(t, took >= timeout && took < timeout+100*time.Millisecond, took)
	})
}

// After one misdirected request, a target must get no more work at an address that another target now uses.
func TestTargetIsAvoidedWhenItsAddressIsReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, "s0")
		stranger := f.startTarget("stranger", nil)
		gone := f.targets["s0"][0]
		f.registrar.Apply(registrar.Change{Put: []registrar.Target{{
			ID: gone.ID(), Service: "s0", Address: stranger.Address(), FailureDomain: domain, Slots: 4,
		}}}, true)
		for i := range 10 {
			answer, _ := f.relay(singleRoute(true), "r"+string(rune('a'+i)))
			assert.Equal(t, answer.Outcome, relayer.Relayed)
		}
		assert.Assert(t, len(stranger.Received()) <= 1, len(stranger.Received()))
		assert.Equal(t, stranger.RunCount(), 0)
	})
}

// A draining target must get no new requests.
func TestTargetGetsNoNewWorkWhenDraining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, "s0")
		leaving := f.targets["s0"][0]
		f.registrar.Apply(registrar.Change{Put: []registrar.Target{{
			ID: leaving.ID(), Service: "s0", Address: leaving.Address(), FailureDomain: domain, Slots: 4, Draining: true,
		}}}, true)
		for i := range 10 {
			f.relay(singleRoute(true), "r"+string(rune('a'+i)))
		}
		assert.Equal(t, len(leaving.Received()), 0)
	})
}

// Targets of a closed failure domain must get no requests until it is opened again.
func TestRequestIsNotRunWhenFailureDomainIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, "s0")
		f.registrar.Apply(registrar.Change{Closed: []string{domain}}, true)
		answer, _ := f.relay(singleRoute(true), "r1")
		assert.Equal(t, answer.Outcome, relayer.NotRun)
		f.registrar.Apply(registrar.Change{Opened: []string{domain}}, true)
		answer, _ = f.relay(singleRoute(true), "r2")
		assert.Equal(t, answer.Outcome, relayer.Relayed)
	})
}
