// Package router sends sub-queries to the owners of their targets: to the local dispatcher, or in batches to peers. It
// chooses the owner, tries another owner when that is safe, and delivers exactly one reply for each sub-query. Running
// a sub-query on a target is left to the dispatcher.
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
	// callerMargin is subtracted from the caller's deadline, so that the last replies are delivered in time.
	callerMargin = 2 * time.Millisecond
	// peerMargin is subtracted from the deadline of a batch, so that its replies can travel back in time.
	peerMargin = 3 * time.Millisecond
	// overtakenReplyTimeout is how long a finished batch waits for its remaining replies. Replies travel separately, so
	// that the end of the batch can overtake them.
	overtakenReplyTimeout = 100 * time.Millisecond
)

// Dispatcher runs a sub-query on a target of this instance.
type Dispatcher interface {
	Execute(ctx context.Context, q encoder.SubQuery) encoder.SubReply
}

// Peers sends messages to other instances.
type Peers interface {
	// Execute runs a batch on a peer; sent reports whether a byte of it may have reached the peer.
	Execute(ctx context.Context, peer string, request encoder.ExecuteRequest) (reply encoder.ExecuteReply, sent bool, err error)
	Cancel(ctx context.Context, peer string, message encoder.CancelBatchMessage) error
	Deliver(ctx context.Context, peer string, message encoder.DeliverMessage) error
}

// Clock is the logical clock that stamps messages between instances.
type Clock interface {
	Now() int
	Observe(remote int)
}

// Events records state changes.
type Events interface {
	Record(kind recorder.Kind, subject, query, detail string)
}

// Checks records violated invariants.
type Checks interface {
	Check(ok bool, invariant checker.Invariant, subject, detail string) bool
}

// Option configures a Router.
type Option func(*Router)

// WithScope sets the metrics scope.
func WithScope(scope tally.Scope) Option {
	return func(r *Router) { r.scope = scope }
}

// WithDirect runs every sub-query on the local dispatcher. It serves as a baseline for measurements.
func WithDirect() Option {
	return func(r *Router) { r.direct = true }
}

// Router sends sub-queries to the owners of their targets.
type Router struct {
	instance string
	// prefix makes batch IDs unique across all instances and restarts.
	prefix string
	// lastBatch is the number of the latest batch.
	lastBatch  atomic.Int64
	owners     dispatcher.Owners
	dispatcher Dispatcher
	peers      Peers
	clock      Clock
	events     Events
	checks     Checks
	scope      tally.Scope
	direct     bool

	// batches holds the open *batch values by ID.
	batches sync.Map
	// peerAttempts holds the *batch of every open attempt at a peer, by attempt.
	peerAttempts sync.Map
	// localAttempts holds the cancel function of every attempt that runs on the local dispatcher, by attempt or
	// incomingKey.
	localAttempts sync.Map
	// peerLoads holds a *peerLoad for every peer.
	peerLoads sync.Map
	// outstanding holds an *outstandingCounter for every ownerTarget.
	outstanding sync.Map
	// warmTargets holds the targets whose latest reply came from a warm incarnation.
	warmTargets sync.Map
}

// New creates a router. The incarnation must change with each start of the process.
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
// after the last call. Attempt IDs must be unique.
func (r *Router) Execute(ctx context.Context, queries []encoder.SubQuery, deliver func(encoder.SubReply)) {
	inner, cancel := r.withCallerMargin(ctx)
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
		r.Cancel(attemptIDs(items))
		e.abort(contextReason(ctx.Err()))
	}
}

func (r *Router) withCallerMargin(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, found := ctx.Deadline()
	if !found {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline.Add(-callerMargin))
}

func attemptIDs(items []*item) []string {
	attempts := make([]string, 0, len(items))
	for _, i := range items {
		attempts = append(attempts, i.query.Attempt)
	}
	return attempts
}

func contextReason(err error) encoder.Reason {
	if errors.Is(err, context.DeadlineExceeded) {
		return encoder.ReasonDeadlineExceeded
	}
	return encoder.ReasonCancelled
}

// route sends each item to an owner that has not been tried for it.
func (r *Router) route(items []*item) {
	groups := make(map[string][]*item)
	for _, i := range items {
		owner := r.chooseOwner(i)
		if owner == "" {
			r.finish(i, connector.NotRunReply(i.query, encoder.ReasonNoOwner))
			continue
		}
		i.tried = append(i.tried, owner)
		if owner != r.instance {
			i.countOutstanding(r.outstandingAt(owner, i.query.Target))
		}
		groups[owner] = append(groups[owner], i)
	}
	for owner, group := range groups {
		if owner != r.instance {
			go r.runAtPeer(owner, group)
			continue
		}
		for _, i := range group {
			go r.runLocalItem(i)
		}
	}
}

// runLocalItem runs an item on the local dispatcher.
func (r *Router) runLocalItem(i *item) {
	r.handleReply(i, r.instance, r.runLocally(i.execution.ctx, i.query.Attempt, i.query))
}

// runLocally runs a sub-query on the local dispatcher. cancelLocal with the same key cancels it.
func (r *Router) runLocally(ctx context.Context, key string, q encoder.SubQuery) encoder.SubReply {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.localAttempts.Store(key, cancel)
	defer r.localAttempts.Delete(key)
	outstanding := r.outstandingAt(r.instance, q.Target)
	outstanding.Add(1)
	defer outstanding.Add(-1)
	return r.dispatcher.Execute(ctx, q)
}

func (r *Router) cancelLocal(key string) bool {
	cancel, found := r.localAttempts.Load(key)
	if found {
		cancel.(context.CancelFunc)()
	}
	return found
}

// runAtPeer runs a batch at a peer and finishes or reroutes its items.
func (r *Router) runAtPeer(peer string, items []*item) {
	ctx := items[0].execution.ctx
	b := newBatch(r.prefix+strconv.FormatInt(r.lastBatch.Add(1), 10), peer, items)
	r.openBatch(b, items)
	defer r.closeBatch(b, items)
	peerLoad := r.peerLoad(peer)
	end := peerLoad.begin()
	_, sent, err := r.peers.Execute(ctx, peer, r.request(ctx, b, items))
	end()
	reason := encoder.ReasonConnectionLost
	switch {
	case err == nil:
		r.awaitOvertakenReplies(ctx, b)
	case ctx.Err() != nil:
		reason = contextReason(ctx.Err())
		if sent {
			go r.cancelAtPeer(b, attemptIDs(items))
		}
	case !sent:
		r.scope.Counter("router-peers-unreachable").Inc(1)
		pending := b.takePending()
		for _, i := range pending {
			i.uncountOutstanding()
		}
		r.route(pending)
		return
	default:
		r.scope.Counter("router-peers-lost").Inc(1)
	}
	for _, i := range b.takePending() {
		i.uncountOutstanding()
		if sent {
			r.finish(i, connector.UnknownReply(i.query, reason))
		} else {
			r.finish(i, connector.NotRunReply(i.query, reason))
		}
	}
}

// request builds the message of a batch and limits the deadlines of its items to the time that is left.
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

func (r *Router) openBatch(b *batch, items []*item) {
	r.batches.Store(b.id, b)
	for _, i := range items {
		r.peerAttempts.Store(i.query.Attempt, b)
	}
}

func (r *Router) closeBatch(b *batch, items []*item) {
	r.batches.Delete(b.id)
	for _, i := range items {
		r.peerAttempts.CompareAndDelete(i.query.Attempt, b)
	}
}

// awaitOvertakenReplies waits for replies that the end of their batch has overtaken.
func (r *Router) awaitOvertakenReplies(ctx context.Context, b *batch) {
	if b.complete() {
		return
	}
	select {
	case <-b.done:
	case <-ctx.Done():
	case <-time.After(overtakenReplyTimeout):
	}
}

// handleReply processes the reply of an owner for an item. When the owner refused because it may not serve the target,
// the item goes to another owner.
func (r *Router) handleReply(i *item, owner string, reply encoder.SubReply) {
	i.uncountOutstanding()
	r.recordLoadState(reply)
	if r.canRetry(i, owner, reply) {
		r.scope.Counter("router-owner-retries").Inc(1)
		r.route([]*item{i})
		return
	}
	r.finish(i, reply)
}

// canRetry reports whether another owner may be tried. A non-idempotent sub-query is sent to a peer at most once.
func (r *Router) canRetry(i *item, owner string, reply encoder.SubReply) bool {
	// A reply with an incarnation comes from the target itself, so the request has reached the target.
	if reply.Outcome != encoder.OutcomeNotRun || reply.Incarnation != "" || i.execution.ctx.Err() != nil {
		return false
	}
	if !i.query.Idempotent && owner != r.instance {
		return false
	}
	if reply.Reason != encoder.ReasonNoOwner && reply.Reason != encoder.ReasonNoLease {
		return false
	}
	return r.chooseOwner(i) != ""
}

// finish delivers a reply unless its attempt already has one.
func (r *Router) finish(i *item, reply encoder.SubReply) {
	r.checks.Check(r.matches(i.query, reply), checker.OwnAnswer, i.query.Target, "attempt "+i.query.Attempt)
	if !i.execution.finish(reply) {
		r.dropReply("late", reply)
	}
}

func (r *Router) matches(q encoder.SubQuery, reply encoder.SubReply) bool {
	return connector.Matches(q, reply)
}

// dropReply counts and records a reply that no sub-query waits for.
func (r *Router) dropReply(cause string, reply encoder.SubReply) {
	r.scope.Counter("router-replies-" + cause).Inc(1)
	r.events.Record(recorder.KindReplyDropped, reply.Target, "", cause+" reply of attempt "+reply.Attempt)
}

// recordLoadState records whether the target is warm. Replies without an incarnation do not come from the target.
func (r *Router) recordLoadState(reply encoder.SubReply) {
	switch {
	case reply.Reason == encoder.ReasonNoLease, reply.Incarnation != "" && reply.State != encoder.LoadStateWarm:
		r.warmTargets.Delete(reply.Target)
	case reply.Incarnation != "":
		r.warmTargets.Store(reply.Target, true)
	}
}

// Cancel tells the owners that the results of the attempts are no longer needed. Their replies are still delivered.
func (r *Router) Cancel(attempts []string) {
	remote := make(map[*batch][]string)
	for _, attempt := range attempts {
		if r.cancelLocal(attempt) {
			continue
		}
		if b, found := r.peerAttempts.Load(attempt); found {
			remote[b.(*batch)] = append(remote[b.(*batch)], attempt)
		}
	}
	for b, cancelled := range remote {
		go r.cancelAtPeer(b, cancelled)
	}
}

// cancelNotifyTimeout limits the notification of a peer.
const cancelNotifyTimeout = time.Second

func (r *Router) cancelAtPeer(b *batch, attempts []string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelNotifyTimeout)
	defer cancel()
	if err := r.peers.Cancel(ctx, b.peer, encoder.CancelBatchMessage{Batch: b.id, Attempts: attempts}); err != nil {
		r.scope.Counter("router-cancellations-failed").Inc(1)
	}
}

// chooseOwner returns the best owner that has not been tried for the item, or an empty name. Only the first owner
// serves a target that is not known to be warm. A non-idempotent sub-query tries the owners in order.
func (r *Router) chooseOwner(i *item) string {
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
	_, warm := r.warmTargets.Load(i.query.Target)
	if !warm || !i.query.Idempotent {
		return left[0].Instance
	}
	return r.leastBusyOwner(i.query.Target, left)
}
