// Package placer decides by CPU capacity which instance runs a sharded query, and how its parts are divided among the
// instances of a failure domain, in relay mode. It holds what this instance knows of the outstanding work of others. It has
// no network and no clock: instances and times are passed in. The relayer uses it and carries the decisions out; picking
// targets is left to package picker, and requests that need targets out of reach to package delegator.
package placer

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"apricotflow/internal/cluster/enroller"
	"apricotflow/internal/manifest/mapper"
)

const (
	// partTime is the processor time of one part on a whole core, for sending the request and reading the reply.
	partTime = 100 * time.Microsecond
	// delegationTime is the processor time on a whole core that delegating a query costs the instance where it arrived.
	delegationTime = 500 * time.Microsecond
	// ownDomainTrip and otherDomainTrip are the cost of a round trip to another instance. The latter includes the price of
	// the bytes between failure domains.
	ownDomainTrip   = 500 * time.Microsecond
	otherDomainTrip = 3 * time.Millisecond
	// maxLimitShare is the share of its time limit that a query may take an instance in processor time. A query that takes
	// more is too wide for the instance, because targets need the rest.
	maxLimitShare = 0.5
	// maxBusyShare is the share of the time limit of a query that its processor time and that of the work before it may take
	// an instance that runs it for another one.
	maxBusyShare = 0.8
	// minGain is the highest ratio of the time on another instance to the time here for which a query is delegated.
	minGain = 0.7
	// maxReportAge is the age up to which the work that an instance has reported counts.
	maxReportAge = time.Second
	// suspensionTime is how long an instance gets no queries after it was lost or late.
	suspensionTime = 2 * time.Second
	// excessHalfLife is the half-life of the time that an instance has taken in excess of what its reports explain.
	excessHalfLife = 2 * time.Second
	// fallWeight and riseWeight are the weights of the latest answer in the usual wait for targets. The usual wait follows
	// the fast instances, so that a slow one does not pass for usual.
	fallWeight = 0.5
	riseWeight = 0.02
	// tailRiseWeight and tailFallWeight are those in the tail of the waits. It stays near the longest waits as long as more
	// than a few in a hundred answers take that long.
	tailRiseWeight = 0.3
	tailFallWeight = 0.01
	// maxRoutes is the maximum number of routes whose usual wait is held.
	maxRoutes = 256
	// thousandths is the number of units of CPU capacity in a core.
	thousandths = 1000
)

// Query is what counts of a sharded query for its placement.
type Query struct {
	// Route is the name of its route.
	Route string
	Parts int
	// Limit is the objective of its route, or its time limit without one.
	Limit time.Duration
}

// NewQuery returns what counts of the queries of a sharded route.
func NewQuery(route *mapper.Route) Query {
	limit := route.Objective
	if limit <= 0 {
		limit = route.Timeout
	}
	return Query{Route: route.Name, Parts: len(route.Shards), Limit: limit}
}

// Placer holds the work of other instances and decides on the placement of queries. It is safe for concurrent use.
type Placer struct {
	own enroller.Capacity

	mu      sync.Mutex
	entries map[string]*entry
	// waits holds the time in which instances have answered the queries of a route, without the processor time that their
	// reported work explains. It is the wait for targets.
	waits map[string]wait
}

// wait is the usual wait for targets and its tail.
type wait struct{ usual, tail time.Duration }

// entry is what is known of the work of another instance.
type entry struct {
	// reported is the number of parts in progress that the instance reported at reportedAt.
	reported   int
	reportedAt time.Time
	// handedOver is the number of parts that were handed over to it and are not answered yet.
	handedOver int
	// excess is the time that it has taken in excess of what its reports explain, as of excessAt.
	excess         time.Duration
	excessAt       time.Time
	suspendedUntil time.Time
}

// New returns a Placer for this instance. If its capacity is unknown, nothing is placed.
func New(own enroller.Capacity) *Placer {
	return &Placer{own: own, entries: make(map[string]*entry), waits: make(map[string]wait)}
}

// processorTime returns the processor time of a number of parts on an instance with the given capacity.
func processorTime(parts, capacity int) time.Duration {
	return time.Duration(parts) * partTime * thousandths / time.Duration(capacity)
}

// IsTooWide reports whether the query is too wide for an instance with the given capacity. An unknown capacity is
// sufficient.
func IsTooWide(q Query, capacity int) bool {
	return capacity > 0 && processorTime(q.Parts, capacity) > time.Duration(maxLimitShare*float64(q.Limit))
}

// IsTooWide reports whether the query is too wide for this instance.
func (p *Placer) IsTooWide(q Query) bool { return IsTooWide(q, p.own.Thousandths) }

// IsActive reports whether the query is placed by CPU capacity: it is too wide for an instance, and the capacity of this one
// is known.
func (p *Placer) IsActive(q Query, others []enroller.Capacity) bool {
	if p.own.Thousandths <= 0 {
		return false
	}
	return p.IsTooWide(q) || slices.ContainsFunc(others, func(c enroller.Capacity) bool { return IsTooWide(q, c.Thousandths) })
}

// HasRoom reports whether this instance, with a number of parts in progress, has the processor time for a query of another
// one. A query that is delegated to a busy instance, by one that does not know its work, must be refused.
func (p *Placer) HasRoom(q Query, inProgress int) bool {
	return p.own.Thousandths <= 0 || hasRoom(q, inProgress, p.own.Thousandths)
}

func hasRoom(q Query, inProgress, capacity int) bool {
	return processorTime(inProgress+q.Parts, capacity) <= time.Duration(maxBusyShare*float64(q.Limit))
}

// Choose returns the other instance that should run the query, without those that were tried. It returns false if the query
// should run here, where a number of parts are in progress.
func (p *Placer) Choose(q Query, inProgress int, others []enroller.Capacity, tried []string, now time.Time) (instance string, found bool) {
	if p.own.Thousandths <= 0 {
		return "", false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retain(others)
	limit := time.Duration(minGain * float64(processorTime(inProgress+q.Parts, p.own.Thousandths)))
	delegation := delegationTime * thousandths / time.Duration(p.own.Thousandths)
	var best []string
	shortest := time.Duration(math.MaxInt64)
	for _, c := range others {
		if c.Thousandths <= 0 || c.Suspected || slices.Contains(tried, c.Instance) || !p.mayRun(c, q, now) {
			continue
		}
		t := p.timeOn(c, q.Parts, now) + p.tripTo(c) + delegation
		switch {
		case t >= limit || t > shortest:
			continue
		case t < shortest:
			best, shortest = best[:0], t
		}
		best = append(best, c.Instance)
	}
	if len(best) == 0 {
		return "", false
	}
	return best[rand.IntN(len(best))], true
}

// tripTo returns the cost of a round trip to an instance.
func (p *Placer) tripTo(c enroller.Capacity) time.Duration {
	if c.FailureDomain == p.own.FailureDomain {
		return ownDomainTrip
	}
	return otherDomainTrip
}

// timeOn returns the time of a number of parts on another instance after its outstanding work. The lock must be held.
func (p *Placer) timeOn(c enroller.Capacity, parts int, now time.Time) time.Duration {
	e := p.entries[c.Instance]
	if e == nil {
		return processorTime(parts, c.Thousandths)
	}
	return processorTime(e.outstanding(now)+parts, c.Thousandths) + e.currentExcess(now)
}

// mayRun reports whether an instance may get the query: it is not suspended and, as far as is known, has room for it. The
// lock must be held.
func (p *Placer) mayRun(c enroller.Capacity, q Query, now time.Time) bool {
	e := p.entries[c.Instance]
	if e == nil {
		return hasRoom(q, 0, c.Thousandths)
	}
	return !now.Before(e.suspendedUntil) && hasRoom(q, e.outstanding(now), c.Thousandths)
}

// isSuspended reports whether an instance gets no queries. The lock must be held.
func (p *Placer) isSuspended(instance string, now time.Time) bool {
	e := p.entries[instance]
	return e != nil && now.Before(e.suspendedUntil)
}

// outstanding returns the number of parts that the instance is known to have in progress.
func (e *entry) outstanding(now time.Time) int {
	if now.Sub(e.reportedAt) > maxReportAge {
		return e.handedOver
	}
	return e.reported + e.handedOver
}

// currentExcess returns the excess, which halves each excessHalfLife.
func (e *entry) currentExcess(now time.Time) time.Duration {
	if e.excess == 0 {
		return 0
	}
	return time.Duration(float64(e.excess) * math.Exp2(-float64(now.Sub(e.excessAt))/float64(excessHalfLife)))
}

// retain drops the entries of instances that are not given, if there are any. The lock must be held.
func (p *Placer) retain(others []enroller.Capacity) {
	if len(p.entries) <= len(others) {
		return
	}
	given := make(map[string]bool, len(others))
	for _, c := range others {
		given[c.Instance] = true
	}
	for name, e := range p.entries {
		if !given[name] && e.handedOver == 0 {
			delete(p.entries, name)
		}
	}
}

// entry returns the entry of an instance and creates it if there is none. The lock must be held.
func (p *Placer) entry(instance string) *entry {
	e := p.entries[instance]
	if e == nil {
		e = &entry{}
		p.entries[instance] = e
	}
	return e
}

// RecordWork records the number of parts in progress that an instance has reported.
func (p *Placer) RecordWork(instance string, inProgress int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.entry(instance)
	e.reported, e.reportedAt = max(inProgress, 0), now
}

// Suspend keeps queries away from an instance for a while, because it was lost or late.
func (p *Placer) Suspend(instance string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entry(instance).suspendedUntil = now.Add(suspensionTime)
}
