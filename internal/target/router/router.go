// Package router sends the sub-queries of the query executor to the owners of their targets: to the local dispatcher,
// or in batches to peers, which are other instances in native mode. It chooses the owner, reroutes a sub-query that has
// not run if its owner is unreachable or refuses it for lack of ownership or a lease, and delivers exactly one reply
// for each. A non-idempotent sub-query is sent to a peer at most once. Running a sub-query on a target is left to the
// dispatcher.
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

	"apricotflow/internal/cluster/canceler"
	"apricotflow/internal/operator/checker"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/target/connector"
	"apricotflow/internal/target/dispatcher"
	"apricotflow/internal/wire/encoder"
)

const (
	// deliveryMargin is subtracted from the deadline of Execute, so that the last replies are delivered in time.
	deliveryMargin = 2 * time.Millisecond
	// peerMargin is subtracted from the deadline of a batch, so that its replies can travel back in time.
	peerMargin = 3 * time.Millisecond
	// overtakenReplyTimeout is how long a finished batch waits for its remaining replies. They are sent in messages of
	// their own, which the reply to the batch can overtake.
	overtakenReplyTimeout = 100 * time.Millisecond
)

// Dispatcher runs a sub-query on a target that this instance owns.
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

// Checker checks invariants and records violations.
type Checker interface {
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
	// prefix makes batch IDs unique across all instances and their incarnations.
	prefix string
	// lastBatch is the number of the latest batch.
	lastBatch  atomic.Int64
	owners     dispatcher.Owners
	dispatcher Dispatcher
	peers      Peers
	clock      Clock
	events     Events
	checker    Checker
	scope      tally.Scope
	direct     bool

	// batches holds the open *batch values by ID.
	batches sync.Map
	// peerAttempts holds the *batch of every open attempt at a peer, by attempt.
	peerAttempts sync.Map
	// localAttempts holds the cancel function of every attempt that runs on the local dispatcher, by attempt or
	// incomingKey.
	localAttempts sync.Map
	// served holds the attempts of peers, by incomingKey.
	served *canceler.Canceler
	// peerLoads holds a *peerLoad for every peer.
	peerLoads sync.Map
	// outstanding holds an *outstandingCounter for every ownerTarget.
	outstanding sync.Map
	// warmTargets is the set of targets that were warm according to their latest reply; see recordLoadState.
	warmTargets sync.Map
}

// New creates a router. The incarnation of the instance must change with each start of its process.
func New(instance, incarnation string, owners dispatcher.Owners, local Dispatcher, peers Peers, clock Clock, events Events, invariantChecker Checker, opts ...Option) *Router {
	r := &Router{
		instance: instance, prefix: instance + "." + incarnation + ".", owners: owners, dispatcher: local,
		peers: peers, clock: clock, events: events, checker: invariantChecker, scope: tally.NoopScope, served: canceler.New(),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Execute runs the sub-queries and calls deliver with the reply of each, one call at a time. It returns after the last
// call, at the latest when ctx ends. Attempt IDs must be unique.
func (r *Router) Execute(ctx context.Context, subQueries []encoder.SubQuery, deliver func(encoder.SubReply)) {
	inner, cancel := r.withDeliveryMargin(ctx)
	defer cancel()
	e := newExecution(inner, subQueries, deliver)
	items := make([]*item, 0, len(subQueries))
	for _, q := range subQueries {
		items = append(items, &item{subQuery: q, execution: e})
	}
	r.route(items)
	select {
	case <-e.done:
	case <-ctx.Done():
		r.Cancel(attemptIDs(items))
		e.abort(contextReason(ctx.Err()))
	}
}

func (r *Router) withDeliveryMargin(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, found := ctx.Deadline()
	if !found {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline.Add(-deliveryMargin))
}

func attemptIDs(items []*item) []string {
	attempts := make([]string, 0, len(items))
	for _, i := range items {
		attempts = append(attempts, i.subQuery.Attempt)
	}
	return attempts
}

func contextReason(err error) encoder.Reason {
	if errors.Is(err, context.DeadlineExceeded) {
		return encoder.ReasonDeadlineExceeded
	}
	return encoder.ReasonCancelled
}

// route sends each item to an owner that has not been tried for it, or finishes it as not run if there is none.
func (r *Router) route(items []*item) {
	itemsByOwner := make(map[string][]*item)
	for _, i := range items {
		owner := r.chooseOwner(i)
		if owner == "" {
			r.finish(i, connector.NotRunReply(i.subQuery, encoder.ReasonNoOwner))
			continue
		}
		i.tried = append(i.tried, owner)
		if owner != r.instance {
			i.countOutstanding(r.outstandingAt(owner, i.subQuery.Target))
		}
		itemsByOwner[owner] = append(itemsByOwner[owner], i)
	}
	for owner, ownerItems := range itemsByOwner {
		if owner != r.instance {
			go r.runAtPeer(owner, ownerItems)
			continue
		}
		for _, i := range ownerItems {
			go r.runLocalItem(i)
		}
	}
}

// runLocalItem runs an item on the local dispatcher.
func (r *Router) runLocalItem(i *item) {
	r.handleReply(i, r.instance, r.runLocally(i.execution.ctx, i.subQuery.Attempt, i.subQuery))
}

// runLocally runs a sub-query on the local dispatcher. A call of cancelLocal with the same key cancels it.
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

// cancelLocal cancels an attempt that runs on the local dispatcher, and reports whether there was one.
func (r *Router) cancelLocal(key string) bool {
	cancel, found := r.localAttempts.Load(key)
	if found {
		cancel.(context.CancelFunc)()
	}
	return found
}

// runAtPeer runs items in one batch at a peer. It reroutes them if the peer is unreachable, and otherwise finishes
// those without a reply at the end of the batch or of the context.
func (r *Router) runAtPeer(peer string, items []*item) {
	ctx := items[0].execution.ctx
	b := newBatch(r.prefix+strconv.FormatInt(r.lastBatch.Add(1), 10), peer, items)
	r.openBatch(b, items)
	defer r.closeBatch(b, items)
	peerLoad := r.peerLoad(peer)
	end := peerLoad.begin()
	_, sent, err := r.peers.Execute(ctx, peer, r.newExecuteRequest(ctx, b, items))
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
			r.finish(i, connector.UnknownReply(i.subQuery, reason))
		} else {
			r.finish(i, connector.NotRunReply(i.subQuery, reason))
		}
	}
}

// newExecuteRequest builds the message of a batch and limits the deadlines of its items to the time that is left.
func (r *Router) newExecuteRequest(ctx context.Context, b *batch, items []*item) encoder.ExecuteRequest {
	request := encoder.ExecuteRequest{Batch: b.id, Clock: r.clock.Now(), Items: make([]encoder.SubQuery, 0, len(items))}
	deadline, found := ctx.Deadline()
	leftMs := int((time.Until(deadline) - peerMargin) / time.Millisecond)
	for _, i := range items {
		q := i.subQuery
		if found {
			q.DeadlineMs = max(0, min(q.DeadlineMs, leftMs))
		}
		request.Items = append(request.Items, q)
	}
	return request
}

func (r *Router) openBatch(b *batch, items []*item) {
	r.batches.Store(b.id, b)
	for _, i := range items {
		r.peerAttempts.Store(i.subQuery.Attempt, b)
	}
}

func (r *Router) closeBatch(b *batch, items []*item) {
	r.batches.Delete(b.id)
	for _, i := range items {
		r.peerAttempts.CompareAndDelete(i.subQuery.Attempt, b)
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

// handleReply processes the reply of an owner for an item. It reroutes the item if canReroute allows it, and otherwise
// delivers the reply.
func (r *Router) handleReply(i *item, owner string, reply encoder.SubReply) {
	i.uncountOutstanding()
	r.recordLoadState(reply)
	if r.canReroute(i, owner, reply) {
		r.scope.Counter("router-owner-retries").Inc(1)
		r.route([]*item{i})
		return
	}
	r.finish(i, reply)
}

// canReroute reports whether the owner refused because it does not own the target or has no lease for it, and another
// owner may be tried. A non-idempotent sub-query is sent to a peer at most once.
func (r *Router) canReroute(i *item, owner string, reply encoder.SubReply) bool {
	// A reply with an incarnation comes from the target itself, so the sub-query has reached the target.
	if reply.Outcome != encoder.OutcomeNotRun || reply.Incarnation != "" || i.execution.ctx.Err() != nil {
		return false
	}
	if !i.subQuery.Idempotent && owner != r.instance {
		return false
	}
	if reply.Reason != encoder.ReasonNoOwner && reply.Reason != encoder.ReasonNoLease {
		return false
	}
	return r.chooseOwner(i) != ""
}

// finish delivers a reply unless its attempt already has one.
func (r *Router) finish(i *item, reply encoder.SubReply) {
	r.checker.Check(r.matches(i.subQuery, reply), checker.ReplyMatchesSubQuery, i.subQuery.Target, "attempt "+i.subQuery.Attempt)
	if !i.execution.finish(reply) {
		r.dropReply("late", reply)
	}
}

func (r *Router) matches(q encoder.SubQuery, reply encoder.SubReply) bool {
	return connector.Matches(q, reply)
}

// dropReply counts and records a reply that no sub-query waits for. The cause is the suffix of the metric: late
// (its batch or attempt has ended), crossed (from a peer that the batch was not sent to) or unmatched (for another
// sub-query, or a duplicate).
func (r *Router) dropReply(cause string, reply encoder.SubReply) {
	r.scope.Counter("router-replies-" + cause).Inc(1)
	r.events.Record(recorder.KindReplyDropped, reply.Target, "", cause+" reply of attempt "+reply.Attempt)
}

// recordLoadState records whether the target is warm. A reply without an incarnation comes from an owner and not from
// the target, but an owner refuses with no-lease only while it has no recent evidence that the target is warm.
func (r *Router) recordLoadState(reply encoder.SubReply) {
	switch {
	case reply.Reason == encoder.ReasonNoLease, reply.Incarnation != "" && reply.State != encoder.LoadStateWarm:
		r.warmTargets.Delete(reply.Target)
	case reply.Incarnation != "":
		r.warmTargets.Store(reply.Target, true)
	}
}

// Cancel cancels the attempts at the owners that run them. Their replies are still delivered.
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

// cancelNotifyTimeout limits how long the cancellation message to a peer may take.
const cancelNotifyTimeout = time.Second

func (r *Router) cancelAtPeer(b *batch, attempts []string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelNotifyTimeout)
	defer cancel()
	if err := r.peers.Cancel(ctx, b.peer, encoder.CancelBatchMessage{Batch: b.id, Attempts: attempts}); err != nil {
		r.scope.Counter("router-cancellations-failed").Inc(1)
	}
}

// chooseOwner returns an owner that has not been tried for the item, or an empty name. For a target that is not known
// to be warm and for a non-idempotent sub-query, it is the first of them in order of rank; otherwise, the least busy
// one.
func (r *Router) chooseOwner(i *item) string {
	if r.direct {
		if slices.Contains(i.tried, r.instance) {
			return ""
		}
		return r.instance
	}
	var untried []dispatcher.OwnerShare
	for _, s := range r.owners(i.subQuery.Target) {
		if s.Slots > 0 && !slices.Contains(i.tried, s.Instance) {
			untried = append(untried, s)
		}
	}
	if len(untried) == 0 {
		return ""
	}
	_, warm := r.warmTargets.Load(i.subQuery.Target)
	if !warm || !i.subQuery.Idempotent {
		return untried[0].Instance
	}
	return r.leastBusyOwner(i.subQuery.Target, untried)
}
