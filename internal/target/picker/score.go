package picker

import (
	"math"
	"math/rand/v2"
	"time"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/target/appraiser"
)

// RequestKind describes the requests of a route.
type RequestKind struct {
	Route string
	// Median is the median latency of the route.
	Median time.Duration
}

// Reasons why a target is left out.
const (
	ReasonExcluded     = "excluded, the request was sent to it before"
	ReasonRequestLimit = "request limit used up"
	ReasonInFlight     = "too many requests in flight"
	ReasonDown         = "connections failed"
	ReasonFull         = "it has refused a request just now"
	ReasonPaused       = "it wants no requests for a while"
	ReasonCold         = "cold, and the rate for cold targets is used up"
	ReasonOutOfReach   = "failure domain out of reach"
	ReasonDomainClosed = "failure domain closed"
	ReasonWithdrawn    = "withdrawn, another target has its address"
	ReasonDraining     = "draining"
	ReasonLeaving      = "leaving"
)

// Candidate describes how a target was judged for a request. The target with the lowest score gets it.
type Candidate struct {
	Target registrar.Target
	// LeftOut is the reason why the target cannot get the request; empty if it can. The figures below are then zero, as far
	// as they were not needed to find that out.
	LeftOut string
	// ByCost reports whether Expectation was used; otherwise the latency relative to the median and the load were.
	ByCost      bool
	Expectation appraiser.Expectation
	// RelativeLatency is the latency of the target relative to the median of the route, and Wait the expected wait relative
	// to that latency. Both are used if ByCost is false.
	RelativeLatency float64
	Wait            float64
	IsCold          bool
	// InFlight is the number of requests of this instance in flight to the target, and Limit their maximum.
	InFlight, Limit int
	// Latency is the expected latency without penalties.
	Latency time.Duration
	// The penalties are part of the score. BacklogPenalty is 0 unless ByCost.
	BacklogPenalty, DomainPenalty, OverduePenalty, FailurePenalty, LimitPenalty time.Duration
	// jitterBase is what the random part of the score is a share of, in nanoseconds.
	jitterBase float64
	// score is the sum of the latency and the penalties in nanoseconds.
	score float64
}

// Score returns the expected latency and all penalties, without the random part.
func (c Candidate) Score() time.Duration { return time.Duration(c.score) }

// Pick returns the target with the lowest score among those that have capacity and are not excluded. Targets in the
// preferred failure domain get no crossDomainPenalty.
func (p *Picker) Pick(targets []registrar.Target, service mapper.Service, kind RequestKind, preferredDomain string, excluded func(id string) bool) (registrar.Target, bool) {
	now := time.Now()
	best, bestScore := -1, math.Inf(1)
	for i := range targets {
		c := Candidate{}
		if c.LeftOut = p.assess(&c, now, &targets[i], service, kind, preferredDomain, excluded); c.LeftOut != "" {
			continue
		}
		if score := c.score + jitter*rand.Float64()*c.jitterBase; score < bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return registrar.Target{}, false
	}
	return targets[best], true
}

// Explain returns how Pick judges the targets at present, in their order.
func (p *Picker) Explain(targets []registrar.Target, service mapper.Service, kind RequestKind, preferredDomain string, excluded func(id string) bool) []Candidate {
	now := time.Now()
	candidates := make([]Candidate, 0, len(targets))
	for i := range targets {
		c := Candidate{Target: targets[i]}
		c.LeftOut = p.assess(&c, now, &targets[i], service, kind, preferredDomain, excluded)
		candidates = append(candidates, c)
	}
	return candidates
}

// assess judges a target for a request. It sets the figures of the candidate and returns the reason to leave it out; empty
// if there is none.
func (p *Picker) assess(c *Candidate, now time.Time, t *registrar.Target, service mapper.Service, kind RequestKind, preferredDomain string, excluded func(id string) bool) (leftOut string) {
	if excluded(t.ID) {
		return ReasonExcluded
	}
	allowance := p.limits.Allowance(t.ID)
	if allowance.Wait() > 0 {
		return ReasonRequestLimit
	}
	c.Limit = p.RequestLimit(*t, service)
	if reason := p.assessObserved(c, now, t, kind, p.coldAllowance(*t, service, now)); reason != "" {
		return reason
	}
	if t.FailureDomain != preferredDomain {
		c.DomainPenalty = crossDomainPenalty
	}
	limit := allowance.Scarcity() * float64(limitPenalty)
	c.LimitPenalty = time.Duration(limit)
	c.score += float64(c.DomainPenalty) + limit
	return ""
}

// placement describes a request of the kind to a target.
func (p *Picker) placement(t registrar.Target, kind RequestKind, isCold bool) appraiser.Placement {
	return appraiser.Placement{
		Route: kind.Route, Service: t.Service, Target: t.ID, Slots: max(t.Slots, 0), IsCold: isCold, Network: p.network(t), UsualLatency: kind.Median,
	}
}

// network returns the time of a round trip to a target.
func (p *Picker) network(t registrar.Target) time.Duration {
	if t.FailureDomain != p.domain {
		return crossDomainRoundTrip
	}
	return roundTrip
}

// assessObserved is the part of assess that needs the observations of the target. A target that is considered down has no
// capacity, nor has one that has just refused a request: requests that wait for another target would try it one after the
// other, and use up the budget for retries.
func (p *Picker) assessObserved(c *Candidate, now time.Time, t *registrar.Target, kind RequestKind, coldAllowance int) (leftOut string) {
	o := p.observationsOf(t.ID)
	o.mu.Lock()
	defer o.mu.Unlock()
	c.InFlight, c.IsCold = len(o.inFlight), o.isCold(now, *t)
	switch {
	case o.pausedFor(now, *t) > 0:
		return ReasonPaused
	case now.Before(o.downUntil):
		return ReasonDown
	case now.Before(o.fullUntil):
		return ReasonFull
	case c.InFlight >= c.Limit:
		return ReasonInFlight
	case c.IsCold && o.recentColdRequests(now) >= coldAllowance:
		return ReasonCold
	}
	c.Expectation, c.ByCost = p.costs.Expect(now, p.placement(*t, kind, c.IsCold))
	if c.ByCost {
		c.BacklogPenalty = time.Duration(backlogWeight * float64(c.Expectation.Backlog))
		c.score, c.jitterBase = float64(c.Expectation.Completion), float64(c.Expectation.Work)
	} else {
		c.RelativeLatency, c.Wait = o.currentRelativeLatency(now), o.expectedWait(now, *t)
		c.jitterBase = c.RelativeLatency * float64(kind.Median)
		if c.IsCold {
			c.jitterBase *= coldLatencyFactor
		}
		c.score = c.jitterBase * (1 + c.Wait)
	}
	c.Latency = time.Duration(c.score)
	c.score += float64(c.BacklogPenalty)
	if o.hasOverdue(now) {
		c.OverduePenalty = overduePenalty
		c.score += float64(overduePenalty)
	}
	failure := o.currentFailureShare(now) * float64(failurePenalty)
	c.FailurePenalty = time.Duration(failure)
	c.score += failure
	return ""
}

// pausedFor returns how long the target still wants no requests from this instance. A start of a target knows nothing of
// what the one before it has asked for.
func (o *observations) pausedFor(now time.Time, t registrar.Target) time.Duration {
	if t.Started != o.pausedStart {
		return 0
	}
	return max(o.pausedUntil.Sub(now), 0)
}

// isCold reports whether the target is expected to be cold, by its directory entry or its own reports.
func (o *observations) isCold(now time.Time, t registrar.Target) bool {
	return now.Before(t.ColdUntil) || now.Before(o.coldUntil)
}

// expectedWait returns the expected wait for a slot in multiples of the expected latency.
func (o *observations) expectedWait(now time.Time, t registrar.Target) float64 {
	slots := slots(t)
	load := len(o.inFlight)
	if now.Sub(o.loadAt) < maxLoadAge {
		load = max(load, o.load.Running+o.load.Waiting)
	}
	return float64(max(load-slots+1, 0))/float64(slots) + jitter*float64(load)
}

// hasOverdue reports whether the target has an overdue reply. A paused target sends no replies at all: if requests are
// placed by their cost, one that is overdue while the target has replied to others since then is a costly one.
func (o *observations) hasOverdue(now time.Time) bool {
	for r := range o.inFlight {
		if now.After(r.due) && (r.cost == nil || !o.repliedAt.After(r.due)) {
			return true
		}
	}
	return false
}

// currentFailureShare returns the failure share, which decays towards 0 while the target gets no requests.
func (o *observations) currentFailureShare(now time.Time) float64 {
	if o.failureShare == 0 {
		return 0
	}
	return o.failureShare * math.Exp2(-float64(now.Sub(o.failureShareAt))/float64(decayHalfLife))
}

// recentColdRequests returns the number of requests within the last second while the target was cold.
func (o *observations) recentColdRequests(now time.Time) int {
	keep := o.coldRequests[:0]
	for _, at := range o.coldRequests {
		if now.Sub(at) < time.Second {
			keep = append(keep, at)
		}
	}
	o.coldRequests = keep
	return len(keep)
}
