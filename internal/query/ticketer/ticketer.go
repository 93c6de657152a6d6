// Package ticketer issues tickets for non-idempotent queries, runs each one once and keeps the answer for resends.
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

// Limits of the ticket table.
const (
	// DefaultCount of tickets.
	DefaultCount = 65536
	// DefaultBytes of kept answers. The whole instance has to stay within 128 MB.
	DefaultBytes = 16 << 20
)

const (
	// forwardMargin is the time kept for the way back of a forwarded answer.
	forwardMargin = 2 * time.Millisecond
	// leastStatus and mostStatus bound the HTTP statuses of a final answer.
	leastStatus = 200
	mostStatus  = 599
)

// Peers forwards a ticketed query to the instance that issued the ticket.
type Peers interface {
	RunTicket(ctx context.Context, instance string, request encoder.RunTicketRequest) (encoder.RunTicketReply, error)
}

// Events records tickets without an answer.
type Events interface {
	Record(kind recorder.Kind, subject, query, detail string)
}

// Checker checks invariants.
type Checker interface {
	Check(ok bool, invariant checker.Invariant, subject, detail string) bool
}

// RunFunc runs the query of a ticket; its context does not end with the caller's.
type RunFunc func(ctx context.Context) Answer

// Ticketer runs the queries of its tickets at most once.
type Ticketer struct {
	instance, incarnation string
	// lifetime returns the time for which a ticket is valid and its answer is kept.
	lifetime func() time.Duration
	peers    Peers
	events   Events
	checker  Checker
	onPanic  func(recovered any) Answer

	issued, run, resent, forwarded, full, unknown tally.Counter

	mu    sync.Mutex
	table *table
	// runs counts the running queries; it outlives their callers.
	runs tracker.Tracker
}

// Option changes a ticketer under construction.
type Option func(*Ticketer)

// WithBounds sets the greatest count of tickets and bytes of kept answers.
func WithBounds(count, bytes int) Option {
	return func(t *Ticketer) { t.table = newTable(count, bytes) }
}

// WithPanicAnswer sets the answer of a run that panics.
func WithPanicAnswer(f func(recovered any) Answer) Option {
	return func(t *Ticketer) { t.onPanic = f }
}

// New creates a ticketer for one incarnation of an instance.
func New(instance, incarnation string, lifetime func() time.Duration, peers Peers, events Events, check Checker, scope tally.Scope, opts ...Option) *Ticketer {
	t := &Ticketer{
		instance: instance, incarnation: incarnation, lifetime: lifetime,
		peers: peers, events: events, checker: check, onPanic: panicAnswer,
		issued: scope.Counter("tickets-issued"), run: scope.Counter("tickets-run"), resent: scope.Counter("tickets-resent"),
		forwarded: scope.Counter("tickets-forwarded"), full: scope.Counter("tickets-refused"), unknown: scope.Counter("tickets-unknown"),
		table: newTable(DefaultCount, DefaultBytes),
	}
	for _, apply := range opts {
		apply(t)
	}
	return t
}

// Issue creates a ticket for one query of the class. Errors: *FullError.
func (t *Ticketer) Issue(class string) (encoder.TicketReply, error) {
	n, lifetime, now := newName(t.instance, t.incarnation), t.lifetime(), time.Now()
	e := &entry{random: n.random, class: class, expires: now.Add(lifetime), done: make(chan struct{})}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.table.add(e, now) {
		t.full.Inc(1)
		return encoder.TicketReply{}, &FullError{}
	}
	t.issued.Inc(1)
	return encoder.TicketReply{Ticket: n.String(), ExpiresInMs: int(lifetime.Milliseconds())}, nil
}

// Run runs the query of a ticket once, waits for a run in progress, or forwards it to the instance that issued the
// ticket. Errors: *MalformedError and *ConflictError if this request did not run, else *UnknownError.
func (t *Ticketer) Run(ctx context.Context, ticket string, request encoder.QueryRequest, f RunFunc) (Answer, error) {
	n, valid := parseName(ticket)
	if !valid {
		return Answer{}, &MalformedError{}
	}
	if n.instance != t.instance {
		return t.forward(ctx, n, request)
	}
	return t.runOwn(ctx, n, request, f)
}

// RunForwarded is Run for a query that another instance has forwarded; it is never forwarded again.
func (t *Ticketer) RunForwarded(ctx context.Context, ticket string, request encoder.QueryRequest, f RunFunc) (Answer, error) {
	n, valid := parseName(ticket)
	if !valid {
		return Answer{}, &MalformedError{}
	}
	return t.runOwn(ctx, n, request, f)
}

// Drain waits for running queries, also those whose callers have gone.
func (t *Ticketer) Drain(ctx context.Context) error {
	return t.runs.Drain(ctx)
}

func (t *Ticketer) runOwn(ctx context.Context, n name, request encoder.QueryRequest, f RunFunc) (Answer, error) {
	if n.instance != t.instance || n.incarnation != t.incarnation {
		return t.lose(n, "the incarnation that issued the ticket has ended", nil)
	}
	e, first, err := t.enter(n, request)
	if err != nil {
		return Answer{}, err
	}
	if first {
		t.run.Inc(1)
		t.runs.Go(func() { t.execute(context.WithoutCancel(ctx), e, f) })
	} else {
		t.resent.Inc(1)
	}
	return t.await(ctx, n, e)
}

// enter finds the ticket and reports whether this call has to run its query.
func (t *Ticketer) enter(n name, request encoder.QueryRequest) (e *entry, first bool, err error) {
	sum := digest(request)
	t.mu.Lock()
	defer t.mu.Unlock()
	e, found := t.table.find(n.random, time.Now())
	if !found {
		_, err := t.lose(n, "the ticket is unknown or has expired", nil)
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

// execute runs the query and keeps its answer; a panic ends only this run.
func (t *Ticketer) execute(ctx context.Context, e *entry, f RunFunc) {
	answer := t.call(ctx, f)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checker.Check(!e.finished(), checker.AtMostOnce, e.class, "ticket ran twice")
	t.table.finish(e, answer, time.Now().Add(t.lifetime()))
}

func (t *Ticketer) call(ctx context.Context, f RunFunc) (answer Answer) {
	defer func() {
		if recovered := recover(); recovered != nil {
			checker.Rethrow(recovered)
			answer = t.onPanic(recovered)
		}
	}()
	return f(ctx)
}

func (t *Ticketer) await(ctx context.Context, n name, e *entry) (Answer, error) {
	select {
	case <-e.done:
	case <-ctx.Done():
		return t.lose(n, "the query is still running", ctx.Err())
	}
	t.mu.Lock()
	answer := e.answer
	t.mu.Unlock()
	if answer == nil {
		return t.lose(n, "the query ran and its answer is no longer kept", nil)
	}
	return *answer, nil
}

// forward sends the query to the issuing instance. A failure is always unknown, even if nothing was sent: the same
// ticket may have run through another instance before.
func (t *Ticketer) forward(ctx context.Context, n name, request encoder.QueryRequest) (Answer, error) {
	t.forwarded.Inc(1)
	message := encoder.RunTicketRequest{Request: request, DeadlineMs: remainingMs(ctx)}
	reply, err := t.peers.RunTicket(ctx, n.instance, message)
	if err != nil {
		return t.lose(n, "the instance that issued the ticket did not answer", err)
	}
	if reply.Status < leastStatus || reply.Status > mostStatus {
		return t.lose(n, fmt.Sprintf("the instance that issued the ticket sent status %d", reply.Status), nil)
	}
	return Answer{Status: reply.Status, Body: []byte(reply.Body)}, nil
}

// lose reports that the outcome of a ticket is not known.
func (t *Ticketer) lose(n name, detail string, cause error) (Answer, error) {
	t.unknown.Inc(1)
	t.events.Record(recorder.KindTicketUnknown, n.instance, "", detail)
	return Answer{}, &UnknownError{Detail: detail, Cause: cause}
}

// remainingMs returns the time left for another instance, or zero for no deadline.
func remainingMs(ctx context.Context) int {
	deadline, set := ctx.Deadline()
	if !set {
		return 0
	}
	return max(int((time.Until(deadline) - forwardMargin).Milliseconds()), 1)
}

func panicAnswer(any) Answer {
	reply := encoder.ErrorReply{Code: "internal-error", Message: "ticketer: run: panic", Outcome: encoder.QueryOutcomeUnknown}
	return Answer{Status: 500, Body: encoder.Encode(reply)}
}
