package limiter

import (
	"fmt"
	"time"

	"apricotflow/internal/operator/checker"
	"apricotflow/internal/wire/encoder"
)

// Slot permits one sub-query in flight. Every slot must be returned with Done.
type Slot struct {
	limiter *Limiter
	// deadline is the boot time by which the sub-query ends.
	deadline time.Duration
	// granted is the boot time at which the slot was granted.
	granted time.Duration
	// incarnation is the one that the slot is bound to, set by Bind.
	incarnation string
	bound       bool
	done        bool
}

// Outcome describes the end of a sub-query as far as the limit depends on it.
type Outcome struct {
	// Reply is the reply of the target, or nil if there was none.
	Reply *encoder.SubReply
	// Reset is set when the target ended the connection.
	Reset bool
}

// Bind binds the slot to the incarnation and state that a connection reported at the given boot time. It returns false
// if the incarnation has ended or its limit is exhausted; the slot must then be returned and a new one acquired.
func (s *Slot) Bind(incarnation string, state encoder.LoadState, at time.Duration) bool {
	l := s.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observe(incarnation, state, at)
	if incarnation != l.incarnation || l.boundSlots[incarnation] >= l.inFlightLimit(s.deadline) {
		return false
	}
	l.boundSlots[incarnation]++
	s.incarnation = incarnation
	s.bound = true
	return true
}

// Confirm repeats all checks immediately before the write. It returns false with the reason if the write is refused.
func (s *Slot) Confirm(incarnation string) (encoder.Reason, bool) {
	l := s.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ownership.Share == 0 {
		return encoder.ReasonNoOwner, false
	}
	if l.draining() {
		return encoder.ReasonDraining, false
	}
	if l.incarnation != incarnation {
		// A newer connection has reported another incarnation, so this one has ended.
		return encoder.ReasonConnectionLost, false
	}
	inFlightLimit := l.inFlightLimit(s.deadline)
	if inFlightLimit == 0 {
		return encoder.ReasonNoLease, false
	}
	if l.boundSlots[incarnation] > inFlightLimit {
		return encoder.ReasonOverloaded, false
	}
	l.checkInvariants(inFlightLimit)
	return encoder.ReasonNone, true
}

// checkInvariants checks the slot limit and the cold limit for one write.
func (l *Limiter) checkInvariants(inFlightLimit int) {
	n := l.boundSlots[l.incarnation]
	l.checks.Check(n <= l.ownership.Share, checker.SlotLimit, l.target, fmt.Sprintf("%d in flight with a share of %d", n, l.ownership.Share))
	if !l.recentlyWarm() {
		l.checks.Check(n <= min(inFlightLimit, l.ownership.ColdLimit), checker.ColdLimit, l.target,
			fmt.Sprintf("%d in flight with %d allowed and a cold limit of %d", n, inFlightLimit, l.ownership.ColdLimit))
	}
}

// Done returns the slot. Further calls do nothing.
func (s *Slot) Done(outcome Outcome) {
	l := s.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.done {
		return
	}
	s.done = true
	l.inFlight--
	if s.bound {
		l.unbind(s.incarnation)
		l.applyOutcome(s, outcome)
	}
	l.grantSlots()
}

func (l *Limiter) unbind(incarnation string) {
	l.boundSlots[incarnation]--
	if l.boundSlots[incarnation] == 0 {
		delete(l.boundSlots, incarnation)
	}
}

// applyOutcome updates the state of the target from the outcome of a sub-query that was sent.
func (l *Limiter) applyOutcome(s *Slot, outcome Outcome) {
	if outcome.Reset && s.incarnation == l.incarnation {
		l.resetToCold("connection reset")
	}
	r := outcome.Reply
	if r == nil {
		l.consecutiveAnswers = 0
		return
	}
	if s.incarnation != l.incarnation && r.Incarnation == s.incarnation {
		// The reply comes from an incarnation that has ended.
		return
	}
	l.observe(r.Incarnation, r.State, l.now())
	l.evidenceAt = max(l.evidenceAt, s.granted)
	switch {
	case r.Reason == encoder.ReasonShed || r.Reason == encoder.ReasonOverloaded:
		l.observeShed()
	case r.Reason == encoder.ReasonDraining:
		l.observeDraining(r.Incarnation)
	case r.Outcome == encoder.OutcomeAnswered:
		l.addServiceTime(l.now() - s.granted)
		if r.State == encoder.LoadStateWarm {
			l.countWarmAnswer()
		}
	case r.Reason != encoder.ReasonCancelled && r.Reason != encoder.ReasonVersionMissing:
		l.consecutiveAnswers = 0
	}
}

func (l *Limiter) addServiceTime(d time.Duration) {
	decayedServiceTime := l.decayedServiceTime()
	if decayedServiceTime == 0 {
		decayedServiceTime = d
	}
	l.averageServiceTime = decayedServiceTime + time.Duration(serviceTimeWeight*float64(d-decayedServiceTime))
	l.averagedAt = l.now()
}
