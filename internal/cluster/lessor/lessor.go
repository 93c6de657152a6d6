// Package lessor grants and holds leases on cold targets, so that all instances together stay within a target's
// cold limit.
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
	// roundsPerLease is the number of renewals in one lease time.
	roundsPerLease = 3
	// releasedLeases is the number of lease times for which a released incarnation need not be asked. The next one under
	// its name grants and holds nothing for the first, and uses no static share before it has been without answers for
	// the second.
	releasedLeases = 2
	// maxWait bounds the rounds skipped after a refusal.
	maxWait = 3
)

// Ownership answers ownership questions of this instance.
type Ownership interface {
	Rank(group string) int
	Rivals(group string) []string
	StaticOwners(group string) []string
	Candidates() []string
	ReleasedAt(instance string) time.Duration
}

// Configuration provides the manifest and member list in force.
type Configuration interface {
	Manifest() *resolver.Manifest
	Members() *resolver.Members
}

// Network carries requests to other instances.
type Network interface {
	Grant(ctx context.Context, instance string, request encoder.GrantRequest) (encoder.GrantReply, error)
	Release(ctx context.Context, instance string, message encoder.ReleaseMessage) error
}

// LogicalClock orders the requests of this instance.
type LogicalClock interface {
	Now() int
}

// Events records leases held and lost.
type Events interface {
	Record(kind recorder.Kind, subject, query, detail string)
}

// Ask is a request to one rival; its groups may be empty, which only finds out whether the rival answers.
type Ask struct {
	Rival   string
	Request encoder.GrantRequest
	// sent is boot time from before the request.
	sent  time.Duration
	round uint64
}

// Release is a message to one rival.
type Release struct {
	Rival   string
	Message encoder.ReleaseMessage
}

// Option changes a lessor.
type Option func(*Lessor)

// WithPolicy selects the policy on cold limits.
func WithPolicy(policy encoder.PolicyColdLimit) Option {
	return func(l *Lessor) { l.policy = policy }
}

// Lessor grants and holds the leases of one instance.
type Lessor struct {
	instance      string
	incarnation   string
	ownership     Ownership
	configuration Configuration
	network       Network
	clock         func() time.Duration
	logical       LogicalClock
	events        Events
	policy        encoder.PolicyColdLimit

	mu sync.Mutex
	// started is boot time.
	started time.Duration
	closed  bool
	// retired tells that this incarnation never grants or holds again.
	retired  bool
	round    uint64
	granted  map[string]grant
	holdings map[string]*holding
	silences map[string]*silence
}

// New creates a lessor. The clock is boot time; nothing is granted or held for one lease time from now.
func New(instance, incarnation string, ownership Ownership, configuration Configuration, network Network,
	clock func() time.Duration, logical LogicalClock, events Events, options ...Option,
) *Lessor {
	l := &Lessor{
		instance: instance, incarnation: incarnation, ownership: ownership, configuration: configuration,
		network: network, clock: clock, logical: logical, events: events, policy: encoder.PolicyColdLimitLease,
		started: clock(), granted: make(map[string]grant), holdings: make(map[string]*holding),
		silences: make(map[string]*silence),
	}
	for _, option := range options {
		option(l)
	}
	return l
}

// Allowance returns the number of sub-queries that this instance may have in flight to the cold target until the
// given boot time.
func (l *Lessor) Allowance(target string, until time.Duration) int {
	t, found := l.target(target)
	if !found {
		return 0
	}
	if l.policy == encoder.PolicyColdLimitEqual {
		return t.ColdLimit / max(1, len(l.configuration.Members().Instances()))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.holdings[t.Group]
	if h == nil || l.closed || until < l.clock() {
		return 0
	}
	allowance := l.allowance(h, t, until)
	if allowance > 0 {
		h.exposed = max(h.exposed, until)
	}
	return allowance
}

// Expiry returns the boot time up to which Allowance is above 0 at present, or 0.
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
	leased, static := l.cover(h, t.Group)
	if l.staticShare(t.Group, t.ColdLimit) > 0 {
		return max(leased, static)
	}
	return leased
}

// target returns a target of the manifest in force.
func (l *Lessor) target(name string) (resolver.Target, bool) {
	manifest := l.configuration.Manifest()
	if manifest == nil {
		return resolver.Target{}, false
	}
	return manifest.Target(name)
}

// Settled reports whether this instance may grant and hold: nothing that its predecessor granted is still valid.
func (l *Lessor) Settled() bool {
	return l.clock()-l.started >= l.lease()
}

// Begin starts a round: it returns the requests and releases to send now. Each request must be reported to Finish.
func (l *Lessor) Begin() ([]Ask, []Release) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	if l.closed || l.policy == encoder.PolicyColdLimitEqual || !l.Settled() {
		return nil, nil
	}
	l.round++
	asks, releases := make(map[string][]string), make(map[string][]string)
	for _, group := range l.ownership.Candidates() {
		l.beginGroup(group, now, asks, releases)
	}
	l.expire(now)
	// A release must be stamped before a request of the same round, or it would end the grant of that request.
	stamped := l.releases(releases)
	return l.asks(asks, now), stamped
}

// Finish reports the outcome of a request returned by Begin.
func (l *Lessor) Finish(ask Ask, reply encoder.GrantReply, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	var remote *messenger.RemoteError
	if err != nil && !errors.As(err, &remote) {
		s := l.silences[ask.Rival]
		if s == nil {
			s = &silence{}
			l.silences[ask.Rival] = s
		}
		s.fail(ask.sent, now)
		return
	}
	if err != nil {
		reply = encoder.GrantReply{Refused: ask.Request.Groups}
	}
	if !reply.Withheld {
		// A rival that has just started does not end a static share before it can grant.
		delete(l.silences, ask.Rival)
	}
	until := ask.sent + time.Duration(ask.Request.DurationMs)*time.Millisecond
	for _, group := range reply.Granted {
		if h := l.holdings[group]; h != nil && ask.round > h.abandoned {
			h.grants[ask.Rival] = max(h.grants[ask.Rival], until)
		}
	}
	for _, group := range reply.Confirmed {
		// While the predecessor's grant to this instance has not expired, the predecessor granted the group to no other
		// instance, and its successor exists already.
		if h := l.holdings[group]; h != nil && ask.round > h.abandoned && h.grants[ask.Rival] > now {
			h.grants[ask.Rival] = max(h.grants[ask.Rival], until)
		}
	}
	for _, group := range reply.Refused {
		h := l.holdings[group]
		if h == nil || reply.Withheld || ask.round <= h.abandoned || h.exposed > now {
			continue
		}
		h.drop(l.round)
		h.wait = (xxhash.Sum64String(l.instance+group) + l.round) * 0x9e3779b97f4a7c15 >> 33 % maxWait
	}
}

// beginGroup prepares the requests and releases of one group.
func (l *Lessor) beginGroup(group string, now time.Duration, asks, releases map[string][]string) {
	h := l.holdings[group]
	if h == nil {
		h = &holding{grants: make(map[string]time.Duration)}
		l.holdings[group] = h
	}
	rivals := l.inherit(h, group)
	if static := l.ownership.StaticOwners(group); len(static) > 1 && static[1] == l.instance {
		// Only the unanswered requests of this instance allow it to use its static share.
		asks[static[0]] = append(asks[static[0]], "")
	}
	wanted := l.wanted(group)
	if !wanted && h.own > now {
		if h.exposed <= now {
			h.drop(l.round)
		} else {
			h.own = min(h.own, h.exposed)
		}
	}
	if h.release {
		h.release = false
		for _, rival := range rivals {
			releases[rival] = append(releases[rival], group)
		}
	}
	l.note(h, group, now)
	switch {
	case !wanted:
		return
	case h.wait > 0:
		h.wait--
		return
	case l.granted[group].until > now:
		return
	}
	h.own = now + l.lease()
	for _, rival := range rivals {
		asks[rival] = append(asks[rival], group)
	}
}

// inherit takes up a change of the rivals, and returns them. A lease stays valid to the end of the term for which the
// former rivals granted it; the new ones are asked to confirm it. A released rival counts as granting.
func (l *Lessor) inherit(h *holding, group string) []string {
	leased, _ := l.cover(h, group)
	ended := make(map[string]time.Duration)
	for _, rival := range l.ownership.Rivals(group) {
		if at := l.ownership.ReleasedAt(rival); at > 0 {
			ended[rival] = at + releasedLeases*l.lease()
		}
	}
	// The rivals are read last: they depend on which of them are released.
	rivals := l.ownership.Rivals(group)
	for _, rival := range rivals {
		if !slices.Contains(h.rivals, rival) {
			h.grants[rival] = max(h.grants[rival], leased)
		}
		h.grants[rival] = max(h.grants[rival], ended[rival])
	}
	h.rivals = rivals
	return rivals
}

// wanted reports whether this instance should hold the group: as first owner, or as second one in the static
// division once the first is silent, if that gives it a share of any target.
func (l *Lessor) wanted(group string) bool {
	if l.ownership.Rank(group) == 1 {
		return true
	}
	static := l.ownership.StaticOwners(group)
	if len(static) < 2 || static[1] != l.instance || !l.silences[static[0]].full(l.lease()) {
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

func (l *Lessor) asks(groups map[string][]string, now time.Duration) []Ask {
	asks := make([]Ask, 0, len(groups))
	for _, rival := range slices.Sorted(maps.Keys(groups)) {
		names := groups[rival]
		request := encoder.GrantRequest{
			Instance: l.instance, Incarnation: l.incarnation, Clock: l.logical.Now(),
			Groups: nonEmpty(names), Held: l.held(names, rival, now), DurationMs: int(l.lease() / time.Millisecond),
		}
		asks = append(asks, Ask{Rival: rival, Request: request, sent: now, round: l.round})
	}
	return asks
}

// held returns the groups for which the rival's grant has not expired.
func (l *Lessor) held(groups []string, rival string, now time.Duration) []string {
	held := make([]string, 0, len(groups))
	for _, group := range groups {
		if h := l.holdings[group]; h != nil && h.grants[rival] > now {
			held = append(held, group)
		}
	}
	return held
}

func (l *Lessor) releases(groups map[string][]string) []Release {
	releases := make([]Release, 0, len(groups))
	for _, rival := range slices.Sorted(maps.Keys(groups)) {
		names := groups[rival]
		message := encoder.ReleaseMessage{
			Instance: l.instance, Incarnation: l.incarnation, Clock: l.logical.Now(), Groups: names,
		}
		releases = append(releases, Release{Rival: rival, Message: message})
	}
	return releases
}

// note records a change of the way in which a group is held.
func (l *Lessor) note(h *holding, group string, now time.Duration) {
	leased, static := l.cover(h, group)
	m := modeNone
	switch {
	case leased > now:
		m = modeLease
	case static > now:
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

// expire forgets grants that have ended.
func (l *Lessor) expire(now time.Duration) {
	for group, g := range l.granted {
		if g.until <= now {
			delete(l.granted, group)
		}
	}
}

// lease returns the lease time of the manifest in force.
func (l *Lessor) lease() time.Duration {
	return l.configuration.Manifest().Lease()
}

// nonEmpty drops the empty names that only stand for a request without groups.
func nonEmpty(names []string) []string {
	groups := make([]string, 0, len(names))
	for _, name := range names {
		if name != "" {
			groups = append(groups, name)
		}
	}
	return groups
}
