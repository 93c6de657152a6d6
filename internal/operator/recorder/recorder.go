// Package recorder keeps the latest events of an instance in a bounded ring.
package recorder

import (
	"sync"

	"apricotflow/internal/wire/encoder"
)

// Kind names what happened, in kebab case.
type Kind string

// Kinds of event.
const (
	KindInstanceStarted     Kind = "instance-started"
	KindInstanceReady       Kind = "instance-ready"
	KindInstanceStopping    Kind = "instance-stopping"
	KindInstanceStopped     Kind = "instance-stopped"
	KindManifestApplied     Kind = "manifest-applied"
	KindManifestRefused     Kind = "manifest-refused"
	KindMembersApplied      Kind = "members-applied"
	KindPlatformLost        Kind = "platform-lost"
	KindPlatformRegained    Kind = "platform-regained"
	KindPeerConnected       Kind = "peer-connected"
	KindPeerLost            Kind = "peer-lost"
	KindOwnershipGained     Kind = "ownership-gained"
	KindOwnershipLost       Kind = "ownership-lost"
	KindLeaseHeld           Kind = "lease-held"
	KindLeaseLost           Kind = "lease-lost"
	KindLeaseStaticShare    Kind = "lease-static-share"
	KindTargetCold          Kind = "target-cold"
	KindTargetWarm          Kind = "target-warm"
	KindTargetDraining      Kind = "target-draining"
	KindTargetDown          Kind = "target-down"
	KindTargetUp            Kind = "target-up"
	KindTargetShed          Kind = "target-shed"
	KindConnectionSilent    Kind = "connection-silent"
	KindQueryHedged         Kind = "query-hedged"
	KindQueryRefused        Kind = "query-refused"
	KindQueryPartial        Kind = "query-partial"
	KindQueryUnknown        Kind = "query-unknown"
	KindQueryRestarted      Kind = "query-restarted"
	KindTicketForwarded     Kind = "ticket-forwarded"
	KindBudgetEmpty         Kind = "budget-empty"
	KindInvariantViolated   Kind = "invariant-violated"
	KindReplyDropped        Kind = "reply-dropped"
	KindSheddingStarted     Kind = "shedding-started"
	KindSheddingStopped     Kind = "shedding-stopped"
	KindFailureDomainOpen   Kind = "failure-domain-open"
	KindFailureDomainClosed Kind = "failure-domain-closed"
)

// DefaultCapacity is the number of events kept.
const DefaultCapacity = 8192

// Clock stamps events; its values only rise.
type Clock interface {
	Now() int
}

// Recorder keeps the latest events.
type Recorder struct {
	instance string
	clock    Clock

	mu sync.Mutex
	// ring holds at most its capacity; next is the slot of the next event once it is full.
	ring    []encoder.Event
	next    int
	dropped int
}

// New creates a recorder that keeps up to capacity events, at least one.
func New(instance string, clock Clock, capacity int) *Recorder {
	return &Recorder{instance: instance, clock: clock, ring: make([]encoder.Event, 0, max(capacity, 1))}
}

// Record adds an event; subject, query and detail may be empty.
func (r *Recorder) Record(kind Kind, subject, query, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	event := encoder.Event{
		Clock: r.clock.Now(), Instance: r.instance, Kind: string(kind),
		Subject: subject, Query: query, Detail: detail,
	}
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, event)
		return
	}
	r.ring[r.next] = event
	r.next = (r.next + 1) % len(r.ring)
	r.dropped++
}

// Events returns the events after the clock value, oldest first, and how many have left the ring so far.
func (r *Recorder) Events(after int) ([]encoder.Event, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := make([]encoder.Event, 0, len(r.ring))
	for i := range r.ring {
		event := r.ring[(r.next+i)%len(r.ring)]
		if event.Clock > after {
			events = append(events, event)
		}
	}
	return events, r.dropped
}
