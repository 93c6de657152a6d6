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
	"apricotflow/internal/manifest/mapper"
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

// EarlierEpochError reports an answer that the store gave before it came back from a copy.
type EarlierEpochError struct {
	// Known is the position that is known already.
	Known registrar.Position
	// Got is the position of the answer.
	Got registrar.Position
}

func (e *EarlierEpochError) Error() string {
	return fmt.Sprintf("follower: answer at position %s of an earlier epoch than %s", e.Got, e.Known)
}

// Source reads the platform's store.
type Source interface {
	// Load reads the whole store. Each page must arrive within the page timeout.
	Load(ctx context.Context, pageTimeout time.Duration) (registrar.Change, error)
	// Watch returns the changes after the revision as soon as there are any, or an empty change after the wait. The
	// revision counts in the epoch that the store is in, which the position of the change tells. The error may be a
	// *CompactedError.
	Watch(ctx context.Context, after int, wait time.Duration) (registrar.Change, error)
}

// Update is a change of the store that another instance has reported.
type Update struct {
	Change registrar.Change
	// ConfirmedAt is the latest time at which the state was known to be current.
	ConfirmedAt time.Time
	// Settled reports whether the instance keeps nothing that the store no longer lists. Otherwise it does not trust some
	// removals yet.
	Settled bool
}

// Peers reads the state of other instances and serves that of this one.
type Peers interface {
	// NewerState returns the complete state of a peer with a later position than the given one, preferably the latest;
	// false if no such peer replies.
	NewerState(ctx context.Context, after registrar.Position) (registrar.Change, bool)
	// NewerTable returns the routing table of a peer with a higher version than the given one; false if none is known or
	// replies.
	NewerTable(ctx context.Context, after int) (*mapper.Table, bool)
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

func (noPeers) NewerState(context.Context, registrar.Position) (registrar.Change, bool) {
	return registrar.Change{}, false
}

func (noPeers) NewerTable(context.Context, int) (*mapper.Table, bool) { return nil, false }

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
	// upstreamSettled reports whether the upstream kept nothing that the store no longer lists at its latest update.
	upstreamSettled bool
	// position is the position after which the next watch continues.
	position registrar.Position
	// loadDue reports whether to read the whole store, because the changes after the position are not enough.
	loadDue bool
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
	f := &Follower{source: source, registrar: r, logger: logger, peers: noPeers{}, scope: tally.NoopScope, watchPause: defaultWatchPause, propagationLimit: defaultPropagationLimit, backoff: minBackoff, loadDue: true}
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
			f.loadDue = true
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
	if f.loadDue {
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
			f.logger.Warn("upstream lost", "upstream", upstream, "position", f.position, "error", err)
		}
		return false
	}
	if f.upstream != upstream {
		f.logger.Info("following an instance", "upstream", upstream, "position", update.Change.Position)
		// The upstream keeps the targets whose removal it does not trust, so all removals that it reports are trusted here.
		f.trustRemovalsAt = time.Time{}
	}
	f.upstream, f.upstreamSettled = upstream, update.Settled
	f.failingSince, f.backoff = time.Time{}, minBackoff
	f.checkRestored(update.Change, upstream)
	f.continueAfter(update.Change.Position)
	f.apply(update.Change, upstream)
	f.trustRemovalsWhenDue()
	f.confirmCurrent(update.ConfirmedAt, upstream)
	return true
}

// continueAfter lets the next watch continue after the position of a state that another instance has read, unless this
// one knows a later one.
func (f *Follower) continueAfter(position registrar.Position) {
	if f.position.Precedes(position) {
		f.position, f.loadDue = position, false
	}
}

// returnToStore switches from the upstream to the store. A watch does not report again what the upstream kept
// although the store did not list it, so the whole state is loaded if there was any.
func (f *Follower) returnToStore() {
	f.logger.Info("following the store", "position", f.position, "unsettled", !f.upstreamSettled)
	f.upstream, f.unverified = "", true
	if !f.upstreamSettled {
		f.loadDue = true
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
	change, err := f.source.Watch(callCtx, f.position.Revision, wait)
	if err != nil {
		return err
	}
	if change.Position.Epoch != f.position.Epoch {
		return f.handleOtherEpoch(change.Position)
	}
	f.recordSuccess()
	f.position = registrar.Later(f.position, change.Position)
	f.apply(change, "watch")
	f.trustRemovalsWhenDue()
	f.applyNewerTable(ctx)
	f.confirmCurrent(time.Now(), "watch")
	if !isEmpty(change) {
		timekeeper.Sleep(ctx, f.watchPause)
	}
	return nil
}

// handleOtherEpoch handles the answer to a watch in another epoch than that of the revision after which it watched. The
// changes of such an answer are not those after the known state.
func (f *Follower) handleOtherEpoch(got registrar.Position) error {
	if got.Precedes(f.position) {
		return &EarlierEpochError{Known: f.position, Got: got}
	}
	f.loadDue = true
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
	if change.Position.Epoch < f.position.Epoch {
		return &EarlierEpochError{Known: f.position, Got: change.Position}
	}
	f.recordSuccess()
	f.checkRestored(change, "load")
	f.position, f.loadDue = change.Position, false
	f.apply(change, "load")
	f.applyNewerTable(ctx)
	f.confirmCurrent(start, "load")
	return nil
}

// checkRestored checks whether a state is the first one since the store came back from a copy, which lacks what was
// written after it and lists what was removed after it. Removals are then not trusted until it has been written again.
func (f *Follower) checkRestored(change registrar.Change, origin string) {
	if f.position.IsZero() || change.Position.Epoch <= f.position.Epoch {
		return
	}
	f.scope.Counter("follower-restored-stores").Inc(1)
	f.trustRemovalsAt = time.Now().Add(entryRenewalTime)
	version := 0
	if change.Table != nil {
		version = change.Table.Version()
	}
	f.logger.Warn("store came back from a copy", "from", origin, "known", f.position, "position", change.Position,
		"version-in-force", f.registrar.View().TableVersion(), "version-listed", version)
}

// applyNewerTable applies the routing table of a peer that has a newer one in force than the store lists, such as after
// the store has come back from a copy.
func (f *Follower) applyNewerTable(ctx context.Context) {
	queryCtx, cancel := context.WithTimeout(ctx, f.shareOfLimit(peerQueryShare))
	defer cancel()
	if table, found := f.peers.NewerTable(queryCtx, f.registrar.View().TableVersion()); found {
		f.apply(registrar.Change{Position: f.position, Table: table}, "peer")
	}
}

// confirmCurrent records a time at which the state was known to be current. It logs if the state was older than the
// propagation limit before, so that a change may have come into force late.
func (f *Follower) confirmCurrent(at time.Time, origin string) {
	if age := at.Sub(f.confirmedAt); !f.confirmedAt.IsZero() && age > f.propagationLimit {
		f.scope.Counter("follower-late-confirmations").Inc(1)
		f.logger.Warn("state confirmed late", "from", origin, "after", age, "limit", f.propagationLimit, "position", f.position)
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
	f.logger.Info("state of the platform changed", "from", origin, "position", after.Position(), "version", after.TableVersion(),
		"put", len(change.Put), "removed", firstIDs(change.Removed), "missing", after.MissingCount(), "trusted", trusted,
		"closed-domains", after.ClosedDomains(), "targets-before", len(before.Targets()), "targets", len(after.Targets()))
}

// maxLoggedIDs is the maximum number of ids in one log line.
const maxLoggedIDs = 8

// firstIDs returns at most the first maxLoggedIDs ids.
func firstIDs(all []string) []string {
	return all[:min(len(all), maxLoggedIDs)]
}

// recordSuccess records a successful call to the store. After an outage, removals are not trusted until live targets
// have had the time to renew their entries.
func (f *Follower) recordSuccess() {
	f.backoff, f.unverified = minBackoff, false
	if f.failingSince.IsZero() {
		return
	}
	f.trustRemovalsAt = time.Now().Add(entryRenewalTime)
	f.logger.Info("store regained", "after", time.Since(f.failingSince), "position", f.position)
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
		f.logger.Warn("store lost", "position", f.position, "error", err)
	}
	f.applyPeerState(ctx)
	timekeeper.Sleep(ctx, time.Until(start.Add(f.backoff)))
	f.backoff = min(2*f.backoff, max(f.shareOfLimit(maxBackoffShare), minBackoff))
}

// applyPeerState applies the state of a peer with a later position, at most once per peerQueryInterval. The peer's
// state includes the targets whose removal it does not trust, so all others are removed, unless the peer may have known
// no more than a copy of the store.
func (f *Follower) applyPeerState(ctx context.Context) {
	if time.Since(f.peersQueriedAt) < peerQueryInterval {
		return
	}
	f.peersQueriedAt = time.Now()
	known := f.registrar.View()
	queryCtx, cancel := context.WithTimeout(ctx, f.shareOfLimit(peerQueryShare))
	defer cancel()
	change, found := f.peers.NewerState(queryCtx, known.Position())
	if !found {
		return
	}
	f.logger.Info("state of the platform changed", "from", "peer", "position", change.Position, "before", known.Position(), "targets", len(change.Put))
	f.checkRestored(change, "peer")
	f.registrar.Apply(change, !time.Now().Before(f.trustRemovalsAt))
	f.continueAfter(change.Position)
}
