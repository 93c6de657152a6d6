package picker

import (
	"time"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/mapper"
)

// Reasons for which a target gets no request now.
const (
	exclusionPaused   = "wants no requests for now"
	exclusionDown     = "down, no connection could be opened"
	exclusionFull     = "full, it has just refused a request"
	exclusionInFlight = "maximum number of requests in flight"
	exclusionCold     = "cold, warm-up rate used up"
	exclusionLimit    = "request limit used up"
)

// Candidate is a target as the choice for a request sees it.
type Candidate struct {
	Target registrar.Target
	// Excluded is the reason for which the target is not chosen; empty if it may be.
	Excluded string
	// Score is the expected latency with all penalties, including a random part; 0 if the target is excluded.
	Score time.Duration
	// InFlight is the number of requests of this instance in flight to the target, and Limit its maximum.
	InFlight, Limit int
	// RelativeLatency is the latency relative to the median of the route, and FailureShare the share of failed requests.
	RelativeLatency, FailureShare float64
	IsOverdue, IsCold             bool
	// ReportedLoad is the number of requests that the target has reported as running or waiting; 0 without a recent report.
	ReportedLoad int
	// Scarcity is the used part of what the request limit of the target lets this instance save up.
	Scarcity float64
}

// Candidates returns the targets with the figures by which Pick chooses among them.
func (p *Picker) Candidates(targets []registrar.Target, service mapper.Service, median time.Duration, preferredDomain string) []Candidate {
	now := time.Now()
	candidates := make([]Candidate, 0, len(targets))
	for _, t := range targets {
		score, hasCapacity := p.evaluate(now, t, service, median, preferredDomain)
		c := p.observationsOf(t.ID).describe(now, t, p.RequestLimit(t, service), p.coldAllowance(t, service, now))
		c.Scarcity = p.limits.Allowance(t.ID).Scarcity()
		switch {
		case hasCapacity:
			c.Excluded, c.Score = "", time.Duration(score)
		case c.Excluded == "":
			c.Excluded = exclusionLimit
		}
		candidates = append(candidates, c)
	}
	return candidates
}

// evaluate returns the score of a target for a request, and whether it has capacity.
func (p *Picker) evaluate(now time.Time, t registrar.Target, service mapper.Service, median time.Duration, preferredDomain string) (score float64, hasCapacity bool) {
	allowance := p.limits.Allowance(t.ID)
	if allowance.Wait() > 0 {
		return 0, false
	}
	score, hasCapacity = p.observationsOf(t.ID).score(now, t, median, p.RequestLimit(t, service), p.coldAllowance(t, service, now))
	if !hasCapacity {
		return 0, false
	}
	if t.FailureDomain != preferredDomain {
		score += float64(crossDomainPenalty)
	}
	return score + allowance.Scarcity()*float64(limitPenalty), true
}

// exclusion returns the reason for which the target gets no request now; empty if there is none. The caller holds the
// lock.
func (o *observations) exclusion(now time.Time, t registrar.Target, limit, coldAllowance int) string {
	switch {
	case o.pausedFor(now, t) > 0:
		return exclusionPaused
	case now.Before(o.downUntil):
		return exclusionDown
	case now.Before(o.fullUntil):
		return exclusionFull
	case len(o.inFlight) >= limit:
		return exclusionInFlight
	case o.isCold(now, t) && o.recentColdRequests(now) >= coldAllowance:
		return exclusionCold
	}
	return ""
}

// describe returns the figures of the target.
func (o *observations) describe(now time.Time, t registrar.Target, limit, coldAllowance int) Candidate {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := Candidate{
		Target: t, Excluded: o.exclusion(now, t, limit, coldAllowance), InFlight: len(o.inFlight), Limit: limit,
		RelativeLatency: o.currentRelativeLatency(now), FailureShare: o.currentFailureShare(now),
		IsOverdue: o.hasOverdue(now), IsCold: o.isCold(now, t),
	}
	if now.Sub(o.loadAt) < maxLoadAge {
		c.ReportedLoad = o.load.Running + o.load.Waiting
	}
	return c
}
