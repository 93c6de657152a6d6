// Package ticketer issues tickets for non-idempotent queries, runs the query of each ticket at most once and keeps its
// answer for resends. Package server uses it in native mode. The package forwards tickets of other instances to their
// issuer and leaves the query itself to the function that is passed to Run.
package ticketer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"apricotflow/internal/operator/checker"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/query/tracker"
	"apricotflow/internal/wire/encoder"
)

// Default limits of the ticket table.
const (
	// DefaultMaxTickets is the maximum number of tickets.
	DefaultMaxTickets = 65536
	// DefaultMaxAnswerBytes is the maximum size of all kept answers. The whole instance has to stay within 128 MB.
	DefaultMaxAnswerBytes = 16 << 20
)

const (
	// forwardMargin is the time reserved for the way back of a forwarded answer.
	forwardMargin = 2 * time.Millisecond
	// minStatus and maxStatus are the lowest and the highest HTTP status accepted from another instance.
	minStatus = 200
	maxStatus = 599
)

// Peers forwards a query with a ticket to the instance that issued the ticket.
type Peers interface {
	RunTicket(ctx context.Context, instance string, request encoder.RunTicketRequest) (encoder.RunTicketReply, error)
}

// Events records tickets whose outcome is unknown.
type Events interface {
	Record(kind recorder.Kind, subject, query, detail string)
}

// Checker checks invariants.
type Checker interface {
	Check(ok bool, invariant checker.Invariant, subject, detail string) bool
}

// RunFunc runs the query of a ticket. Its context does not end with that of the caller.
type RunFunc func(ctx context.Context) Answer

// Ticketer issues tickets and runs their queries at most once.
type Ticketer struct {
	instance, incarnation string
	// lifetime returns how long a ticket is valid and how long its answer is kept.
	lifetime func() time.Duration
	peers    Peers
	events   Events
	checker  Checker

	ticketsIssued, ticketsRun, ticketsResent, ticketsForwarded, ticketsRefused, ticketsUnknown tally.Counter

	mu    sync.Mutex
	table *table
	// runs tracks the running queries, which may outlive their callers.
	runs tracker.Tracker
}

// Option configures a ticketer.
type Option func(*Ticketer)

// WithLimits sets the maximum number of tickets and the maximum size of all kept answers in bytes.
func WithLimits(maxTickets, maxAnswerBytes int) Option {
	return func(t *Ticketer) { t.table = newTable(maxTickets, maxAnswerBytes) }
}

// New creates a ticketer for one incarnation of an instance, that is one run of its process.
func New(instance, incarnation string, lifetime func() time.Duration, peers Peers, events Events, check Checker, scope tally.Scope, opts ...Option) *Ticketer {
	t := &Ticketer{
		instance: instance, incarnation: incarnation, lifetime: lifetime,
		peers: peers, events: events, checker: check,
		ticketsIssued: scope.Counter("tickets-issued"), ticketsRun: scope.Counter("tickets-run"), ticketsResent: scope.Counter("tickets-resent"),
		ticketsForwarded: scope.Counter("tickets-forwarded"), ticketsRefused: scope.Counter("tickets-refused"), ticketsUnknown: scope.Counter("tickets-unknown"),
		table: newTable(DefaultMaxTickets, DefaultMaxAnswerBytes),
	}
	for _, apply := range opts {
		apply(t)
	}
	return t
}

// Issue creates a ticket for one query of the class. Errors: *TableFullError.
func (t *Ticketer) Issue(class string) (encoder.TicketReply, error) {
	id, lifetime, now := newTicketID(t.instance, t.incarnation), t.lifetime(), time.Now()
	e := &issuedTicket{randomPart: id.randomPart, class: class, expires: now.Add(lifetime), done: make(chan struct{})}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.table.add(e, now) {
		t.ticketsRefused.Inc(1)
		return encoder.TicketReply{}, &TableFullError{}
	}
	t.ticketsIssued.Inc(1)
	return encoder.TicketReply{Ticket: id.String(), ExpiresInMs: int(lifetime.Milliseconds())}, nil
}

// Run runs the query of a ticket once, waits for a run in progress, or forwards the query to the instance that issued
// the ticket. Errors: *MalformedError and *ConflictError if this request did not run, otherwise *OutcomeUnknownError. A
// refusal by the issuer is not an error, but an Answer with the HTTP status of the refusal.
func (t *Ticketer) Run(ctx context.Context, ticket string, request encoder.QueryRequest, f RunFunc) (Answer, error) {
	id, valid := parseTicket(ticket)
	if !valid {
		return Answer{}, &MalformedError{}
	}
	if id.instance != t.instance {
		return t.forward(ctx, id, request)
	}
	return t.runLocally(ctx, id, request, f)
}

// RunForwarded runs a query that another instance has forwarded, like Run; it is never forwarded again.
func (t *Ticketer) RunForwarded(ctx context.Context, ticket string, request encoder.QueryRequest, f RunFunc) (Answer, error) {
	id, valid := parseTicket(ticket)
	if !valid {
		return Answer{}, &MalformedError{}
	}
	return t.runLocally(ctx, id, request, f)
}

// Drain waits for running queries, including those whose callers have left.
func (t *Ticketer) Drain(ctx context.Context) error {
	return t.runs.Drain(ctx)
}

// runLocally runs a query whose ticket this incarnation has issued, or waits for its run in progress. Any other ticket
// cannot have run here, so its outcome is unknown.
func (t *Ticketer) runLocally(ctx context.Context, id ticketID, request encoder.QueryRequest, f RunFunc) (Answer, error) {
	if id.instance != t.instance || id.incarnation != t.incarnation {
		return t.unknownOutcome(id, "the incarnation that issued the ticket has ended", nil)
	}
	e, first, err := t.startOrJoin(id, request)
	if err != nil {
		return Answer{}, err
	}
	if first {
		t.ticketsRun.Inc(1)
		t.runs.Go(func() { t.execute(context.WithoutCancel(ctx), e, f) })
	} else {
		t.ticketsResent.Inc(1)
	}
	return t.awaitAnswer(ctx, id, e)
}

// startOrJoin marks the ticket as started, and reports whether this call did so and has to run the query. Any later
// call has to wait for that run.
func (t *Ticketer) startOrJoin(id ticketID, request encoder.QueryRequest) (e *issuedTicket, first bool, err error) {
	sum := digest(request)
	t.mu.Lock()
	defer t.mu.Unlock()
	e, found := t.table.find(id.randomPart, time.Now())
	if !found {
		_, err := t.unknownOutcome(id, "the ticket is unknown or has expired", nil)
		return nil, false, err
	}
	if e.class != request.QueryClass {
		return nil, false, &ConflictError{Detail: fmt.Sprintf("issued for query class %q", e.class)}
	}
	if e.started && e.digest != sum {
		return nil, false, &ConflictError{Detail: "sent before with another body"}
	}
	if e.started {
		return e, false, nil
	}
	e.started, e.digest = true, sum
	return e, true, nil
}

// execute runs the query and stores its answer. A panic ends only this run.
func (t *Ticketer) execute(ctx context.Context, e *issuedTicket, f RunFunc) {
	answer := t.runQuery(ctx, f)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checker.Check(!e.finished(), checker.AtMostOnce, e.class, "ticket ran twice")
	t.table.finish(e, answer, time.Now().Add(t.lifetime()))
}

func (t *Ticketer) runQuery(ctx context.Context, f RunFunc) (answer Answer) {
	defer func() {
		if recovered := recover(); recovered != nil {
			checker.RepanicViolation(recovered)
			answer = panicAnswer()
		}
	}()
	return f(ctx)
}

func (t *Ticketer) awaitAnswer(ctx context.Context, id ticketID, e *issuedTicket) (Answer, error) {
	select {
	case <-e.done:
	case <-ctx.Done():
		return t.unknownOutcome(id, "the query is still running", ctx.Err())
	}
	t.mu.Lock()
	answer := e.answer
	t.mu.Unlock()
	if answer == nil {
		return t.unknownOutcome(id, "the query ran and its answer is no longer kept", nil)
	}
	return *answer, nil
}

// forward sends the query to the instance that issued the ticket. After a failure the outcome is unknown even if
// nothing was sent: the same ticket may have run through another instance before.
func (t *Ticketer) forward(ctx context.Context, id ticketID, request encoder.QueryRequest) (Answer, error) {
	t.ticketsForwarded.Inc(1)
	message := encoder.RunTicketRequest{Request: request, DeadlineMs: remainingMs(ctx)}
	reply, err := t.peers.RunTicket(ctx, id.instance, message)
	if err != nil {
		return t.unknownOutcome(id, "the instance that issued the ticket did not answer", err)
	}
	if reply.Status < minStatus || reply.Status > maxStatus {
		return t.unknownOutcome(id, fmt.Sprintf("the instance that issued the ticket sent status %d", reply.Status), nil)
	}
	answer := Answer{Status: reply.Status, Body: []byte(reply.Body)}
	if reply.RetryAfterMs != nil {
		answer.RetryAfter = time.Duration(*reply.RetryAfterMs) * time.Millisecond
	}
	return answer, nil
}

// unknownOutcome records that the outcome of a ticket is unknown, and returns the error that reports it.
func (t *Ticketer) unknownOutcome(id ticketID, detail string, cause error) (Answer, error) {
	t.ticketsUnknown.Inc(1)
	t.events.Record(recorder.KindTicketUnknown, id.instance, "", detail)
	return Answer{}, &OutcomeUnknownError{Detail: detail, Cause: cause}
}

// remainingMs returns the time left to another instance in milliseconds, or zero if there is no deadline.
func remainingMs(ctx context.Context) int {
	deadline, set := ctx.Deadline()
	if !set {
		return 0
	}
	return max(int((time.Until(deadline) - forwardMargin).Milliseconds()), 1)
}

// panicAnswer returns an answer with the code, status and outcome with which package server answers a panic.
func panicAnswer() Answer {
	reply := encoder.ErrorReply{Code: "internal-error", Message: "ticketer: run: panic", Outcome: encoder.QueryOutcomeUnknown}
	return Answer{Status: 500, Body: encoder.Encode(reply)}
}
