package limiter

import (
	"time"

	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/wire/encoder"
)

// ObserveReport processes a report that was requested at the given boot time. A report never raises the warm limit;
// only answered sub-queries do.
func (l *Limiter) ObserveReport(incarnation string, state encoder.LoadState, requestedAt time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observeState(incarnation, state, l.now())
	l.evidenceRequestedAt = max(l.evidenceRequestedAt, requestedAt)
	if state != encoder.LoadStateDraining && l.now()-l.drainingKnownAt > drainingHoldTime {
		l.drainingIncarnation = ""
	}
	l.assignSlots()
}

// ObserveRemoteClose treats the target as cold if the target or the network has closed a connection to its current
// incarnation.
func (l *Limiter) ObserveRemoteClose(incarnation string) {
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
	l.announcedWarmIncarnation = ""
}

// LeaveService treats the target as cold after its failure domain or the target itself was taken out of service.
func (l *Limiter) LeaveService() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resetToCold("taken out of service")
	l.announcedWarmIncarnation = ""
}

// observeState processes the incarnation and state in a report or reply that was received at boot time at. It ignores
// them if a later report or reply is known. l.mu must be held.
func (l *Limiter) observeState(incarnation string, state encoder.LoadState, at time.Duration) {
	if at < l.stateReceivedAt {
		return
	}
	l.stateReceivedAt = at
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

// adoptWarmAnnouncement marks the incarnation as warm if another owner has announced it as warm and there is no recent
// own evidence that it is cold.
func (l *Limiter) adoptWarmAnnouncement() {
	if l.warm || l.announcedWarmIncarnation != l.incarnation || l.incarnation == "" {
		return
	}
	if l.coldEvidenceAt != 0 && l.now()-l.coldEvidenceAt < factLifetime {
		return
	}
	l.setWarm(max(1, min(l.ownership.Share, l.ownership.ColdLimit)))
	if l.ownership.Rank > 0 {
		// The first owner has completed the ramp-up, so the other owners use their whole share.
		l.warmLimit = max(1, l.ownership.Share)
	}
}

func (l *Limiter) setWarm(limit int) {
	l.warm = true
	l.warmLimit = limit
	l.consecutiveReplies = 0
	l.events.Record(recorder.KindTargetWarm, l.target, "", "incarnation "+l.incarnation)
}

// resetToCold treats the target as cold: sub-queries need a lease again, and the ramp-up starts over.
func (l *Limiter) resetToCold(cause string) {
	l.consecutiveReplies = 0
	l.warmLimit = 1
	if !l.warm {
		return
	}
	l.warm = false
	l.warmByOwnReplies = false
	l.scope.Counter("limiter-resets").Inc(1)
	l.events.Record(recorder.KindTargetCold, l.target, "", cause)
}

// turnCold treats the target as cold because of own evidence about the current incarnation. The other owners keep their
// connections and treat the target as warm until they are notified, so the first owner sends nothing until then or
// until coldNoticeTimeout has passed.
func (l *Limiter) turnCold(cause string) {
	wasWarm := l.warm
	l.resetToCold(cause)
	if !wasWarm || l.onCold == nil {
		return
	}
	if l.ownership.Rank == 0 {
		l.pausedUntil = l.now() + coldNoticeTimeout
	}
	l.onCold()
}

// OwnersNotified tells the limiter that all other owners know that the target is cold. The first owner may then send
// again.
func (l *Limiter) OwnersNotified() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pausedUntil = 0
	l.assignSlots()
}

// observeDraining processes own evidence that the incarnation is draining.
func (l *Limiter) observeDraining(incarnation string) {
	l.drainingEvidenceAt = l.now()
	l.markDraining(incarnation)
}

// markDraining stops new work for an incarnation. Only a later report or a new incarnation ends this: a reply that was
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
	l.announcedWarmIncarnation = ""
	l.scope.Counter("targets-shed").Inc(1)
	l.events.Record(recorder.KindTargetShed, l.target, "", "")
	l.turnCold("target shed a sub-query")
}

// countWarmReply counts an answered sub-query of a warm target towards the ramp-up. Only the first owner ramps a cold
// target up; the other owners wait for its announcement.
func (l *Limiter) countWarmReply() {
	l.consecutiveReplies++
	if l.consecutiveReplies < repliesPerRampStep {
		return
	}
	l.consecutiveReplies = 0
	if l.warm {
		l.warmByOwnReplies = true
		l.warmLimit = min(l.warmLimit+1, max(1, l.ownership.Share))
		return
	}
	if l.ownership.Rank == 0 {
		l.setWarm(max(1, min(l.ownership.Share, l.ownership.ColdLimit+1)))
		l.warmByOwnReplies = true
	}
}

// Facts returns the fact to announce to the other owners, or none. A fact says what this owner knows from its own
// evidence about the current incarnation: that it is fully ramped up, cold or draining.
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
	case l.recentlyWarm() && l.warmByOwnReplies && l.warmLimit >= l.ownership.Share:
		fact.State = encoder.LoadStateWarm
	case !l.warm && l.coldEvidenceAt != 0 && l.now()-l.coldEvidenceAt < factLifetime:
		fact.State = encoder.LoadStateCold
	default:
		return nil
	}
	return []encoder.TargetFact{fact}
}

// Learn processes a fact from another owner and reports whether it turned a warm target cold. An owner other than the
// first accepts the announcement that a target is warm only from the first owner. Every owner accepts from any other
// that the target is cold or draining.
func (l *Limiter) Learn(fact encoder.TargetFact, from string) (turnedCold bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch fact.State {
	case encoder.LoadStateWarm:
		if l.ownership.Rank > 0 && from != l.ownership.FirstOwner {
			return false
		}
		l.announcedWarmIncarnation = fact.Incarnation
		if l.state == encoder.LoadStateWarm {
			l.adoptWarmAnnouncement()
		}
	case encoder.LoadStateCold:
		if fact.Incarnation != l.incarnation {
			return false
		}
		turnedCold = l.warm
		if l.announcedWarmIncarnation == fact.Incarnation {
			l.announcedWarmIncarnation = ""
		}
		l.resetToCold("reported as cold by " + from)
	case encoder.LoadStateDraining:
		l.markDraining(fact.Incarnation)
	}
	l.assignSlots()
	return turnedCold
}
