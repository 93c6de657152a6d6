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
	case !p.isPending() || now.Before(p.waitUntil) || !f.maySend():
	case p.inFlight == 0:
		f.send(i, false)
	case f.request.Route.Idempotent && p.inFlight == 1 && f.mayHedge() && p.possibleRuns < f.request.maxRuns() && now.Sub(p.hedgeDelayStart) >= f.latency.HedgeDelay:
		f.send(i, true)
	}
}

// send sends a request for the part to the best target. A hedge is sent only to a healthy target with capacity to spare.
func (f *forwarder) send(i int, hedge bool) {
	p := f.parts[i]
	switch {
	case p.possibleRuns >= f.request.maxRuns():
		f.giveUp(p)
		return
	case time.Now().After(f.latestUsefulSend()):
		if hedge {
			f.postponeHedge(p)
			return
		}
		f.addDecision(p, "", "too little time left")
		f.giveUp(p)
		return
	}
	if (hedge || p.sentRequests > 0) && !f.mayRepeat() {
		if hedge {
			f.postponeHedge(p)
			return
		}
		f.addDecision(p, "", "repetition left to the origin")
		f.giveUp(p)
		return
	}
	if !f.sender.MayTake(p.service.Name, f.rank(), p.waiter) {
		if hedge {
			f.postponeHedge(p)
			return
		}
		f.waitForCapacity(i)
		return
	}
	target, found := f.pickUntried(p)
	if !found && !hedge {
		target, found = f.pickTried(p)
	}
	switch {
	case hedge && (!found || !f.sender.MayHedge(target)):
		f.postponeHedge(p)
		return
	case !found:
		f.waitForCapacity(i)
		return
	}
	if (p.sentRequests > 0 || f.request.PriorRuns > 0) && !f.takeBudget(p, hedge) {
		f.addDecision(p, target.ID, "budget-empty")
		if hedge {
			f.postponeHedge(p)
			return
		}
		// Until there is budget, the part must not block those that rank after it.
		p.leaveQueue()
		f.waitOrGiveUp(p, budgetPollInterval)
		return
	}
	if hedge {
		f.addDecision(p, target.ID, "hedge")
	}
	f.sendTo(i, target)
}

// mayRepeat reports whether a target may get a part that another one was sent.
func (f *forwarder) mayRepeat() bool { return f.request.MayRepeat == nil || f.request.MayRepeat() }

// takeBudget takes one unit of the retry or hedge budget, and reports whether there was one.
func (f *forwarder) takeBudget(p *part, hedge bool) bool {
	if hedge {
		return f.sender.AllowHedge(p.service.Name, f.request.tenantName())
	}
	return f.sender.AllowRetry(p.service.Name, f.request.tenantName())
}

// sendTo sends a request for the part to the given target, through a peer if this instance holds no connection to it.
func (f *forwarder) sendTo(i int, target registrar.Target) {
	p := f.parts[i]
	if f.sendThroughHolder([]choice{{part: i, target: target}}) {
		f.caution.trial = f.caution.active
		return
	}
	p.recordRequest(target)
	f.caution.trial = f.caution.active
	f.sender.CountRequest(target, f.request.tenantName())
	service := p.service
	go func() {
		result := f.sender.Send(f.sendCtx, target, service, f.request.Route.Name, f.latency, f.request.Outbound, f.request.Deadline)
		f.resultBatches <- resultBatch{results: []partResult{{part: i, target: target, result: result}}}
	}()
}

// pickUntried returns the best target that has not been tried.
func (f *forwarder) pickUntried(p *part) (registrar.Target, bool) {
	return f.sender.Pick(p.service, f.latency, f.preferredDomain, func(id string) bool { return slices.Contains(p.triedTargets, id) })
}

// pickTried returns a target that was tried before, for use when no other is left.
func (f *forwarder) pickTried(p *part) (registrar.Target, bool) {
	if !f.request.Route.Idempotent && p.ranOrLost {
		return registrar.Target{}, false
	}
	return f.sender.Pick(p.service, f.latency, f.preferredDomain, func(string) bool { return false })
}

// waitForCapacity makes the part wait in the queue for a target with capacity, or gives it up if no target is serving or
// the wait has become too long.
func (f *forwarder) waitForCapacity(i int) {
	p := f.parts[i]
	if f.refuseIfHopeless(p) {
		return
	}
	if !f.waitOrGiveUp(p, capacityPollInterval) {
		f.addDecision(p, "", "no target with capacity")
		return
	}
	if p.waiter != nil {
		p.waiter.WaitUntil(f.certainWaitEnd())
	} else {
		p.waiter = f.sender.Wait(p.service.Name, f.rank(), f.certainWaitEnd(), func() {
			select {
			case f.wakeups <- i:
			default:
			}
		})
	}
}

// waitOrGiveUp delays the next request for the part, or gives the part up if no target is serving or the wait has become
// too long. It reports whether the part waits.
func (f *forwarder) waitOrGiveUp(p *part, delay time.Duration) bool {
	available := f.sender.HasAvailableTarget(p.service.Name)
	if !available || time.Now().Add(f.sender.Allowance(p.service.Name).Wait()).After(f.targetWaitDeadline()) {
		f.giveUp(p)
		return false
	}
	p.waitUntil = time.Now().Add(delay)
	return true
}

// postponeHedge delays the next hedge of the part.
func (f *forwarder) postponeHedge(p *part) {
	p.waitUntil = time.Now().Add(f.latency.HedgeDelay)
}

// targetWaitDeadline returns when a part stops waiting for a target. A sharded query with parts under way waits as
// long as its answer can be in time and, while it has too few parts for an answer, until its deadline: a late answer is
// worth more to the caller than a failure, whose retry would repeat all parts. Any other request is refused while its
// caller still has time to retry.
func (f *forwarder) targetWaitDeadline() time.Time {
	if !f.cutoff.IsZero() && f.mayHaveRun() {
		if f.servedParts < f.minParts() {
			return f.latestUsefulSend()
		}
		return f.cutoff.Add(-retryDelay)
	}
	objective := f.request.Route.Objective
	if objective <= 0 {
		objective = f.request.Deadline.Sub(f.request.Arrived)
	}
	return f.request.Arrived.Add(time.Duration(maxTargetWaitFraction * float64(objective)))
}

// latestUsefulSend returns the latest time at which a target can still be expected to reply before the deadline. A
// request sent later would only take its slot.
func (f *forwarder) latestUsefulSend() time.Time {
	needed := time.Duration(minSendFraction * float64(f.request.Route.Objective))
	return f.request.Deadline.Add(-max(needed, f.latency.Median, retryDelay))
}

func (f *forwarder) giveUp(p *part) {
	if p.inFlight == 0 && p.isPending() {
		p.givenUp = true
		f.pendingParts--
		p.leaveQueue()
	}
}
