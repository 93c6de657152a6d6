package hedger

import "sync/atomic"

// account counts what was earned and taken independently of the bucket, to check it, and marks when it ran empty.
type account struct {
	earned  atomic.Int64
	taken   atomic.Int64
	refused atomic.Bool
}

// need must precede the filling of the bucket.
func (a *account) need(n, percent int) {
	a.earned.Add(int64(n) * int64(percent) * milli / 100)
}

// take counts one extra sub-query and reports whether the total stays within what was earned and the burst.
func (a *account) take() bool {
	a.refused.Store(false)
	return a.taken.Add(milli) <= a.earned.Load()+burst
}

// refuse reports whether this is the first refusal after a success.
func (a *account) refuse() bool {
	return !a.refused.Swap(true)
}
