// Package executor runs one query: plan, fan-out, hedges, retries, deadline and merge.
package executor

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/query/admitter"
	"apricotflow/internal/query/merger"
	"apricotflow/internal/query/planner"
	"apricotflow/internal/query/tracker"
	"apricotflow/internal/wire/encoder"
)

// Planner pins snapshots.
type Planner interface {
	Class(name string) (encoder.QueryClass, error)
	Plan(request encoder.QueryRequest) (*planner.Plan, error)
	Candidates(plan *planner.Plan, shard int) []string
	Learn(plan *planner.Plan, target string)
}

// Admitter limits the queries that run at the same time.
type Admitter interface {
	Admit(ctx context.Context, class encoder.QueryClass, deadline time.Duration) (admitter.Release, error)
}

// Router sends sub-queries to the owners of their targets.
type Router interface {
	// Execute returns when every reply has been delivered; deliver may be called concurrently.
	Execute(ctx context.Context, queries []encoder.SubQuery, deliver func(encoder.SubReply))
	Cancel(attempts []string)
}

// Selector orders replicas.
type Selector interface {
	// Order returns the replicas that may get new work, best first.
	Order(replicas []string) []string
	// Begin is called when a sub-query is sent to the target, and Observe exactly once for each Begin; a cancelled or
	// expired attempt has the outcome unknown.
	Begin(target string)
	Observe(reply encoder.SubReply, latency time.Duration)
}

// Hedger decides on hedges and on the budget of hedges and retries.
type Hedger interface {
	// Delay returns zero or a time beyond every deadline when hedging is off.
	Delay(class string) time.Duration
	Observe(class string, latency time.Duration)
	Take() bool
	Needed(n int)
}

// Events records what happens to queries.
type Events interface {
	Record(kind recorder.Kind, subject, query, detail string)
}

// Parts are the collaborators of an executor; all are needed.
type Parts struct {
	Planner  Planner
	Admitter Admitter
	Router   Router
	Selector Selector
	Hedger   Hedger
	Events   Events
	Checker  merger.Checker
	Scope    tally.Scope
}

// Executor runs queries.
type Executor struct {
	instance string
	// prefix starts every id and is unique over all instances and restarts.
	prefix   string
	parts    Parts
	counters counters
	// attempts and queries are the last numbers given out.
	attempts atomic.Uint64
	queries  atomic.Uint64
	// background counts the router calls that outlive their queries.
	background tracker.Tracker
}

// New creates an executor for one incarnation of an instance.
func New(instance, incarnation string, parts Parts) *Executor {
	return &Executor{instance: instance, prefix: instance + "." + incarnation + ".", parts: parts, counters: newCounters(parts.Scope)}
}

// Class finds a query class of the manifest in force. Errors: *UnknownClassError, *NotReadyError.
func (e *Executor) Class(name string) (encoder.QueryClass, error) {
	class, err := e.parts.Planner.Class(name)
	if err != nil {
		return encoder.QueryClass{}, planError(err)
	}
	return class, nil
}

// Execute answers a query before its deadline. The end of the context cancels an idempotent query only.
// Errors, all of which mean that nothing ran: *InvalidError, *UnknownClassError, *TicketError, *NotReadyError,
// *ShedError, *DeadlineError, *GoneError.
func (e *Executor) Execute(ctx context.Context, request encoder.QueryRequest) (encoder.QueryReply, error) {
	started := time.Now()
	class, err := e.Class(request.QueryClass)
	if err != nil {
		return encoder.QueryReply{}, err
	}
	deadline := queryDeadline(class, request)
	release, err := e.parts.Admitter.Admit(ctx, class, deadline)
	if err != nil {
		return encoder.QueryReply{}, admissionError(err)
	}
	served := false
	defer func() { release(served) }()
	plan, err := e.parts.Planner.Plan(request)
	if err != nil {
		return encoder.QueryReply{}, planError(err)
	}
	// The class of the plan counts, because a new manifest may have come into force since admission.
	class = plan.Class()
	if !class.Idempotent && request.Ticket == nil {
		return encoder.QueryReply{}, &TicketError{Class: class.Name}
	}
	if !class.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	deadline = queryDeadline(class, request)
	r := e.newRun(ctx, request, plan, started, started.Add(deadline-answerMargin(deadline)))
	reply := r.execute()
	served = reply.Outcome == encoder.QueryOutcomeComplete
	return reply, nil
}

// Drain waits until no call to the router is left.
func (e *Executor) Drain(ctx context.Context) error {
	return e.background.Drain(ctx)
}

func (e *Executor) newAttempt() string {
	return e.prefix + strconv.FormatUint(e.attempts.Add(1), 10)
}

func (e *Executor) newQuery() string {
	return e.prefix + "q" + strconv.FormatUint(e.queries.Add(1), 10)
}

func planError(err error) error {
	var unknown *planner.UnknownClassError
	if errors.As(err, &unknown) {
		return &UnknownClassError{Class: unknown.Class}
	}
	var none *planner.NoManifestError
	if errors.As(err, &none) {
		return &NotReadyError{}
	}
	return &InvalidError{Path: "$.key", Cause: err}
}

func admissionError(err error) error {
	var shed *admitter.ShedError
	if errors.As(err, &shed) {
		return &ShedError{RetryAfter: shed.RetryAfter}
	}
	var deadline *admitter.DeadlineError
	if errors.As(err, &deadline) {
		return &DeadlineError{Cause: err}
	}
	return &GoneError{Cause: err}
}
