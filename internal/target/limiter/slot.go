package limiter

import (
	"fmt"
	"time"

	"apricotflow/internal/operator/checker"
	"apricotflow/internal/wire/encoder"
)

// Slot is the right to have one sub-query in flight. Every slot is given back with Done.
type Slot struct {
	limiter *Limiter
	// deadline is the latest end of the sub-query in boot time.
	deadline time.Duration
	// granted is the boot time of the grant.
	granted time.Duration
	// incarnation is set by Bind.
	incarnation string
	bound       bool
	done        bool
}

// Outcome is what became of a sub-query as far as the limit is concerned.
type Outcome struct {
	// Reply is nil unless the target replied.
	Reply *encoder.SubReply
	// Reset is set when the target ended the connection.
	Reset bool
}

// Bind ties the slot to the incarnation and state that a connection reported at a boot time. It returns false when
// the incarnation has ended or its limit is already used; the slot must then be given back, and acquired anew.
func (s *Slot) Bind(incarnation string, state encoder.LoadState, at time.Duration) bool {
	l := s.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.see(incarnation, state, at)
	if incarnation != l.incarnation || l.bound[incarnation] >= l.current(s.deadline) {
		return false
	}
	l.bound[incarnation]++
	s.incarnation = incarnation
	s.bound = true
	return true
}

// Confirm checks everything again immediately before the write. It returns the reason for a refusal.
func (s *Slot) Confirm(incarnation string) (encoder.Reason, bool) {
	l := s.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.own.Share == 0 {
		return encoder.ReasonNoOwner, false
	}
	if l.draining() {
		return encoder.ReasonDraining, false
	}
	if l.incarnation != incarnation {
		// A newer connection has seen another incarnation, so this one has ended.
		return encoder.ReasonConnectionLost, false
	}
	current := l.current(s.deadline)
	if current == 0 {
		return encoder.ReasonNoLease, false
	}
	if l.bound[incarnation] > current {
		return encoder.ReasonOverloaded, false
	}
	l.checkLimits(current)
	return encoder.ReasonNone, true
}

// checkLimits checks the invariants of one write.
func (l *Limiter) checkLimits(current int) {
	n := l.bound[l.incarnation]
	l.checks.Check(n <= l.own.Share, checker.SlotLimit, l.target, fmt.Sprintf("%d in flight with a share of %d", n, l.own.Share))
	if !l.believesWarm() {
		l.checks.Check(n <= min(current, l.own.ColdLimit), checker.ColdLimit, l.target,
			fmt.Sprintf("%d in flight with %d allowed and a cold limit of %d", n, current, l.own.ColdLimit))
	}
}

// Done gives the slot back, once.
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
		l.learn(s, outcome)
	}
	l.serve()
}

func (l *Limiter) unbind(incarnation string) {
	l.bound[incarnation]--
	if l.bound[incarnation] == 0 {
		delete(l.bound, incarnation)
	}
}

// learn draws conclusions from the outcome of a sub-query that was sent.
func (l *Limiter) learn(s *Slot, outcome Outcome) {
	if outcome.Reset && s.incarnation == l.incarnation {
		l.reset("connection reset")
	}
	r := outcome.Reply
	if r == nil {
		l.streak = 0
		return
	}
	if s.incarnation != l.incarnation && r.Incarnation == s.incarnation {
		// The reply is from an incarnation that has ended.
		return
	}
	l.see(r.Incarnation, r.State, l.now())
	l.freshAt = max(l.freshAt, s.granted)
	switch {
	case r.Reason == encoder.ReasonShed || r.Reason == encoder.ReasonOverloaded:
		l.shed()
	case r.Reason == encoder.ReasonDraining:
		l.sawDraining(r.Incarnation)
	case r.Outcome == encoder.OutcomeAnswered:
		l.serviceTime(l.now() - s.granted)
		if r.State == encoder.LoadStateWarm {
			l.answered()
		}
	case r.Reason != encoder.ReasonCancelled && r.Reason != encoder.ReasonVersionMissing:
		l.streak = 0
	}
}

func (l *Limiter) serviceTime(d time.Duration) {
	average := l.average()
	if average == 0 {
		average = d
	}
	l.service = average + time.Duration(serviceWeight*float64(d-average))
	l.servedAt = l.now()
}
