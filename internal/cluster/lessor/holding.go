package lessor

import "time"

// silentFailures is the number of consecutive unanswered requests before a rival can count as silent, so that one
// request that spans a pause of this process does not.
const silentFailures = 3

// grant is what this instance granted to another one.
type grant struct {
	instance    string
	incarnation string
	// until is boot time.
	until time.Duration
	// clock is the highest hybrid clock of the holder's requests; an older release does not end the grant.
	clock int
}

// heldBy reports whether the instance is the holder.
func (g grant) heldBy(instance, incarnation string) bool {
	return g.instance == instance && g.incarnation == incarnation
}

// holding is what this instance holds of one group. All times are boot time.
type holding struct {
	// own is the end of the grant to itself; other requesters are refused until then.
	own time.Duration
	// exposed is the latest time that an allowance was given out for; own is not shortened below it.
	exposed time.Duration
	// grants holds the end of each rival's grant, measured from before the request.
	grants map[string]time.Duration
	// rivals are those of the last round.
	rivals []string
	// abandoned is the last round whose grants no longer count.
	abandoned uint64
	// release tells that the rivals are to be sent a release.
	release bool
	// wait is the number of rounds to skip, so that two contending instances do not refuse each other for ever.
	wait uint64
	mode mode
}

// mode is how a group is held.
type mode int

const (
	modeNone mode = iota
	modeLease
	modeStatic
)

// drop gives up a holding that covers no sub-query in flight.
func (h *holding) drop(round uint64) {
	h.own = 0
	clear(h.grants)
	h.abandoned = round
	h.release = true
}

// silence tracks the unanswered requests to one rival.
type silence struct {
	// failures counts the requests since the last answer.
	failures int
	// since and last are the start of the first and the end of the last of them.
	since time.Duration
	last  time.Duration
}

func (s *silence) fail(sent, now time.Duration) {
	if s.failures == 0 {
		s.since = sent
	}
	s.failures++
	s.last = now
}

// full reports whether the rival has not answered for a full lease time.
func (s *silence) full(lease time.Duration) bool {
	return s != nil && s.failures >= silentFailures && s.last-s.since >= lease
}
