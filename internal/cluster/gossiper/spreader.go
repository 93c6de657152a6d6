package gossiper

import (
	"sync"
	"time"

	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/wire/encoder"
)

// refreshInterval is how often a peer gets all facts again: it forgets those of targets that it did not own on arrival.
const refreshInterval = 3 * time.Second

// view is what the choice of facts for a peer depends on.
type view struct {
	incarnation   string
	manifest      *resolver.Manifest
	members       *resolver.Members
	announcements uint64
}

// batch is the facts in one message.
type batch struct {
	view view
	// full tells that changed holds all facts.
	full         bool
	all, changed []encoder.TargetFact
	// sent is boot time.
	sent time.Duration
}

// delivery is what one peer knows.
type delivery struct {
	view view
	// refreshed is the boot time of the last message with all facts.
	refreshed time.Duration
	facts     map[string]encoder.TargetFact
}

// spreader remembers which facts each peer has confirmed, so that only changes are sent.
type spreader struct {
	clock func() time.Duration

	mu         sync.Mutex
	deliveries map[string]delivery
}

func newSpreader(clock func() time.Duration) *spreader {
	return &spreader{clock: clock, deliveries: make(map[string]delivery)}
}

// batch returns what a peer is sent now: the facts that it has not confirmed, or all when they are due.
func (s *spreader) batch(peer string, v view, facts []encoder.TargetFact) batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, found := s.deliveries[peer]
	b := batch{view: v, sent: s.clock(), all: facts, changed: make([]encoder.TargetFact, 0, len(facts))}
	b.full = !found || d.view != v || b.sent-d.refreshed >= refreshInterval
	for _, fact := range facts {
		// Every peer chooses among replicas and forgets after a while that a target is draining.
		if b.full || fact.State == encoder.LoadStateDraining || d.facts[fact.Target] != fact {
			b.changed = append(b.changed, fact)
		}
	}
	return b
}

// delivered notes that an incarnation of the peer has taken a batch.
func (s *spreader) delivered(peer, incarnation string, b batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.deliveries[peer]
	switch {
	case b.view.incarnation != incarnation:
		delete(s.deliveries, peer)
		return
	case b.full:
		d.view, d.refreshed = b.view, b.sent
	case d.view != b.view:
		return
	}
	d.facts = make(map[string]encoder.TargetFact, len(b.all))
	for _, fact := range b.all {
		d.facts[fact.Target] = fact
	}
	s.deliveries[peer] = d
}

// prune forgets the peers that are no longer known.
func (s *spreader) prune(known func(string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for peer := range s.deliveries {
		if !known(peer) {
			delete(s.deliveries, peer)
		}
	}
}
