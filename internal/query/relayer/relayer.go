// Package relayer serves a caller's request according to its route: it sends the request to one target of a service, or
// to one target of each shard, hedges and retries within the limits of the route, and merges the replies of a sharded
// query. The receiver uses it; picking targets and sending to them is left to package sender.
package relayer

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/target/concentrator"
	"apricotflow/internal/target/sender"
	"apricotflow/internal/target/transporter"
)

const (
	// answerMargin is how long before the answer is due a sharded query stops waiting for parts, which leaves time
	// for merging and scheduling on a small machine.
	answerMargin = 4 * time.Millisecond
	// answeredLinger is how long requests that are no longer needed stay in flight after the answer, so that their
	// connections can be reused and the end of a target's pause is noticed.
	answeredLinger = 400 * time.Millisecond
	// abandonedLinger replaces answeredLinger when the caller has left, since nobody needs the result any more.
	abandonedLinger = 200 * time.Millisecond
	// peerHopTime is the extra time of a reply through another instance: a round trip between failure domains and the
	// work of that instance.
	peerHopTime = 4 * time.Millisecond
	// maxLocalRequests is the maximum number of requests of one query that an instance sends itself to targets in its
	// own failure domain. Each takes about 0.1 ms on a small machine, so these take a few milliseconds.
	maxLocalRequests = 24
	// flushFraction is the fraction of the hedge delay after which that instance returns the results it has.
	flushFraction = 0.9
	// hedgeTimeFactor is the time reserved for a hedge before the cutoff, and minFirstTimeFactor the minimum time left
	// to the first request, both in multiples of the median latency.
	hedgeTimeFactor    = 2.0
	minFirstTimeFactor = 1.5
	// capacityPollInterval is the time between two attempts to find a target with capacity.
	capacityPollInterval = 5 * time.Millisecond
	// retryDelay is the time before a request is sent again to a target that refused or failed it, when there is no
	// other target.
	retryDelay = 12 * time.Millisecond
	// refusalFraction is the fraction of the objective after which a request that could not be sent is refused, so that
	// the caller has time to retry.
	refusalFraction = 0.2
	// retryAfter is when a refused caller should retry: by then another instance or a target is likely to have
	// capacity.
	retryAfter = 50 * time.Millisecond
	// retryAfterTargetsDown replaces retryAfter when too many targets are down, which lasts longer.
	retryAfterTargetsDown = 300 * time.Millisecond
)

// Outcome is how a request ended.
type Outcome string

// Outcomes of a request.
const (
	// Relayed means that the answer is the reply of one target.
	Relayed Outcome = "relayed"
	// Merged means that the answer was merged from the parts of shards.
	Merged Outcome = "merged"
	// NotRun means that the request has not run on any target and never will.
	NotRun Outcome = "not-run"
	// Failed means that the request may have run, but no usable reply was received.
	Failed Outcome = "failed"
	// TimedOut means that the request may have run, but no reply was received in time.
	TimedOut Outcome = "timed-out"
	// Abandoned means that the caller has left.
	Abandoned Outcome = "abandoned"
)

// Request is a caller's request with its route.
type Request struct {
	Route *mapper.Route
	// Table is the routing table in force when the request arrived.
	Table *mapper.Table
	Wire  *transporter.Request
	// Arrived is when the request was received.
	Arrived time.Time
	// Due is when the answer must be sent to meet the objective of the route; zero if the route has none.
	Due time.Time
	// Deadline is when the caller gives up or the time limit of the route ends.
	Deadline time.Time
}

// Answer is the result of a request.
type Answer struct {
	Outcome Outcome
	// Reply is nil unless the outcome is Relayed; its status may report a failure.
	Reply *transporter.Reply
	// Records are the greatest records of all parts, in descending order.
	Records []byte
	// Signatures are the signatures of the merged parts.
	Signatures []string
	// Missing is the number of shards whose part is missing.
	Missing int
	// RetryAfter is when the caller should retry a request that has not run.
	RetryAfter time.Duration
	// Decisions are the steps that explain the answer, without first requests that succeeded.
	Decisions []Decision
}

// Decision is one step of serving a request.
type Decision struct {
	// After is the time since the arrival of the request.
	After   time.Duration
	Service string
	Target  string
	// Event describes what happened or was done.
	Event string
}

// Concentrator sends a request to several targets of one failure domain through an instance there.
type Concentrator interface {
	ChoosePeer(domain string, targets int, r *transporter.Request) (peer string, found bool)
	Send(ctx context.Context, batch concentrator.Batch, deliver func(concentrator.PartialResults))
}

// Relayer serves requests according to their routes.
type Relayer struct {
	sender       *sender.Sender
	concentrator Concentrator
	scope        tally.Scope
	recent       *recentRoutes
}

// New creates a relayer.
func New(s *sender.Sender, c Concentrator, scope tally.Scope) *Relayer {
	return &Relayer{sender: s, concentrator: c, scope: scope, recent: newRecentRoutes()}
}

// Relay serves one request. The context ends when the caller leaves.
func (r *Relayer) Relay(ctx context.Context, request Request) Answer {
	r.recent.add(request.Route)
	f := newForwarder(r.sender, r.concentrator, request)
	answer := f.run(ctx)
	answer.Decisions = f.decisions
	r.scope.Counter("relayer-" + string(answer.Outcome)).Inc(1)
	if answer.Missing > 0 {
		r.scope.Counter("relayer-partial").Inc(1)
	}
	return answer
}
