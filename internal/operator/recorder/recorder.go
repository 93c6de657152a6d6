// Package recorder keeps the latest events of an instance in a bounded ring.
package recorder

import (
	"fmt"
	"strings"
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
	KindPeerLeaving         Kind = "peer-leaving"
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
	KindQueryRefused        Kind = "query-refused"
	KindQueryPartial        Kind = "query-partial"
	KindQueryUnknown        Kind = "query-unknown"
	KindQueryRestarted      Kind = "query-restarted"
	KindTicketUnknown       Kind = "ticket-unknown"
	KindBudgetEmpty         Kind = "budget-empty"
	KindInvariantViolated   Kind = "invariant-violated"
	KindReplyDropped        Kind = "reply-dropped"
	KindSheddingStarted     Kind = "shedding-started"
	KindSheddingStopped     Kind = "shedding-stopped"
	KindFailureDomainOpen   Kind = "failure-domain-open"
	KindFailureDomainClosed Kind = "failure-domain-closed"
)

const (
	// frequentLimit bounds the events of each frequent kind in one second. At this rate a kind needs over an hour to
	// fill the ring; without it, seconds of refused queries hide what happened before.
	frequentLimit = 2
	// clockSecond is one second of the hybrid logical clock, whose lower 16 bits are a counter.
	clockSecond = 1000 << 16
)

// frequent holds the kinds that a fault can cause with every query.
var frequent = map[Kind]bool{
	KindConnectionSilent: true, KindQueryPartial: true, KindQueryRefused: true, KindQueryRestarted: true,
	KindQueryUnknown: true, KindReplyDropped: true, KindTargetShed: true, KindTicketUnknown: true,
}

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
	// rates holds the recent number of events of each frequent kind.
	rates map[Kind]rate
}

// rate counts the events of one kind in the second that starts at a clock value.
type rate struct {
	since, recorded int
	// omitted counts the events that were left out since the last one that was recorded.
	omitted int
}

// New creates a recorder that keeps up to capacity events, at least one.
func New(instance string, clock Clock, capacity int) *Recorder {
	return &Recorder{
		instance: instance, clock: clock, ring: make([]encoder.Event, 0, max(capacity, 1)), rates: make(map[Kind]rate),
	}
}

// Record adds an event; subject, query and detail may be empty. Of the kinds that a fault can cause with every query,
// only the first ones in each second are kept; the next event of the kind tells how many were left out.
func (r *Recorder) Record(kind Kind, subject, query, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	omitted, kept := r.admit(kind, now)
	if !kept {
		return
	}
	if omitted > 0 {
		detail = strings.TrimPrefix(fmt.Sprintf("%s (%d more left out before)", detail, omitted), " ")
	}
	event := encoder.Event{
		Clock: now, Instance: r.instance, Kind: string(kind),
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

// admit counts an event of a frequent kind; it reports how many were left out before, and whether to keep this one.
func (r *Recorder) admit(kind Kind, now int) (omitted int, kept bool) {
	if !frequent[kind] {
		return 0, true
	}
	s := r.rates[kind]
	if now-s.since >= clockSecond {
		s.since, s.recorded = now, 0
	}
	kept = s.recorded < frequentLimit
	if kept {
		omitted, s.omitted = s.omitted, 0
		s.recorded++
	} else {
		s.omitted++
	}
	r.rates[kind] = s
	return omitted, kept
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
