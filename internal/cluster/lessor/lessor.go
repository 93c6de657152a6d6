// Package lessor grants, holds and renews leases on target groups, so that all instances together stay within the cold
// limit of each target; see Lessor for the terms. It belongs to native mode: the limiters of the dispatcher ask it how
// many sub-queries this instance may have in flight to a cold target. Package owner decides which instances are owners
// and grantors, and package gossiper announces which instances are joining, leaving or released.
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
	// roundsPerLease is the number of renewal rounds in one lease duration.
	roundsPerLease = 3
	// releasedGrantorLeases is the number of lease durations, counted from ReleasedAt, for which the grant of a released
	// grantor is assumed to hold. The next incarnation of that instance starts after ReleasedAt. For one lease duration it
	// makes no new grants and sends no requests. It can use a static share only after its requests have stayed without a
	// reply for one more.
	releasedGrantorLeases = 2
	// skippedRoundsRange is the number of choices for the rounds to skip after a refusal, which start at 0.
	skippedRoundsRange = 3
)

// Ownership provides the ownership of groups as seen by this instance. It is implemented by owner.Owner.
type Ownership interface {
	// Rank returns the rank of this instance among the owners of the group, 1 for the first owner, or 0 if it is not
	// eligible.
	Rank(group string) int
	// Grantors returns the grantors of the group: the instances whose grants a lease needs.
	Grantors(group string) []string
	// StaticOwners returns the first and second static owner of the group, if there are any.
	StaticOwners(group string) []string
	// Candidates returns the groups that this instance may own.
	Candidates() []string
	// ReleasedAt returns a boot time before the end of the released incarnation of the instance, or 0 if no release is
	// known.
	ReleasedAt(instance string) time.Duration
}

// Configuration provides the manifest and member list in force. It is implemented by configurer.Configurer.
type Configuration interface {
	Manifest() *resolver.Manifest
	Members() *resolver.Members
}

// Network sends lease requests and releases to other instances.
type Network interface {
	RequestGrant(ctx context.Context, instance string, request encoder.GrantRequest) (encoder.GrantReply, error)
	SendRelease(ctx context.Context, instance string, message encoder.ReleaseMessage) error
}

// LogicalClock provides the timestamps that order the requests and releases of this instance.
type LogicalClock interface {
	Now() int
}

// Events records leases acquired and lost.
type Events interface {
	Record(kind recorder.Kind, subject, query, detail string)
}

// OutgoingRequest is a request for the grants of one grantor. Without groups it only checks whether the grantor
// replies.
type OutgoingRequest struct {
	Grantor string
	Request encoder.GrantRequest
	// sentAt is the boot time before the request was sent.
	sentAt time.Duration
	round  uint64
}

// OutgoingRelease is a release to be sent to one grantor.
type OutgoingRelease struct {
	Grantor string
	Message encoder.ReleaseMessage
}

// Option configures a Lessor.
type Option func(*Lessor)

// WithPolicy sets the policy that divides cold limits among the instances.
func WithPolicy(policy encoder.PolicyColdLimit) Option {
	return func(l *Lessor) { l.policy = policy }
}

// Lessor holds the leases of one instance and grants leases to others. It is safe for concurrent use. Its terms are:
//
//   - The cold limit of a target is the maximum number of sub-queries that all instances together may have in flight to
//     the target while it is cold.
//   - The first owner of a target group is the instance with rank 1 in the ownership of the group.
//   - A grant is the consent of one instance, the grantor, that another one uses the group for one lease duration.
//     Meanwhile, the grantor neither grants the group to a third instance nor uses it itself.
//   - A lease on a group consists of the grants of all grantors and ends with the first of them. It allows the first
//     owner to use the whole cold limit of each target in the group.
//   - A static share is a fixed fraction of the cold limit, used without a lease while some grantors are unresponsive. It
//     needs the grants of all others. Only the two static owners of a group have one; the shares add up to the limit.
//   - A release tells the grantors that a holder no longer uses a group, so that others need not wait for the end of the
//     grants.
//   - A released incarnation has announced that it never grants or holds a lease again; see Retire.
type Lessor struct {
	instance      string
	incarnation   string
	ownership     Ownership
	configuration Configuration
	network       Network
	bootTime      func() time.Duration
	logicalClock  LogicalClock
	events        Events
	policy        encoder.PolicyColdLimit

	mu sync.Mutex
	// startedAt is boot time.
	startedAt time.Duration
	// stopped reports whether leases and static shares are no longer used or renewed; see BeginRelease.
	stopped bool
	// retired reports whether this incarnation never grants or holds a lease again; see Retire.
	retired bool
	round   uint64
	// grants and holdings are keyed by group, failureStreaks by grantor.
	grants         map[string]grant
	holdings       map[string]*holding
	failureStreaks map[string]*failureStreak
}

// New creates a Lessor. For one lease duration from now no lease is held and no new lease is granted.
func New(instance, incarnation string, ownership Ownership, configuration Configuration, network Network,
	bootTime func() time.Duration, logicalClock LogicalClock, events Events, options ...Option,
) *Lessor {
	l := &Lessor{
		instance: instance, incarnation: incarnation, ownership: ownership, configuration: configuration,
		network: network, bootTime: bootTime, logicalClock: logicalClock, events: events, policy: encoder.PolicyColdLimitLease,
		startedAt: bootTime(), grants: make(map[string]grant), holdings: make(map[string]*holding),
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
	if h == nil || l.stopped || until < l.bootTime() {
		return 0
	}
	allowance := l.allowance(h, t, until)
	if allowance > 0 {
		h.allowedUntil = max(h.allowedUntil, until)
	}
	return allowance
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
	return l.bootTime()-l.startedAt >= l.leaseDuration()
}

// BeginRound starts a renewal round and returns the requests and releases to send now. The outcome of each request must
// be passed to FinishRequest.
func (l *Lessor) BeginRound() ([]OutgoingRequest, []OutgoingRelease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.bootTime()
	if l.stopped || l.policy == encoder.PolicyColdLimitEqual || !l.Settled() {
		return nil, nil
	}
	l.round++
	requestGroups, releaseGroups := make(map[string][]string), make(map[string][]string)
	for _, group := range l.ownership.Candidates() {
		l.renewGroup(group, now, requestGroups, releaseGroups)
	}
	l.deleteExpiredGrants(now)
	// Releases are stamped before the requests of the same round; otherwise they would end the grants of those requests.
	releases := l.outgoingReleases(releaseGroups)
	return l.outgoingRequests(requestGroups, now), releases
}

// FinishRequest records the outcome of a request returned by BeginRound.
func (l *Lessor) FinishRequest(request OutgoingRequest, reply encoder.GrantReply, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.bootTime()
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
		// The reply of a grantor that may not grant, because it has just started or has retired, does not end a static share.
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
		// incarnation cannot have granted the group to another instance, and it no longer runs, so it cannot do so later.
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
		// The number depends on the instance and the round, so that two that contend do not keep requesting together.
		h.roundsToSkip = (xxhash.Sum64String(l.instance+group) + l.round) * 0x9e3779b97f4a7c15 >> 33 % skippedRoundsRange
	}
}

// renewGroup updates the holding of one group for a new round, and adds its requests and releases to the maps, which
// are keyed by grantor. An empty group name in requestGroups stands for a request that only probes the grantor.
func (l *Lessor) renewGroup(group string, now time.Duration, requestGroups, releaseGroups map[string][]string) {
	h := l.holdings[group]
	if h == nil {
		h = &holding{grantedUntil: make(map[string]time.Duration)}
		l.holdings[group] = h
	}
	grantors := l.updateGrantors(h, group)
	if staticOwners := l.ownership.StaticOwners(group); len(staticOwners) > 1 && staticOwners[1] == l.instance {
		// The second static owner probes the first one even without a request for the group, since only its own requests
		// without a reply allow it to use its static share.
		requestGroups[staticOwners[0]] = append(requestGroups[staticOwners[0]], "")
	}
	shouldHold := l.shouldHold(group)
	if !shouldHold && h.selfGrantUntil > now {
		if h.allowedUntil <= now {
			h.drop(l.round)
		} else {
			h.selfGrantUntil = min(h.selfGrantUntil, h.allowedUntil)
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
	h.selfGrantUntil = now + l.leaseDuration()
	for _, grantor := range grantors {
		requestGroups[grantor] = append(requestGroups[grantor], group)
	}
}

// updateGrantors updates the holding after a change of the grantors and returns the current ones. A lease stays valid
// for the term that the former grantors granted; new grantors are asked to confirm it. The grant of a released grantor
// counts as given for a limited time; see releasedGrantorLeases.
func (l *Lessor) updateGrantors(h *holding, group string) []string {
	leasedUntil, _ := l.validUntil(h, group)
	releasedUntil := make(map[string]time.Duration)
	for _, grantor := range l.ownership.Grantors(group) {
		if releasedAt := l.ownership.ReleasedAt(grantor); releasedAt > 0 {
			releasedUntil[grantor] = releasedAt + releasedGrantorLeases*l.leaseDuration()
		}
	}
	// The grantors are read again after ReleasedAt, because a release adds grantors outside the failure domain. A release
	// that is used above is therefore taken into account in these grantors.
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
	if len(staticOwners) < 2 || staticOwners[1] != l.instance || !l.failureStreaks[staticOwners[0]].unresponsive(l.leaseDuration()) {
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

// outgoingRequests builds one request per grantor.
func (l *Lessor) outgoingRequests(groupsByGrantor map[string][]string, now time.Duration) []OutgoingRequest {
	requests := make([]OutgoingRequest, 0, len(groupsByGrantor))
	for _, grantor := range slices.Sorted(maps.Keys(groupsByGrantor)) {
		names := groupsByGrantor[grantor]
		request := encoder.GrantRequest{
			Instance: l.instance, Incarnation: l.incarnation, Clock: l.logicalClock.Now(),
			Groups: nonEmpty(names), Held: l.heldGroups(names, grantor, now), DurationMs: int(l.leaseDuration() / time.Millisecond),
		}
		requests = append(requests, OutgoingRequest{Grantor: grantor, Request: request, sentAt: now, round: l.round})
	}
	return requests
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

// outgoingReleases builds one release per grantor.
func (l *Lessor) outgoingReleases(groupsByGrantor map[string][]string) []OutgoingRelease {
	releases := make([]OutgoingRelease, 0, len(groupsByGrantor))
	for _, grantor := range slices.Sorted(maps.Keys(groupsByGrantor)) {
		names := groupsByGrantor[grantor]
		message := encoder.ReleaseMessage{
			Instance: l.instance, Incarnation: l.incarnation, Clock: l.logicalClock.Now(), Groups: names,
		}
		releases = append(releases, OutgoingRelease{Grantor: grantor, Message: message})
	}
	return releases
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

// leaseDuration returns the lease duration of the manifest in force.
func (l *Lessor) leaseDuration() time.Duration {
	return l.configuration.Manifest().LeaseDuration()
}

// nonEmpty returns the names without the empty ones, which renewGroup adds to probe a grantor without a group.
func nonEmpty(names []string) []string {
	groups := make([]string, 0, len(names))
	for _, name := range names {
		if name != "" {
			groups = append(groups, name)
		}
	}
	return groups
}
