package appraiser

import (
	"math"
	"time"
)

const (
	// costWeight is the lowest weight of the latest sample in the moving averages of a cost; the first samples weigh more.
	costWeight = 0.02
	// minCostSamples is the number of samples from which a cost is known.
	minCostSamples = 8
	// tailFactor separates the tail from the usual work: about one request in a hundred takes five times as long.
	tailFactor = 3
	// maxTailRatio limits the work of one sample relative to the usual one, because a pause of the target is not work.
	maxTailRatio = 10
	// tailRatioWeight is the weight of the latest sample in the mean of the tail, which gets few samples.
	tailRatioWeight = 0.1
	// firstTailShare and firstTailRatio describe the tail before it has been observed.
	firstTailShare = 0.01
	firstTailRatio = 5
	// maxTailShare is the share of tail samples from which they are the usual work.
	maxTailShare = 0.5
	// deviationsBeforeTail is the number of mean deviations above the usual work from which a request that still runs
	// counts as one of the tail.
	deviationsBeforeTail = 3
	// minRemainingShare is the least remaining work of a request that has not been answered, relative to all its work.
	minRemainingShare = 0.2
)

// cost holds the work of the requests of one kind at the usual speed of machines. Works are in nanoseconds. The tail is
// kept apart, so that a few requests that take several times as long do not shift what most of them take.
type cost struct {
	// samples is the sum of the weights of the samples.
	samples float64
	// usual and deviation are the mean work and its mean absolute deviation without the tail.
	usual, deviation float64
	// tailShare is the share of the requests in the tail, and tailRatio their mean work relative to the usual one.
	tailShare, tailRatio float64
}

func newCost() cost { return cost{tailShare: firstTailShare, tailRatio: firstTailRatio} }

// record adds a sample. Samples that are less certain weigh less than 1.
func (c *cost) record(work, weight float64) {
	c.samples += weight
	step := weight * max(1/c.samples, costWeight)
	if step > 1 {
		step = 1
	}
	if c.known() && work > tailFactor*c.usual {
		ratio := min(work/c.usual, maxTailRatio)
		c.tailShare += weight * costWeight * (1 - c.tailShare)
		c.tailRatio += weight * tailRatioWeight * (ratio - c.tailRatio)
		if c.tailShare > maxTailShare {
			*c = cost{samples: minCostSamples, usual: c.usual * c.tailRatio, deviation: c.deviation, tailShare: firstTailShare, tailRatio: firstTailRatio}
		}
		return
	}
	c.tailShare -= weight * costWeight * c.tailShare
	c.deviation += step * (math.Abs(work-c.usual) - c.deviation)
	c.usual += step * (work - c.usual)
}

// known reports whether there are enough samples.
func (c *cost) known() bool { return c.samples >= minCostSamples }

// mean returns the expected work of a request, including the tail.
func (c *cost) mean() float64 { return c.usual * (1 + c.tailShare*(c.tailRatio-1)) }

// remaining returns the expected work that is left of a request on which some work has been done. A request that has taken
// far longer than usual is one of the tail.
func (c *cost) remaining(done float64) float64 {
	tail := max(c.usual*c.tailRatio-done, minRemainingShare*c.usual)
	if done > c.usual+deviationsBeforeTail*c.deviation {
		return tail
	}
	return (1-c.tailShare)*max(c.usual-done, minRemainingShare*c.usual) + c.tailShare*tail
}

// Cost describes the work of the requests of a route at the usual speed of machines.
type Cost struct {
	// Known reports whether enough requests have been observed.
	Known bool
	// Usual and Deviation are the mean work and its mean absolute deviation without the tail.
	Usual, Deviation time.Duration
	// TailShare is the share of requests that take several times as long, and Tail their mean work.
	TailShare float64
	Tail      time.Duration
}

func (c *cost) describe() Cost {
	return Cost{
		Known: c.known(), Usual: time.Duration(c.usual), Deviation: time.Duration(c.deviation), TailShare: c.tailShare,
		Tail: time.Duration(c.usual * c.tailRatio),
	}
}
