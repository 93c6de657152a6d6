// Package follower keeps the routing table and the known targets of an instance in relay mode up to date. It watches
// the platform's store, or gets the state from an upstream instance, and applies the changes to a registrar. While the
// store is unavailable, it keeps the last state or applies a newer one of a peer; after an outage, it ignores removals
// until live targets have had the time to renew their entries. Package assembler runs it, package platform reads the
// store, and package feeder selects the upstream and transfers its state; in native mode, package watcher reads the
// manifest instead.
package follower

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/operator/timekeeper"
)

const (
	// defaultPropagationLimit is the default maximum time until a change of the store is in force.
	defaultPropagationLimit = 3 * time.Second
	// watchShare is the fraction of the propagation limit that a watch waits for a change. It limits how long it goes
	// undetected that a watch misses changes, because its connection is silent or the store has compacted its history.
	// Each wait costs a call.
	watchShare = 0.7
	// watchShareWithDownstream replaces watchShare while other instances follow this one. Together with the pause between
	// two watches, it keeps their state younger than the age at which they fall back to the store (maxAgeShare in package
	// feeder).
	watchShareWithDownstream = 0.4
	// responseShare is the fraction of the propagation limit that a watch has for the response after its wait. Added to
	// watchShare it stays below 1, so that a call to replace a lost one is in time.
	responseShare = 0.2
	// shortCallShare is the fraction of the propagation limit that a call without a wait has for its response: a watch
	// after a failure, or one page of a load. A call takes milliseconds, or 50 times that when the store is slow.
	shortCallShare = 0.3
	// peerQueryShare is the fraction of the propagation limit that a query to peers may take, during which the store is
	// not called.
	peerQueryShare = 0.25
	// defaultWatchPause is the delay between a change and the next watch. Changes in quick succession share a call.
	defaultWatchPause = 400 * time.Millisecond
	// shortWait is the wait of a watch that is to return at once.
	shortWait = time.Millisecond
	// minBackoff and maxBackoffShare, a fraction of the propagation limit, limit the time from the start of a failed call
	// to the next one.
	minBackoff      = 250 * time.Millisecond
	maxBackoffShare = 0.25
	// entryRenewalTime is the time within which live targets renew expired entries after an outage of the store. Removals
	// are not trusted until it has passed.
	entryRenewalTime = 2100 * time.Millisecond
	// peerQueryInterval is the minimum time between queries to peers while the store is unavailable.
	peerQueryInterval = 500 * time.Millisecond
)

// CompactedError reports that the store has compacted the changes after a revision.
type CompactedError struct {
	// After is the requested revision.
	After int
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("follower: changes after revision %d are no longer available", e.After)
}

// Source reads the platform's store.
type Source interface {
	// Load reads the whole store. Each page must arrive within the page timeout.
	Load(ctx context.Context, pageTimeout time.Duration) (registrar.Change, error)
	// Watch returns the changes after the revision as soon as there are any, or an empty change after the wait. The error
	// may be a *CompactedError.
	Watch(ctx context.Context, after int, wait time.Duration) (registrar.Change, error)
}

// Update is a change of the store that another instance has reported.
type Update struct {
	Change registrar.Change
	// ConfirmedAt is the latest time at which the state was known to be current.
	ConfirmedAt time.Time
	// HasMissingTargets reports whether the instance keeps targets that the store no longer lists, because it does not
	// trust their removal yet.
	HasMissingTargets bool
}

// Peers reads the state of other instances and serves that of this one.
type Peers interface {
	// NewerState returns the complete state of a peer with a revision above the given one, preferably the highest; false
	// if no such peer replies.
	NewerState(ctx context.Context, above int) (registrar.Change, bool)
	// Upstream returns the instance to follow instead of the store, if there is one.
	Upstream() (string, bool)
	// Follow waits for an update of the upstream.
	Follow(ctx context.Context, upstream string) (Update, error)
	// HasDownstreamInstances reports whether other instances follow this one instead of the store.
	HasDownstreamInstances() bool
	// ConfirmCurrent records a time at which the state was known to be current.
	ConfirmCurrent(at time.Time)
}

// noPeers implements Peers without any peers.
type noPeers struct{}

func (noPeers) NewerState(context.Context, int) (registrar.Change, bool) {
	return registrar.Change{}, false
}

func (noPeers) Upstream() (string, bool) { return "", false }

func (noPeers) Follow(context.Context, string) (Update, error) { return Update{}, nil }

func (noPeers) HasDownstreamInstances() bool { return false }

func (noPeers) ConfirmCurrent(time.Time) {}

// Option configures a follower.
type Option func(*Follower)

// WithPeers sets the instances to follow instead of the store, and to query while the store is unavailable.
func WithPeers(peers Peers) Option {
	return func(f *Follower) { f.peers = peers }
}

// WithScope sets the scope of the counters.
func WithScope(scope tally.Scope) Option {
	return func(f *Follower) { f.scope = scope }
}

// WithPropagationLimit sets the maximum time until a change of the store is in force.
func WithPropagationLimit(limit time.Duration) Option {
	return func(f *Follower) { f.propagationLimit = limit }
}

// WithWatchPause sets the delay between a change and the next watch.
func WithWatchPause(watchPause time.Duration) Option {
	return func(f *Follower) { f.watchPause = watchPause }
}

// Follower applies the changes of the store to a registrar.
type Follower struct {
	source           Source
	registrar        *registrar.Registrar
	logger           *log.Logger
	peers            Peers
	scope            tally.Scope
	watchPause       time.Duration
	propagationLimit time.Duration

	// upstream is the instance that is followed; empty while this one follows the store.
	upstream string
	// upstreamHasMissingTargets reports whether the upstream had missing targets at its latest update.
	upstreamHasMissingTargets bool
	// revision is the revision after which the next watch continues; 0 if a load is due.
	revision int
	// failingSince is the time of the first failed call since the last successful one; zero if none failed.
	failingSince time.Time
	// trustRemovalsAt is the time at which removals are trusted again; zero while they are trusted.
	trustRemovalsAt time.Time
	backoff         time.Duration
	peersQueriedAt  time.Time
	// unverified reports whether the last call to the store failed or the upstream was lost. The next watch then returns
	// at once: a response that is lost as well would otherwise be missed for another wait.
	unverified bool
	// confirmedAt is the latest time at which the state was known to be current; zero before the first one.
	confirmedAt time.Time
}

// New creates a follower that applies the changes of the source to the registrar.
func New(source Source, r *registrar.Registrar, logger *log.Logger, opts ...Option) *Follower {
	f := &Follower{source: source, registrar: r, logger: logger, peers: noPeers{}, scope: tally.NoopScope, watchPause: defaultWatchPause, propagationLimit: defaultPropagationLimit, backoff: minBackoff}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Run follows the store, or an upstream, until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		start := time.Now()
		err := f.applyNextUpdate(ctx)
		var compacted *CompactedError
		switch {
		case ctx.Err() != nil:
			return
		case errors.As(err, &compacted):
			f.logger.Warn("store compacted its history, loading the whole state", "after", compacted.After)
			f.revision = 0
		case err != nil:
			f.handleFailure(ctx, start, err)
		}
	}
}

// applyNextUpdate applies one update of the upstream. If there is no upstream or that fails, it performs one load or
// watch of the store.
func (f *Follower) applyNextUpdate(ctx context.Context) error {
	if upstream, found := f.peers.Upstream(); found && f.followUpstream(ctx, upstream) {
		return nil
	}
	if f.upstream != "" {
		f.returnToStore()
	}
	if f.revision == 0 {
		return f.load(ctx)
	}
	return f.watch(ctx)
}

// followUpstream applies one update of another instance and reports whether that succeeded.
func (f *Follower) followUpstream(ctx context.Context, upstream string) bool {
	update, err := f.peers.Follow(ctx, upstream)
	if err != nil {
		f.scope.Counter("follower-upstream-failures").Inc(1)
		if ctx.Err() == nil && f.upstream == upstream {
			f.logger.Warn("upstream lost", "upstream", upstream, "revision", f.revision, "error", err)
		}
		return false
	}
	if f.upstream != upstream {
		f.logger.Info("following an instance", "upstream", upstream, "revision", update.Change.Revision)
	}
	f.upstream, f.upstreamHasMissingTargets = upstream, update.HasMissingTargets
	// The upstream keeps the targets whose removal it does not trust, so all removals that it reports are trusted here.
	f.failingSince, f.trustRemovalsAt, f.backoff = time.Time{}, time.Time{}, minBackoff
	f.revision = max(f.revision, update.Change.Revision)
	f.apply(update.Change, upstream)
	f.confirmCurrent(update.ConfirmedAt, upstream)
	return true
}

// returnToStore switches from the upstream to the store. A watch does not report again which targets were missing on
// the upstream, so if any were, the whole state is loaded.
func (f *Follower) returnToStore() {
	f.logger.Info("following the store", "revision", f.revision, "unsettled", f.upstreamHasMissingTargets)
	f.upstream, f.unverified = "", true
	if f.upstreamHasMissingTargets {
		f.revision = 0
	}
}

// watch performs one watch of the store and applies its changes.
func (f *Follower) watch(ctx context.Context) error {
	wait, responseTime := f.watchWait(), f.shareOfLimit(responseShare)
	if f.unverified {
		wait, responseTime = shortWait, f.shareOfLimit(shortCallShare)
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+responseTime)
	defer cancel()
	f.scope.Counter("follower-watches").Inc(1)
	change, err := f.source.Watch(callCtx, f.revision, wait)
	if err != nil {
		return err
	}
	f.recordSuccess()
	if change.Revision > f.revision {
		f.revision = change.Revision
	}
	f.apply(change, "watch")
	f.trustRemovalsWhenDue()
	f.confirmCurrent(time.Now(), "watch")
	if !isEmpty(change) {
		timekeeper.Sleep(ctx, f.watchPause)
	}
	return nil
}

// watchWait returns how long a watch waits for a change.
func (f *Follower) watchWait() time.Duration {
	share := watchShare
	if f.peers.HasDownstreamInstances() {
		share = watchShareWithDownstream
	}
	wait := f.shareOfLimit(share)
	if f.trustRemovalsAt.IsZero() {
		return wait
	}
	return max(min(wait, time.Until(f.trustRemovalsAt)), shortWait)
}

// shareOfLimit returns a fraction of the propagation limit.
func (f *Follower) shareOfLimit(share float64) time.Duration {
	return time.Duration(share * float64(f.propagationLimit))
}

// load reads the whole store and applies it.
func (f *Follower) load(ctx context.Context) error {
	f.scope.Counter("follower-loads").Inc(1)
	start := time.Now()
	change, err := f.source.Load(ctx, f.shareOfLimit(shortCallShare))
	if err != nil {
		return err
	}
	f.recordSuccess()
	f.revision = change.Revision
	f.apply(change, "load")
	f.confirmCurrent(start, "load")
	return nil
}

// confirmCurrent records a time at which the state was known to be current. It logs if the state was older than the
// propagation limit before, so that a change may have come into force late.
func (f *Follower) confirmCurrent(at time.Time, origin string) {
	if age := at.Sub(f.confirmedAt); !f.confirmedAt.IsZero() && age > f.propagationLimit {
		f.scope.Counter("follower-late-confirmations").Inc(1)
		f.logger.Warn("state confirmed late", "from", origin, "after", age, "limit", f.propagationLimit, "revision", f.revision)
	}
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
	f.peers.ConfirmCurrent(at)
}

// isEmpty reports whether the change names nothing that changed.
func isEmpty(c registrar.Change) bool {
	return c.Table == nil && len(c.Put) == 0 && len(c.Removed) == 0 && len(c.Closed) == 0 && len(c.Opened) == 0
}

// apply applies a change to the registrar and logs it. It skips empty changes.
func (f *Follower) apply(change registrar.Change, origin string) {
	if isEmpty(change) && !change.Complete {
		return
	}
	trusted := f.trustRemovalsAt.IsZero()
	before := f.registrar.View()
	after := f.registrar.Apply(change, trusted)
	f.logger.Info("state of the platform changed", "from", origin, "revision", after.Revision(), "version", tableVersion(after),
		"put", len(change.Put), "removed", firstIDs(change.Removed), "missing", after.MissingCount(), "trusted", trusted,
		"closed-domains", after.ClosedDomains(), "targets-before", len(before.Targets()), "targets", len(after.Targets()))
}

// maxLoggedIDs is the maximum number of ids in one log line.
const maxLoggedIDs = 8

// firstIDs returns at most the first maxLoggedIDs ids.
func firstIDs(all []string) []string {
	return all[:min(len(all), maxLoggedIDs)]
}

// tableVersion returns the version of the routing table; 0 if there is none.
func tableVersion(v *registrar.View) int {
	if v.Table() == nil {
		return 0
	}
	return v.Table().Version()
}

// recordSuccess records a successful call to the store. After an outage, removals are not trusted until live targets
// have had the time to renew their entries.
func (f *Follower) recordSuccess() {
	f.backoff, f.unverified = minBackoff, false
	if f.failingSince.IsZero() {
		return
	}
	f.trustRemovalsAt = time.Now().Add(entryRenewalTime)
	f.logger.Info("store regained", "after", time.Since(f.failingSince), "revision", f.revision)
	f.failingSince = time.Time{}
}

// trustRemovalsWhenDue trusts removals again, and removes the missing targets, once trustRemovalsAt has passed.
func (f *Follower) trustRemovalsWhenDue() {
	if f.trustRemovalsAt.IsZero() || time.Now().Before(f.trustRemovalsAt) {
		return
	}
	f.trustRemovalsAt = time.Time{}
	missing := f.registrar.View().MissingCount()
	after := f.registrar.RemoveMissing()
	f.logger.Info("directory trusted again", "removed", missing, "targets", len(after.Targets()))
}

// handleFailure records a failed call to the store, applies the state of a peer and waits for the backoff, which counts
// from the start of the call.
func (f *Follower) handleFailure(ctx context.Context, start time.Time, err error) {
	f.unverified = true
	f.scope.Counter("follower-failures").Inc(1)
	if f.failingSince.IsZero() {
		f.failingSince = time.Now()
		f.logger.Warn("store lost", "revision", f.revision, "error", err)
	}
	f.applyPeerState(ctx)
	timekeeper.Sleep(ctx, time.Until(start.Add(f.backoff)))
	f.backoff = min(2*f.backoff, max(f.shareOfLimit(maxBackoffShare), minBackoff))
}

// applyPeerState applies the state of a peer with a higher revision, at most once per peerQueryInterval. The peer's
// state includes the targets whose removal it does not trust, so all others are removed.
func (f *Follower) applyPeerState(ctx context.Context) {
	if time.Since(f.peersQueriedAt) < peerQueryInterval {
		return
	}
	f.peersQueriedAt = time.Now()
	known := f.registrar.View()
	queryCtx, cancel := context.WithTimeout(ctx, f.shareOfLimit(peerQueryShare))
	defer cancel()
	change, found := f.peers.NewerState(queryCtx, known.Revision())
	if !found {
		return
	}
	f.logger.Info("state of the platform changed", "from", "peer", "revision", change.Revision, "before", known.Revision(), "targets", len(change.Put))
	f.registrar.Apply(change, true)
	f.revision = max(f.revision, change.Revision)
}
