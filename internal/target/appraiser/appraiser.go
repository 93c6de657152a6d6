// Package appraiser estimates what a request is likely to cost a target and what a target still has to do, in relay mode.
// It learns the work time of each route, the relative speed of each target and the speed of its machine from the replies
// that this instance gets and from the loads that targets report in them. It is active for services whose targets report
// the duration of work on their machines. The picker uses it to choose targets by their expected completion time; which
// targets have capacity, and penalties for failures, pauses and other failure domains, are left to the picker.
//
// The package has no network access and no clock: times are passed in.
package appraiser

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// activeTime is how long a service stays active after the latest report with a work factor.
	activeTime = 2 * time.Minute
	// maxRoutes is the maximum number of routes whose costs are kept. The one that was used least recently makes room.
	maxRoutes = 512
	// maxServices is the maximum number of services that are kept.
	maxServices = 4096
	// coldFactor is the work of a request on a cold target relative to a warm one, until it is known.
	coldFactor = 1.6
	// queuedWeight is the weight of a sample whose request probably waited for a slot first, and unreportedWeight of one
	// whose reply did not tell the work factor: both leave more of its latency unexplained.
	queuedWeight     = 0.2
	unreportedWeight = 0.3
	// queuedShare is the expected wait, relative to the work, from which a request counts as one that waited.
	queuedShare = 0.1
	// minWorkShare is the least work of a request relative to its latency, if its expected wait was too long.
	minWorkShare = 0.2
)

// Appraiser holds the learned costs and the state of the targets of active services.
type Appraiser struct {
	// serviceCount is the number of services, so that nothing is locked while there are none.
	serviceCount atomic.Int64

	mu       sync.Mutex
	services map[string]*service
	routes   map[string]*route
	targets  map[string]*target
}

// service is the state of a service whose targets have reported a work factor.
type service struct {
	// reportedAt is the time of the latest report with a work factor.
	reportedAt time.Time
	// cost is the work of the requests of all routes.
	cost cost
}

func (s *service) isActive(now time.Time) bool { return now.Sub(s.reportedAt) < activeTime }

// route holds the cost of the requests of a route on warm and on cold targets.
type route struct {
	warm, cold cost
	usedAt     time.Time
}

// New returns an Appraiser that has learned nothing.
func New() *Appraiser {
	return &Appraiser{services: make(map[string]*service), routes: make(map[string]*route), targets: make(map[string]*target)}
}

// activeService returns the state of the service, or nil if it is not active; the lock is held.
func (a *Appraiser) activeService(now time.Time, name string) *service {
	if s := a.services[name]; s != nil && s.isActive(now) {
		return s
	}
	return nil
}

// Placement is a request with a target that it may be sent to.
type Placement struct {
	Route, Service, Target string
	// Slots is the number of requests that the target runs at a time; 0 if unknown.
	Slots int
	// IsCold reports whether the target is expected to be cold.
	IsCold bool
	// Network is the time of a round trip to the target.
	Network time.Duration
	// UsualLatency is the usual latency of the route. It stands for the cost until more is known.
	UsualLatency time.Duration
}

// Request is a request in flight to a target of an active service.
type Request struct {
	appraiser *Appraiser
	target    *target
	placement Placement
	start     time.Time
	// expected is the expectation when the request was sent.
	expected Expectation
}

// arrival returns when the request arrives at the target.
func (r *Request) arrival() time.Time { return r.start.Add(r.placement.Network / 2) }

// Begin records a request that is about to be sent, and what is expected of it. It returns nil if the service is not active.
func (a *Appraiser) Begin(now time.Time, p Placement) (*Request, Expectation) {
	if a.serviceCount.Load() == 0 {
		return nil, Expectation{}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.activeService(now, p.Service)
	if s == nil {
		return nil, Expectation{}
	}
	t := a.targetOf(p.Target, s)
	r := &Request{appraiser: a, target: t, placement: p, start: now, expected: a.expect(now, p)}
	t.inFlight = append(t.inFlight, r)
	a.routeOf(p.Route, now)
	return r, r.expected
}

// targetOf returns the state of a target and creates it if there is none.
func (a *Appraiser) targetOf(id string, s *service) *target {
	t := a.targets[id]
	if t == nil {
		t = newTarget(s)
		a.targets[id] = t
	}
	t.service = s
	return t
}

// routeOf returns the costs of a route and creates them if there are none.
func (a *Appraiser) routeOf(name string, now time.Time) *route {
	r := a.routes[name]
	if r == nil {
		if len(a.routes) >= maxRoutes {
			a.dropOldestRoute()
		}
		r = &route{warm: newCost(), cold: newCost()}
		a.routes[name] = r
	}
	r.usedAt = now
	return r
}

func (a *Appraiser) dropOldestRoute() {
	oldest := ""
	for name, r := range a.routes {
		if oldest == "" || r.usedAt.Before(a.routes[oldest].usedAt) {
			oldest = name
		}
	}
	delete(a.routes, oldest)
}

// Observe records a report of a target that came with a reply to a request without a Request, because the service was not
// active when it was sent. A report with a work factor makes the service active.
func (a *Appraiser) Observe(sentAt time.Time, service, target string, slots int, report Report) {
	if report.WorkFactor <= 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.activate(sentAt, service)
	if s == nil {
		return
	}
	t := a.targetOf(target, s)
	t.observe(sentAt, report, t.slots(slots))
}

// activate returns the state of the service and keeps it active; nil if there is no room for it.
func (a *Appraiser) activate(sentAt time.Time, name string) *service {
	s := a.services[name]
	if s == nil {
		if len(a.services) >= maxServices {
			return nil
		}
		s = &service{cost: newCost()}
		a.services[name] = s
		a.serviceCount.Store(int64(len(a.services)))
	}
	if sentAt.After(s.reportedAt) {
		s.reportedAt = sentAt
	}
	return s
}

// Outcome is how a request ended.
type Outcome struct {
	// Latency is the time from the start of the request to its reply, both at the instance that sent it to the target.
	Latency time.Duration
	// Network is the part of Latency that the messages were under way.
	Network time.Duration
	// Delay is the time from the start of the request here to the start of Latency; 0 unless another instance sent it.
	Delay time.Duration
	// Succeeded reports whether the target has run the request as usual, so that its latency tells its cost.
	Succeeded bool
	// Report is what the reply reports; nil if it reports nothing.
	Report *Report
}

// End records how the request ended. The report counts from when the target sent the reply, which may be well before now
// if the reply came through another instance.
func (r *Request) End(now time.Time, o Outcome) {
	a, t, p := r.appraiser, r.target, r.placement
	a.mu.Lock()
	defer a.mu.Unlock()
	t.remove(r)
	sentAt := r.start.Add(o.Delay + max(o.Latency-o.Network/2, 0))
	if sentAt.After(now) {
		sentAt = now
	}
	factor, weight := r.expected.WorkFactor, unreportedWeight
	if o.Report != nil {
		if o.Report.WorkFactor > 0 {
			a.activate(sentAt, p.Service)
			factor, weight = o.Report.WorkFactor, 1
		}
		t.observe(sentAt, *o.Report, t.slots(p.Slots))
	}
	if o.Succeeded {
		a.learn(now, r, o.Latency-o.Network, factor, weight)
	}
}

// learn learns the cost of the route and the speed of the target from the time that a request was on the target.
func (a *Appraiser) learn(now time.Time, r *Request, timeOnTarget time.Duration, factor, weight float64) {
	onTarget := float64(max(timeOnTarget, 0))
	if r.expected.Wait > time.Duration(queuedShare*float64(r.expected.Work)) {
		weight *= queuedWeight
	}
	work := max(onTarget-float64(r.expected.Wait), minWorkShare*onTarget) / factor
	if work <= 0 {
		return
	}
	route := a.routeOf(r.placement.Route, now)
	if r.placement.IsCold {
		route.cold.record(work, weight)
		return
	}
	route.warm.record(work, weight)
	r.target.service.cost.record(work, weight)
	if route.warm.known() && work <= tailFactor*route.warm.usual*max(r.target.currentRelative(now), 1) {
		r.target.recordRelative(now, work/route.warm.usual, weight)
	}
}

// Retain drops the state of targets that are not wanted, and of services that are no longer active.
func (a *Appraiser) Retain(now time.Time, wanted func(target string) bool) {
	if a.serviceCount.Load() == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, s := range a.services {
		if !s.isActive(now) {
			delete(a.services, name)
		}
	}
	a.serviceCount.Store(int64(len(a.services)))
	for id, t := range a.targets {
		if !wanted(id) || !t.service.isActive(now) {
			delete(a.targets, id)
		}
	}
}

// RouteCount returns the number of routes whose costs are kept.
func (a *Appraiser) RouteCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.routes)
}
