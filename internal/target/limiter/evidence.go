package limiter

import (
	"time"

	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/wire/encoder"
)

// Report takes a report into account that the target was asked for at a boot time. Only answers raise the limit.
func (l *Limiter) Report(incarnation string, state encoder.LoadState, asked time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.see(incarnation, state, l.now())
	l.freshAt = max(l.freshAt, asked)
	if state != encoder.LoadStateDraining && l.now()-l.drainedAt > drainHold {
		l.drained = ""
	}
	l.serve()
}

// ConnectionReset takes into account that the other side ended a connection to the incarnation.
func (l *Limiter) ConnectionReset(incarnation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if incarnation == l.incarnation {
		l.reset("connection reset")
	}
}

// ReturnToService treats the target as cold, after its failure domain or the target itself was out of service.
func (l *Limiter) ReturnToService() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reset("returned to service")
	l.announced = ""
}

// LeaveService treats the target as cold while its failure domain or the target itself is out of service.
func (l *Limiter) LeaveService() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reset("taken out of service")
	l.announced = ""
}

// see takes the incarnation and state in a report or reply into account, unless something newer is known; the
// caller holds the mutex.
func (l *Limiter) see(incarnation string, state encoder.LoadState, at time.Duration) {
	if at < l.seenAt {
		return
	}
	l.seenAt = at
	if incarnation != l.incarnation {
		l.reset("new incarnation")
		l.incarnation = incarnation
		l.coldAt = 0
	}
	l.state = state
	switch state {
	case encoder.LoadStateDraining:
		l.sawDraining(incarnation)
	case encoder.LoadStateCold:
		l.coldAt = l.now()
		l.turnCold("target is cold")
	case encoder.LoadStateWarm:
		l.adopt()
	}
}

// adopt believes another owner's announcement that the incarnation is warm.
func (l *Limiter) adopt() {
	if l.warm || l.announced != l.incarnation || l.incarnation == "" {
		return
	}
	if l.coldAt != 0 && l.now()-l.coldAt < factLifetime {
		return
	}
	l.setWarm(max(1, min(l.own.Share, l.own.ColdLimit)))
	if l.own.Rank > 0 {
		// The first owner has ramped the target up, so the second one uses its whole share.
		l.limit = max(1, l.own.Share)
	}
}

func (l *Limiter) setWarm(limit int) {
	l.warm = true
	l.limit = limit
	l.streak = 0
	l.events.Record(recorder.KindTargetWarm, l.target, "", "incarnation "+l.incarnation)
}

// reset returns to the cold limit.
func (l *Limiter) reset(cause string) {
	l.streak = 0
	l.limit = 1
	if !l.warm {
		return
	}
	l.warm = false
	l.ramped = false
	l.scope.Counter("limiter-resets").Inc(1)
	l.events.Record(recorder.KindTargetCold, l.target, "", cause)
}

// turnCold returns to the cold limit on own evidence about the same incarnation. The other owners keep their connections
// and take it for warm until they are told.
func (l *Limiter) turnCold(cause string) {
	wasWarm := l.warm
	l.reset(cause)
	if !wasWarm || l.onCold == nil {
		return
	}
	if l.own.Rank == 0 {
		l.heldUntil = l.now() + holdTime
	}
	l.onCold()
}

// Told takes into account that all other owners have been told that the target is cold.
func (l *Limiter) Told() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heldUntil = 0
	l.serve()
}

// sawDraining takes own evidence into account that the incarnation drains.
func (l *Limiter) sawDraining(incarnation string) {
	l.drainSeenAt = l.now()
	l.drain(incarnation)
}

// drain stops new work for an incarnation. Only a later report or a new incarnation ends it, because replies that
// were sent before can arrive after.
func (l *Limiter) drain(incarnation string) {
	if l.drained == incarnation {
		l.drainedAt = l.now()
		return
	}
	if l.draining() {
		// The fact is about an incarnation that has ended.
		return
	}
	l.drained = incarnation
	l.drainedAt = l.now()
	l.events.Record(recorder.KindTargetDraining, l.target, "", "incarnation "+incarnation)
}

// shed takes into account that the target refused a sub-query under load.
func (l *Limiter) shed() {
	l.coldAt = l.now()
	l.announced = ""
	l.scope.Counter("targets-shed").Inc(1)
	l.events.Record(recorder.KindTargetShed, l.target, "", "")
	l.turnCold("target shed a sub-query")
}

// answered counts an answer from a warm target towards the ramp-up.
func (l *Limiter) answered() {
	l.streak++
	if l.streak < rampAnswers {
		return
	}
	l.streak = 0
	if l.warm {
		l.ramped = true
		l.limit = min(l.limit+1, max(1, l.own.Share))
		return
	}
	if l.own.Rank == 0 {
		l.setWarm(max(1, min(l.own.Share, l.own.ColdLimit+1)))
		l.ramped = true
	}
}

// Facts returns what this owner knows from its own evidence: a fully ramped up, cold or draining incarnation.
func (l *Limiter) Facts() []encoder.TargetFact {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.incarnation == "" || l.own.Share == 0 {
		return nil
	}
	fact := encoder.TargetFact{Target: l.target, Incarnation: l.incarnation}
	switch {
	case l.draining() && l.drainSeenAt != 0 && l.now()-l.drainSeenAt < factLifetime:
		fact.State = encoder.LoadStateDraining
	case l.draining():
		return nil
	case l.believesWarm() && l.ramped && l.limit >= l.own.Share:
		fact.State = encoder.LoadStateWarm
	case !l.warm && l.coldAt != 0 && l.now()-l.coldAt < factLifetime:
		fact.State = encoder.LoadStateCold
	default:
		return nil
	}
	return []encoder.TargetFact{fact}
}

// Learn takes a fact from another owner into account and reports whether a warm target has become cold by it. The
// second owner believes only the first owner that a target is warm; every owner believes any other that it is cold or
// draining.
func (l *Limiter) Learn(fact encoder.TargetFact, from string) (cooled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch fact.State {
	case encoder.LoadStateWarm:
		if l.own.Rank > 0 && from != l.own.First {
			return false
		}
		l.announced = fact.Incarnation
		if l.state == encoder.LoadStateWarm {
			l.adopt()
		}
	case encoder.LoadStateCold:
		if fact.Incarnation != l.incarnation {
			return false
		}
		cooled = l.warm
		if l.announced == fact.Incarnation {
			l.announced = ""
		}
		l.reset("cold for " + from)
	case encoder.LoadStateDraining:
		l.drain(fact.Incarnation)
	}
	l.serve()
	return cooled
}
