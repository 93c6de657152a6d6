package relayer

import (
	"context"
	"time"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/target/sender"
	"apricotflow/internal/target/transporter"
)

// part is the state of one shard of a query, or of the only service of another request.
type part struct {
	service mapper.Service
	// tried holds the ids of the targets that were asked.
	tried []string
	// flying is the number of requests in flight.
	flying int
	// arrived is the number of requests that have or may have reached a target.
	arrived int
	// committed is the number of requests that a target has run or may yet run.
	committed int
	// ran tells that a target may have run the request.
	ran bool
	// sentAt is the time of the latest request.
	sentAt time.Time
	// waitUntil is when the next request may be sent after a failure or for want of a target with room.
	waitUntil time.Time
	// reply is nil until the part is served.
	reply *transporter.Reply
	// failure is the latest reply that is a failure.
	failure *transporter.Reply
	// ended tells that nothing more is sent for this part and nothing is in flight.
	ended bool
}

// open reports whether the part may still be served.
func (p *part) open() bool {
	return p.reply == nil && !p.ended
}

// begin notes a request to the target.
func (p *part) begin(target registrar.Target) {
	p.tried = append(p.tried, target.ID)
	p.flying++
	p.arrived++
	p.committed++
	p.sentAt = time.Now()
}

// arrival holds the results of requests to targets.
type arrival struct {
	items []item
	// merged tells that the records of the replies are those here, and not in the replies.
	merged  bool
	records []byte
}

// item is the result of one request to a target.
type item struct {
	part   int
	target registrar.Target
	result transporter.Result
}

// flight serves one request; it is used by one goroutine.
type flight struct {
	request      Request
	sender       *sender.Sender
	concentrator Concentrator
	pace         sender.Pace
	// domain is the failure domain whose targets are preferred.
	domain   string
	parts    []*part
	arrivals chan arrival
	// merged holds the records of parts that were merged by other instances.
	merged [][]byte
	// work ends all requests in flight.
	work   context.Context
	cancel context.CancelFunc
	// served counts the parts with a reply, and opened those that may still get one.
	served int
	opened int
	// cutoff is when a query over shards takes the parts that are in, if they suffice; zero for other requests.
	cutoff    time.Time
	decisions []Decision
}

func newFlight(s *sender.Sender, c Concentrator, request Request) *flight {
	route := request.Route
	services := route.Shards
	if !route.Scattered() {
		services = []string{route.Destination(request.Wire.ID)}
	}
	f := &flight{
		request: request, sender: s, concentrator: c, pace: s.Pace(route.Name), domain: s.Preferred(services[0]),
		parts: make([]*part, len(services)), opened: len(services),
	}
	for i, name := range services {
		f.parts[i] = &part{service: request.Table.Service(name)}
	}
	f.arrivals = make(chan arrival, len(services)*(route.MaxTargets+1))
	if route.Scattered() {
		due := request.Due
		if due.IsZero() {
			due = request.Deadline
		}
		f.cutoff = due.Add(-answerMargin)
		f.pace = f.pace.WithHedge(f.latestHedge())
	}
	return f
}

// latestHedge returns the delay after which a hedge would come too late for the cutoff.
func (f *flight) latestHedge() time.Duration {
	left := f.cutoff.Sub(f.request.Arrived) - hopTime
	return max(left-time.Duration(hedgeRuns*float64(f.pace.Usual)), time.Duration(leastWait*float64(f.pace.Usual)))
}

// run serves the request to its end.
func (f *flight) run(ctx context.Context) Answer {
	if !f.sender.Serviceable(f.request.Route, f.request.Wire.ID) {
		return f.refuseUnserviceable()
	}
	f.work, f.cancel = context.WithDeadline(context.WithoutCancel(ctx), f.request.Deadline)
	linger := lingerTime
	defer func() { f.release(linger) }()
	f.start()
	timer := time.NewTimer(f.untilNext())
	defer timer.Stop()
	for {
		if answer, ended := f.conclude(); ended {
			return answer
		}
		select {
		case a := <-f.arrivals:
			f.take(a)
		case <-ctx.Done():
			linger = leftLinger
			return Answer{Outcome: Abandoned}
		case <-timer.C:
			for i := range f.parts {
				f.advance(i)
			}
		}
		timer.Reset(f.untilNext())
	}
}

// least returns the number of parts without which the request fails.
func (f *flight) least() int {
	if f.request.Route.Scattered() {
		return f.request.Route.LeastParts()
	}
	return 1
}

// release ends the requests that are still in flight after the linger time.
func (f *flight) release(linger time.Duration) {
	for _, p := range f.parts {
		if p.flying > 0 {
			time.AfterFunc(linger, f.cancel)
			return
		}
	}
	f.cancel()
}

// untilNext returns the time until something is due.
func (f *flight) untilNext() time.Duration {
	now := time.Now()
	next := f.request.Deadline
	if f.cutoff.After(now) && f.cutoff.Before(next) {
		next = f.cutoff
	}
	for _, p := range f.parts {
		if at, due := f.nextStep(p); due && at.Before(next) {
			next = at
		}
	}
	return max(next.Sub(now), minStep)
}

// minStep keeps the loop from spinning when something is due but cannot be done.
const minStep = 500 * time.Microsecond

func (f *flight) nextStep(p *part) (time.Time, bool) {
	switch {
	case !p.open():
		return time.Time{}, false
	case p.flying == 0:
		return p.waitUntil, true
	case f.request.Route.Idempotent && p.flying == 1 && p.committed < f.request.Route.MaxTargets:
		at := p.sentAt.Add(f.pace.Hedge)
		if p.waitUntil.After(at) {
			at = p.waitUntil
		}
		return at, true
	}
	return time.Time{}, false
}
