package hedger

import (
	"sync/atomic"
	"time"

	"apricotflow/internal/operator/timekeeper"
)

// refusalGap is the time without a refusal after which the next refusal is recorded as a new event. If the hedge
// percentile yields more hedges than the budget allows, hedges are refused many times a second, which counts as one
// event.
const refusalGap = 10 * time.Second

// audit counts deposited and taken tokens in units, independently of the bucket, to verify the bucket. It also tracks
// refusals.
type audit struct {
	deposited atomic.Int64
	taken     atomic.Int64
	// lastRefusal is the boot time of the last refusal in nanoseconds, or 0 if there was none.
	lastRefusal atomic.Int64
}

// addDeposited counts the tokens for n needed sub-queries. It must be called before the bucket is filled, because a
// concurrent take could otherwise exceed the deposited tokens.
func (a *audit) addDeposited(n, percent int) {
	a.deposited.Add(int64(n) * int64(percent) * unitsPerToken / 100)
}

// addTaken counts one taken token and reports whether the total stays within the deposited tokens.
func (a *audit) addTaken() bool {
	return a.taken.Add(unitsPerToken) <= a.deposited.Load()
}

// recordRefusal records a refusal and reports whether it is the first one or follows the previous one after at least
// refusalGap.
func (a *audit) recordRefusal() bool {
	now := timekeeper.BootTime()
	previous := time.Duration(a.lastRefusal.Swap(int64(now)))
	return previous == 0 || now-previous >= refusalGap
}
