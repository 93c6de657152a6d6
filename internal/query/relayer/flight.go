package relayer

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/target/combiner"
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
	// cutoff is when a query takes the parts that are in, if they suffice; zero if the route has no objective.
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
		f.parts[i] = &part{service: named(request.Table.Service(name), name)}
	}
	f.arrivals = make(chan arrival, len(services)*(route.MaxTargets+1))
	if route.Scattered() && route.Objective > 0 {
		f.cutoff = request.Arrived.Add(max(route.Objective-answerMargin, route.Objective/2))
	}
	return f
}

func named(s mapper.Service, name string) mapper.Service {
	s.Name = name
	return s
}

// run serves the request to its end.
func (f *flight) run(ctx context.Context) Answer {
	if !f.sender.Serviceable(f.request.Route, f.request.Wire.ID) {
		return f.refuse("too few targets in reach")
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

// conclude returns the answer when it is time for it.
func (f *flight) conclude() (Answer, bool) {
	now := time.Now()
	switch {
	case f.served == len(f.parts):
		return f.succeed(), true
	case f.served >= f.least() && (f.opened == 0 || !f.cutoff.IsZero() && !now.Before(f.cutoff)):
		return f.succeed(), true
	case !now.Before(f.request.Deadline):
		// At this time the requests in flight end too, so that no part may be open any more.
		return f.expire(), true
	case f.served+f.opened < f.least():
		return f.fail(), true
	}
	return Answer{}, false
}

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
	target, found := f.sender.Pick(p.service, f.pace, f.domain, func(id string) bool { return slices.Contains(p.tried, id) })
	if !found && !hedge {
		target, found = f.again(p)
	}
	if !found || hedge && !f.sender.Healthy(target) {
		f.block(i, hedge)
		return
	}
	if p.arrived > 0 && !f.repeatable(p, hedge) {
		f.note(p, target.ID, "budget-empty")
		f.pauseOrEnd(p, hedge)
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

// again returns a target that was asked before and is the only kind left.
func (f *flight) again(p *part) (registrar.Target, bool) {
	if !f.request.Route.Idempotent && p.ran {
		return registrar.Target{}, false
	}
	return f.sender.Pick(p.service, f.pace, f.domain, func(string) bool { return false })
}

// block waits for a target with room, or gives the part up when the caller had better come back.
func (f *flight) block(i int, hedge bool) {
	p := f.parts[i]
	if hedge {
		p.waitUntil = time.Now().Add(f.pace.Hedge)
		return
	}
	if !f.sender.Serving(p.service.Name) || time.Now().After(f.patience()) {
		f.note(p, "", "no target with room")
		f.end(p)
		return
	}
	p.waitUntil = time.Now().Add(blockedInterval)
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

func (f *flight) pauseOrEnd(p *part, hedge bool) {
	if hedge {
		p.waitUntil = time.Now().Add(f.pace.Hedge)
		return
	}
	f.end(p)
}

func (f *flight) end(p *part) {
	if p.flying == 0 && p.open() {
		p.ended = true
		f.opened--
	}
}

// take handles results of requests.
func (f *flight) take(a arrival) {
	if a.merged {
		f.merged = append(f.merged, a.records)
	}
	for _, one := range a.items {
		f.takeItem(one, a.merged)
	}
}

func (f *flight) takeItem(a item, merged bool) {
	p := f.parts[a.part]
	p.flying--
	if merged && p.reply != nil && usable(a.result) {
		// The merged records hold this part, so the reply of a hedge that came before gives way.
		p.reply = a.result.Reply
		return
	}
	if !p.open() {
		return
	}
	switch a.result.Outcome {
	case transporter.Answered:
		p.ran = true
		if f.accept(p, a) {
			return
		}
		p.failure = a.result.Reply
		f.note(p, a.target.ID, fmt.Sprintf("status %d", a.result.Reply.Status))
	case transporter.Unsent:
		p.arrived--
		p.committed--
		f.note(p, a.target.ID, describe(a.result))
	case transporter.Lost:
		p.ran = true
		f.note(p, a.target.ID, describe(a.result))
	default:
		p.committed--
		f.note(p, a.target.ID, describe(a.result))
	}
	f.repeat(a.part)
}

// usable reports whether the reply is a part of an answer.
func usable(r transporter.Result) bool {
	return r.Outcome == transporter.Answered && r.Reply.Success() && r.Reply.Signature != ""
}

func describe(r transporter.Result) string {
	if r.Err == nil {
		return r.Outcome.String()
	}
	return r.Outcome.String() + ": " + r.Err.Error()
}

// serverError is the lowest status of a failure that another target may not share.
const serverError = 500

// accept takes a reply as the part if it is one. Failures that speak against the request are passed on, those that
// speak against the target only if the request cannot be repeated.
func (f *flight) accept(p *part, a item) bool {
	reply := a.result.Reply
	if f.request.Route.Scattered() {
		if !usable(a.result) {
			return false
		}
	} else if !reply.Success() && reply.Status >= serverError {
		return false
	}
	p.reply = reply
	f.served++
	f.opened--
	return true
}

// repeat sends the request for the part again after a failure, if it may be repeated.
func (f *flight) repeat(i int) {
	p := f.parts[i]
	if p.flying > 0 {
		return
	}
	if p.ran && !f.request.Route.Idempotent || p.committed >= f.request.Route.MaxTargets || f.work.Err() != nil {
		f.end(p)
		return
	}
	if f.exhausted(p) {
		f.pause(p)
		return
	}
	f.send(i, false)
}

// exhausted reports whether every target of the part was asked.
func (f *flight) exhausted(p *part) bool {
	_, found := f.sender.Pick(p.service, f.pace, f.domain, func(id string) bool { return slices.Contains(p.tried, id) })
	return !found
}

// pause waits before a target gets the request again, for as long as the answer can still be in time.
func (f *flight) pause(p *part) {
	if time.Now().After(f.patience()) {
		f.end(p)
		return
	}
	p.waitUntil = time.Now().Add(retryPause)
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

func (f *flight) note(p *part, target, event string) {
	f.decisions = append(f.decisions, Decision{After: time.Since(f.request.Arrived), Service: p.service.Name, Target: target, Event: event})
}

// ran reports whether a target may have run the request.
func (f *flight) ran() bool {
	return slices.ContainsFunc(f.parts, func(p *part) bool { return p.ran || p.flying > 0 })
}

func (f *flight) succeed() Answer {
	if !f.request.Route.Scattered() {
		return Answer{Outcome: Relayed, Reply: f.parts[0].reply}
	}
	answer := Answer{Outcome: Merged, Missing: len(f.parts) - f.served, Signatures: make([]string, 0, f.served)}
	m := combiner.New(f.request.Route.TopRecords)
	for _, records := range f.merged {
		m.Add(records)
	}
	for _, p := range f.parts {
		if p.reply != nil {
			answer.Signatures = append(answer.Signatures, p.reply.Signature)
			m.Add(p.reply.Body)
			continue
		}
		f.note(p, strings.Join(p.tried, ","), "missing")
	}
	answer.Records = m.Bytes()
	return answer
}

// fail answers a request that cannot succeed any more.
func (f *flight) fail() Answer {
	switch {
	case !f.ran():
		return f.refuse("not run")
	case !f.request.Route.Scattered() && f.parts[0].failure != nil:
		return Answer{Outcome: Relayed, Reply: f.parts[0].failure}
	}
	return Answer{Outcome: Failed}
}

// expire answers a request whose time is over.
func (f *flight) expire() Answer {
	if !f.ran() {
		return f.refuse("no time left")
	}
	for _, p := range f.parts {
		if p.open() {
			f.note(p, strings.Join(p.tried, ","), "no answer")
		}
	}
	return Answer{Outcome: TimedOut}
}

func (f *flight) refuse(reason string) Answer {
	f.note(f.parts[0], "", reason)
	return Answer{Outcome: NotRun, RetryAfter: comeBack}
}
