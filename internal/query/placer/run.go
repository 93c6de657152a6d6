package placer

import (
	"time"

	"apricotflow/internal/cluster/enroller"
)

// Run is a query, or parts of one, that another instance runs for this one.
type Run struct {
	placer   *Placer
	entry    *entry
	query    Query
	began    time.Time
	capacity int
	// explained is the processor time that the work known at the start explains.
	explained time.Duration
}

// Begin records that an instance runs a query, or as many parts as the query has. One of the methods of the Run must be
// called when that ends.
func (p *Placer) Begin(c enroller.Capacity, q Query, now time.Time) *Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.entry(c.Instance)
	r := &Run{placer: p, entry: e, query: q, began: now, capacity: c.Thousandths}
	if c.Thousandths > 0 {
		r.explained = processorTime(e.outstanding(now)+q.Parts, c.Thousandths)
	}
	e.handedOver += q.Parts
	return r
}

// End records that the instance no longer runs the query, or that its answer says nothing of its speed.
func (r *Run) End() {
	r.placer.mu.Lock()
	defer r.placer.mu.Unlock()
	r.entry.handedOver -= r.query.Parts
}

// Answered records the end of the query by an answer. The time that neither the work nor the usual wait for targets explains
// is charged to the instance, so that one that reports too little work is not preferred for long.
func (r *Run) Answered(now time.Time) {
	p := r.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	r.entry.handedOver -= r.query.Parts
	explained := r.explained
	if now.Sub(r.entry.reportedAt) <= maxReportAge && r.capacity > 0 {
		// Work of others that the instance had by the end explains the time as well, but only as much as it has reported.
		explained = max(explained, processorTime(r.entry.reported+r.query.Parts, r.capacity))
	}
	wait := max(now.Sub(r.began)-explained, 0)
	usual, found := p.usualWaits[r.query.Route]
	if excess := wait - usual; found && excess > r.entry.currentExcess(now) {
		r.entry.excess, r.entry.excessAt = excess, now
	}
	p.recordWait(r.query, wait, usual, found)
}

// recordWait adds the wait for targets in an answer to the usual one of the route, which is at most maxLimitShare of its
// limit: a longer wait is never usual. The lock must be held.
func (p *Placer) recordWait(q Query, wait, usual time.Duration, found bool) {
	weight := riseWeight
	switch {
	case !found && len(p.usualWaits) >= maxRoutes:
		clear(p.usualWaits)
		weight = 1
	case !found:
		weight = 1
	case wait < usual:
		weight = fallWeight
	}
	next := usual + time.Duration(weight*float64(wait-usual))
	p.usualWaits[q.Route] = min(next, time.Duration(maxLimitShare*float64(q.Limit)))
}
