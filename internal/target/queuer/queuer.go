// Package queuer orders the requests of an instance that wait for a target of a service with capacity, in relay mode. It
// answers the load pattern in which a burst, slow targets or lost targets leave a service too few slots: requests that
// can still be answered in time go first, the more urgent ones before the others, and late ones use what is left. The
// sender holds the queue; the relayer enters its requests and decides how long they wait.
//
// Among requests of one priority that can be in time, the newest goes first, since under overload the older ones would
// all be served just too late; every service then also prefers the same queries. Late requests go oldest first, before
// their callers leave.
//
// Among requests of equal priority that are all in time or all late, those of the tenant that has lately got the fewest
// targets of the service go first, so that a tenant that sends many times its usual load delays only itself.
package queuer

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Rank decides the position of a waiting request.
type Rank struct {
	// TenantPriority precedes Priority: it is the priority of the tenant, or that of the route for a request without one; 0
	// is the highest.
	TenantPriority int
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	// LatestStart is the latest time to take a target for an answer in time; zero for a request without an objective. A
	// request that can no longer be in time takes no target from one that can.
	LatestStart time.Time
	// Deadline is when the request ends.
	Deadline time.Time
	// Tenant is the name of the tenant; empty without tenants and for anonymous requests, which count as one tenant.
	Tenant string
}

// Precedes reports whether a request goes before another one at the given time, if their tenants have got the same. Of two
// equal requests, neither does.
func (r Rank) Precedes(other Rank, now time.Time) bool {
	return precedes(&r, &other, 0, 0, now)
}

// precedes reports whether a request goes before another one: by urgency, then by what their tenants have got, then by
// their times.
func precedes(r, other *Rank, got, otherGot float64, now time.Time) bool {
	late, otherLate := r.late(now), other.late(now)
	priority := r.comparePriority(other)
	switch {
	case late != otherLate:
		return otherLate
	case priority != 0:
		return priority < 0
	case got != otherGot && r.Tenant != other.Tenant:
		return got < otherGot
	case r.LatestStart.IsZero() != other.LatestStart.IsZero():
		return other.LatestStart.IsZero()
	case r.LatestStart.IsZero() || late:
		return r.Deadline.Before(other.Deadline)
	}
	return r.LatestStart.After(other.LatestStart)
}

// isAsUrgent reports whether only tenants and times decide between the requests.
func (r *Rank) isAsUrgent(other *Rank, now time.Time) bool {
	return r.late(now) == other.late(now) && r.comparePriority(other) == 0
}

// comparePriority is negative if the priority of the request is higher than that of the other one.
func (r *Rank) comparePriority(other *Rank) int {
	return cmp.Or(cmp.Compare(r.TenantPriority, other.TenantPriority), cmp.Compare(r.Priority, other.Priority))
}

func (r *Rank) late(now time.Time) bool { return !r.LatestStart.IsZero() && !now.Before(r.LatestStart) }

// Queue holds the waiting requests of all services.
type Queue struct {
	// count is the number of waiters, so that nothing is locked while there are none.
	count atomic.Int64
	// counting reports whether shares has any entry, so that nothing is locked without tenants.
	counting atomic.Bool

	mu      sync.Mutex
	waiters map[string][]*Waiter
	// shares holds what tenants have lately got.
	shares shares
	// ahead is reused by Outlook.
	ahead []aheadWaiter
}

// New returns a Queue without waiters.
func New() *Queue { return &Queue{waiters: make(map[string][]*Waiter), shares: newShares()} }

// Waiter is a waiting request.
type Waiter struct {
	queue   *Queue
	service string
	rank    Rank
	// until is the time until which the request waits at least, unless it takes a target.
	until time.Time
	// share is what the tenant has got of the service; nil if the service was not counted when the request came.
	share *tenantShare
	// wake tells the request to try again. It must not block.
	wake func()
}

// Enter adds a request that waits for a target of the service, at least until the given time. The function wake is called
// when the request may be able to take one; it must not block.
func (q *Queue) Enter(service string, rank Rank, until time.Time, wake func()) *Waiter {
	w := &Waiter{queue: q, service: service, rank: rank, until: until, wake: wake}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limitCredit(service, rank.Tenant)
	w.share = q.shares.enter(service, rank.Tenant)
	q.waiters[service] = append(q.waiters[service], w)
	q.count.Add(1)
	return w
}

// WaitUntil changes the time until which the request waits at least.
func (w *Waiter) WaitUntil(until time.Time) {
	w.queue.mu.Lock()
	defer w.queue.mu.Unlock()
	w.until = until
}

// Leave removes the request, which has taken a target or ended, and wakes the next one. Further calls do nothing.
func (w *Waiter) Leave() {
	q := w.queue
	q.mu.Lock()
	i := slices.Index(q.waiters[w.service], w)
	if i >= 0 {
		q.waiters[w.service] = slices.Delete(q.waiters[w.service], i, i+1)
		q.count.Add(-1)
		if w.share != nil {
			w.share.waiting--
		}
		if len(q.waiters[w.service]) == 0 {
			delete(q.waiters, w.service)
		}
	}
	q.mu.Unlock()
	if i >= 0 {
		q.Wake(w.service, time.Now())
	}
}

// MayTake reports whether a request may take a target of the service now: no other waiter precedes it. The waiter is
// nil if the request does not wait yet; it then also follows waiters of equal rank.
func (q *Queue) MayTake(service string, rank Rank, self *Waiter, now time.Time) bool {
	if q.count.Load() == 0 {
		return true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if self == nil {
		q.limitCredit(service, rank.Tenant)
	}
	got := q.shares.got(service, rank.Tenant)
	for _, w := range q.waiters[service] {
		if w == self {
			continue
		}
		if waiterGot := q.got(w); precedes(&w.rank, &rank, waiterGot, got, now) || self == nil && !precedes(&rank, &w.rank, got, waiterGot, now) {
			return false
		}
	}
	return true
}

// Wake wakes the first waiter of the service, if there is one: a target may have capacity again.
func (q *Queue) Wake(service string, now time.Time) {
	if q.count.Load() == 0 {
		return
	}
	q.mu.Lock()
	var first *Waiter
	for _, w := range q.waiters[service] {
		if first == nil || precedes(&w.rank, &first.rank, q.got(w), q.got(first), now) {
			first = w
		}
	}
	q.mu.Unlock()
	if first != nil {
		first.wake()
	}
}
