// Package router sends sub-queries to the owners of their targets: to the local dispatcher, or in batches to peers.
package router

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"apricotflow/internal/operator/checker"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/target/connector"
	"apricotflow/internal/target/dispatcher"
	"apricotflow/internal/wire/encoder"
)

const (
	// callerMargin is kept back from the caller's deadline, for the last replies to be delivered in time.
	callerMargin = 2 * time.Millisecond
	// peerMargin is kept back from the deadline of a batch, for its replies to travel back.
	peerMargin = 3 * time.Millisecond
	// overtakeTimeout is how long replies may arrive after the end of their batch, which can overtake them.
	overtakeTimeout = 100 * time.Millisecond
)

// Dispatcher runs a sub-query on a target of this instance.
type Dispatcher interface {
	Execute(ctx context.Context, q encoder.SubQuery) encoder.SubReply
}

// Peers sends messages to other instances.
type Peers interface {
	// Execute runs a batch; sent reports whether a byte of it may have reached the peer.
	Execute(ctx context.Context, peer string, request encoder.ExecuteRequest) (reply encoder.ExecuteReply, sent bool, err error)
	Cancel(ctx context.Context, peer string, message encoder.CancelBatchMessage) error
	Deliver(ctx context.Context, peer string, message encoder.DeliverMessage) error
}

// Clock stamps messages.
type Clock interface {
	Now() int
	Observe(remote int)
}

// Events records changes of state.
type Events interface {
	Record(kind recorder.Kind, subject, query, detail string)
}

// Checks records violated invariants.
type Checks interface {
	Check(ok bool, invariant checker.Invariant, subject, detail string) bool
}

// Option changes a router.
type Option func(*Router)

// WithScope sets the scope for counters.
func WithScope(scope tally.Scope) Option {
	return func(r *Router) { r.scope = scope }
}

// WithDirect runs every sub-query on the local dispatcher, as a baseline for measurements.
func WithDirect() Option {
	return func(r *Router) { r.direct = true }
}

// Router sends sub-queries to owners.
type Router struct {
	instance string
	// prefix makes batch ids unique over all instances and restarts.
	prefix string
	// counter numbers the batches.
	counter    atomic.Int64
	owners     dispatcher.Owners
	dispatcher Dispatcher
	peers      Peers
	clock      Clock
	events     Events
	checks     Checks
	scope      tally.Scope
	direct     bool

	// batches holds the open batches by id.
	batches sync.Map
	// attempts holds the *batch of every open attempt at a peer.
	attempts sync.Map
	// running holds the cancel function of every attempt that runs here, by attempt or incomingKey.
	running sync.Map
	// loads holds a *load for every peer.
	loads sync.Map
	// outstanding holds a *counter for every ownerTarget.
	outstanding sync.Map
	// warm holds the targets whose latest reply was from a warm incarnation.
	warm sync.Map
}

// New creates a router; incarnation changes with each start of the process.
func New(instance, incarnation string, owners dispatcher.Owners, local Dispatcher, peers Peers, clock Clock, events Events, checks Checks, opts ...Option) *Router {
	r := &Router{
		instance: instance, prefix: instance + "." + incarnation + ".", owners: owners, dispatcher: local,
		peers: peers, clock: clock, events: events, checks: checks, scope: tally.NoopScope,
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Execute runs the sub-queries and calls deliver once for each of them before ctx ends, one call at a time. It returns
// after the last call. Attempt ids must be unique.
func (r *Router) Execute(ctx context.Context, queries []encoder.SubQuery, deliver func(encoder.SubReply)) {
	inner, cancel := r.innerContext(ctx)
	defer cancel()
	e := newExecution(inner, queries, deliver)
	items := make([]*item, 0, len(queries))
	for _, q := range queries {
		items = append(items, &item{query: q, execution: e})
	}
	r.route(items)
	select {
	case <-e.done:
	case <-ctx.Done():
		r.Cancel(attemptsOf(items))
		e.abort(reasonOf(ctx.Err()))
	}
}

func (r *Router) innerContext(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, found := ctx.Deadline()
	if !found {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline.Add(-callerMargin))
}

func attemptsOf(items []*item) []string {
	attempts := make([]string, 0, len(items))
	for _, i := range items {
		attempts = append(attempts, i.query.Attempt)
	}
	return attempts
}

func reasonOf(err error) encoder.Reason {
	if errors.Is(err, context.DeadlineExceeded) {
		return encoder.ReasonDeadlineExceeded
	}
	return encoder.ReasonCancelled
}

// route sends each item to an owner that was not tried yet.
func (r *Router) route(items []*item) {
	groups := make(map[string][]*item)
	for _, i := range items {
		owner := r.choose(i)
		if owner == "" {
			r.finish(i, connector.NotRun(i.query, encoder.ReasonNoOwner))
			continue
		}
		i.tried = append(i.tried, owner)
		if owner != r.instance {
			i.enter(r.outstandingAt(owner, i.query.Target))
		}
		groups[owner] = append(groups[owner], i)
	}
	for owner, group := range groups {
		if owner != r.instance {
			go r.runAt(owner, group)
			continue
		}
		for _, i := range group {
			go r.runLocal(i)
		}
	}
}

// runLocal runs an item on the local dispatcher.
func (r *Router) runLocal(i *item) {
	r.settle(i, r.instance, r.runHere(i.execution.ctx, i.query.Attempt, i.query))
}

// runHere runs a sub-query on the local dispatcher; cancelHere with the key cancels it.
func (r *Router) runHere(ctx context.Context, key string, q encoder.SubQuery) encoder.SubReply {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.running.Store(key, cancel)
	defer r.running.Delete(key)
	sent := r.outstandingAt(r.instance, q.Target)
	sent.Add(1)
	defer sent.Add(-1)
	return r.dispatcher.Execute(ctx, q)
}

func (r *Router) cancelHere(key string) bool {
	cancel, found := r.running.Load(key)
	if found {
		cancel.(context.CancelFunc)()
	}
	return found
}

// runAt runs a batch at a peer.
func (r *Router) runAt(peer string, items []*item) {
	ctx := items[0].execution.ctx
	b := newBatch(r.prefix+strconv.FormatInt(r.counter.Add(1), 10), peer, items)
	r.open(b, items)
	defer r.close(b, items)
	load := r.load(peer)
	end := load.begin()
	_, sent, err := r.peers.Execute(ctx, peer, r.request(ctx, b, items))
	end()
	reason := encoder.ReasonConnectionLost
	switch {
	case err == nil:
		r.awaitOvertaken(ctx, b)
	case ctx.Err() != nil:
		reason = reasonOf(ctx.Err())
		if sent {
			go r.cancelAt(b, attemptsOf(items))
		}
	case !sent:
		r.scope.Counter("router-peers-unreachable").Inc(1)
		rest := b.rest()
		for _, i := range rest {
			i.leave()
		}
		r.route(rest)
		return
	default:
		r.scope.Counter("router-peers-lost").Inc(1)
	}
	for _, i := range b.rest() {
		i.leave()
		if sent {
			r.finish(i, connector.Unknown(i.query, reason))
		} else {
			r.finish(i, connector.NotRun(i.query, reason))
		}
	}
}

// request builds the batch with the time that is left for its items.
func (r *Router) request(ctx context.Context, b *batch, items []*item) encoder.ExecuteRequest {
	request := encoder.ExecuteRequest{Batch: b.id, Clock: r.clock.Now(), Items: make([]encoder.SubQuery, 0, len(items))}
	deadline, found := ctx.Deadline()
	left := int((time.Until(deadline) - peerMargin) / time.Millisecond)
	for _, i := range items {
		q := i.query
		if found {
			q.DeadlineMs = max(0, min(q.DeadlineMs, left))
		}
		request.Items = append(request.Items, q)
	}
	return request
}

func (r *Router) open(b *batch, items []*item) {
	r.batches.Store(b.id, b)
	for _, i := range items {
		r.attempts.Store(i.query.Attempt, b)
	}
}

func (r *Router) close(b *batch, items []*item) {
	r.batches.Delete(b.id)
	for _, i := range items {
		r.attempts.CompareAndDelete(i.query.Attempt, b)
	}
}

// awaitOvertaken waits for replies that were overtaken by the end of their batch.
func (r *Router) awaitOvertaken(ctx context.Context, b *batch) {
	if b.empty() {
		return
	}
	select {
	case <-b.done:
	case <-ctx.Done():
	case <-time.After(overtakeTimeout):
	}
}

// settle takes the reply of an owner for an item; an owner that refused because it may not serve the target is
// replaced by another one.
func (r *Router) settle(i *item, owner string, reply encoder.SubReply) {
	i.leave()
	r.note(reply)
	if r.retryable(i, owner, reply) {
		r.scope.Counter("router-owner-retries").Inc(1)
		r.route([]*item{i})
		return
	}
	r.finish(i, reply)
}

// retryable reports whether another owner may be tried. A non-idempotent sub-query leaves this instance once.
func (r *Router) retryable(i *item, owner string, reply encoder.SubReply) bool {
	// A reply with an incarnation comes from the target itself, so a byte reached it.
	if reply.Outcome != encoder.OutcomeNotRun || reply.Incarnation != "" || i.execution.ctx.Err() != nil {
		return false
	}
	if !i.query.Idempotent && owner != r.instance {
		return false
	}
	if reply.Reason != encoder.ReasonNoOwner && reply.Reason != encoder.ReasonNoLease {
		return false
	}
	return r.choose(i) != ""
}

// finish delivers a reply unless its attempt was delivered before.
func (r *Router) finish(i *item, reply encoder.SubReply) {
	r.checks.Check(r.matches(i.query, reply), checker.OwnAnswer, i.query.Target, "attempt "+i.query.Attempt)
	if !i.execution.finish(reply) {
		r.drop("late", reply)
	}
}

func (r *Router) matches(q encoder.SubQuery, reply encoder.SubReply) bool {
	return connector.Matches(q, reply)
}

// drop counts a reply that nobody waits for.
func (r *Router) drop(cause string, reply encoder.SubReply) {
	r.scope.Counter("router-replies-" + cause).Inc(1)
	r.events.Record(recorder.KindReplyDropped, reply.Target, "", cause+" reply of attempt "+reply.Attempt)
}

// note remembers whether the target is warm. Replies without an incarnation are not from the target.
func (r *Router) note(reply encoder.SubReply) {
	switch {
	case reply.Reason == encoder.ReasonNoLease, reply.Incarnation != "" && reply.State != encoder.LoadStateWarm:
		r.warm.Delete(reply.Target)
	case reply.Incarnation != "":
		r.warm.Store(reply.Target, true)
	}
}

// Cancel tells the owners that the results of the attempts no longer matter. Their replies are still delivered.
func (r *Router) Cancel(attempts []string) {
	remote := make(map[*batch][]string)
	for _, attempt := range attempts {
		if r.cancelHere(attempt) {
			continue
		}
		if b, found := r.attempts.Load(attempt); found {
			remote[b.(*batch)] = append(remote[b.(*batch)], attempt)
		}
	}
	for b, cancelled := range remote {
		go r.cancelAt(b, cancelled)
	}
}

// cancelNotifyTimeout bounds the notification of a peer.
const cancelNotifyTimeout = time.Second

func (r *Router) cancelAt(b *batch, attempts []string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelNotifyTimeout)
	defer cancel()
	if err := r.peers.Cancel(ctx, b.peer, encoder.CancelBatchMessage{Batch: b.id, Attempts: attempts}); err != nil {
		r.scope.Counter("router-cancellations-failed").Inc(1)
	}
}

// choose returns the best owner that was not tried yet, or an empty name. Only the first owner serves a target that
// is not known to be warm. A non-idempotent sub-query takes the owners in order.
func (r *Router) choose(i *item) string {
	if r.direct {
		if slices.Contains(i.tried, r.instance) {
			return ""
		}
		return r.instance
	}
	var left []dispatcher.Share
	for _, s := range r.owners(i.query.Target) {
		if s.Slots > 0 && !slices.Contains(i.tried, s.Instance) {
			left = append(left, s)
		}
	}
	if len(left) == 0 {
		return ""
	}
	_, warm := r.warm.Load(i.query.Target)
	if !warm || !i.query.Idempotent {
		return left[0].Instance
	}
	return r.best(i.query.Target, left)
}
