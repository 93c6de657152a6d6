package hedger

import (
	"sync/atomic"
	"time"

	"apricotflow/internal/operator/timekeeper"
)

// quietPeriod is the time without a refusal after which the next refusal is recorded as a new event. A hedge
// percentile that yields more hedges than the budget allows empties the budget many times a second, which counts as
// one event.
const quietPeriod = 10 * time.Second

// audit counts earned and taken tokens independently of the bucket to verify the bucket, and tracks refusals.
type audit struct {
	earned atomic.Int64
	taken  atomic.Int64
	// lastRefusal is the boot time of the last refusal in nanoseconds, or 0 if there was none.
	lastRefusal atomic.Int64
}

// addEarned must be called before the bucket is filled.
func (a *audit) addEarned(n, percent int) {
	a.earned.Add(int64(n) * int64(percent) * unitsPerToken / 100)
}

// take counts one extra sub-query and reports whether the total stays within the earned tokens.
func (a *audit) take() bool {
	return a.taken.Add(unitsPerToken) <= a.earned.Load()
}

// recordRefusal records a refusal and reports whether it is the first one or follows a quiet period.
func (a *audit) recordRefusal() bool {
	now := timekeeper.BootTime()
	previous := time.Duration(a.lastRefusal.Swap(int64(now)))
	return previous == 0 || now-previous >= quietPeriod
}
