package lessor

import "time"

// minFailures is the minimum number of consecutive requests without a reply before a grantor counts as unresponsive. It
// keeps a single request during which this process was paused from being enough.
const minFailures = 3

// grant is the consent of this instance to the use of a group by another one.
type grant struct {
	instance    string
	incarnation string
	// until is the end of the grant in boot time.
	until time.Duration
	// clock is the highest hybrid clock among the holder's requests; a release with an older clock is ignored.
	clock int
}

// heldBy reports whether the incarnation of the instance holds the grant.
func (g grant) heldBy(instance, incarnation string) bool {
	return g.instance == instance && g.incarnation == incarnation
}

// holding is the state of this instance's lease or static share on one group. All times are boot time.
type holding struct {
	// selfGrantUntil is the end of the grant to this instance itself; other requesters are refused until then.
	selfGrantUntil time.Duration
	// allowedUntil is the latest time for which Allowance returned more than 0: until then sub-queries may be in flight.
	// selfGrantUntil is not shortened below it.
	allowedUntil time.Duration
	// grantedUntil maps each grantor to the end of its grant, counted from before the request was sent.
	grantedUntil map[string]time.Duration
	// grantors are the instances whose grants were required in the last round.
	grantors []string
	// abandonedRound is the latest round whose grants are ignored because the holding was dropped.
	abandonedRound uint64
	// releasePending reports whether the next round sends a release to the grantors.
	releasePending bool
	// roundsToSkip is the number of rounds to skip after a refusal, so that two contending instances do not refuse each
	// other forever.
	roundsToSkip uint64
	mode         mode
}

// mode tells whether a group is held by a lease, by a static share or not at all.
type mode int

const (
	modeNone mode = iota
	modeLease
	modeStatic
)

// drop ends the lease or static share and schedules its release. The caller must have checked that no sub-query under
// it can be in flight.
func (h *holding) drop(round uint64) {
	h.selfGrantUntil = 0
	clear(h.grantedUntil)
	h.abandonedRound = round
	h.releasePending = true
}

// failureStreak tracks consecutive requests without a reply to one grantor.
type failureStreak struct {
	// failures is the number of requests since the last reply.
	failures int
	// firstSentAt is when the first of them was sent, and lastFailedAt when the last one failed, in boot time.
	firstSentAt  time.Duration
	lastFailedAt time.Duration
}

func (s *failureStreak) add(sentAt, now time.Duration) {
	if s.failures == 0 {
		s.firstSentAt = sentAt
	}
	s.failures++
	s.lastFailedAt = now
}

// unresponsive reports whether the grantor has not replied for a full lease duration. A nil streak has no failures.
func (s *failureStreak) unresponsive(lease time.Duration) bool {
	return s != nil && s.failures >= minFailures && s.lastFailedAt-s.firstSentAt >= lease
}
