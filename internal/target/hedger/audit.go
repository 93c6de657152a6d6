package hedger

import (
	"sync/atomic"
	"time"

	"apricotflow/internal/operator/timekeeper"
)

// quietPeriod without a refusal ends a period with an empty budget. A hedge quantile that asks for more hedges than
// the budget allows empties the budget many times a second, which is one period.
const quietPeriod = 10 * time.Second

// account counts what was earned and taken independently of the bucket, to check it, and marks when it ran empty.
type account struct {
	earned atomic.Int64
	taken  atomic.Int64
	// refused is the boot time of the last refusal in nanoseconds, 0 before the first.
	refused atomic.Int64
}

// need must precede the filling of the bucket.
func (a *account) need(n, percent int) {
	a.earned.Add(int64(n) * int64(percent) * milli / 100)
}

// take counts one extra sub-query and reports whether the total stays within what was earned.
func (a *account) take() bool {
	return a.taken.Add(milli) <= a.earned.Load()
}

// refuse reports whether this is the first refusal after a quiet period.
func (a *account) refuse() bool {
	now := timekeeper.BootTime()
	last := time.Duration(a.refused.Swap(int64(now)))
	return last == 0 || now-last >= quietPeriod
}
