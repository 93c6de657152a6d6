package relayer_test

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/query/relayer"
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
