package relayer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/query/relayer"
	"apricotflow/internal/standin/worker"
)

// A request that is not idempotent and may have run is never sent again, and never called not run.
func TestNonIdempotentRequestRunsOnce(t *testing.T) {
	for name, behaviour := range map[string]worker.Behaviour{
		"reset": worker.Reset, "garbled": worker.Garble, "truncated": worker.Truncate, "failed": worker.Fail, "silent": worker.Hang,
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 3, "s0")
			f.all("s0", behaviour)
			answer, _ := f.relay(single(false), "r1")
			assert.Assert(t, answer.Outcome != relayer.NotRun)
			assert.Equal(t, f.runs(), 1)
		})
	}
}

// A refusal by a target costs nobody the request: another target gets it.
func TestRefusedRequestGoesToAnotherTarget(t *testing.T) {
	f := newFixture(t, 2, "s0")
	f.targets["s0"][0].Always(worker.Shed, 0)
	for i := range 6 {
		answer, _ := f.relay(single(false), "r"+string(rune('a'+i)))
		assert.Equal(t, answer.Outcome, relayer.Relayed)
		assert.Equal(t, answer.Reply.Status, 200)
	}
	assert.Equal(t, f.runs(), 6)
}

// A request that all targets refuse has not run, and is refused with a time to come back.
func TestRequestRefusedByAllHasNotRun(t *testing.T) {
	f := newFixture(t, 2, "s0")
	f.all("s0", worker.Shed)
	answer, _ := f.relay(single(false), "r1")
	assert.Equal(t, answer.Outcome, relayer.NotRun)
	assert.Assert(t, answer.RetryAfter > 0)
	assert.Equal(t, f.runs(), 0)
}

// The failure of a target is passed on as it is when no other target can do better.
func TestFailureOfATargetIsPassedOn(t *testing.T) {
	f := newFixture(t, 1, "s0")
	f.all("s0", worker.Fail)
	answer, _ := f.relay(single(true), "r1")
	assert.Equal(t, answer.Outcome, relayer.Relayed)
	assert.Equal(t, answer.Reply.Status, 500)
	assert.Equal(t, string(answer.Reply.Body), "failed")
}

// An idempotent request survives a lost answer.
func TestIdempotentRequestIsRepeated(t *testing.T) {
	f := newFixture(t, 2, "s0")
	f.targets["s0"][0].Always(worker.Reset, 0)
	f.targets["s0"][1].Always(worker.Answer, 0)
	for i := range 4 {
		answer, _ := f.relay(single(true), "r"+string(rune('a'+i)))
		assert.Equal(t, answer.Outcome, relayer.Relayed)
		assert.Equal(t, answer.Reply.Status, 200)
	}
}

// A request that is still running at its time limit gets its final answer then, and not later.
func TestRequestEndsAtItsTimeLimit(t *testing.T) {
	f := newFixture(t, 1, "s0")
	f.all("s0", worker.Hang)
	answer, took := f.relay(single(true), "r1")
	assert.Equal(t, answer.Outcome, relayer.TimedOut)
	assert.Assert(t, took >= deadline && took < deadline+100*time.Millisecond, took)
}

// An address that belongs to another target now must get no second request for the one that is gone.
func TestReusedAddressIsLeftAlone(t *testing.T) {
	f := newFixture(t, 2, "s0")
	stranger := worker.New("stranger", nil)
	t.Cleanup(stranger.Close)
	gone := f.targets["s0"][0]
	f.registrar.Apply(registrar.Change{Put: []registrar.Target{{
		ID: gone.ID(), Service: "s0", Address: stranger.Address(), FailureDomain: domain, Slots: 4,
	}}}, true)
	for i := range 10 {
		answer, _ := f.relay(single(true), "r"+string(rune('a'+i)))
		assert.Equal(t, answer.Outcome, relayer.Relayed)
	}
	assert.Assert(t, len(stranger.Received()) <= 1, len(stranger.Received()))
	assert.Equal(t, stranger.Runs(), 0)
}

// Work that waits must not reach a target that was withdrawn meanwhile.
func TestDrainingTargetGetsNoNewWork(t *testing.T) {
	f := newFixture(t, 2, "s0")
	leaving := f.targets["s0"][0]
	f.registrar.Apply(registrar.Change{Put: []registrar.Target{{
		ID: leaving.ID(), Service: "s0", Address: leaving.Address(), FailureDomain: domain, Slots: 4, Draining: true,
	}}}, true)
	for i := range 10 {
		f.relay(single(true), "r"+string(rune('a'+i)))
	}
	assert.Equal(t, len(leaving.Received()), 0)
}

// A failure domain that was taken out of service gets nothing.
func TestClosedFailureDomainGetsNothing(t *testing.T) {
	f := newFixture(t, 2, "s0")
	f.registrar.Apply(registrar.Change{Closed: []string{domain}}, true)
	answer, _ := f.relay(single(true), "r1")
	assert.Equal(t, answer.Outcome, relayer.NotRun)
	f.registrar.Apply(registrar.Change{Opened: []string{domain}}, true)
	answer, _ = f.relay(single(true), "r2")
	assert.Equal(t, answer.Outcome, relayer.Relayed)
}
