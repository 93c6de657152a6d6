// Package executor runs one query from plan to answer: it sends sub-queries to a replica of each shard, hedges and
// retries them within the budget, and merges the replies before the deadline. Package server uses it in native mode.
// Behind its interfaces, snapshots are left to package planner, admission to admitter, the order of replicas to
// selector, hedge delays and the budget to hedger, and the delivery of sub-queries to router.
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

// Planner pins the snapshot of a query and finds the replicas that hold it.
type Planner interface {
	Class(name string) (encoder.QueryClass, error)
	Plan(request encoder.QueryRequest) (*planner.Plan, error)
	Candidates(plan *planner.Plan, shard int) []string
	MarkVersionMissing(plan *planner.Plan, target string)
}

// Admitter limits the number of concurrent queries.
type Admitter interface {
	Admit(ctx context.Context, class encoder.QueryClass, deadline time.Duration) (admitter.Release, error)
}

// Router sends sub-queries to the instances that own their targets.
type Router interface {
	// Execute returns after every reply has been delivered; deliver may be called concurrently.
	Execute(ctx context.Context, queries []encoder.SubQuery, deliver func(encoder.SubReply))
	Cancel(attempts []string)
}

// Selector orders replicas by their suitability for the next attempt.
type Selector interface {
	// Order returns the replicas that may get new work, best first.
	Order(replicas []string) []string
	// AddInFlight is called when a sub-query for the target is added to a batch, and ObserveReply exactly once for each
	// AddInFlight, when its attempt has ended; a cancelled or expired attempt has the outcome unknown.
	AddInFlight(target string)
	ObserveReply(reply encoder.SubReply, latency time.Duration)
}

// Hedger computes hedge delays and holds the budget of hedges and retries.
type Hedger interface {
	// Delay returns how long a sub-query of the class is unanswered before it is hedged. Zero or a time beyond every
	// deadline means that it is not hedged.
	Delay(class string) time.Duration
	Observe(class string, latency time.Duration)
	TakeBudget() bool
	RecordNeeded(n int)
}

// Events records events of queries.
type Events interface {
	Record(kind recorder.Kind, subject, query, detail string)
}

// Dependencies holds the dependencies of an executor; all are required.
type Dependencies struct {
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
	// idPrefix is the prefix of every attempt id and query id; it is unique across instances and restarts.
	idPrefix     string
	dependencies Dependencies
	counters     counters
	// lastAttempt and lastQuery are the numbers in the latest attempt id and query id.
	lastAttempt atomic.Uint64
	lastQuery   atomic.Uint64
	// background tracks the router calls, which may outlive their queries.
	background tracker.Tracker
}

// New creates an executor for one incarnation of an instance, that is one run of its process.
func New(instance, incarnation string, dependencies Dependencies) *Executor {
	return &Executor{instance: instance, idPrefix: instance + "." + incarnation + ".", dependencies: dependencies, counters: newCounters(dependencies.Scope)}
}

// Class returns a query class of the manifest in force. Errors: *UnknownClassError, *NotReadyError.
func (e *Executor) Class(name string) (encoder.QueryClass, error) {
	class, err := e.dependencies.Planner.Class(name)
	if err != nil {
		return encoder.QueryClass{}, translatePlanError(err)
	}
	return class, nil
}

// Execute answers a query before its deadline. The end of the context cancels only idempotent queries. Every error
// means that nothing ran; the types are *InvalidRequestError, *UnknownClassError, *TicketRequiredError, *NotReadyError,
// *ShedError, *DeadlineTooShortError and *CallerLeftError.
func (e *Executor) Execute(ctx context.Context, request encoder.QueryRequest) (encoder.QueryReply, error) {
	started := time.Now()
	class, err := e.Class(request.QueryClass)
	if err != nil {
		return encoder.QueryReply{}, err
	}
	deadline := queryDeadline(class, request)
	release, err := e.dependencies.Admitter.Admit(ctx, class, deadline)
	if err != nil {
		return encoder.QueryReply{}, translateAdmissionError(err)
	}
	complete := false
	defer func() { release(complete) }()
	plan, err := e.dependencies.Planner.Plan(request)
	if err != nil {
		return encoder.QueryReply{}, translatePlanError(err)
	}
	// The class is taken from the plan, because a new manifest may have come into force since admission.
	class = plan.Class()
	if !class.Idempotent && request.Ticket == nil {
		return encoder.QueryReply{}, &TicketRequiredError{Class: class.Name}
	}
	if !class.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	deadline = queryDeadline(class, request)
	r := e.newQueryRun(ctx, request, plan, started, started.Add(deadline-answerMargin(deadline)))
	reply := r.execute()
	complete = reply.Outcome == encoder.QueryOutcomeComplete
	return reply, nil
}

// Drain waits until no call to the router is in progress.
func (e *Executor) Drain(ctx context.Context) error {
	return e.background.Drain(ctx)
}

func (e *Executor) newAttemptID() string {
	return e.idPrefix + strconv.FormatUint(e.lastAttempt.Add(1), 10)
}

func (e *Executor) newQueryID() string {
	return e.idPrefix + "q" + strconv.FormatUint(e.lastQuery.Add(1), 10)
}

func translatePlanError(err error) error {
	var unknown *planner.UnknownClassError
	if errors.As(err, &unknown) {
		return &UnknownClassError{Class: unknown.Class}
	}
	var none *planner.NoManifestError
	if errors.As(err, &none) {
		return &NotReadyError{}
	}
	// The only other error of the planner is *planner.KeyError.
	return &InvalidRequestError{Path: "$.key", Cause: err}
}

func translateAdmissionError(err error) error {
	var shed *admitter.ShedError
	if errors.As(err, &shed) {
		return &ShedError{RetryAfter: shed.RetryAfter}
	}
	var tooShort *admitter.DeadlineTooShortError
	if errors.As(err, &tooShort) {
		return &DeadlineTooShortError{Cause: err}
	}
	return &CallerLeftError{Cause: err}
}
