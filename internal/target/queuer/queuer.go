// Package queuer orders the requests of an instance that wait for a target of a service with capacity, in relay mode. It
// answers the load pattern in which a burst, slow targets or lost targets leave a service too few slots: requests that
// can still be answered in time go first, the more urgent ones before the others, and late ones use what is left. The
// sender holds the queue; the relayer enters its requests and decides how long they wait.
//
// Among requests of one priority that can be in time, the newest goes first, since under overload the older ones would
// all be served just too late; every service then also prefers the same queries. Late requests go oldest first, before
// their callers leave.
package queuer

import (
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
}

// Precedes reports whether a request goes before another one at the given time. Of two equal requests, neither does.
func (r Rank) Precedes(other Rank, now time.Time) bool {
	if r.late(now) != other.late(now) {
		return other.late(now)
	}
	if r.TenantPriority != other.TenantPriority {
		return r.TenantPriority < other.TenantPriority
	}
	if r.Priority != other.Priority {
		return r.Priority < other.Priority
	}
	if r.LatestStart.IsZero() != other.LatestStart.IsZero() {
		return other.LatestStart.IsZero()
	}
	if r.LatestStart.IsZero() || r.late(now) {
		return r.Deadline.Before(other.Deadline)
	}
	return r.LatestStart.After(other.LatestStart)
}

func (r Rank) late(now time.Time) bool { return !r.LatestStart.IsZero() && !now.Before(r.LatestStart) }

// Queue holds the waiting requests of all services.
type Queue struct {
	// count is the number of waiters, so that nothing is locked while there are none.
	count atomic.Int64

	mu      sync.Mutex
	waiters map[string][]*Waiter
}

// New returns a Queue without waiters.
func New() *Queue { return &Queue{waiters: make(map[string][]*Waiter)} }

// Waiter is a waiting request.
type Waiter struct {
	queue   *Queue
	service string
	rank    Rank
	// wake tells the request to try again. It must not block.
	wake func()
}

// Enter adds a request that waits for a target of the service. The function wake is called when the request may be
// able to take one; it must not block.
func (q *Queue) Enter(service string, rank Rank, wake func()) *Waiter {
	w := &Waiter{queue: q, service: service, rank: rank, wake: wake}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiters[service] = append(q.waiters[service], w)
	q.count.Add(1)
	return w
}

// Leave removes the request, which has taken a target or ended, and wakes the next one. Further calls do nothing.
func (w *Waiter) Leave() {
	q := w.queue
	q.mu.Lock()
	i := slices.Index(q.waiters[w.service], w)
	if i >= 0 {
		q.waiters[w.service] = slices.Delete(q.waiters[w.service], i, i+1)
		q.count.Add(-1)
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
	for _, w := range q.waiters[service] {
		if w == self {
			continue
		}
		if w.rank.Precedes(rank, now) || self == nil && !rank.Precedes(w.rank, now) {
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
		if first == nil || w.rank.Precedes(first.rank, now) {
			first = w
		}
	}
	q.mu.Unlock()
	if first != nil {
		first.wake()
	}
}
