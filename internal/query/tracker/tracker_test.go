package tracker_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/query/tracker"
)

// A graceful stop must also wait for work that starts during the wait, but not beyond its own time limit.
func TestDrainWaitsForAllWorkUntilContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var work tracker.Tracker
		assert.NilError(t, work.Drain(t.Context()))
		work.Go(func() {
			time.Sleep(time.Second)
			work.Go(func() { time.Sleep(time.Second) })
		})
		started := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		assert.ErrorIs(t, work.Drain(ctx), context.DeadlineExceeded)
		assert.NilError(t, work.Drain(t.Context()))
		assert.Equal(t, time.Since(started), 2*time.Second)
	})
}
