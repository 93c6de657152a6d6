package relayer

import (
	"slices"
	"time"

	"apricotflow/internal/cluster/registrar"
)

// sendIfDue sends the next request for the part if one is due.
func (f *forwarder) sendIfDue(i int) {
	p := f.parts[i]
	now := time.Now()
	switch {
	case !p.open() || now.Before(p.waitUntil):
	case p.inFlight == 0:
		f.send(i, false)
	case f.request.Route.Idempotent && p.inFlight == 1 && p.possibleRuns < f.request.Route.MaxTargets && now.Sub(p.lastSentAt) >= f.latency.HedgeDelay:
		f.send(i, true)
	}
}

// send sends a request for the part to the best target. A hedge is sent only to a healthy target.
func (f *forwarder) send(i int, hedge bool) {
	p := f.parts[i]
	if p.possibleRuns >= f.request.Route.MaxTargets {
		f.giveUp(p)
		return
	}
	target, found := f.pickUntried(p)
	if !found && !hedge {
		target, found = f.pickTried(p)
	}
	switch {
	case hedge && (!found || !f.sender.Healthy(target)):
		f.postponeHedge(p)
		return
	case !found:
		f.waitForCapacity(i)
		return
	}
	if p.reached > 0 && !f.takeBudget(p, hedge) {
		f.addDecision(p, target.ID, "budget-empty")
		if hedge {
			f.postponeHedge(p)
			return
		}
		f.giveUp(p)
		return
	}
	if hedge {
		f.addDecision(p, target.ID, "hedge")
	}
	f.dispatch(i, target)
}

// takeBudget takes one unit of the retry or hedge budget, and reports whether there was one.
func (f *forwarder) takeBudget(p *part, hedge bool) bool {
	if hedge {
		return f.sender.AllowHedge(p.service.Name)
	}
	return f.sender.AllowRetry(p.service.Name)
}

// dispatch sends a request for the part to the target.
func (f *forwarder) dispatch(i int, target registrar.Target) {
	p := f.parts[i]
	p.recordRequest(target)
	service := p.service
	go func() {
		result := f.sender.Send(f.sendCtx, target, service, f.request.Route.Name, f.latency, f.request.Wire, f.request.Deadline)
		f.resultBatches <- resultBatch{results: []partResult{{part: i, target: target, result: result}}}
	}()
}

// pickUntried returns the best target that has not been tried.
func (f *forwarder) pickUntried(p *part) (registrar.Target, bool) {
	return f.sender.Pick(p.service, f.latency, f.preferredDomain, func(id string) bool { return slices.Contains(p.triedTargets, id) })
}

// pickTried returns a target that was tried before, for use when no other is left.
func (f *forwarder) pickTried(p *part) (registrar.Target, bool) {
	if !f.request.Route.Idempotent && p.mayHaveRun {
		return registrar.Target{}, false
	}
	return f.sender.Pick(p.service, f.latency, f.preferredDomain, func(string) bool { return false })
}

// waitForCapacity waits for a target with capacity, or gives the part up when it is better for the caller to retry.
func (f *forwarder) waitForCapacity(i int) {
	p := f.parts[i]
	if !f.sender.HasServingTarget(p.service.Name) || time.Now().After(f.targetWaitDeadline()) {
		f.addDecision(p, "", "no target with room")
		f.giveUp(p)
		return
	}
	p.waitUntil = time.Now().Add(capacityPollInterval)
}

// postponeHedge delays the next hedge of the part.
func (f *forwarder) postponeHedge(p *part) {
	p.waitUntil = time.Now().Add(f.latency.HedgeDelay)
}

// targetWaitDeadline returns when a part stops waiting for a target. A sharded query with parts under way waits as
// long as its answer can be in time; any other request is refused while its caller still has time to retry.
func (f *forwarder) targetWaitDeadline() time.Time {
	if !f.cutoff.IsZero() && f.mayHaveRun() {
		return f.cutoff.Add(-retryDelay)
	}
	objective := f.request.Route.Objective
	if objective <= 0 {
		objective = f.request.Deadline.Sub(f.request.Arrived)
	}
	return f.request.Arrived.Add(time.Duration(refusalFraction * float64(objective)))
}

func (f *forwarder) giveUp(p *part) {
	if p.inFlight == 0 && p.open() {
		p.givenUp = true
		f.openParts--
	}
}
