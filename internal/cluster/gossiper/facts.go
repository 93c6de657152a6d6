package gossiper

import (
	"sync"
	"time"

	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/wire/encoder"
)

// refreshInterval is how often a peer is sent all facts again. A peer drops facts about targets that it does not own
// when they arrive, and may own these targets later.
const refreshInterval = 3 * time.Second

// factScope holds the inputs that determine which facts are sent to a peer. After a change, all facts are sent again.
type factScope struct {
	incarnation   string
	manifest      *resolver.Manifest
	members       *resolver.Members
	announcements uint64
}

// factBatch holds the facts for one message to a peer.
type factBatch struct {
	factScope factScope
	// full reports whether changed holds all facts instead of only those that the peer has not confirmed.
	full bool
	// all holds the current facts for the peer, and changed those to send.
	all, changed []encoder.TargetFact
	// sentAt is boot time.
	sentAt time.Duration
}

// confirmedFacts holds the facts that one peer has received.
type confirmedFacts struct {
	factScope factScope
	// refreshedAt is the boot time of the last full batch.
	refreshedAt time.Duration
	// facts is keyed by target.
	facts map[string]encoder.TargetFact
}

// factTracker tracks which facts each peer has confirmed, so that only changes are sent.
type factTracker struct {
	bootTime func() time.Duration

	mu sync.Mutex
	// confirmed is keyed by peer.
	confirmed map[string]confirmedFacts
}

func newFactTracker(bootTime func() time.Duration) *factTracker {
	return &factTracker{bootTime: bootTime, confirmed: make(map[string]confirmedFacts)}
}

// nextBatch returns the batch to send to a peer now: the facts that it has not confirmed, or all when a refresh is due.
func (t *factTracker) nextBatch(peer string, scope factScope, facts []encoder.TargetFact) factBatch {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, found := t.confirmed[peer]
	b := factBatch{factScope: scope, sentAt: t.bootTime(), all: facts, changed: make([]encoder.TargetFact, 0, len(facts))}
	b.full = !found || c.factScope != scope || b.sentAt-c.refreshedAt >= refreshInterval
	for _, fact := range facts {
		// Draining is always sent: every peer selects replicas by it, and drops the fact after a while.
		if b.full || fact.State == encoder.LoadStateDraining || c.facts[fact.Target] != fact {
			b.changed = append(b.changed, fact)
		}
	}
	return b
}

// recordDelivery records that an incarnation of the peer has received the batch.
func (t *factTracker) recordDelivery(peer, incarnation string, b factBatch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.confirmed[peer]
	switch {
	case b.factScope.incarnation != incarnation:
		delete(t.confirmed, peer)
		return
	case b.full:
		c.factScope, c.refreshedAt = b.factScope, b.sentAt
	case c.factScope != b.factScope:
		return
	}
	c.facts = make(map[string]encoder.TargetFact, len(b.all))
	for _, fact := range b.all {
		c.facts[fact.Target] = fact
	}
	t.confirmed[peer] = c
}

// prune deletes the peers that are no longer known.
func (t *factTracker) prune(known func(string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for peer := range t.confirmed {
		if !known(peer) {
			delete(t.confirmed, peer)
		}
	}
}
