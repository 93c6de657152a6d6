package hedger

import "sync/atomic"

const (
	// unitsPerToken is the number of units in one token. It makes any percentage of a sub-query a whole number of
	// units.
	unitsPerToken = 1000
	// maxUnits limits the saved tokens, so that a period of low load does not allow many extra sub-queries at once.
	maxUnits = 32 * unitsPerToken
)

// budget is a token bucket that is filled by needed sub-queries. It starts empty, because initial tokens would let the
// extra load of a short run exceed the configured percentage, by 2 percentage points for 4,000 sub-queries on 4
// instances.
type budget struct {
	// units is between 0 and maxUnits.
	units atomic.Int64
}

// deposit adds the tokens for n needed sub-queries.
func (b *budget) deposit(n, percent int) {
	deposited := int64(n) * int64(percent) * unitsPerToken / 100
	for {
		old := b.units.Load()
		if b.units.CompareAndSwap(old, min(old+deposited, maxUnits)) {
			return
		}
	}
}

// level returns the fill level of the bucket, from 0 to 1.
func (b *budget) level() float64 {
	return float64(b.units.Load()) / maxUnits
}

// take removes one token and reports whether one was available.
func (b *budget) take() bool {
	for {
		old := b.units.Load()
		if old < unitsPerToken {
			return false
		}
		if b.units.CompareAndSwap(old, old-unitsPerToken) {
			return true
		}
	}
}
