package relayer

import (
	"slices"
	"time"

	"apricotflow/internal/cluster/registrar"
)

// advance sends the next request for a part if one is due.
func (f *flight) advance(i int) {
	p := f.parts[i]
	now := time.Now()
	switch {
	case !p.open() || now.Before(p.waitUntil):
	case p.flying == 0:
		f.send(i, false)
	case f.request.Route.Idempotent && p.flying == 1 && p.committed < f.request.Route.MaxTargets && now.Sub(p.sentAt) >= f.pace.Hedge:
		f.send(i, true)
	}
}

// send sends a request for the part to the most suitable target. A hedge goes only to a target that nothing speaks
// against.
func (f *flight) send(i int, hedge bool) {
	p := f.parts[i]
	if p.committed >= f.request.Route.MaxTargets {
		f.end(p)
		return
	}
	target, found := f.untried(p)
	if !found && !hedge {
		target, found = f.again(p)
	}
	switch {
	case hedge && (!found || !f.sender.Healthy(target)):
		f.postpone(p)
		return
	case !found:
		f.block(i)
		return
	}
	if p.arrived > 0 && !f.repeatable(p, hedge) {
		f.note(p, target.ID, "budget-empty")
		if hedge {
			f.postpone(p)
			return
		}
		f.end(p)
		return
	}
	if hedge {
		f.note(p, target.ID, "hedge")
	}
	f.dispatch(i, target)
}

// repeatable reports whether the budget allows another request for the part.
func (f *flight) repeatable(p *part, hedge bool) bool {
	if hedge {
		return f.sender.Hedge(p.service.Name)
	}
	return f.sender.Retry(p.service.Name)
}

// dispatch sends a request for the part to the target.
func (f *flight) dispatch(i int, target registrar.Target) {
	p := f.parts[i]
	p.begin(target)
	service := p.service
	go func() {
		result := f.sender.Send(f.work, target, service, f.request.Route.Name, f.pace, f.request.Wire, f.request.Deadline)
		f.arrivals <- arrival{items: []item{{part: i, target: target, result: result}}}
	}()
}

// untried returns the most suitable target that has not been asked.
func (f *flight) untried(p *part) (registrar.Target, bool) {
	return f.sender.Pick(p.service, f.pace, f.domain, func(id string) bool { return slices.Contains(p.tried, id) })
}

// again returns a target that was asked before and is the only kind left.
func (f *flight) again(p *part) (registrar.Target, bool) {
	if !f.request.Route.Idempotent && p.ran {
		return registrar.Target{}, false
	}
	return f.sender.Pick(p.service, f.pace, f.domain, func(string) bool { return false })
}

// block waits for a target with room, or gives the part up when the caller had better come back.
func (f *flight) block(i int) {
	p := f.parts[i]
	if !f.sender.Serving(p.service.Name) || time.Now().After(f.patience()) {
		f.note(p, "", "no target with room")
		f.end(p)
		return
	}
	p.waitUntil = time.Now().Add(blockedInterval)
}

// postpone lets the next hedge of the part be due later.
func (f *flight) postpone(p *part) {
	p.waitUntil = time.Now().Add(f.pace.Hedge)
}

// patience returns until when a part waits for a target. A query waits as long as its answer can be in time, since its
// other parts are under way; another request is refused while its caller can still come back in time.
func (f *flight) patience() time.Time {
	if !f.cutoff.IsZero() && f.ran() {
		return f.cutoff.Add(-retryPause)
	}
	objective := f.request.Route.Objective
	if objective <= 0 {
		objective = f.request.Deadline.Sub(f.request.Arrived)
	}
	return f.request.Arrived.Add(time.Duration(refusalShare * float64(objective)))
}

func (f *flight) end(p *part) {
	if p.flying == 0 && p.open() {
		p.ended = true
		f.opened--
	}
}
