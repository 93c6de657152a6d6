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
	// acquiredAt is the boot time at which Acquire returned the slot.
	acquiredAt time.Duration
	// incarnation is the incarnation of the target that Bind bound the slot to.
	incarnation string
	bound       bool
	done        bool
}

// SlotResult is what the limiter needs to know about the end of a sub-query. The zero value is for a sub-query
// without a reply.
type SlotResult struct {
	// Reply is the reply of the target, or nil if there was none.
	Reply *encoder.SubReply
	// ConnectionLost is set when the target or the network ended the connection before the reply, or when nothing could be
	// written on it.
	ConnectionLost bool
}

// Bind binds the slot to the incarnation of a connection, which reported the given state at the given boot time. It
// returns false if the incarnation has ended or its limit is exhausted; the slot must then be returned and a new one
// acquired.
func (s *Slot) Bind(incarnation string, state encoder.LoadState, at time.Duration) bool {
	l := s.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observeState(incarnation, state, at)
	if incarnation != l.incarnation || l.boundSlots[incarnation] >= l.inFlightLimit(s.deadline) {
		return false
	}
	l.boundSlots[incarnation]++
	s.incarnation = incarnation
	s.bound = true
	return true
}

// Confirm checks again, immediately before the sub-query is sent, that this instance owns the target, that the target
// is not draining, that the incarnation is the latest one and that the limit is kept. It returns false with the reason
// if the sub-query must not be sent.
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

// checkInvariants checks that one more sub-query in flight keeps to the slot limit and the cold limit.
func (l *Limiter) checkInvariants(inFlightLimit int) {
	n := l.boundSlots[l.incarnation]
	l.checker.Check(n <= l.ownership.Share, checker.SlotLimit, l.target, fmt.Sprintf("%d in flight with a share of %d", n, l.ownership.Share))
	if !l.recentlyWarm() {
		l.checker.Check(n <= min(inFlightLimit, l.ownership.ColdLimit), checker.ColdLimit, l.target,
			fmt.Sprintf("%d in flight with %d allowed and a cold limit of %d", n, inFlightLimit, l.ownership.ColdLimit))
	}
}

// Done returns the slot. Further calls do nothing.
func (s *Slot) Done(result SlotResult) {
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
		l.applyResult(s, result)
	}
	l.assignSlots()
}

func (l *Limiter) unbind(incarnation string) {
	l.boundSlots[incarnation]--
	if l.boundSlots[incarnation] == 0 {
		delete(l.boundSlots, incarnation)
	}
}

// applyResult updates the state of the target from the result of a sub-query whose slot was bound.
func (l *Limiter) applyResult(s *Slot, result SlotResult) {
	if result.ConnectionLost && s.incarnation == l.incarnation {
		l.resetToCold("connection reset")
	}
	r := result.Reply
	if r == nil {
		l.consecutiveReplies = 0
		return
	}
	if s.incarnation != l.incarnation && r.Incarnation == s.incarnation {
		// The reply comes from an incarnation that has ended.
		return
	}
	l.observeState(r.Incarnation, r.State, l.now())
	l.evidenceRequestedAt = max(l.evidenceRequestedAt, s.acquiredAt)
	switch {
	case r.Reason == encoder.ReasonShed || r.Reason == encoder.ReasonOverloaded:
		l.observeShed()
	case r.Reason == encoder.ReasonDraining:
		l.observeDraining(r.Incarnation)
	case r.Outcome == encoder.OutcomeAnswered:
		l.addServiceTime(l.now() - s.acquiredAt)
		if r.State == encoder.LoadStateWarm {
			l.countWarmReply()
		}
	case r.Reason != encoder.ReasonCancelled && r.Reason != encoder.ReasonVersionMissing:
		l.consecutiveReplies = 0
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
