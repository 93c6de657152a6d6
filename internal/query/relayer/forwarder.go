package relayer

import (
	"context"
	"time"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/target/sender"
	"apricotflow/internal/target/transporter"
)

// part is the state of one shard of a sharded query, or of the only service of any other request.
type part struct {
	service mapper.Service
	// triedTargets holds the ids of the targets that were sent the request.
	triedTargets []string
	// inFlight is the number of requests in flight.
	inFlight int
	// reached is the number of requests that have reached, or may have reached, a target.
	reached int
	// possibleRuns is the number of requests that a target has run or may still run.
	possibleRuns int
	// mayHaveRun reports whether a target may have run the request.
	mayHaveRun bool
	// lastSentAt is when the latest request was sent.
	lastSentAt time.Time
	// waitUntil is the earliest time of the next request after a failure, or when no target had capacity.
	waitUntil time.Time
	// reply is nil until the part has been served.
	reply *transporter.Reply
	// failure is the latest reply that reports a failure.
	failure *transporter.Reply
	// givenUp reports whether the part was given up: nothing is in flight and nothing more is sent.
	givenUp bool
}

// open reports whether the part can still be served.
func (p *part) open() bool {
	return p.reply == nil && !p.givenUp
}

// recordRequest records a request to the target.
func (p *part) recordRequest(target registrar.Target) {
	p.triedTargets = append(p.triedTargets, target.ID)
	p.inFlight++
	p.reached++
	p.possibleRuns++
	p.lastSentAt = time.Now()
}

// resultBatch holds the results of one or more requests that were sent together.
type resultBatch struct {
	results []partResult
	// merged reports whether the records of the replies are in records, already merged, instead of in the replies.
	merged  bool
	records []byte
}

// partResult is the result of one request to a target.
type partResult struct {
	part   int
	target registrar.Target
	result transporter.Result
}

// forwarder serves one request: it sends the parts to targets, hedges and retries. It is used by one goroutine.
type forwarder struct {
	request      Request
	sender       *sender.Sender
	concentrator Concentrator
	latency      sender.LatencyEstimate
	// preferredDomain is the failure domain whose targets are preferred.
	preferredDomain string
	parts           []*part
	resultBatches   chan resultBatch
	// mergedRecords holds the records that other instances have merged.
	mergedRecords [][]byte
	// sendCtx is the context of all requests in flight.
	sendCtx context.Context
	cancel  context.CancelFunc
	// servedParts is the number of parts with a reply, and openParts the number of parts that may still get one.
	servedParts int
	openParts   int
	// cutoff is when a sharded query is answered from the parts received so far, if they are enough; zero for other
	// requests.
	cutoff    time.Time
	decisions []Decision
}

func newForwarder(s *sender.Sender, c Concentrator, request Request) *forwarder {
	route := request.Route
	services := route.Shards
	if !route.IsSharded() {
		services = []string{route.SelectService(request.Wire.ID)}
	}
	f := &forwarder{
		request: request, sender: s, concentrator: c, latency: s.LatencyEstimate(route.Name), preferredDomain: s.PreferredDomain(services[0]),
		parts: make([]*part, len(services)), openParts: len(services),
	}
	for i, name := range services {
		f.parts[i] = &part{service: request.Table.Service(name)}
	}
	f.resultBatches = make(chan resultBatch, len(services)*(route.MaxTargets+1))
	if route.IsSharded() {
		due := request.Due
		if due.IsZero() {
			due = request.Deadline
		}
		f.cutoff = due.Add(-answerMargin)
		f.latency = f.latency.WithMaxHedgeDelay(f.maxHedgeDelay())
	}
	return f
}

// maxHedgeDelay returns the longest hedge delay with which a hedge can still be answered before the cutoff.
func (f *forwarder) maxHedgeDelay() time.Duration {
	left := f.cutoff.Sub(f.request.Arrived) - peerHopTime
	return max(left-time.Duration(hedgeTimeFactor*float64(f.latency.Median)), time.Duration(minFirstTimeFactor*float64(f.latency.Median)))
}

// run serves the request until it ends.
func (f *forwarder) run(ctx context.Context) Answer {
	if !f.sender.CanServe(f.request.Route, f.request.Wire.ID) {
		return f.answerCannotServe()
	}
	f.sendCtx, f.cancel = context.WithDeadline(context.WithoutCancel(ctx), f.request.Deadline)
	linger := answeredLinger
	defer func() { f.cancelAfter(linger) }()
	f.sendFirst()
	timer := time.NewTimer(f.timeUntilNextStep())
	defer timer.Stop()
	for {
		if answer, ended := f.answerIfEnded(); ended {
			return answer
		}
		select {
		case a := <-f.resultBatches:
			f.handleResults(a)
		case <-ctx.Done():
			linger = abandonedLinger
			return Answer{Outcome: Abandoned}
		case <-timer.C:
			for i := range f.parts {
				f.sendIfDue(i)
			}
		}
		timer.Reset(f.timeUntilNextStep())
	}
}

// minParts returns the minimum number of parts for a successful answer.
func (f *forwarder) minParts() int {
	if f.request.Route.IsSharded() {
		return f.request.Route.MinParts()
	}
	return 1
}

// cancelAfter cancels the requests that are still in flight once the linger time has passed.
func (f *forwarder) cancelAfter(linger time.Duration) {
	for _, p := range f.parts {
		if p.inFlight > 0 {
			time.AfterFunc(linger, f.cancel)
			return
		}
	}
	f.cancel()
}

// timeUntilNextStep returns the time until the next step is due.
func (f *forwarder) timeUntilNextStep() time.Duration {
	now := time.Now()
	next := f.request.Deadline
	if f.cutoff.After(now) && f.cutoff.Before(next) {
		next = f.cutoff
	}
	for _, p := range f.parts {
		if at, due := f.nextStepAt(p); due && at.Before(next) {
			next = at
		}
	}
	return max(next.Sub(now), minStepInterval)
}

// minStepInterval keeps the loop from spinning when a step is due but cannot be taken.
const minStepInterval = 500 * time.Microsecond

func (f *forwarder) nextStepAt(p *part) (time.Time, bool) {
	switch {
	case !p.open():
		return time.Time{}, false
	case p.inFlight == 0:
		return p.waitUntil, true
	case f.request.Route.Idempotent && p.inFlight == 1 && p.possibleRuns < f.request.Route.MaxTargets:
		at := p.lastSentAt.Add(f.latency.HedgeDelay)
		if p.waitUntil.After(at) {
			at = p.waitUntil
		}
		return at, true
	}
	return time.Time{}, false
}
