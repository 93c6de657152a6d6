package lessor

import (
	"slices"
	"time"

	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/wire/encoder"
)

// Grant answers a request of another instance.
func (l *Lessor) Grant(request encoder.GrantRequest) encoder.GrantReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	joining := !l.Settled()
	reply := encoder.GrantReply{Granted: []string{}, Confirmed: []string{}, Refused: []string{}, Withheld: joining || l.retired}
	for _, group := range request.Groups {
		switch {
		case l.retired || joining && !slices.Contains(request.Held, group) || !l.grant(group, request, now):
			reply.Refused = append(reply.Refused, group)
		case joining:
			reply.Confirmed = append(reply.Confirmed, group)
		default:
			reply.Granted = append(reply.Granted, group)
		}
	}
	return reply
}

// Released takes back what was granted to another instance, unless it has asked again since.
func (l *Lessor) Released(message encoder.ReleaseMessage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, group := range message.Groups {
		g := l.granted[group]
		if g.heldBy(message.Instance, message.Incarnation) && message.Clock > g.clock {
			delete(l.granted, group)
		}
	}
}

func (l *Lessor) grant(group string, request encoder.GrantRequest, now time.Duration) bool {
	if h := l.holdings[group]; h != nil && h.own > now {
		if h.exposed > now || l.wanted(group) {
			return false
		}
		// The group has gone to another owner, which need not wait for the next round.
		h.drop(l.round)
	}
	g := l.granted[group]
	same := g.heldBy(request.Instance, request.Incarnation)
	if g.until > now && !same {
		return false
	}
	until := now + time.Duration(request.DurationMs)*time.Millisecond
	if same {
		until = max(until, g.until)
	}
	clock := request.Clock
	if same {
		clock = max(clock, g.clock)
	}
	l.granted[group] = grant{instance: request.Instance, incarnation: request.Incarnation, until: until, clock: clock}
	return true
}

func (l *Lessor) allowance(h *holding, t resolver.Target, until time.Duration) int {
	leased, static := l.cover(h, t.Group)
	switch {
	case until <= leased:
		return t.ColdLimit
	case until <= static:
		return l.staticShare(t.Group, t.ColdLimit)
	default:
		return 0
	}
}

// cover returns the times up to which the group is held by a lease and by static shares.
func (l *Lessor) cover(h *holding, group string) (leased, static time.Duration) {
	leased, static = h.own, h.own
	silent := false
	for _, rival := range h.rivals {
		leased = min(leased, h.grants[rival])
		if l.silences[rival].full(l.lease()) {
			silent = true
			continue
		}
		static = min(static, h.grants[rival])
	}
	if l.ownership.Rank(group) != 1 {
		leased = 0
	}
	if !silent {
		static = 0
	}
	return leased, static
}

// staticShare returns the part of the limit that the rank of this instance gives it. The shares add up to the limit.
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
