package relayer

import (
	"cmp"
	"slices"
	"time"

	"apricotflow/internal/query/placer"
	"apricotflow/internal/query/quarantiner"
	"apricotflow/internal/target/picker"
	"apricotflow/internal/wire/encoder"
)

// Explanation is what would be done with a request now.
type Explanation struct {
	// Refusals holds what would refuse the request, the first check first.
	Refusals []Refusal
	// Services holds the service of the request, or one entry for each shard.
	Services []encoder.ExplainedService
	// Notes holds what else may decide, but depends on the body or the key of the request.
	Notes []string
}

// Refusal is a reason for which a request does not run.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
}

// Explain returns what would be done with the request now, by the decisions that Relay takes. It sends nothing and
// counts nothing.
func (r *Relayer) Explain(request Request) Explanation {
	f := newForwarder(r.sender, r.concentrator, r.gate, r.quarantine, r.placement, request)
	e := Explanation{Services: make([]encoder.ExplainedService, 0, len(f.parts))}
	for _, p := range f.parts {
		e.Services = append(e.Services, f.explainService(p))
	}
	switch {
	case isCutOff(r.sender, request):
		e.Notes = append(e.Notes, "targets are out of reach from here: the request is handed over to another instance if one takes it")
		e.refuse(f, f.answerCannotServe())
	case !r.sender.CanServe(request.Route, request.Outbound.ID):
		e.refuse(f, f.answerCannotServe())
	}
	if r.isTooWide(request) {
		e.Notes = append(e.Notes, r.explainPlacement(request))
	}
	if r.sender.AnyLimited() {
		if wait := f.limitWait(); f.exceedsWait(wait) {
			e.refuse(f, f.answerLimited(wait))
		}
	}
	if !request.Route.IsSharded() && len(e.Refusals) == 0 && f.refuseIfHopeless(f.parts[0]) {
		e.Refusals = append(e.Refusals, Refusal{Reason: "queue too long", RetryAfter: f.roomAfter})
	}
	if !r.quarantine.IsEmpty() {
		e.Notes = append(e.Notes, "targets have ended under some requests: whether this one is held depends on its body")
		if r.quarantine.Verdict(f.fingerprintOf()) == quarantiner.Quarantined {
			e.Refusals = append(e.Refusals, Refusal{Reason: "quarantined, targets have ended under such requests"})
		}
	}
	return e
}

// explainPlacement returns where a query would run that is too wide for this instance.
func (r *Relayer) explainPlacement(request Request) string {
	placement := r.placement
	helper, found := placement.placer.Choose(placer.NewQuery(request.Route), r.sender.InProgress(), placement.fleet.Capacities(), nil, time.Now())
	if !found {
		return "too wide for the CPU capacity here, but no other instance would be faster"
	}
	return "too wide for the CPU capacity here: instance " + helper + " would run it"
}

// refuse adds the reason of an answer that refuses the request.
func (e *Explanation) refuse(f *forwarder, answer Answer) {
	e.Refusals = append(e.Refusals, Refusal{Reason: f.decisions[len(f.decisions)-1].Event, RetryAfter: answer.RetryAfter})
}

// explainService returns how the target of a part would be chosen.
func (f *forwarder) explainService(p *part) encoder.ExplainedService {
	outlook := f.sender.Outlook(p.service, f.rank(), nil, f.targetWaitDeadline())
	explained := encoder.ExplainedService{
		Service: p.service.Name, PreferredDomain: f.preferredDomain, MedianMs: milliseconds(f.latency.Median),
		HedgeDelayMs: milliseconds(f.latency.HedgeDelay), Ahead: outlook.Ahead, TenantGot: outlook.Got,
		LimitWaitMs: milliseconds(f.sender.LimitWait(p.service.Name, f.rank())), Candidates: []encoder.ExplainedCandidate{},
	}
	candidates := f.sender.Explain(p.service, f.latency, f.preferredDomain, func(string) bool { return false })
	slices.SortStableFunc(candidates, compareCandidates)
	for _, c := range candidates {
		explained.Candidates = append(explained.Candidates, explainCandidate(c))
	}
	return explained
}

// compareCandidates orders the target that would be chosen first, and those that are left out last.
func compareCandidates(a, b picker.Candidate) int {
	if (a.LeftOut == "") != (b.LeftOut == "") {
		return cmp.Compare(a.LeftOut, b.LeftOut)
	}
	return cmp.Compare(a.Score(), b.Score())
}

func explainCandidate(c picker.Candidate) encoder.ExplainedCandidate {
	explained := encoder.ExplainedCandidate{
		Target: c.Target.ID, FailureDomain: c.Target.FailureDomain, Excluded: c.LeftOut, InFlight: c.InFlight, Limit: c.Limit, Cold: c.IsCold,
	}
	if c.LeftOut != "" {
		return explained
	}
	explained.ScoreMs, explained.LatencyMs, explained.RelativeLatency = milliseconds(c.Score()), milliseconds(c.Latency), c.RelativeLatency
	if explained.ByCost = c.ByCost; c.ByCost {
		explained.RelativeLatency, explained.OtherRequests = c.Expectation.RelativeDuration, c.Expectation.OtherRequests
		explained.WorkMs, explained.WaitMs = milliseconds(c.Expectation.Work), milliseconds(c.Expectation.Wait)
	}
	explained.BacklogPenaltyMs, explained.DomainPenaltyMs = milliseconds(c.BacklogPenalty), milliseconds(c.DomainPenalty)
	explained.OverduePenaltyMs, explained.FailurePenaltyMs = milliseconds(c.OverduePenalty), milliseconds(c.FailurePenalty)
	explained.LimitPenaltyMs = milliseconds(c.LimitPenalty)
	return explained
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
