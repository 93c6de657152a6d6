// Package recorder keeps the latest events of an instance in a ring buffer. All parts of an instance record events in
// it, and the admin API reads them. Events are kept in memory only, and merging them across instances is left to
// package collector.
package recorder

import (
	"fmt"
	"strings"
	"sync"

	"apricotflow/internal/wire/encoder"
)

// Kind is the kind of an event, in kebab case.
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
	// maxFrequentPerSecond is the maximum number of events kept per second of each frequent kind. At this rate, one kind
	// takes over an hour to fill the ring. Without the limit, a few seconds of refused queries would overwrite all
	// earlier events.
	maxFrequentPerSecond = 2
	// clockValuesPerSecond is the number of values in one second of the hybrid logical clock. The lower 16 bits of a value
	// are a counter, the bits above are milliseconds.
	clockValuesPerSecond = 1000 << 16
)

// frequentKinds holds the kinds of event that a fault can cause with every query.
var frequentKinds = map[Kind]bool{
	KindConnectionSilent: true, KindQueryPartial: true, KindQueryRefused: true, KindQueryRestarted: true,
	KindQueryUnknown: true, KindReplyDropped: true, KindTargetShed: true, KindTicketUnknown: true,
}

// DefaultCapacity is the default number of events kept.
const DefaultCapacity = 8192

// Clock provides the time stamps of events. Its values only rise.
type Clock interface {
	Now() int
}

// Recorder keeps the latest events of an instance. It is safe for concurrent use.
type Recorder struct {
	instance string
	clock    Clock

	mu sync.Mutex
	// ring grows up to its capacity. When it is full, next is the index of the oldest event, which is overwritten next.
	ring    []encoder.Event
	next    int
	dropped int
	// rates holds the recent number of events of each frequent kind.
	rates map[Kind]kindRate
}

// kindRate counts the events of one kind in the window of one second that starts at windowStart, a clock value.
type kindRate struct {
	windowStart, recordedInWindow int
	// omitted is the number of events left out since the last recorded one.
	omitted int
}

// New creates a recorder that keeps up to capacity events, but at least one.
func New(instance string, clock Clock, capacity int) *Recorder {
	return &Recorder{
		instance: instance, clock: clock, ring: make([]encoder.Event, 0, max(capacity, 1)), rates: make(map[Kind]kindRate),
	}
}

// Record adds an event. Subject, query and detail may be empty. Only the first maxFrequentPerSecond events of a
// frequent kind are kept in each second; the detail of the next event of the kind tells how many were left out.
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

// admit counts an event of a frequent kind. It returns the number of events that were left out before this one, and
// whether to keep this one.
func (r *Recorder) admit(kind Kind, now int) (omitted int, kept bool) {
	if !frequentKinds[kind] {
		return 0, true
	}
	current := r.rates[kind]
	if now-current.windowStart >= clockValuesPerSecond {
		current.windowStart, current.recordedInWindow = now, 0
	}
	kept = current.recordedInWindow < maxFrequentPerSecond
	if kept {
		omitted, current.omitted = current.omitted, 0
		current.recordedInWindow++
	} else {
		current.omitted++
	}
	r.rates[kind] = current
	return omitted, kept
}

// Events returns the events after the clock value, oldest first, and the number of events overwritten so far.
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
