// Package selector orders the replicas of a shard by their expected cost, which it computes from observed latencies,
// load reports and the failure domain. It leaves out targets that are down, draining or not serving. In native mode the
// query executor uses it to choose a target for each sub-query; sending is left to the router.
package selector

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/wire/encoder"
)

// otherDomainCostFactor is the cost of a replica in another failure domain relative to one in the instance's own
// failure domain.
const otherDomainCostFactor = 1.5

// Configuration provides the current manifest and member list.
type Configuration interface {
	Manifest() *resolver.Manifest
	Members() *resolver.Members
}

// Option configures a Selector.
type Option func(*Selector)

// WithPolicy sets the selection policy; the default is least-loaded.
func WithPolicy(policy encoder.PolicySelection) Option {
	return func(s *Selector) { s.policy = policy }
}

// WithShuffle sets the function that shuffles the replicas before they are ordered.
func WithShuffle(shuffle func(n int, swap func(i, j int))) Option {
	return func(s *Selector) { s.shuffle = shuffle }
}

// Selector orders replicas by their cost as seen from this instance.
type Selector struct {
	domain        string
	configuration Configuration
	policy        encoder.PolicySelection
	shuffle       func(n int, swap func(i, j int))
	// loads holds a *targetLoad for every target seen.
	loads sync.Map
}

// New creates a selector for an instance in the given failure domain.
func New(domain string, configuration Configuration, opts ...Option) *Selector {
	s := &Selector{
		domain: domain, configuration: configuration,
		policy: encoder.PolicySelectionLeastLoaded, shuffle: rand.Shuffle,
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

func (s *Selector) targetLoad(target string) *targetLoad {
	if l, found := s.loads.Load(target); found {
		return l.(*targetLoad)
	}
	l, _ := s.loads.LoadOrStore(target, &targetLoad{})
	return l.(*targetLoad)
}

// AddInFlight counts a sub-query as in flight to the target. ObserveReply must be called when it ends.
func (s *Selector) AddInFlight(target string) {
	s.targetLoad(target).inFlight.Add(1)
}

// ObserveReply processes the reply of a sub-query that AddInFlight has counted, and no longer counts it.
func (s *Selector) ObserveReply(r encoder.SubReply, latency time.Duration) {
	l := s.targetLoad(r.Target)
	now := time.Now()
	l.inFlight.Add(-1)
	l.observeLatency(r, latency, now)
	if r.Reason == encoder.ReasonTargetDown {
		l.downUntil.Store(now.Add(reportedDownTime).UnixNano())
	}
	if r.Outcome == encoder.OutcomeAnswered {
		l.downUntil.Store(0)
	}
	s.observeDraining(l, r, now)
}

// observeDraining processes the draining state in a reply. Only replies with an incarnation come from the target
// itself.
func (s *Selector) observeDraining(l *targetLoad, r encoder.SubReply, now time.Time) {
	draining := r.Reason == encoder.ReasonDraining || r.Incarnation != "" && r.State == encoder.LoadStateDraining
	if draining {
		l.drainingUntil.Store(now.Add(drainTime).UnixNano())
	}
}

// ObserveReport processes a load report of a target.
func (s *Selector) ObserveReport(report encoder.TargetReport) {
	l := s.targetLoad(report.Target)
	now := time.Now()
	l.reportedInFlight.Store(&timedValue{value: float64(report.InFlight), at: now})
	if report.State == encoder.LoadStateDraining {
		l.drainingUntil.Store(now.Add(drainTime).UnixNano())
	}
}

// SetTargetUp records whether this instance can connect to a target that it owns. A target that is down is taken for up
// again after observedDownTime unless the call is repeated.
func (s *Selector) SetTargetUp(target string, up bool) {
	l := s.targetLoad(target)
	if up {
		l.downUntil.Store(0)
		return
	}
	l.downUntil.Store(time.Now().Add(observedDownTime).UnixNano())
}

// Learn processes a fact from another instance: what it knows from its own evidence about the state of an incarnation
// of a target. The selector uses only the state draining.
func (s *Selector) Learn(fact encoder.TargetFact) {
	if fact.State == encoder.LoadStateDraining {
		s.targetLoad(fact.Target).drainingUntil.Store(time.Now().Add(drainTime).UnixNano())
	}
}

// candidate is a replica that may get new work, with its cost at the time of the call of Order.
type candidate struct {
	target string
	cost   float64
}

// Order returns the replicas that may get new work, best first.
func (s *Selector) Order(replicas []string) []string {
	m := s.configuration.Manifest()
	if m == nil {
		return nil
	}
	candidates := s.candidates(m, s.configuration.Members(), replicas)
	s.shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	s.sortByPolicy(candidates)
	ordered := make([]string, 0, len(candidates))
	for _, c := range candidates {
		ordered = append(ordered, c.target)
	}
	return ordered
}

func (s *Selector) candidates(m *resolver.Manifest, members *resolver.Members, replicas []string) []candidate {
	now := time.Now()
	candidates := make([]candidate, 0, len(replicas))
	for _, name := range replicas {
		if !m.IsServing(name) || members.IsTargetLeaving(name) {
			continue
		}
		l := s.targetLoad(name)
		if !l.isAvailable(now) {
			continue
		}
		t, _ := m.Target(name)
		candidates = append(candidates, candidate{target: name, cost: s.cost(l, t, now)})
	}
	return candidates
}

// cost estimates the latency of a new sub-query on the target in nanoseconds, weighted by failure domain.
func (s *Selector) cost(l *targetLoad, t resolver.Target, now time.Time) float64 {
	rounds := 1 + l.estimatedInFlight(now)/float64(max(t.Slots, 1))
	cost := rounds * l.meanLatency(now)
	if t.FailureDomain != s.domain {
		cost *= otherDomainCostFactor
	}
	return cost
}

// sortByPolicy sorts shuffled candidates by the policy.
func (s *Selector) sortByPolicy(candidates []candidate) {
	byCost := func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) }
	switch s.policy {
	case encoder.PolicySelectionRandom:
	case encoder.PolicySelectionTwoChoices:
		slices.SortStableFunc(candidates[:min(2, len(candidates))], byCost)
	default:
		slices.SortStableFunc(candidates, byCost)
	}
}
