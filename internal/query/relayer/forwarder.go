package relayer

import (
	"context"
	"time"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/query/quarantiner"
	"apricotflow/internal/target/queuer"
	"apricotflow/internal/target/sender"
	"apricotflow/internal/target/transporter"
)

// part is the state of one shard of a sharded query, or of the only service of any other request. It is pending until
// it is served or given up.
type part struct {
	service mapper.Service
	// triedTargets holds the ids of the targets that were sent the request.
	triedTargets []string
	// inFlight is the number of requests in flight.
	inFlight int
	// sentRequests is the number of requests to targets, except those with the outcome Unsent.
	sentRequests int
	// possibleRuns is the number of requests that a target has run or may still run.
	possibleRuns int
	// ranOrLost reports whether a target has run a request that has ended, or may have run it because its reply was
	// lost. The requests in flight do not count.
	ranOrLost bool
	// hedgeDelayStart is the time from which the hedge delay of the latest request counts.
	hedgeDelayStart time.Time
	// waitUntil is the earliest time of the next request after a failure, or when no target had capacity.
	waitUntil time.Time
	// waiter is the place in the queue for a target; nil if the part does not wait for one.
	waiter *queuer.Waiter
	// reply is nil until the part has been served. Its body is empty if a peer has merged its records into
	// mergedRecords.
	reply *transporter.Reply
	// failure is the latest reply that reports a failure.
	failure *transporter.Reply
	// givenUp reports whether the part was given up: nothing is in flight and nothing more is sent.
	givenUp bool
}

// isPending reports whether the part is neither served nor given up.
func (p *part) isPending() bool {
	return p.reply == nil && !p.givenUp
}

// recordRequest records a request to the target.
func (p *part) recordRequest(target registrar.Target) {
	p.triedTargets = append(p.triedTargets, target.ID)
	p.inFlight++
	p.sentRequests++
	p.possibleRuns++
	p.hedgeDelayStart = time.Now()
	p.leaveQueue()
}

// leaveQueue ends the wait for a target.
func (p *part) leaveQueue() {
	if p.waiter != nil {
		p.waiter.Leave()
		p.waiter = nil
	}
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
	gate         *limitGate
	sender       *sender.Sender
	concentrator Concentrator
	// placement divides the parts of a query by CPU capacity where it is active.
	placement placement
	latency   sender.LatencyEstimate
	// preferredDomain is the failure domain whose targets are preferred.
	preferredDomain string
	parts           []*part
	resultBatches   chan resultBatch
	// wakeups receives the parts for which a target may have capacity again. A wakeup that finds it full is dropped,
	// because the part is also checked each capacityPollInterval.
	wakeups chan int
	// mergedRecords holds the records that peers have merged.
	mergedRecords [][]byte
	// sendCtx is the context of all requests in flight.
	sendCtx context.Context
	cancel  context.CancelFunc
	// servedParts is the number of parts with a reply, and pendingParts the number of parts that may still get one.
	servedParts  int
	pendingParts int
	// cutoff is when a sharded query is answered from the parts received so far, if they are enough; zero for other
	// requests.
	cutoff    time.Time
	decisions []Decision
	// leaving holds the targets that have stated that they leave.
	leaving []Departure
	caution caution
	// roomAfter is when there will be room for a request that was refused because of those before it; 0 if unknown.
	roomAfter time.Duration
	// nextOutlook is the earliest time at which the outlook of a waiting request is looked at again.
	nextOutlook time.Time
	// succeeded reports whether the answer is a success.
	succeeded bool
	// stranded reports whether the request ended without a success that another instance could have, and runsWhenStranded
	// how many targets of each service may have run it by then.
	stranded         bool
	runsWhenStranded int
	// answeredCaller reports whether the caller has got its answer or has left, so that decisions are no longer recorded.
	answeredCaller bool
}

func newForwarder(s *sender.Sender, c Concentrator, gate *limitGate, q *quarantiner.Quarantiner, placed placement, request Request) *forwarder {
	route := request.Route
	services := route.Shards
	if !route.IsSharded() {
		services = []string{route.SelectService(request.Outbound.ID)}
	}
	f := &forwarder{
		request: request, gate: gate, sender: s, concentrator: c, placement: placed, latency: s.LatencyEstimate(route.Name), preferredDomain: s.PreferredDomain(services[0]),
		parts: make([]*part, len(services)), pendingParts: len(services),
	}
	for i, name := range services {
		f.parts[i] = &part{service: request.Table.Service(name)}
	}
	// No result is received after the answer, so the channel must hold the results of all requests in flight: at most
	// two for each part.
	f.resultBatches = make(chan resultBatch, len(services)*(request.maxRuns()+1))
	f.wakeups = make(chan int, len(services))
	f.caution = caution{quarantine: q, results: make(chan endCheck, cap(f.resultBatches))}
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

// maxHedgeDelay returns the longest hedge delay that leaves hedgeReserveFactor times the median latency before the
// cutoff to the hedge, but at least minHedgeDelayFactor times the median latency, so that typical first requests are
// not hedged.
func (f *forwarder) maxHedgeDelay() time.Duration {
	left := f.cutoff.Sub(f.request.Arrived) - peerHopTime
	return max(left-time.Duration(hedgeReserveFactor*float64(f.latency.Median)), time.Duration(minHedgeDelayFactor*float64(f.latency.Median)))
}

// run serves the request until it ends.
func (f *forwarder) run(ctx context.Context) Answer {
	if !f.sender.CanServe(f.request.Route, f.request.Outbound.ID) {
		return f.answerCannotServe()
	}
	refusal, refused, endTrial := f.beginCautiously()
	if refused {
		return refusal
	}
	defer endTrial()
	f.sendCtx, f.cancel = context.WithDeadline(context.WithoutCancel(ctx), f.request.Deadline)
	if answer, ended := f.sendFirstOrRefuse(ctx); ended {
		f.cancel()
		return answer
	}
	cancelDelay := cancelDelayAfterAnswer
	defer func() {
		f.cancelAfter(cancelDelay)
		if !f.caution.answered && (f.inFlight() > 0 || f.caution.checks > 0) {
			f.answeredCaller = true
			go f.observeAfterAnswer()
		}
	}()
	defer f.recordStranded()
	defer f.leaveQueues()
	timer := time.NewTimer(f.timeUntilNextCheck())
	defer timer.Stop()
	reachLost := f.sender.ReachLost()
	for {
		if answer, ended := f.answerIfEnded(); ended {
			return answer
		}
		select {
		case batch := <-f.resultBatches:
			f.handleResults(batch)
			// The time until the next check depends on all parts, so it is computed once for all results that have arrived.
			for len(f.resultBatches) > 0 {
				if answer, ended := f.answerIfEnded(); ended {
					return answer
				}
				f.handleResults(<-f.resultBatches)
			}
		case check := <-f.caution.results:
			f.handleEndCheck(check)
		case <-ctx.Done():
			cancelDelay = cancelDelayAfterAbandonment
			return Answer{Outcome: Abandoned}
		case i := <-f.wakeups:
			if f.parts[i].waiter != nil {
				f.parts[i].waitUntil = time.Time{}
				f.sendIfDue(i)
			}
		case <-reachLost:
			reachLost = f.sender.ReachLost()
			if !f.request.Delegated && f.isStranded() {
				return f.answerFailure()
			}
		case <-timer.C:
			for i := range f.parts {
				f.sendIfDue(i)
			}
		}
		timer.Reset(f.timeUntilNextCheck())
	}
}

// leaveQueues ends the waits for targets.
func (f *forwarder) leaveQueues() {
	for _, p := range f.parts {
		p.leaveQueue()
	}
}

// rank returns the rank of the request among those that wait for a target.
func (f *forwarder) rank() queuer.Rank {
	rank := queuer.Rank{
		TenantPriority: f.request.tenantPriority(), Priority: f.request.Route.Priority, Deadline: f.request.Deadline, Tenant: f.request.tenantName(),
	}
	switch {
	case !f.cutoff.IsZero():
		rank.LatestStart = f.cutoff.Add(-f.latency.Median)
	case !f.request.Due.IsZero():
		rank.LatestStart = f.request.Due.Add(-f.latency.Median)
	}
	return rank
}

// minParts returns the minimum number of parts for a successful answer.
func (f *forwarder) minParts() int {
	if f.request.Route.IsSharded() {
		return f.request.Route.MinParts()
	}
	return 1
}

// cancelAfter cancels the requests that are still in flight after the delay.
func (f *forwarder) cancelAfter(delay time.Duration) {
	for _, p := range f.parts {
		if p.inFlight > 0 {
			time.AfterFunc(delay, f.cancel)
			return
		}
	}
	f.cancel()
}

// timeUntilNextCheck returns the time until the next request may be due or the request may have to be answered.
func (f *forwarder) timeUntilNextCheck() time.Duration {
	now := time.Now()
	next := f.request.Deadline
	if f.cutoff.After(now) && f.cutoff.Before(next) {
		next = f.cutoff
	}
	for _, p := range f.parts {
		if at, due := f.nextRequestAt(p); due && at.Before(next) {
			next = at
		}
	}
	return max(next.Sub(now), minCheckInterval)
}

// minCheckInterval keeps the loop from spinning when a request is due but cannot be sent.
const minCheckInterval = 500 * time.Microsecond

// nextRequestAt returns when the next request for the part is due, and whether there may be one.
func (f *forwarder) nextRequestAt(p *part) (time.Time, bool) {
	switch {
	case !p.isPending(), !f.maySend():
		return time.Time{}, false
	case p.inFlight == 0:
		return p.waitUntil, true
	case f.request.Route.Idempotent && p.inFlight == 1 && f.mayHedge() && p.possibleRuns < f.request.maxRuns():
		at := p.hedgeDelayStart.Add(f.latency.HedgeDelay)
		if p.waitUntil.After(at) {
			at = p.waitUntil
		}
		return at, true
	}
	return time.Time{}, false
}
