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

// Canceled records the end of a query that is no longer needed. Its answer would have taken longer than the time until now,
// which counts in the tail of the waits: if only answers counted, the slow ones among them would be missing.
func (r *Run) Canceled(now time.Time) {
	r.placer.mu.Lock()
	defer r.placer.mu.Unlock()
	r.entry.handedOver -= r.query.Parts
	w := now.Sub(r.began) - r.explained
	if known, found := r.placer.waits[r.query.Route]; found && w > known.tail {
		known.tail += time.Duration(tailRiseWeight * float64(w-known.tail))
		r.placer.waits[r.query.Route] = known
	}
}

// Answered records the end of the query by an answer. The time that neither the work nor the usual wait for targets explains
// is charged to the instance, so that one that reports too little work is not preferred for long. An instance that answers is
// neither lost nor frozen, so it no longer rests.
func (r *Run) Answered(now time.Time) {
	p := r.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	r.entry.handedOver -= r.query.Parts
	r.entry.suspendedUntil = time.Time{}
	explained := r.explained
	if now.Sub(r.entry.reportedAt) <= maxReportAge && r.capacity > 0 {
		// Work of others that the instance had by the end explains the time as well, but only as much as it has reported.
		explained = max(explained, processorTime(r.entry.reported+r.query.Parts, r.capacity))
	}
	w := max(now.Sub(r.began)-explained, 0)
	known, found := p.waits[r.query.Route]
	if excess := w - known.usual; found && excess > r.entry.currentExcess(now) {
		r.entry.excess, r.entry.excessAt = excess, now
	}
	if !found && len(p.waits) >= maxRoutes {
		clear(p.waits)
	}
	if !found {
		known = wait{usual: w, tail: w}
	}
	p.waits[r.query.Route] = known.with(w, r.query.Limit)
}

// with returns the waits with another one. The usual one is at most maxLimitShare of the time limit: a longer one is never
// usual.
func (w wait) with(next, limit time.Duration) wait {
	usualWeight, tailWeight := riseWeight, tailFallWeight
	if next < w.usual {
		usualWeight = fallWeight
	}
	if next > w.tail {
		tailWeight = tailRiseWeight
	}
	w.usual += time.Duration(usualWeight * float64(next-w.usual))
	w.tail += time.Duration(tailWeight * float64(next-w.tail))
	w.usual = min(w.usual, time.Duration(maxLimitShare*float64(limit)))
	return w
}

// Expected returns the time from the start in which nearly all answers arrive, if the instance is no slower than others; 0 if
// no answer to a query of the route has arrived yet. Instances wait for the last targets of a query, so this may be more than
// half of the time that a query has.
func (r *Run) Expected() time.Duration {
	r.placer.mu.Lock()
	defer r.placer.mu.Unlock()
	w, found := r.placer.waits[r.query.Route]
	if !found {
		return 0
	}
	return r.explained + w.tail
}
