package throttler_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/target/throttler"
)

const (
	// The target may get tolerance times the limit plus slack requests in any window, from noticeTime after it first stated
	// the limit.
	tolerance  = 1.5
	slack      = 5
	window     = 4 * time.Second
	noticeTime = 4 * time.Second
	// learnTime is the time from an instance's first reply with the limit after which its requests count.
	learnTime = 500 * time.Millisecond
	// roundTrip is the time until an instance has the reply to its request.
	roundTrip = 20 * time.Millisecond
	step      = 10 * time.Millisecond
	// burst is the time whose requests the instances may save up.
	burst = 1500 * time.Millisecond
)

// instance sends requests to the only target.
type instance struct {
	throttler *throttler.Throttler
	// rate is how many requests a second it would send without a limit.
	rate float64
	// estimate is how many instances it counts.
	estimate int
	// countedFrom is the time from which its requests count; zero before its first reply with the limit.
	countedFrom time.Time
	// replies holds the times at which replies with the limit arrive.
	replies []time.Time
	// pausedUntil is the end of a freeze.
	pausedUntil time.Time
}

// replay sends the requests of instances to a target that states a limit, in virtual time.
type replay struct {
	// limit is what the target takes from all instances together, in requests per second.
	limit     float64
	now       time.Time
	start     time.Time
	random    *rand.Rand
	instances []*instance
	// arrivals holds the times of the requests that count.
	arrivals []time.Time
}

func newReplay(seed uint64, limit float64, rates ...float64) *replay {
	start := time.Unix(1000, 0)
	r := &replay{limit: limit, now: start, start: start, random: rand.New(rand.NewPCG(seed, 1))}
	for _, rate := range rates {
		r.instances = append(r.instances, r.newInstance(rate, len(rates)))
	}
	return r
}

func (r *replay) newInstance(rate float64, estimate int) *instance {
	in := &instance{rate: rate, estimate: estimate}
	in.throttler = throttler.New(func() int { return in.estimate }, throttler.WithClock(func() time.Time { return r.now }), throttler.WithRandom(r.random.Float64))
	return in
}

// run lets the instances send for a while.
func (r *replay) run(duration time.Duration) {
	for end := r.now.Add(duration); r.now.Before(end); r.now = r.now.Add(step) {
		for _, in := range r.instances {
			if r.now.After(in.pausedUntil) {
				r.send(in)
			}
		}
	}
}

func (r *replay) send(in *instance) {
	for len(in.replies) > 0 && !in.replies[0].After(r.now) {
		if in.countedFrom.IsZero() {
			in.countedFrom = in.replies[0].Add(learnTime)
		}
		perSecond := r.limit
		in.throttler.Observe("t", &perSecond)
		in.replies = in.replies[1:]
	}
	if r.random.Float64() >= in.rate*step.Seconds() || in.throttler.Allowance("t").Wait() > 0 {
		return
	}
	in.throttler.Take("t")
	in.replies = append(in.replies, r.now.Add(roundTrip))
	if !in.countedFrom.IsZero() && !r.now.Before(in.countedFrom) {
		r.arrivals = append(r.arrivals, r.now)
	}
}

// arrivalsBetween counts the requests that arrived from a time after the start until before another one.
func (r *replay) arrivalsBetween(from, to time.Duration) int {
	n := 0
	for _, at := range r.arrivals {
		if !at.Before(r.start.Add(from)) && at.Before(r.start.Add(to)) {
			n++
		}
	}
	return n
}

// assertWithinLimit checks every window from noticeTime on.
func (r *replay) assertWithinLimit(t *testing.T) {
	t.Helper()
	allowed := int(tolerance*r.limit*window.Seconds()) + slack
	for from := noticeTime; from+window <= r.now.Sub(r.start); from += step {
		n := r.arrivalsBetween(from, from+window)
		assert.Assert(t, n <= allowed, "%d requests in the 4 s from %s, %d are allowed", n, from, allowed)
	}
}

// equal returns n equal rates.
func equal(n int, rate float64) []float64 {
	rates := make([]float64, n)
	for i := range rates {
		rates[i] = rate
	}
	return rates
}

// Guards against instances that each stay within a limit and together exceed it.
func TestInstancesTogetherStayWithinRequestLimit(t *testing.T) {
	cases := map[string]struct {
		limit  float64
		rates  []float64
		events func(r *replay)
	}{
		"few instances, uneven load":    {24, []float64{8, 11, 30, 25, 27}, func(r *replay) { r.run(30 * time.Second) }},
		"more instances than the limit": {24, equal(118, 0.6), func(r *replay) { r.run(40 * time.Second) }},
		"low load, then a burst":        {24, equal(30, 0.7), func(r *replay) { r.run(12 * time.Second); r.setRates(4); r.run(8 * time.Second) }},
		"no load, then a burst": {24, equal(30, 0), func(r *replay) {
			r.setRates(2)
			r.run(time.Second)
			r.setRates(0)
			r.run(8 * time.Second)
			r.setRates(6)
			r.run(8 * time.Second)
		}},
		"small limit, no load, then a burst": {6, equal(29, 0), func(r *replay) {
			r.setRates(2)
			r.run(time.Second)
			r.setRates(0)
			r.run(12 * time.Second)
			r.setRates(6)
			r.run(8 * time.Second)
		}},
		"small limit, low load, then a burst": {8, equal(118, 0.05), func(r *replay) { r.run(20 * time.Second); r.setRates(0.5); r.run(12 * time.Second) }},
		"an instance freezes":                 {24, equal(5, 30), func(r *replay) { r.run(6 * time.Second); r.freeze(3 * time.Second); r.run(12 * time.Second) }},
		"an instance restarts":                {24, equal(5, 30), func(r *replay) { r.run(8 * time.Second); r.restart(5); r.run(12 * time.Second) }},
		"restart that counts only seeds":      {24, equal(5, 30), func(r *replay) { r.run(8 * time.Second); r.restart(3); r.run(12 * time.Second) }},
		"one of five is not counted":          {24, equal(5, 30), func(r *replay) { r.setEstimates(4); r.run(20 * time.Second) }},
		"an instance is added and unknown": {24, equal(5, 30), func(r *replay) {
			r.run(8 * time.Second)
			r.instances = append(r.instances, r.newInstance(30, 6))
			r.run(12 * time.Second)
		}},
		"the number of instances decreases": {24, equal(5, 30), func(r *replay) {
			r.run(8 * time.Second)
			r.instances = r.instances[:3]
			r.run(4 * time.Second)
			r.setEstimates(3)
			r.run(8 * time.Second)
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				r := newReplay(seed, c.limit, c.rates...)
				c.events(r)
				r.assertWithinLimit(t)
			}
		})
	}
}

func (r *replay) setRates(rate float64) {
	for _, in := range r.instances {
		in.rate = rate
	}
}

func (r *replay) setEstimates(n int) {
	for _, in := range r.instances {
		in.estimate = n
	}
}

// freeze pauses the first instance.
func (r *replay) freeze(d time.Duration) { r.instances[0].pausedUntil = r.now.Add(d) }

// restart replaces the first instance by one that knows nothing.
func (r *replay) restart(estimate int) {
	r.instances[0] = r.newInstance(r.instances[0].rate, estimate)
}

// Guards against a limit of which the instances leave a part unused although all of them have more to send.
func TestInstancesTogetherUseTheRequestLimit(t *testing.T) {
	const limit = 24.0
	for _, n := range []int{5, 30, 118} {
		r := newReplay(1, limit, equal(n, 200/float64(n))...)
		r.run(60 * time.Second)
		used := float64(r.arrivalsBetween(10*time.Second, 60*time.Second)) / 50
		// With less than one request per burst, an instance loses those for which it has nothing to send within the burst.
		sent := 1 - math.Exp(-200/float64(n)*burst.Seconds())
		expected := min(limit, sent*float64(n)/(float64(n)/limit+burst.Seconds()))
		assert.Assert(t, used >= 0.95*expected, "%d instances: %.1f of %.1f a second", n, used, limit)
	}
}

// Guards against a target that gets nothing any more after its limit has ended, or after it stated a limit of 0.
func TestEndOfLimitIsNoticed(t *testing.T) {
	now := time.Unix(1000, 0)
	limits := throttler.New(func() int { return 4 }, throttler.WithClock(func() time.Time { return now }))
	none := 0.0
	limits.Observe("t", &none)
	limits.Take("t")
	wait := limits.Allowance("t").Wait()
	assert.Assert(t, wait > 0 && wait < time.Minute, wait)
	now = now.Add(wait)
	assert.Equal(t, limits.Allowance("t").Wait(), time.Duration(0))
	limits.Take("t")
	limits.Observe("t", nil)
	assert.Equal(t, limits.Allowance("t").Wait(), time.Duration(0))
	assert.Assert(t, !limits.AnyLimited())
}

// Guards against hedges that use up a limit which first requests need.
func TestUsedUpLimitLeavesNothingToSpare(t *testing.T) {
	now := time.Unix(1000, 0)
	limits := throttler.New(func() int { return 5 }, throttler.WithClock(func() time.Time { return now }))
	perSecond := 20.0
	limits.Observe("t", &perSecond)
	assert.Assert(t, limits.Allowance("t").HasSpare())
	for range 5 {
		limits.Take("t")
	}
	a := limits.Allowance("t")
	assert.Assert(t, !a.HasSpare() && a.Wait() == 0 && a.Scarcity() > 0.8, "%+v", a)
	assert.Assert(t, limits.Allowance("other").HasSpare())
}

// Guards against a large instance that gets as little of a limit as the many small ones for which it sends.
func TestShareFollowsDivisorOfTarget(t *testing.T) {
	now, limit := time.Unix(1000, 0), 40.0
	divisor := func(target string, instances int) int {
		if target == "shard" {
			return 2
		}
		return instances
	}
	th := throttler.New(func() int { return 20 }, throttler.WithDivisor(divisor), throttler.WithClock(func() time.Time { return now }))
	allowed := func(target string) int {
		th.Observe(target, &limit)
		sent := 0
		for ; th.Allowance(target).Wait() == 0; sent++ {
			th.Take(target)
		}
		return sent
	}
	assert.Equal(t, allowed("shard"), 30)
	assert.Equal(t, allowed("other"), 3)
}
