package queuer

import (
	"math"
	"time"
)

const (
	// shareHalfLife is the half-life of what a tenant has got. It spans several objectives, so that a burst counts for as
	// long as its effects last, and is short enough that a tenant is soon treated like the others after its burst.
	shareHalfLife = 2 * time.Second
	// sweepInterval is the time after which idle entries are dropped, in half-lives.
	sweepInterval = 4.0
	// idleShare is the number of requests below which a tenant counts as idle.
	idleShare = 0.05
	// maxTenants is the maximum number of tenants that are counted for one service.
	maxTenants = 1024
	// creditFraction is the part of what the other waiting tenants have got by which a tenant that has got less may be
	// behind them. Without the limit, a tenant that was idle before would get all targets for about a second.
	creditFraction = 0.1
	// takeInterval is the length of one interval in which taken targets are counted, and takeIntervals the number of those
	// that are kept: together a second.
	takeInterval  = 100 * time.Millisecond
	takeIntervals = 10
)

// shares counts what tenants have lately got of each service. Every request counts 2^(age of the request at the time
// origin / half-life), so that counts decay at the same pace without being touched and can be compared as they are. It
// is empty without tenants.
type shares struct {
	// origin is the time at which a request counts 1.
	origin   time.Time
	services map[string]*serviceShares
}

// tenantShare is what one tenant has lately got of a service.
type tenantShare struct {
	got float64
	// priority is the priority of the tenant as of its latest request under a request limit; the lowest until then.
	priority int
	// waiting is the number of requests of the tenant that wait for the service. The entry is kept while there are any, which
	// refer to it.
	waiting int
	// ahead is used while waiting requests are counted.
	ahead int
}

// serviceShares holds the counts of one service.
type serviceShares struct {
	byTenant map[string]*tenantShare
	// takes holds the number of targets taken in the latest intervals, and latest the number of the newest one. countedAt is
	// when counting began.
	takes     [takeIntervals]int
	latest    int64
	countedAt time.Time
}

func newShares() shares { return shares{services: make(map[string]*serviceShares)} }

// got returns what the tenant has lately got of the service, comparable among tenants.
func (s *shares) got(service, tenant string) float64 {
	if c := s.services[service]; c != nil {
		if t := c.byTenant[tenant]; t != nil {
			return t.got
		}
	}
	return 0
}

// enter returns the share of a tenant with another waiting request; nil if the service is not counted.
func (s *shares) enter(service, tenant string) *tenantShare {
	c := s.services[service]
	if c == nil {
		return nil
	}
	t := c.share(tenant)
	t.waiting++
	return t
}

// share returns the share of the tenant, which it adds if there is none.
func (c *serviceShares) share(tenant string) *tenantShare {
	t := c.byTenant[tenant]
	if t == nil {
		t = &tenantShare{priority: math.MaxInt}
		c.byTenant[tenant] = t
	}
	return t
}

// record counts a target of the service that the tenant has taken. Anonymous requests count only beside those of tenants.
func (s *shares) record(service, tenant string, now time.Time) {
	c := s.services[service]
	if c == nil && tenant == "" {
		return
	}
	if halfLives := s.halfLives(now); halfLives > sweepInterval {
		s.sweep(now, halfLives)
		c = s.services[service]
	}
	if c == nil {
		c = &serviceShares{byTenant: make(map[string]*tenantShare), countedAt: now}
		s.services[service] = c
	}
	c.count(now)
	c.takes[c.latest%takeIntervals]++
	c.share(tenant).got += math.Exp2(s.halfLives(now))
	if len(c.byTenant) > maxTenants {
		c.dropLeast()
	}
}

// halfLives returns the number of half-lives since the origin.
func (s *shares) halfLives(now time.Time) float64 {
	return float64(now.Sub(s.origin)) / float64(shareHalfLife)
}

// sweep moves the origin to now and drops idle tenants and services.
func (s *shares) sweep(now time.Time, halfLives float64) {
	decay := math.Exp2(-halfLives)
	for service, c := range s.services {
		for tenant, t := range c.byTenant {
			if t.got *= decay; t.got < idleShare && t.waiting == 0 {
				delete(c.byTenant, tenant)
			}
		}
		if len(c.byTenant) == 0 {
			delete(s.services, service)
		}
	}
	s.origin = now
}

// dropLeast drops the tenants without waiting requests that have got the least, until half of the entries are left. They
// then count as idle.
func (c *serviceShares) dropLeast() {
	dropped := 0
	for bound := idleShare; dropped <= maxTenants/2 && !math.IsInf(bound, 1); bound *= 2 {
		for tenant, t := range c.byTenant {
			if t.got < bound && t.waiting == 0 && dropped <= maxTenants/2 {
				delete(c.byTenant, tenant)
				dropped++
			}
		}
	}
}

// count clears the intervals that have passed since the newest one.
func (c *serviceShares) count(now time.Time) {
	interval := now.UnixNano() / int64(takeInterval)
	for i := max(c.latest+1, interval-takeIntervals+1); i <= interval; i++ {
		c.takes[i%takeIntervals] = 0
	}
	c.latest = max(c.latest, interval)
}

// maxRate returns the highest rate of the last second at which targets of the service were taken, per second. It is
// unknown until a second has been counted.
func (s *shares) maxRate(service string, now time.Time) (perSecond float64, known bool) {
	c := s.services[service]
	if c == nil || now.Sub(c.countedAt) < takeIntervals*takeInterval {
		return 0, false
	}
	c.count(now)
	most := 0
	for _, n := range c.takes {
		most = max(most, n)
	}
	return float64(most) / takeInterval.Seconds(), true
}

// Record counts a target of the service that a request of the tenant has taken.
func (q *Queue) Record(service, tenant string, now time.Time) {
	if tenant == "" && !q.counting.Load() {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.shares.record(service, tenant, now)
	q.counting.Store(len(q.shares.services) > 0)
}

// NoteRefused notes a tenant whose request was refused, so that others leave it something of the request limits of the
// service although it has got nothing.
func (q *Queue) NoteRefused(service string, rank Rank) {
	if !q.counting.Load() {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.shares.services[service]
	if c == nil {
		return
	}
	c.share(rank.Tenant).priority = rank.TenantPriority
	if len(c.byTenant) > maxTenants {
		c.dropLeast()
	}
}

// HasGotMore reports whether the tenant of a request has lately got more of the service than another tenant that uses it
// and is not less urgent, by more than creditFraction.
func (q *Queue) HasGotMore(service string, rank Rank) bool {
	if !q.counting.Load() {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.shares.services[service]
	if c == nil {
		return false
	}
	own := 0.0
	if t := c.byTenant[rank.Tenant]; t != nil {
		own, t.priority = t.got, rank.TenantPriority
	}
	for name, t := range c.byTenant {
		if name != rank.Tenant && t.priority <= rank.TenantPriority && t.got < (1-creditFraction)*own {
			return true
		}
	}
	return false
}

// limitCredit raises what a tenant without waiting requests has got, so that it is at most creditFraction behind every
// other tenant that waits for the service. The caller holds the lock.
func (q *Queue) limitCredit(service, tenant string) {
	c := q.shares.services[service]
	if c == nil {
		return
	}
	if t := c.byTenant[tenant]; t != nil && t.waiting > 0 {
		return
	}
	least := math.Inf(1)
	for _, w := range q.waiters[service] {
		least = min(least, q.got(w))
	}
	if bound := (1 - creditFraction) * least; !math.IsInf(least, 1) && q.shares.got(service, tenant) < bound {
		c.share(tenant).got = bound
	}
}

// got returns what the tenant of a waiter has lately got. The caller holds the lock.
func (q *Queue) got(w *Waiter) float64 {
	if w.share != nil {
		return w.share.got
	}
	if len(q.shares.services) == 0 {
		return 0
	}
	return q.shares.got(w.service, w.rank.Tenant)
}
