package queuer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// rateMargin scales up the highest rate of the last second, so that a request is only refused if it would not get a
// target even when targets became free faster than they did.
const rateMargin = 1.5

// Outlook is what a request that waits, or is about to, can expect.
type Outlook struct {
	// Hopeless reports whether the request cannot get a target before its wait ends: the requests before it, which wait at
	// least as long as they are needed for that, take all targets that may become free.
	Hopeless bool
	// Got is the number of targets of the service that the tenant has lately got, with a half-life of shareHalfLife.
	Got float64
	// Ahead is the number of waiting requests that go first.
	Ahead int
	// RoomAfter is the time after which the requests that go first have been served, at the rate at which targets were taken;
	// 0 if the rate is unknown or nothing is ahead.
	RoomAfter time.Duration
}

// Outlook returns the outlook of a request that waits for a target of the service until the given time. The waiter is nil
// if the request does not wait yet. The capacity is the number of requests that the targets of the service may have in
// flight. A request is never hopeless before targets have been counted for a second, so never without tenants.
func (q *Queue) Outlook(service string, rank Rank, self *Waiter, until time.Time, capacity int, now time.Time) Outlook {
	q.mu.Lock()
	defer q.mu.Unlock()
	ahead, count := q.remainingWaitsAhead(service, rank, self, until, now)
	rate, known := q.shares.maxRate(service, now)
	outlook := Outlook{Ahead: count, Got: q.shares.got(service, rank.Tenant) / math.Exp2(q.shares.halfLives(now))}
	if !known {
		return outlook
	}
	if rate > 0 {
		outlook.RoomAfter = time.Duration(float64(count) / rate * float64(time.Second))
	}
	outlook.Hopeless = isHopeless(ahead, until.Sub(now), capacity, rateMargin*rate)
	return outlook
}

// isHopeless reports whether requests that go first take all targets that may become free while a request waits. The
// remaining waits of the requests that go first are sorted, the longest first. At most the capacity becomes free at once,
// because all requests in flight may end at the same time, and after that targets become free at the rate per second.
func isHopeless(ahead []time.Duration, wait time.Duration, capacity int, rate float64) bool {
	free := capacity + int(rate*max(wait, 0).Seconds())
	if free < 1 || len(ahead) < free {
		return false
	}
	for n := range free {
		// The target that becomes free after n others is taken by a request that still waits then.
		at := time.Duration(0)
		if n >= capacity {
			at = time.Duration(float64(n+1-capacity) / rate * float64(time.Second))
		}
		if ahead[n] < at {
			return false
		}
	}
	return true
}

// remainingWaitsAhead returns how long those requests still wait that are certain to go first, the longest first, and the
// number of all requests that go first now. A request is certain to go first until it would be late. Those of a tenant that
// has got less are certain to go first until the tenant has caught up. The caller holds the lock.
func (q *Queue) remainingWaitsAhead(service string, rank Rank, self *Waiter, until, now time.Time) ([]time.Duration, int) {
	var ahead []time.Duration
	byTenant := make(map[string][]time.Duration)
	for _, w := range q.waiters[service] {
		if w == self || !q.precedes(service, w.rank, rank, now) {
			continue
		}
		end := w.until
		if s := w.rank.LatestStart; !s.IsZero() && !rank.late(now) && s.Before(end) {
			end = s
		}
		remaining := max(end.Sub(now), 0)
		if w.rank.Tenant == rank.Tenant || w.rank.compareUrgency(rank, now) != 0 {
			ahead = append(ahead, remaining)
		} else {
			byTenant[w.rank.Tenant] = append(byTenant[w.rank.Tenant], remaining)
		}
	}
	count := len(ahead)
	longestFirst := func(a, b time.Duration) int { return cmp.Compare(b, a) }
	// A request counts the most at the end of the wait.
	requestCount := math.Exp2(q.shares.halfLives(until))
	for tenant, waits := range byTenant {
		count += len(waits)
		slices.SortFunc(waits, longestFirst)
		behind := (q.shares.got(service, rank.Tenant) - q.shares.got(service, tenant)) / requestCount
		ahead = append(ahead, waits[:min(len(waits), int(behind))]...)
	}
	slices.SortFunc(ahead, longestFirst)
	return ahead, count
}
