// Package lessor grants, holds and renews leases on groups of targets, so that all instances together stay within the
// cold limit of each target. A lease needs the grants of other instances, the grantors; while some of them do not
// answer, the group's two static owners use fixed shares of the limit instead. Package owner decides which instances
// these are.
package lessor

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"apricotflow/internal/cluster/messenger"
	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/wire/encoder"
)

const (
	// roundsPerLease is the number of renewal rounds in one lease time.
	roundsPerLease = 3
	// releasedGrantLeases is the number of lease times for which a released incarnation counts as granting. The next
	// incarnation of the instance grants and holds nothing for the first lease time, and uses no static share before it
	// has been without answers for the second.
	releasedGrantLeases = 2
	// maxSkippedRounds limits the rounds skipped after a refusal to fewer than this number.
	maxSkippedRounds = 3
)

// Ownership provides the ownership of groups as seen by this instance.
type Ownership interface {
	Rank(group string) int
	// Grantors returns the grantors of the group: the instances whose grants a lease needs.
	Grantors(group string) []string
	StaticOwners(group string) []string
	Candidates() []string
	ReleasedAt(instance string) time.Duration
}

// Configuration provides the manifest and member list in force.
type Configuration interface {
	Manifest() *resolver.Manifest
	Members() *resolver.Members
}

// Network sends lease requests and releases to other instances.
type Network interface {
	Grant(ctx context.Context, instance string, request encoder.GrantRequest) (encoder.GrantReply, error)
	Release(ctx context.Context, instance string, message encoder.ReleaseMessage) error
}

// LogicalClock provides the timestamps that order the requests and releases of this instance.
type LogicalClock interface {
	Now() int
}

// Events records leases acquired and lost.
type Events interface {
	Record(kind recorder.Kind, subject, query, detail string)
}

// LeaseRequest is a request to one grantor. Without groups it only checks whether the grantor answers.
type LeaseRequest struct {
	Grantor string
	Request encoder.GrantRequest
	// sentAt is the boot time before the request was sent.
	sentAt time.Duration
	round  uint64
}

// Release is a release of leases to be sent to one grantor.
type Release struct {
	Grantor string
	Message encoder.ReleaseMessage
}

// Option configures a Lessor.
type Option func(*Lessor)

// WithPolicy sets the policy that divides cold limits among the instances.
func WithPolicy(policy encoder.PolicyColdLimit) Option {
	return func(l *Lessor) { l.policy = policy }
}

// Lessor holds the leases of one instance and grants leases to others. It is safe for concurrent use.
type Lessor struct {
	instance      string
	incarnation   string
	ownership     Ownership
	configuration Configuration
	network       Network
	clock         func() time.Duration
	logicalClock  LogicalClock
	events        Events
	policy        encoder.PolicyColdLimit

	mu sync.Mutex
	// startedAt is boot time.
	startedAt time.Duration
	// closed reports whether the use of leases has ended; see BeginRelease.
	closed bool
	// retired reports whether this incarnation never grants or holds a lease again.
	retired bool
	round   uint64
	// grants and holdings are keyed by group, failureStreaks by grantor.
	grants         map[string]grant
	holdings       map[string]*holding
	failureStreaks map[string]*failureStreak
}

// New creates a Lessor. The clock is boot time. For one lease time from now no lease is held and no new lease is
// granted.
func New(instance, incarnation string, ownership Ownership, configuration Configuration, network Network,
	clock func() time.Duration, logicalClock LogicalClock, events Events, options ...Option,
) *Lessor {
	l := &Lessor{
		instance: instance, incarnation: incarnation, ownership: ownership, configuration: configuration,
		network: network, clock: clock, logicalClock: logicalClock, events: events, policy: encoder.PolicyColdLimitLease,
		startedAt: clock(), grants: make(map[string]grant), holdings: make(map[string]*holding),
		failureStreaks: make(map[string]*failureStreak),
	}
	for _, option := range options {
		option(l)
	}
	return l
}

// Allowance returns the maximum number of sub-queries that this instance may have in flight to the cold target until
// the given boot time.
func (l *Lessor) Allowance(target string, until time.Duration) int {
	t, found := l.target(target)
	if !found {
		return 0
	}
	if l.policy == encoder.PolicyColdLimitEqual {
		return t.ColdLimit / max(1, len(l.configuration.Members().LiveInstances()))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.holdings[t.Group]
	if h == nil || l.closed || until < l.clock() {
		return 0
	}
	allowance := l.allowance(h, t, until)
	if allowance > 0 {
		h.allowedUntil = max(h.allowedUntil, until)
	}
	return allowance
}

// Expiry returns the boot time until which Allowance is above 0 as things stand, or 0.
func (l *Lessor) Expiry(target string) time.Duration {
	t, found := l.target(target)
	if !found {
		return 0
	}
	if l.policy == encoder.PolicyColdLimitEqual {
		return l.clock() + l.lease()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.holdings[t.Group]
	if h == nil || l.closed {
		return 0
	}
	leasedUntil, staticUntil := l.validUntil(h, t.Group)
	if l.staticShare(t.Group, t.ColdLimit) > 0 {
		return max(leasedUntil, staticUntil)
	}
	return leasedUntil
}

// target returns the named target of the manifest in force.
func (l *Lessor) target(name string) (resolver.Target, bool) {
	manifest := l.configuration.Manifest()
	if manifest == nil {
		return resolver.Target{}, false
	}
	return manifest.Target(name)
}

// Settled reports whether this instance may grant and hold leases, because every grant of its previous incarnation has
// expired.
func (l *Lessor) Settled() bool {
	return l.clock()-l.startedAt >= l.lease()
}

// BeginRound starts a renewal round and returns the requests and releases to send now. The outcome of each request must
// be reported to FinishRequest.
func (l *Lessor) BeginRound() ([]LeaseRequest, []Release) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	if l.closed || l.policy == encoder.PolicyColdLimitEqual || !l.Settled() {
		return nil, nil
	}
	l.round++
	requestGroups, releaseGroups := make(map[string][]string), make(map[string][]string)
	for _, group := range l.ownership.Candidates() {
		l.beginGroup(group, now, requestGroups, releaseGroups)
	}
	l.deleteExpiredGrants(now)
	// Releases are stamped before the requests of the same round; otherwise they would end the grants of those requests.
	releases := l.leaseReleases(releaseGroups)
	return l.leaseRequests(requestGroups, now), releases
}

// FinishRequest reports the outcome of a request returned by BeginRound.
func (l *Lessor) FinishRequest(request LeaseRequest, reply encoder.GrantReply, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	var remote *messenger.RemoteError
	if err != nil && !errors.As(err, &remote) {
		s := l.failureStreaks[request.Grantor]
		if s == nil {
			s = &failureStreak{}
			l.failureStreaks[request.Grantor] = s
		}
		s.add(request.sentAt, now)
		return
	}
	if err != nil {
		reply = encoder.GrantReply{Refused: request.Request.Groups}
	}
	if !reply.Withheld {
		// A grantor that has just started cannot grant yet, so its reply does not end a static share.
		delete(l.failureStreaks, request.Grantor)
	}
	until := request.sentAt + time.Duration(request.Request.DurationMs)*time.Millisecond
	for _, group := range reply.Granted {
		if h := l.holdings[group]; h != nil && request.round > h.abandonedRound {
			h.grantedUntil[request.Grantor] = max(h.grantedUntil[request.Grantor], until)
		}
	}
	for _, group := range reply.Confirmed {
		// A confirmation counts only while the grant of the grantor's previous incarnation has not expired: until then that
		// incarnation cannot have granted the group to another instance, and it has already been replaced.
		if h := l.holdings[group]; h != nil && request.round > h.abandonedRound && h.grantedUntil[request.Grantor] > now {
			h.grantedUntil[request.Grantor] = max(h.grantedUntil[request.Grantor], until)
		}
	}
	for _, group := range reply.Refused {
		h := l.holdings[group]
		if h == nil || reply.Withheld || request.round <= h.abandonedRound || h.allowedUntil > now {
			continue
		}
		h.drop(l.round)
		h.roundsToSkip = (xxhash.Sum64String(l.instance+group) + l.round) * 0x9e3779b97f4a7c15 >> 33 % maxSkippedRounds
	}
}

// beginGroup adds the requests and releases of one group to the maps, which are keyed by grantor.
func (l *Lessor) beginGroup(group string, now time.Duration, requestGroups, releaseGroups map[string][]string) {
	h := l.holdings[group]
	if h == nil {
		h = &holding{grantedUntil: make(map[string]time.Duration)}
		l.holdings[group] = h
	}
	grantors := l.updateGrantors(h, group)
	if staticOwners := l.ownership.StaticOwners(group); len(staticOwners) > 1 && staticOwners[1] == l.instance {
		// The second static owner probes the first one even without a request for the group, since only its own unanswered
		// requests allow it to use its static share.
		requestGroups[staticOwners[0]] = append(requestGroups[staticOwners[0]], "")
	}
	shouldHold := l.shouldHold(group)
	if !shouldHold && h.ownUntil > now {
		if h.allowedUntil <= now {
			h.drop(l.round)
		} else {
			h.ownUntil = min(h.ownUntil, h.allowedUntil)
		}
	}
	if h.releasePending {
		h.releasePending = false
		for _, grantor := range grantors {
			releaseGroups[grantor] = append(releaseGroups[grantor], group)
		}
	}
	l.recordModeChange(h, group, now)
	switch {
	case !shouldHold:
		return
	case h.roundsToSkip > 0:
		h.roundsToSkip--
		return
	case l.grants[group].until > now:
		return
	}
	h.ownUntil = now + l.lease()
	for _, grantor := range grantors {
		requestGroups[grantor] = append(requestGroups[grantor], group)
	}
}

// updateGrantors updates the holding after a change of the grantors and returns the current ones. A lease stays valid
// for the term that the former grantors granted; new grantors are asked to confirm it. A released grantor counts as
// granting for a limited time.
func (l *Lessor) updateGrantors(h *holding, group string) []string {
	leasedUntil, _ := l.validUntil(h, group)
	releasedUntil := make(map[string]time.Duration)
	for _, grantor := range l.ownership.Grantors(group) {
		if releasedAt := l.ownership.ReleasedAt(grantor); releasedAt > 0 {
			releasedUntil[grantor] = releasedAt + releasedGrantLeases*l.lease()
		}
	}
	// The grantors are read again after ReleasedAt, because they depend on which instances are released.
	grantors := l.ownership.Grantors(group)
	for _, grantor := range grantors {
		if !slices.Contains(h.grantors, grantor) {
			h.grantedUntil[grantor] = max(h.grantedUntil[grantor], leasedUntil)
		}
		h.grantedUntil[grantor] = max(h.grantedUntil[grantor], releasedUntil[grantor])
	}
	h.grantors = grantors
	return grantors
}

// shouldHold reports whether this instance should hold the group: as its first owner, or as second static owner once
// the first one is unresponsive, if its static share of any target is above 0.
func (l *Lessor) shouldHold(group string) bool {
	if l.ownership.Rank(group) == 1 {
		return true
	}
	staticOwners := l.ownership.StaticOwners(group)
	if len(staticOwners) < 2 || staticOwners[1] != l.instance || !l.failureStreaks[staticOwners[0]].unresponsive(l.lease()) {
		return false
	}
	manifest := l.configuration.Manifest()
	for _, g := range manifest.Groups() {
		if g.Name != group {
			continue
		}
		for _, name := range g.Targets {
			if t, _ := manifest.Target(name); t.ColdLimit > 1 {
				return true
			}
		}
	}
	return false
}

// leaseRequests builds one request per grantor.
func (l *Lessor) leaseRequests(groupsByGrantor map[string][]string, now time.Duration) []LeaseRequest {
	leaseRequests := make([]LeaseRequest, 0, len(groupsByGrantor))
	for _, grantor := range slices.Sorted(maps.Keys(groupsByGrantor)) {
		names := groupsByGrantor[grantor]
		request := encoder.GrantRequest{
			Instance: l.instance, Incarnation: l.incarnation, Clock: l.logicalClock.Now(),
			Groups: nonEmpty(names), Held: l.heldGroups(names, grantor, now), DurationMs: int(l.lease() / time.Millisecond),
		}
		leaseRequests = append(leaseRequests, LeaseRequest{Grantor: grantor, Request: request, sentAt: now, round: l.round})
	}
	return leaseRequests
}

// heldGroups returns the groups for which the grantor's grant has not expired.
func (l *Lessor) heldGroups(groups []string, grantor string, now time.Duration) []string {
	heldGroups := make([]string, 0, len(groups))
	for _, group := range groups {
		if h := l.holdings[group]; h != nil && h.grantedUntil[grantor] > now {
			heldGroups = append(heldGroups, group)
		}
	}
	return heldGroups
}

// leaseReleases builds one release per grantor.
func (l *Lessor) leaseReleases(groupsByGrantor map[string][]string) []Release {
	leaseReleases := make([]Release, 0, len(groupsByGrantor))
	for _, grantor := range slices.Sorted(maps.Keys(groupsByGrantor)) {
		names := groupsByGrantor[grantor]
		message := encoder.ReleaseMessage{
			Instance: l.instance, Incarnation: l.incarnation, Clock: l.logicalClock.Now(), Groups: names,
		}
		leaseReleases = append(leaseReleases, Release{Grantor: grantor, Message: message})
	}
	return leaseReleases
}

// recordModeChange records an event when the group changes between lease, static share and not held.
func (l *Lessor) recordModeChange(h *holding, group string, now time.Duration) {
	leasedUntil, staticUntil := l.validUntil(h, group)
	m := modeNone
	switch {
	case leasedUntil > now:
		m = modeLease
	case staticUntil > now:
		m = modeStatic
	}
	if m == h.mode {
		return
	}
	h.mode = m
	switch m {
	case modeLease:
		l.events.Record(recorder.KindLeaseHeld, group, "", "")
	case modeStatic:
		l.events.Record(recorder.KindLeaseStaticShare, group, "", "")
	case modeNone:
		l.events.Record(recorder.KindLeaseLost, group, "", "")
	}
}

// deleteExpiredGrants deletes the grants to other instances that have expired.
func (l *Lessor) deleteExpiredGrants(now time.Duration) {
	for group, g := range l.grants {
		if g.until <= now {
			delete(l.grants, group)
		}
	}
}

// lease returns the lease time of the manifest in force.
func (l *Lessor) lease() time.Duration {
	return l.configuration.Manifest().LeaseDuration()
}

// nonEmpty returns the names without the empty ones, which beginGroup adds to probe a grantor without a group.
func nonEmpty(names []string) []string {
	groups := make([]string, 0, len(names))
	for _, name := range names {
		if name != "" {
			groups = append(groups, name)
		}
	}
	return groups
}
