package limiter

import (
	"time"

	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/wire/encoder"
)

// Report processes a report that was requested at the given boot time. Reports never raise the limit; only answers do.
func (l *Limiter) Report(incarnation string, state encoder.LoadState, asked time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observe(incarnation, state, l.now())
	l.evidenceAt = max(l.evidenceAt, asked)
	if state != encoder.LoadStateDraining && l.now()-l.drainingKnownAt > drainingHoldTime {
		l.drainingIncarnation = ""
	}
	l.grantSlots()
}

// ConnectionReset processes the end of a connection to the incarnation by the other side.
func (l *Limiter) ConnectionReset(incarnation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if incarnation == l.incarnation {
		l.resetToCold("connection reset")
	}
}

// ReturnToService treats the target as cold after its failure domain or the target itself has returned to service.
func (l *Limiter) ReturnToService() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resetToCold("returned to service")
	l.announcedWarm = ""
}

// LeaveService treats the target as cold after its failure domain or the target itself was taken out of service.
func (l *Limiter) LeaveService() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resetToCold("taken out of service")
	l.announcedWarm = ""
}

// observe processes the incarnation and state of a report or reply received at boot time at, unless something newer is
// known. The caller holds the mutex.
func (l *Limiter) observe(incarnation string, state encoder.LoadState, at time.Duration) {
	if at < l.seenAt {
		return
	}
	l.seenAt = at
	if incarnation != l.incarnation {
		l.resetToCold("new incarnation")
		l.incarnation = incarnation
		l.coldEvidenceAt = 0
	}
	l.state = state
	switch state {
	case encoder.LoadStateDraining:
		l.observeDraining(incarnation)
	case encoder.LoadStateCold:
		l.coldEvidenceAt = l.now()
		l.turnCold("target is cold")
	case encoder.LoadStateWarm:
		l.adoptWarmAnnouncement()
	}
}

// adoptWarmAnnouncement marks the incarnation as warm if another owner announced it and there is no recent own evidence
// that it is cold.
func (l *Limiter) adoptWarmAnnouncement() {
	if l.warm || l.announcedWarm != l.incarnation || l.incarnation == "" {
		return
	}
	if l.coldEvidenceAt != 0 && l.now()-l.coldEvidenceAt < factLifetime {
		return
	}
	l.setWarm(max(1, min(l.ownership.Share, l.ownership.ColdLimit)))
	if l.ownership.Rank > 0 {
		// The first owner has completed the ramp-up, so the other owners use their whole share.
		l.limit = max(1, l.ownership.Share)
	}
}

func (l *Limiter) setWarm(limit int) {
	l.warm = true
	l.limit = limit
	l.consecutiveAnswers = 0
	l.events.Record(recorder.KindTargetWarm, l.target, "", "incarnation "+l.incarnation)
}

// resetToCold returns to the cold limit.
func (l *Limiter) resetToCold(cause string) {
	l.consecutiveAnswers = 0
	l.limit = 1
	if !l.warm {
		return
	}
	l.warm = false
	l.confirmedWarm = false
	l.scope.Counter("limiter-resets").Inc(1)
	l.events.Record(recorder.KindTargetCold, l.target, "", cause)
}

// turnCold returns to the cold limit because of own evidence about the current incarnation. The other owners keep their
// connections and treat the target as warm until they are notified.
func (l *Limiter) turnCold(cause string) {
	wasWarm := l.warm
	l.resetToCold(cause)
	if !wasWarm || l.onCold == nil {
		return
	}
	if l.ownership.Rank == 0 {
		l.heldUntil = l.now() + coldNoticeTimeout
	}
	l.onCold()
}

// OwnersNotified tells the limiter that all other owners have been notified that the target is cold, so that the first
// owner may send again.
func (l *Limiter) OwnersNotified() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heldUntil = 0
	l.grantSlots()
}

// observeDraining processes own evidence that the incarnation is draining.
func (l *Limiter) observeDraining(incarnation string) {
	l.drainingEvidenceAt = l.now()
	l.markDraining(incarnation)
}

// markDraining stops new work for an incarnation. Only a later report or a new incarnation ends this, because replies
// sent before the draining began can arrive afterwards.
func (l *Limiter) markDraining(incarnation string) {
	if l.drainingIncarnation == incarnation {
		l.drainingKnownAt = l.now()
		return
	}
	if l.draining() {
		// The fact concerns an incarnation that has ended.
		return
	}
	l.drainingIncarnation = incarnation
	l.drainingKnownAt = l.now()
	l.events.Record(recorder.KindTargetDraining, l.target, "", "incarnation "+incarnation)
}

// observeShed processes a sub-query that the target refused under load.
func (l *Limiter) observeShed() {
	l.coldEvidenceAt = l.now()
	l.announcedWarm = ""
	l.scope.Counter("targets-shed").Inc(1)
	l.events.Record(recorder.KindTargetShed, l.target, "", "")
	l.turnCold("target shed a sub-query")
}

// countWarmAnswer counts an answer from a warm target towards the ramp-up.
func (l *Limiter) countWarmAnswer() {
	l.consecutiveAnswers++
	if l.consecutiveAnswers < answersPerRampStep {
		return
	}
	l.consecutiveAnswers = 0
	if l.warm {
		l.confirmedWarm = true
		l.limit = min(l.limit+1, max(1, l.ownership.Share))
		return
	}
	if l.ownership.Rank == 0 {
		l.setWarm(max(1, min(l.ownership.Share, l.ownership.ColdLimit+1)))
		l.confirmedWarm = true
	}
}

// Facts returns what this owner knows from its own evidence: that the incarnation is fully ramped up, cold or draining.
func (l *Limiter) Facts() []encoder.TargetFact {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.incarnation == "" || l.ownership.Share == 0 {
		return nil
	}
	fact := encoder.TargetFact{Target: l.target, Incarnation: l.incarnation}
	switch {
	case l.draining() && l.drainingEvidenceAt != 0 && l.now()-l.drainingEvidenceAt < factLifetime:
		fact.State = encoder.LoadStateDraining
	case l.draining():
		return nil
	case l.recentlyWarm() && l.confirmedWarm && l.limit >= l.ownership.Share:
		fact.State = encoder.LoadStateWarm
	case !l.warm && l.coldEvidenceAt != 0 && l.now()-l.coldEvidenceAt < factLifetime:
		fact.State = encoder.LoadStateCold
	default:
		return nil
	}
	return []encoder.TargetFact{fact}
}

// Learn processes a fact from another owner and reports whether it turned a warm target cold. An owner other than the
// first accepts only the first owner's announcement that a target is warm. Every owner accepts any announcement that it
// is cold or draining.
func (l *Limiter) Learn(fact encoder.TargetFact, from string) (turnedCold bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch fact.State {
	case encoder.LoadStateWarm:
		if l.ownership.Rank > 0 && from != l.ownership.FirstOwner {
			return false
		}
		l.announcedWarm = fact.Incarnation
		if l.state == encoder.LoadStateWarm {
			l.adoptWarmAnnouncement()
		}
	case encoder.LoadStateCold:
		if fact.Incarnation != l.incarnation {
			return false
		}
		turnedCold = l.warm
		if l.announcedWarm == fact.Incarnation {
			l.announcedWarm = ""
		}
		l.resetToCold("reported as cold by " + from)
	case encoder.LoadStateDraining:
		l.markDraining(fact.Incarnation)
	}
	l.grantSlots()
	return turnedCold
}
