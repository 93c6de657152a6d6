// Package relayer serves a request by a route: it sends it to a target of the route's service, or to one target of each
// shard, hedges and retries within the route's bounds, and merges the parts of a query over shards.
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
	// answerMargin is the time before an answer is due at which a query takes the parts that are in: merging and
	// scheduling on a small machine.
	answerMargin = 4 * time.Millisecond
	// lingerTime is how long unneeded requests stay in flight after the answer, so that their connections can be used
	// again and the end of a target's pause is seen.
	lingerTime = 400 * time.Millisecond
	// leftLinger is the same after the caller has left, since nobody needs the work any more.
	leftLinger = 200 * time.Millisecond
	// hopTime is the time that an answer through another instance takes longer: two ways between failure domains, and
	// the work of that instance.
	hopTime = 4 * time.Millisecond
	// nearShare is the number of requests of one query to targets of the own failure domain that one instance sends; at
	// about 0.1 ms each on a small machine they take a few milliseconds.
	nearShare = 24
	// flushShare is the part of the hedge delay after which that instance returns what is in.
	flushShare = 0.9
	// hedgeRuns is the time that a hedge is given before the cutoff, and leastWait the time that the first request has at
	// least, both in multiples of the usual latency.
	hedgeRuns = 2.0
	leastWait = 1.5
	// blockedInterval is the time between two looks for a target with room.
	blockedInterval = 5 * time.Millisecond
	// retryPause is the time before a target that has refused or failed a request gets it again, when there is no other.
	retryPause = 12 * time.Millisecond
	// refusalShare is the part of the objective after which a request that could not be sent is refused, so that the
	// caller can come back in time.
	refusalShare = 0.2
	// comeBack is when a refused caller should try again: by then another instance or a target is likely to have room.
	comeBack = 50 * time.Millisecond
	// comeBackDown replaces it where too many targets are down, which lasts longer.
	comeBackDown = 300 * time.Millisecond
)

// Outcome tells how a request ended.
type Outcome string

// Outcomes of a request.
const (
	// Relayed requests have the reply of a target.
	Relayed Outcome = "relayed"
	// Merged queries have an answer merged from the parts of shards.
	Merged Outcome = "merged"
	// NotRun requests have run nowhere and never will.
	NotRun Outcome = "not-run"
	// Failed requests may have run, and have no reply.
	Failed Outcome = "failed"
	// TimedOut requests may have run, and have no reply in time.
	TimedOut Outcome = "timed-out"
	// Abandoned requests have no caller any more.
	Abandoned Outcome = "abandoned"
)

// Request is a caller's request with its route.
type Request struct {
	Route *mapper.Route
	// Table is the version of the configuration that the request began with.
	Table *mapper.Table
	Wire  *transporter.Request
	// Arrived is when the request was received.
	Arrived time.Time
	// Due is when the answer has to leave to be within the route's objective; zero if the route has none.
	Due time.Time
	// Deadline is when the caller or the route gives up.
	Deadline time.Time
}

// Answer is how a request ended.
type Answer struct {
	Outcome Outcome
	// Reply is nil unless the request was relayed; its status may be a failure.
	Reply *transporter.Reply
	// Records are the greatest records of the parts, in falling order.
	Records []byte
	// Signatures are those of the parts.
	Signatures []string
	// Missing is the number of shards without a part.
	Missing int
	// RetryAfter tells when a request that has not run should come back.
	RetryAfter time.Duration
	// Decisions are what was decided on the way, apart from first requests that succeeded.
	Decisions []Decision
}

// Decision is one step of a request that explains its outcome.
type Decision struct {
	// After is the time since the arrival of the request.
	After   time.Duration
	Service string
	Target  string
	// Event is what happened or was done.
	Event string
}

// Concentrator sends a request to several targets of another failure domain through an instance there.
type Concentrator interface {
	Choose(domain string, targets int, r *transporter.Request) (peer string, found bool)
	Send(ctx context.Context, batch concentrator.Batch, deliver func(concentrator.Parts))
}

// Relayer serves requests.
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
	f := newFlight(r.sender, r.concentrator, request)
	answer := f.run(ctx)
	answer.Decisions = f.decisions
	r.scope.Counter("relayer-" + string(answer.Outcome)).Inc(1)
	if answer.Missing > 0 {
		r.scope.Counter("relayer-partial").Inc(1)
	}
	return answer
}
