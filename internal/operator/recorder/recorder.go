// Package recorder keeps the latest events of an instance in a ring buffer, in native mode and in relay mode. All parts
// of an instance record events in it, and the admin API reads them. Events are kept in memory only, and merging them
// across instances is left to package collector.
package recorder

import (
	"fmt"
	"strings"
	"sync"

	"apricotflow/internal/wire/encoder"
)

// Kind is the kind of an event, in kebab case.
type Kind string

// Kinds of event. The subject of an event, if it has one, is the instance, peer, target, group or failure domain that
// the event is about, unless stated otherwise.
const (
	// KindInstanceStarted: the process has started. The detail is the program version and the incarnation.
	KindInstanceStarted Kind = "instance-started"
	// KindInstanceReady: the readiness check of the load balancer succeeds from now on.
	KindInstanceReady Kind = "instance-ready"
	// KindInstanceStopping: a graceful shutdown has begun.
	KindInstanceStopping Kind = "instance-stopping"
	// KindInstanceStopped: the shutdown has released the leases and closed all connections to peers. Native mode only.
	KindInstanceStopped Kind = "instance-stopped"
	// KindManifestApplied: a manifest, or in relay mode a routing table, came into force. The subject is its source.
	KindManifestApplied Kind = "manifest-applied"
	// KindManifestRefused: a received manifest was invalid. The subject is its source.
	KindManifestRefused Kind = "manifest-refused"
	// KindMembersApplied: a member list came into force. The subject is its source.
	KindMembersApplied Kind = "members-applied"
	// KindMembersRefused: a received member list was invalid. The subject is its source.
	KindMembersRefused Kind = "members-refused"
	// KindPlatformLost: a read from the configuration service failed, for the first time since the start of the instance
	// or since one succeeded.
	KindPlatformLost Kind = "platform-lost"
	// KindPlatformRegained: a read from the configuration service succeeded again.
	KindPlatformRegained Kind = "platform-regained"
	// KindPeerConnected: the first connection to an incarnation of a peer is open.
	KindPeerConnected Kind = "peer-connected"
	// KindPeerLeaving: a peer has announced its shutdown.
	KindPeerLeaving Kind = "peer-leaving"
	// KindPeerLost: the last connection to a peer has been closed, for another reason than silence.
	KindPeerLost Kind = "peer-lost"
	// KindOwnershipGained: this instance has become an owner of a target group, or its rank among the owners has changed.
	KindOwnershipGained Kind = "ownership-gained"
	// KindOwnershipLost: this instance is no longer an owner of a target group.
	KindOwnershipLost Kind = "ownership-lost"
	// KindLeaseHeld: this instance holds the lease of a target group: all grantors have granted it.
	KindLeaseHeld Kind = "lease-held"
	// KindLeaseLost: this instance has neither the lease of a target group nor a static share any more.
	KindLeaseLost Kind = "lease-lost"
	// KindLeaseStaticShare: this instance uses its static share of the cold limit, because a grantor does not reply.
	KindLeaseStaticShare Kind = "lease-static-share"
	// KindTargetCold: a target that counted as warm counts as cold.
	KindTargetCold Kind = "target-cold"
	// KindTargetWarm: a target counts as warm.
	KindTargetWarm Kind = "target-warm"
	// KindTargetDraining: a target is draining and gets no new requests.
	KindTargetDraining Kind = "target-draining"
	// KindTargetDown: new connections to a target fail. In relay mode, it was withdrawn or the store no longer lists
	// it.
	KindTargetDown Kind = "target-down"
	// KindTargetUp: a new connection to a target succeeded again. In relay mode, the store lists a new target.
	KindTargetUp Kind = "target-up"
	// KindTargetShed: a target refused a sub-query under load. Queries that this instance sheds are not meant.
	KindTargetShed Kind = "target-shed"
	// KindConnectionSilent: a connection to a target or peer was given up because nothing arrived on it.
	KindConnectionSilent Kind = "connection-silent"
	// KindQueryRefused: a query ended with the outcome not-run.
	KindQueryRefused Kind = "query-refused"
	// KindQueryPartial: a query was answered without some of its shards.
	KindQueryPartial Kind = "query-partial"
	// KindQueryUnknown: a query ended without an answer, but may have run.
	KindQueryUnknown Kind = "query-unknown"
	// KindQueryRestarted: a query was started again because its index version is gone from the targets.
	KindQueryRestarted Kind = "query-restarted"
	// KindTicketUnknown: the outcome of a ticketed query is unknown. The subject is the instance that issued the ticket.
	KindTicketUnknown Kind = "ticket-unknown"
	// KindBudgetEmpty: the budget refused a hedge or retry. Repeated only after a time without refusals.
	KindBudgetEmpty Kind = "budget-empty"
	// KindInvariantViolated: an invariant of package checker was violated.
	KindInvariantViolated Kind = "invariant-violated"
	// KindReplyDropped: a reply was not used: it does not match its sub-query, or no sub-query waits for it.
	KindReplyDropped Kind = "reply-dropped"
	// KindSheddingStarted: this instance has begun to shed queries. The detail is the priority of the first one.
	KindSheddingStarted Kind = "shedding-started"
	// KindSheddingStopped: this instance has not shed a query for some time.
	KindSheddingStopped Kind = "shedding-stopped"
	// KindQuotaHolderChanged: this instance issues tokens of a tenant that another one may have issued before. The subject is
	// the tenant.
	KindQuotaHolderChanged Kind = "quota-holder-changed"
	// KindQuotaCutOff: this instance issues tokens from its failure domain's part of the slack of a tenant, because it reaches
	// half of the instances or fewer. The subject is the tenant.
	KindQuotaCutOff Kind = "quota-cut-off"
	// KindFailureDomainOpen: a closed failure domain is open again.
	KindFailureDomainOpen Kind = "failure-domain-open"
	// KindFailureDomainClosed: a failure domain has been closed.
	KindFailureDomainClosed Kind = "failure-domain-closed"
)

const (
	// maxFrequentPerSecond is the maximum number of events kept per second of each frequent kind. At this rate, one kind
	// takes over an hour to fill a ring of DefaultCapacity. Without the limit, a few seconds of refused queries would
	// overwrite all earlier events.
	maxFrequentPerSecond = 2
	// clockValuesPerSecond is the number of values in one second of the hybrid logical clock. The lower 16 bits of a value
	// are a counter, the bits above are milliseconds.
	clockValuesPerSecond = 1000 << 16
)

// frequentKinds holds the kinds of event that a fault can cause with every query.
var frequentKinds = map[Kind]bool{
	KindConnectionSilent: true, KindQueryPartial: true, KindQueryRefused: true, KindQueryRestarted: true,
	KindQueryUnknown: true, KindQuotaCutOff: true, KindQuotaHolderChanged: true, KindReplyDropped: true, KindTargetShed: true, KindTicketUnknown: true,
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
	ring        []encoder.Event
	next        int
	overwritten int
	// rates holds the recent number of events of each frequent kind.
	rates map[Kind]kindRate
}

// kindRate counts the events of one kind in the window of one second that starts at windowStart, a clock value.
type kindRate struct {
	windowStart, recordedInWindow int
	// omitted is the number of events that limitRate has left out since the last recorded one.
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
	omitted, kept := r.limitRate(kind, now)
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
	r.overwritten++
}

// limitRate counts an event of a frequent kind in the current second. It returns the number of events that were left
// out before this one, and whether to keep this one.
func (r *Recorder) limitRate(kind Kind, now int) (omitted int, kept bool) {
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
	return events, r.overwritten
}
