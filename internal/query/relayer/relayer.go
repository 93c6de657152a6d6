// Package relayer serves a caller's request according to its route: it sends the request to one target of a service, or
// to one target of each shard, hedges and retries within the limits of the route, and merges the replies of a sharded
// query. It caps the hedge delay of a sharded query so that a hedge still has time, and repeats a non-idempotent
// request only if it cannot have run. It refuses a request before anything is sent if the request limits of targets leave
// too few parts for an answer. The receiver uses it in relay mode; picking targets and sending to them is left to package
// sender, sending parts through other instances to package concentrator, and handing whole requests over to them to
// package delegator.
package relayer

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"apricotflow/internal/manifest/authenticator"
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/query/placer"
	"apricotflow/internal/query/quarantiner"
	"apricotflow/internal/target/concentrator"
	"apricotflow/internal/target/sender"
	"apricotflow/internal/target/transporter"
)

const (
	// answerMargin is how long before the answer is due a sharded query stops waiting for parts, which leaves time
	// for merging and scheduling on a small machine.
	answerMargin = 4 * time.Millisecond
	// cancelDelayAfterAnswer is how long after the answer the requests still in flight are canceled. A reply within
	// that time leaves the connection reusable and shows that a paused target works again.
	cancelDelayAfterAnswer = 400 * time.Millisecond
	// cancelDelayAfterAbandonment replaces cancelDelayAfterAnswer when the caller has left, since nobody needs the
	// result any more.
	cancelDelayAfterAbandonment = 200 * time.Millisecond
	// departureCheckTime is how long a request that was read after a standstill waits for the end of its connection to be
	// noticed.
	departureCheckTime = 5 * time.Millisecond
	// peerHopTime is the extra time of a reply through another instance: a round trip between failure domains and the
	// work of that instance.
	peerHopTime = 4 * time.Millisecond
	// maxLocalRequests is the maximum number of requests of one query that an instance sends itself to targets in its
	// own failure domain. Each takes about 0.1 ms on a small machine, so these take a few milliseconds.
	maxLocalRequests = 24
	// flushFraction is the fraction of the hedge delay after which a peer that was sent a batch returns the results it
	// has.
	flushFraction = 0.9
	// hedgeReserveFactor is the time reserved for a hedge before the cutoff, and minHedgeDelayFactor the time that the
	// first request always has before its hedge, both in multiples of the median latency.
	hedgeReserveFactor  = 2.0
	minHedgeDelayFactor = 1.5
	// capacityPollInterval is the time between two attempts to find a target with capacity.
	capacityPollInterval = 5 * time.Millisecond
	// budgetPollInterval is the time between two attempts to take a retry from an empty budget.
	budgetPollInterval = 50 * time.Millisecond
	// retryDelay is the time before a request is sent again to a target that refused or failed it, when there is no
	// other target.
	retryDelay = 12 * time.Millisecond
	// minSendFraction is the fraction of the objective that a request to a target must at least have until the deadline.
	minSendFraction = 0.1
	// maxTargetWaitFraction is the fraction of the objective for which a request waits for a target with capacity. Then
	// it is refused, so that the caller has time to retry. A sharded query with parts under way may wait longer.
	maxTargetWaitFraction = 0.2
	// defaultRetryAfter is how long a refused caller should wait before a retry: by then another instance or a target
	// is likely to have capacity.
	defaultRetryAfter = 50 * time.Millisecond
	// retryAfterTargetsDown replaces defaultRetryAfter when too few targets are serving although all failure domains
	// are reachable, because such an outage lasts longer than a lack of capacity.
	retryAfterTargetsDown = 300 * time.Millisecond
	// retryAfterPartition replaces defaultRetryAfter when the failure domain of this instance is cut off from another
	// one. An earlier retry would reach an instance in the same situation: the load balancer sends callers to other
	// failure domains about 2 s after the instances here are not ready.
	retryAfterPartition = time.Second
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
	// Outbound is the request as it is sent to targets.
	Outbound *transporter.Request
	// Arrived is when the request was received.
	Arrived time.Time
	// Due is when the answer must be sent to meet the objective of the route; zero if the route has none.
	Due time.Time
	// Deadline is when the caller gives up or the time limit of the route ends.
	Deadline time.Time
	// Delegated reports whether another instance has handed the request over, so that it must not go further.
	Delegated bool
	// PriorRuns is the number of targets of each service that may have run the request before it was handed over. Each
	// request to a target is then a repetition.
	PriorRuns int
	// Wide reports whether the request is handed over because this instance lacks CPU capacity for it.
	Wide bool
	// MayRepeat reports whether a target may get a part of the request that another one was sent; nil if it may as far as the
	// route allows.
	MayRepeat func() bool
	// Tenant is the tenant that holds the caller's key; nil if tenants are not configured or the caller is anonymous.
	Tenant *authenticator.Tenant
	// KeyDigest is the digest of the caller's key; zero without a tenant.
	KeyDigest authenticator.Digest
}

// WithPriorRuns returns a copy of the request that targets may have run already.
func (r Request) WithPriorRuns(n int) Request {
	r.PriorRuns = n
	return r
}

// tenantPriority returns the priority of the tenant, or that of the route for a request without one.
func (r Request) tenantPriority() int {
	if r.Tenant == nil {
		return r.Route.Priority
	}
	return r.Tenant.Priority
}

// tenantName returns the name of the tenant; empty without one.
func (r Request) tenantName() string {
	if r.Tenant == nil {
		return ""
	}
	return r.Tenant.Name
}

// maxRuns returns the maximum number of targets of each service that may still run the request.
func (r Request) maxRuns() int { return r.Route.MaxRuns - r.PriorRuns }

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
	// RetryAfter is how long the caller should wait before it retries a request that has not run.
	RetryAfter time.Duration
	// Decisions are the events that explain the answer, without first requests that succeeded.
	Decisions []Decision
	// Leaving holds the targets that have stated that they leave. An instance that passes the answer on must send them
	// nothing more either.
	Leaving []Departure
}

// Departure is one start of a target that has stated that it leaves.
type Departure struct {
	Target string
	// Started is the start time of the target in Unix milliseconds; 0 if unknown.
	Started int
}

// Decision is one event of serving a request: a failed request, a retry or a hedge, or why a part was given up.
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
	// UsablePeers returns the connected peers in the failure domain, and the others given, that can take a batch.
	UsablePeers(domain string, others []string, r *transporter.Request) []string
	Send(ctx context.Context, batch concentrator.Batch, deliver func(concentrator.PartialResults))
}

// Relayer serves requests according to their routes.
type Relayer struct {
	sender       *sender.Sender
	concentrator Concentrator
	scope        tally.Scope
	recent       *recentRoutes
	gate         *limitGate
	// justResumed reports whether a standstill of the process has ended within the last moments.
	justResumed func() bool
	quarantine  *quarantiner.Quarantiner
	delegator   Delegator
	placement   placement
}

// Option configures a Relayer.
type Option func(*Relayer)

// WithStandstills sets the function that reports whether a standstill of the process has ended within the last moments.
func WithStandstills(justResumed func() bool) Option {
	return func(r *Relayer) { r.justResumed = justResumed }
}

// WithQuarantine sets what is known of requests under which targets end, which is shared with other instances.
func WithQuarantine(q *quarantiner.Quarantiner) Option {
	return func(r *Relayer) { r.quarantine = q }
}

// WithDelegator sets what hands requests over to other instances while this one is cut off from targets.
func WithDelegator(d Delegator) Option {
	return func(r *Relayer) { r.delegator = d }
}

// WithPlacement sets what decides by CPU capacity which instance runs a sharded query, lists the other instances, and hands
// queries over to them.
func WithPlacement(p *placer.Placer, f Fleet, h Helpers) Option {
	return func(r *Relayer) { r.placement.placer, r.placement.fleet, r.placement.helpers = p, f, h }
}

// WithHolders sets what tells which instances hold the connections to a target. It requires WithPlacement.
func WithHolders(h Holders) Option {
	return func(r *Relayer) { r.placement.holders = h }
}

// New creates a relayer.
func New(s *sender.Sender, c Concentrator, scope tally.Scope, opts ...Option) *Relayer {
	r := &Relayer{
		sender: s, concentrator: c, scope: scope, recent: newRecentRoutes(), gate: newLimitGate(), justResumed: func() bool { return false },
		quarantine: quarantiner.New(), delegator: noDelegator{},
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Relay serves one request. The context ends when the caller leaves.
func (r *Relayer) Relay(ctx context.Context, request Request) Answer {
	if r.justResumed() {
		// The caller may have left during the standstill, which is noticed a moment after its request was read.
		timekeeper.Sleep(ctx, departureCheckTime)
		if ctx.Err() != nil {
			r.scope.Counter("relayer-" + string(Abandoned)).Inc(1)
			return Answer{Outcome: Abandoned}
		}
	}
	r.recent.add(request.Route)
	answer := r.serve(ctx, request)
	r.scope.Counter("relayer-" + string(answer.Outcome)).Inc(1)
	if answer.Missing > 0 {
		r.scope.Counter("relayer-partial").Inc(1)
	}
	return answer
}
