package relayer_test

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/query/relayer"
	"apricotflow/internal/standin/httpresponder"
)

// Guards against requests to a target that has stated that it leaves, while its entry in the store does not say so.
func TestLeavingTargetGetsNoMoreRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, "s0", "s1")
		search := shardedRoute(1, "s0", "s1")
		f.targets["s0"][0].Leave()
		for i := range 40 {
			answer, _ := f.relay(search, "r"+strconv.Itoa(i))
			assert.Equal(t, answer.Outcome, relayer.Merged)
			assert.Equal(t, answer.Missing, 0)
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, f.targets["s0"][0].RunCount() <= 1, "%d requests went to the target", f.targets["s0"][0].RunCount())
	})
}

// Guards against requests to a target that has asked to be spared for a while, and against one that gets none after that.
// While no target takes requests, callers are refused at once.
func TestPausedTargetGetsNoRequestsUntilItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, "s0")
		route := singleRoute(true)
		const pause = 2 * time.Second
		paused, other := f.targets["s0"][0], f.targets["s0"][1]
		paused.SetFixedBehaviour(httpresponder.Shed, 0)
		paused.Pause(pause)
		other.SetFixedBehaviour(httpresponder.Shed, 0)
		start := time.Now()
		f.relay(route, "first")
		assert.Equal(t, len(paused.Received()), 1)
		other.SetFixedBehaviour(httpresponder.Answer, 0)
		// The other target counts as full until then.
		time.Sleep(200 * time.Millisecond)
		for ; time.Since(start) < pause-50*time.Millisecond; time.Sleep(20 * time.Millisecond) {
			answer, _ := f.relay(route, "r")
			assert.Equal(t, answer.Outcome, relayer.Relayed)
			assert.Equal(t, len(paused.Received()), 1)
		}
		const shorterPause = 200 * time.Millisecond
		other.SetFixedBehaviour(httpresponder.Shed, 0)
		other.Pause(shorterPause)
		time.Sleep(100 * time.Millisecond)
		f.relay(route, "both")
		answer, took := f.relay(route, "none")
		assert.Equal(t, answer.Outcome, relayer.NotRun)
		assert.Assert(t, answer.RetryAfter <= shorterPause, answer.RetryAfter)
		assert.Assert(t, took < time.Millisecond, took)
		paused.SetFixedBehaviour(httpresponder.Answer, 0)
		time.Sleep(pause)
		answer, _ = f.relay(route, "again")
		assert.Equal(t, answer.Outcome, relayer.Relayed)
	})
}
