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
	got := q.shares.got(service, rank.Tenant)
	outlook := Outlook{Got: got / math.Exp2(q.shares.halfLives(now))}
	defer func() {
		clear(q.ahead)
		q.ahead = q.ahead[:0]
	}()
	for _, w := range q.waiters[service] {
		if w != self && precedes(&w.rank, &rank, q.got(w), got, now) {
			q.ahead = append(q.ahead, aheadWaiter{wait: w.certainlyAheadUntil(rank, now).Sub(now), waiter: w})
		}
	}
	outlook.Ahead = len(q.ahead)
	rate, known := q.shares.maxRate(service, now)
	if !known {
		return outlook
	}
	if rate > 0 {
		outlook.RoomAfter = time.Duration(float64(outlook.Ahead) / rate * float64(time.Second))
	}
	wait := until.Sub(now)
	if free := capacity + int(rateMargin*rate*max(wait, 0).Seconds()); outlook.Ahead >= free {
		waits := certainWaits(q.ahead, rank, got, math.Exp2(q.shares.halfLives(until)), now)
		outlook.Hopeless = takeAll(waits, free, capacity, rateMargin*rate)
	}
	return outlook
}

// aheadWaiter is a waiting request that goes before another one, and for how long at least.
type aheadWaiter struct {
	wait   time.Duration
	waiter *Waiter
}

// certainlyAheadUntil returns until when the waiter is certain to go before a request with the rank that it precedes now:
// until it leaves or is late.
func (w *Waiter) certainlyAheadUntil(rank Rank, now time.Time) time.Time {
	if s := w.rank.LatestStart; !s.IsZero() && !rank.late(now) && s.Before(w.until) {
		return s
	}
	return w.until
}

// certainWaits sorts the waiters that go first, the longest wait first, and drops those of tenants that will have caught up
// with the tenant of the rank by then. A taken target counts at most requestCount.
func certainWaits(ahead []aheadWaiter, rank Rank, got, requestCount float64, now time.Time) []aheadWaiter {
	slices.SortFunc(ahead, func(a, b aheadWaiter) int { return cmp.Compare(b.wait, a.wait) })
	for _, a := range ahead {
		if a.waiter.share != nil {
			a.waiter.share.ahead = 0
		}
	}
	return slices.DeleteFunc(ahead, func(a aheadWaiter) bool {
		share := a.waiter.share
		if a.waiter.rank.Tenant == rank.Tenant || !a.waiter.rank.isAsUrgent(&rank, now) {
			return false
		}
		if share == nil {
			return true
		}
		share.ahead++
		return float64(share.ahead) > (got-share.got)/requestCount
	})
}

// takeAll reports whether waiting requests, the longest wait first, take all targets that may become free while another
// one waits. At most the capacity becomes free at once, because all requests in flight may end at the same time, and after
// that targets become free at the rate per second.
func takeAll(ahead []aheadWaiter, free, capacity int, rate float64) bool {
	if free < 1 || len(ahead) < free {
		return false
	}
	for n := range free {
		// The target that becomes free after n others is taken by a request that still waits then.
		at := time.Duration(0)
		if n >= capacity {
			at = time.Duration(float64(n+1-capacity) / rate * float64(time.Second))
		}
		if ahead[n].wait < at {
			return false
		}
	}
	return true
}
