// Package selector chooses the replica of each shard.
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

// foreignFactor is the cost of a replica in another failure domain relative to one in the own failure domain.
const foreignFactor = 1.5

// Configuration provides the current manifest and member list.
type Configuration interface {
	Manifest() *resolver.Manifest
	Members() *resolver.Members
}

// Option changes a selector.
type Option func(*Selector)

// WithPolicy sets the policy; the default is least-loaded.
func WithPolicy(policy encoder.PolicySelection) Option {
	return func(s *Selector) { s.policy = policy }
}

// WithShuffle sets the source of random orders.
func WithShuffle(shuffle func(n int, swap func(i, j int))) Option {
	return func(s *Selector) { s.shuffle = shuffle }
}

// Selector orders replicas by their load as seen from this instance.
type Selector struct {
	domain        string
	configuration Configuration
	policy        encoder.PolicySelection
	shuffle       func(n int, swap func(i, j int))
	// loads holds a *load for every target seen.
	loads sync.Map
}

// New creates a selector for an instance in the failure domain.
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

func (s *Selector) load(target string) *load {
	if l, found := s.loads.Load(target); found {
		return l.(*load)
	}
	l, _ := s.loads.LoadOrStore(target, &load{})
	return l.(*load)
}

// Begin counts a sub-query that is sent to the target; Observe ends it.
func (s *Selector) Begin(target string) {
	s.load(target).inFlight.Add(1)
}

// Observe takes the reply of a sub-query into account that was counted by Begin.
func (s *Selector) Observe(r encoder.SubReply, latency time.Duration) {
	l := s.load(r.Target)
	now := time.Now()
	l.inFlight.Add(-1)
	l.observe(r, latency, now)
	if r.Reason == encoder.ReasonTargetDown {
		l.downUntil.Store(now.Add(downTime).UnixNano())
	}
	if r.Outcome == encoder.OutcomeAnswered {
		l.downUntil.Store(0)
	}
	s.observeState(l, r, now)
}

// observeState takes the state in a reply into account; replies without an incarnation are not from the target.
func (s *Selector) observeState(l *load, r encoder.SubReply, now time.Time) {
	draining := r.Reason == encoder.ReasonDraining || r.Incarnation != "" && r.State == encoder.LoadStateDraining
	if draining {
		l.drainUntil.Store(now.Add(drainTime).UnixNano())
	}
}

// Hint takes a load report into account.
func (s *Selector) Hint(report encoder.TargetReport) {
	l := s.load(report.Target)
	now := time.Now()
	l.hint.Store(&measure{value: float64(report.InFlight), at: now})
	if report.State == encoder.LoadStateDraining {
		l.drainUntil.Store(now.Add(drainTime).UnixNano())
	}
}

// SetReachable takes into account whether this instance can connect to a target that it owns.
func (s *Selector) SetReachable(target string, reachable bool) {
	l := s.load(target)
	if reachable {
		l.downUntil.Store(0)
		return
	}
	l.downUntil.Store(time.Now().Add(unreachableTime).UnixNano())
}

// Learn takes a fact from another instance into account.
func (s *Selector) Learn(fact encoder.TargetFact) {
	if fact.State == encoder.LoadStateDraining {
		s.load(fact.Target).drainUntil.Store(time.Now().Add(drainTime).UnixNano())
	}
}

// candidate is a replica that may get new work, with its cost at one point in time.
type candidate struct {
	target string
	cost   float64
}

// Order returns the replicas that may get new work, the best first.
func (s *Selector) Order(replicas []string) []string {
	m := s.configuration.Manifest()
	if m == nil {
		return nil
	}
	candidates := s.candidates(m, s.configuration.Members(), replicas)
	s.shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	s.rank(candidates)
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
		if !m.Serving(name) || members.TargetLeaving(name) {
			continue
		}
		l := s.load(name)
		if !l.usable(now) {
			continue
		}
		t, _ := m.Target(name)
		candidates = append(candidates, candidate{target: name, cost: s.cost(l, t, now)})
	}
	return candidates
}

// cost estimates the time that a new sub-query takes.
func (s *Selector) cost(l *load, t resolver.Target, now time.Time) float64 {
	rounds := 1 + l.running(now)/float64(max(t.Slots, 1))
	cost := rounds * l.mean(now)
	if t.FailureDomain != s.domain {
		cost *= foreignFactor
	}
	return cost
}

// rank orders shuffled candidates by the policy.
func (s *Selector) rank(candidates []candidate) {
	byCost := func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) }
	switch s.policy {
	case encoder.PolicySelectionRandom:
	case encoder.PolicySelectionTwoChoices:
		slices.SortStableFunc(candidates[:min(2, len(candidates))], byCost)
	default:
		slices.SortStableFunc(candidates, byCost)
	}
}
