package appraiser

import "time"

// maxScheduledSlots is the number of slots up to which the work of each slot is followed.
const maxScheduledSlots = 16

// Expectation is what is expected of a request on a target, with the figures that it follows from.
type Expectation struct {
	// Cost is the work of the requests of the route at the usual speed.
	Cost Cost
	// Work is the expected time of the work on the target now.
	Work time.Duration
	// RelativeDuration is the duration of work on the target relative to the other targets, apart from WorkFactor.
	RelativeDuration float64
	// WorkFactor is the expected duration of work on the machine of the target relative to the usual one.
	WorkFactor float64
	// Slots is the number of requests that the target runs at a time.
	Slots int
	// OwnRequests is the number of requests of this instance in flight, and OwnWork what is left of their work at the usual
	// speed.
	OwnRequests int
	OwnWork     time.Duration
	// OtherRequests is the expected number of requests of other instances, and OtherWork their work at the usual speed.
	OtherRequests float64
	OtherWork     time.Duration
	// ReportAge is the age of the latest report of the target; negative if there is none.
	ReportAge time.Duration
	// Backlog is the time of the outstanding work for each slot on the target now.
	Backlog time.Duration
	// Wait is the expected time until a slot is free for the request. It is shorter than Backlog, since one slot suffices.
	Wait time.Duration
	// Completion is the expected time until the reply: the wait, the work and the network.
	Completion time.Duration
}

// Expect returns what is expected of a request that is sent now, and whether the service is active.
func (a *Appraiser) Expect(now time.Time, p Placement) (Expectation, bool) {
	if a.serviceCount.Load() == 0 {
		return Expectation{}, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.activeService(now, p.Service) == nil {
		return Expectation{}, false
	}
	return a.expect(now, p), true
}

// expect is Expect for an active service; the lock is held.
func (a *Appraiser) expect(now time.Time, p Placement) Expectation {
	t := a.targets[p.Target]
	if t == nil {
		t = newTarget(a.services[p.Service])
	}
	usual, described := a.workOf(p)
	e := Expectation{
		Cost: described, RelativeDuration: t.currentRelative(now), WorkFactor: t.currentFactor(now), Slots: t.slots(p.Slots),
		OwnRequests: len(t.inFlight), OtherRequests: t.currentOthers(now), ReportAge: -1,
	}
	if !t.reportAt.IsZero() {
		e.ReportAge = max(now.Sub(t.reportAt), 0)
	}
	speed := e.RelativeDuration * e.WorkFactor
	var buffer [maxScheduledSlots]float64
	own, mean := a.appendOwnWork(buffer[:0], now, t, e.Slots, speed), a.meanWork(p)
	ownSum := 0.0
	for _, work := range own {
		ownSum += work
	}
	othersSum := e.OtherRequests * mean
	e.OwnWork, e.OtherWork = time.Duration(ownSum), time.Duration(othersSum)
	e.Backlog = time.Duration((ownSum + othersSum) / float64(e.Slots) * speed)
	e.Wait = time.Duration(timeToFreeSlot(own, e.OtherRequests, mean, e.Slots) * speed)
	e.Work = time.Duration(usual * speed)
	e.Completion = e.Wait + e.Work + p.Network
	return e
}

// appendOwnWork appends the remaining work of each request of this instance in flight to the target. The target has not
// begun those beyond its slots.
func (a *Appraiser) appendOwnWork(works []float64, now time.Time, t *target, slots int, speed float64) []float64 {
	for i, r := range t.inFlight {
		done := 0.0
		if i < slots {
			done = float64(max(now.Sub(r.arrival()), 0)) / speed
		}
		works = append(works, a.remainingWork(r.placement, done))
	}
	return works
}

// timeToFreeSlot returns the work until a slot is free for another request, if the slots take the works in order: those of
// this instance, then those of others, each of the mean work. The number of others is an expectation; for a fraction, the
// result lies between those of the next whole numbers.
func timeToFreeSlot(own []float64, others, mean float64, slots int) float64 {
	if float64(len(own))+others <= float64(slots-1) {
		return 0
	}
	if slots > maxScheduledSlots {
		sum := others * mean
		for _, work := range own {
			sum += work
		}
		requests := float64(len(own)) + others
		return sum / requests * (requests - float64(slots) + 1) / float64(slots)
	}
	var array [maxScheduledSlots]float64
	ready := array[:slots]
	for _, work := range own {
		ready[earliest(ready)] += work
	}
	for others >= 1 {
		ready[earliest(ready)] += mean
		others--
	}
	first := earliest(ready)
	low := ready[first]
	ready[first] += mean
	return low + others*(ready[earliest(ready)]-low)
}

// earliest returns the index of the lowest value.
func earliest(ready []float64) int {
	first := 0
	for i := range ready {
		if ready[i] < ready[first] {
			first = i
		}
	}
	return first
}

// remainingWork returns the expected work that is left of a request on which some work has been done.
func (a *Appraiser) remainingWork(p Placement, done float64) float64 {
	if c := a.knownCost(p); c != nil {
		return c.remaining(done)
	}
	work, _ := a.workOf(p)
	return max(work-done, minRemainingShare*work)
}

// knownCost returns the cost of the requests of the route on the target, or nil if too little is known of them.
func (a *Appraiser) knownCost(p Placement) *cost {
	r := a.routes[p.Route]
	switch {
	case r == nil:
		return nil
	case p.IsCold && r.cold.known():
		return &r.cold
	case !p.IsCold && r.warm.known():
		return &r.warm
	}
	return nil
}

// workOf returns the expected work of a request at the usual speed, and the cost of its route that it follows from. Until
// the route is known, it is that of a warm target, the mean of the service or the usual latency.
func (a *Appraiser) workOf(p Placement) (float64, Cost) {
	if c := a.knownCost(p); c != nil {
		return c.mean(), c.describe()
	}
	if p.IsCold {
		p.IsCold = false
		work, described := a.workOf(p)
		return coldFactor * work, described
	}
	if s := a.services[p.Service]; s != nil && s.cost.known() {
		return s.cost.mean(), Cost{}
	}
	return float64(max(p.UsualLatency-p.Network, p.UsualLatency/2)), Cost{}
}

// meanWork returns the mean work of the requests to the service at the usual speed.
func (a *Appraiser) meanWork(p Placement) float64 {
	if s := a.services[p.Service]; s != nil && s.cost.known() {
		return s.cost.mean()
	}
	work, _ := a.workOf(p)
	return work
}
