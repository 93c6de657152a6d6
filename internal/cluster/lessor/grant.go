package lessor

import (
	"slices"
	"time"

	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/wire/encoder"
)

// HandleGrant replies to a request of another instance for grants. For one lease duration after the start, it only
// confirms groups that the requester already held. Withheld means that this incarnation may not make new grants: a
// refusal then does not show that another instance holds the group.
func (l *Lessor) HandleGrant(request encoder.GrantRequest) encoder.GrantReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.bootTime()
	unsettled := !l.Settled()
	reply := encoder.GrantReply{Granted: []string{}, Confirmed: []string{}, Refused: []string{}, Withheld: unsettled || l.retired}
	for _, group := range request.Groups {
		switch {
		case l.retired || unsettled && !slices.Contains(request.Held, group) || !l.tryGrant(group, request, now):
			reply.Refused = append(reply.Refused, group)
		case unsettled:
			reply.Confirmed = append(reply.Confirmed, group)
		default:
			reply.Granted = append(reply.Granted, group)
		}
	}
	return reply
}

// HandleRelease deletes the grants that another instance releases, unless it has requested the group again since.
func (l *Lessor) HandleRelease(message encoder.ReleaseMessage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, group := range message.Groups {
		g := l.grants[group]
		if g.heldBy(message.Instance, message.Incarnation) && message.Clock > g.clock {
			delete(l.grants, group)
		}
	}
}

// tryGrant grants the group to the requester and reports whether it did.
func (l *Lessor) tryGrant(group string, request encoder.GrantRequest, now time.Duration) bool {
	if h := l.holdings[group]; h != nil && h.selfGrantUntil > now {
		if h.allowedUntil > now || l.shouldHold(group) {
			return false
		}
		// Ownership has moved to another instance. Drop the holding now, so that the requester need not wait for the next
		// round.
		h.drop(l.round)
	}
	g := l.grants[group]
	sameHolder := g.heldBy(request.Instance, request.Incarnation)
	if g.until > now && !sameHolder {
		return false
	}
	until := now + time.Duration(request.DurationMs)*time.Millisecond
	if sameHolder {
		until = max(until, g.until)
	}
	clock := request.Clock
	if sameHolder {
		clock = max(clock, g.clock)
	}
	l.grants[group] = grant{instance: request.Instance, incarnation: request.Incarnation, until: until, clock: clock}
	return true
}

// allowance returns the share of the cold limit that the holding covers until the given time.
func (l *Lessor) allowance(h *holding, t resolver.Target, until time.Duration) int {
	leasedUntil, staticUntil := l.validUntil(h, t.Group)
	switch {
	case until <= leasedUntil:
		return t.ColdLimit
	case until <= staticUntil:
		return l.staticShare(t.Group, t.ColdLimit)
	default:
		return 0
	}
}

// validUntil returns the times until which the lease and the static share on the group are valid. Only the first owner
// has a lease, which needs the grants of all grantors. A static share needs the grants of the responsive grantors, and
// exists only while at least one grantor is unresponsive. Both need the grant of this instance to itself.
func (l *Lessor) validUntil(h *holding, group string) (leasedUntil, staticUntil time.Duration) {
	leasedUntil, staticUntil = h.selfGrantUntil, h.selfGrantUntil
	anyUnresponsive := false
	for _, grantor := range h.grantors {
		leasedUntil = min(leasedUntil, h.grantedUntil[grantor])
		if l.failureStreaks[grantor].unresponsive(l.leaseDuration()) {
			anyUnresponsive = true
			continue
		}
		staticUntil = min(staticUntil, h.grantedUntil[grantor])
	}
	if l.ownership.Rank(group) != 1 {
		leasedUntil = 0
	}
	if !anyUnresponsive {
		staticUntil = 0
	}
	return leasedUntil, staticUntil
}

// staticShare returns the share of the cold limit that this instance may use as first or second static owner. The two
// shares add up to the limit.
func (l *Lessor) staticShare(group string, limit int) int {
	for rank, name := range l.ownership.StaticOwners(group) {
		switch {
		case name != l.instance:
		case rank == 0:
			return (limit + 1) / 2
		case rank == 1:
			return limit / 2
		}
	}
	return 0
}
