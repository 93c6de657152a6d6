// Package follower keeps the routing table and the directory of targets in step with the platform's store, or with an
// instance that does.
package follower

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/operator/timekeeper"
)

const (
	// defaultInForce is the time in which a change has to be in force, unless the settings give another one.
	defaultInForce = 3 * time.Second
	// waitShare is the part of that time that a watch waits for a change. It bounds how long it goes unnoticed that a watch
	// hears nothing, because its connection has fallen silent or the store has dropped its history. Each wait costs a call.
	waitShare = 0.8
	// feedingShare replaces it while other instances follow this one: with the pause between two watches, what they know
	// stays younger than the age at which they turn to the store.
	feedingShare = 0.4
	// defaultPause is the time between two watches, in which changes that come in quick succession gather.
	defaultPause = 400 * time.Millisecond
	// loadTimeout bounds one read of everything; the store answers in milliseconds, or 50 times that when it is slow.
	loadTimeout = 4 * time.Second
	// watchMargin is the time for the answer after the wait.
	watchMargin = 2 * time.Second
	// firstBackoff and lastBackoff bound the time between failed calls.
	firstBackoff = 250 * time.Millisecond
	lastBackoff  = time.Second
	// settleTime is the time after the return of the store by which live targets have renewed lapsed entries.
	settleTime = 2100 * time.Millisecond
	// peerInterval is the time between questions to peers while the store cannot be reached.
	peerInterval = 500 * time.Millisecond
)

// HistoryError reports that the changes after a revision are no longer available.
type HistoryError struct {
	// After is the revision that was asked for.
	After int
}

func (e *HistoryError) Error() string {
	return fmt.Sprintf("follower: changes after revision %d are no longer available", e.After)
}

// Source reads the platform's store.
type Source interface {
	// Load reads everything; a reading that is not fresh may be seconds old and costs less.
	Load(ctx context.Context, fresh bool) (registrar.Change, error)
	// Watch returns what changed after the revision as soon as there is something, or nothing after the wait. The error
	// may be a *HistoryError.
	Watch(ctx context.Context, after int, wait time.Duration) (registrar.Change, error)
}

// Update is what another instance tells of the store.
type Update struct {
	Change registrar.Change
	// Confirmed is when the state was known to be current.
	Confirmed time.Time
	// Unsettled tells that some targets are missing in the directory and not yet taken for gone.
	Unsettled bool
}

// Peers provides what other instances know, and passes on what this one knows.
type Peers interface {
	// Newest returns the state of the peer with the highest revision above the given one, if any peer has it.
	Newest(ctx context.Context, above int) (registrar.Change, bool)
	// Upstream returns the instance to follow instead of the store, if there is one.
	Upstream() (string, bool)
	// Follow waits for news of an instance.
	Follow(ctx context.Context, upstream string) (Update, error)
	// Feeding reports whether other instances follow this one.
	Feeding() bool
	// Confirm notes when the state was known to be current.
	Confirm(at time.Time)
}

// nobody is no other instance.
type nobody struct{}

func (nobody) Newest(context.Context, int) (registrar.Change, bool) { return registrar.Change{}, false }

func (nobody) Upstream() (string, bool) { return "", false }

func (nobody) Follow(context.Context, string) (Update, error) { return Update{}, nil }

func (nobody) Feeding() bool { return false }

func (nobody) Confirm(time.Time) {}

// Option changes a follower.
type Option func(*Follower)

// WithPeers sets the instances to follow instead of the store, and to ask while it cannot be reached.
func WithPeers(peers Peers) Option {
	return func(f *Follower) { f.peers = peers }
}

// WithScope sets the scope for counters.
func WithScope(scope tally.Scope) Option {
	return func(f *Follower) { f.scope = scope }
}

// WithInForce sets the time in which a change has to be in force.
func WithInForce(limit time.Duration) Option {
	return func(f *Follower) { f.inForce = limit }
}

// WithPause sets the time between two watches.
func WithPause(pause time.Duration) Option {
	return func(f *Follower) { f.pause = pause }
}

// Follower applies changes of the store to a registrar.
type Follower struct {
	source    Source
	registrar *registrar.Registrar
	logger    *log.Logger
	peers     Peers
	scope     tally.Scope
	pause     time.Duration
	inForce   time.Duration

	// upstream is the instance that was followed last; empty while this one follows the store.
	upstream string
	// unsettled tells that the upstream had targets missing in the directory.
	unsettled bool
	// revision is the revision from which the next watch continues; 0 before the first load.
	revision int
	// fresh tells that the next reading of everything must not be stale.
	fresh bool
	// lostAt is the time of the first failed call since the last successful one, or zero.
	lostAt time.Time
	// settleAt is when removals are trusted again, or zero while they are.
	settleAt time.Time
	backoff  time.Duration
	askedAt  time.Time
	// reachable tells whether the last call succeeded.
	reachable atomic.Bool
}

// New creates a follower.
func New(source Source, r *registrar.Registrar, logger *log.Logger, opts ...Option) *Follower {
	f := &Follower{source: source, registrar: r, logger: logger, peers: nobody{}, scope: tally.NoopScope, pause: defaultPause, inForce: defaultInForce, backoff: firstBackoff}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Reachable reports whether the last call to the store succeeded.
func (f *Follower) Reachable() bool {
	return f.reachable.Load()
}

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.step(ctx)
		var history *HistoryError
		switch {
		case ctx.Err() != nil:
			return
		case errors.As(err, &history):
			f.logger.Warn("history of the store lost, reading everything", "after", history.After)
			f.revision, f.fresh = 0, true
		case err != nil:
			f.fail(ctx, err)
		}
	}
}

// step follows another instance for a while, or performs one load or watch.
func (f *Follower) step(ctx context.Context) error {
	if upstream, found := f.peers.Upstream(); found && f.follow(ctx, upstream) {
		return nil
	}
	if f.upstream != "" {
		f.leave()
	}
	if f.revision == 0 {
		return f.load(ctx)
	}
	return f.watch(ctx)
}

// follow takes up news of another instance and reports whether that succeeded.
func (f *Follower) follow(ctx context.Context, upstream string) bool {
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
	f.upstream, f.unsettled = upstream, update.Unsettled
	// The upstream decides which removals are trusted.
	f.lostAt, f.settleAt, f.backoff = time.Time{}, time.Time{}, firstBackoff
	f.reachable.Store(true)
	f.revision = max(f.revision, update.Change.Revision)
	f.apply(update.Change, upstream)
	f.peers.Confirm(update.Confirmed)
	return true
}

// leave returns from another instance to the store. Targets that were missing there are not told again by a watch, so
// everything is read anew.
func (f *Follower) leave() {
	f.logger.Info("following the store", "revision", f.revision, "unsettled", f.unsettled)
	f.upstream = ""
	if f.unsettled {
		f.revision, f.fresh = 0, true
	}
}

// watch performs one watch.
func (f *Follower) watch(ctx context.Context) error {
	share := waitShare
	if f.peers.Feeding() {
		share = feedingShare
	}
	wait := time.Duration(share * float64(f.inForce))
	if !f.settleAt.IsZero() {
		wait = max(min(wait, time.Until(f.settleAt)), time.Millisecond)
	}
	call, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	f.scope.Counter("follower-watches").Inc(1)
	change, err := f.source.Watch(call, f.revision, wait)
	if err != nil {
		return err
	}
	f.regain()
	if change.Revision > f.revision {
		f.revision = change.Revision
	}
	f.apply(change, "watch")
	f.settle()
	f.peers.Confirm(time.Now())
	if !empty(change) {
		timekeeper.Sleep(ctx, f.pause)
	}
	return nil
}

// load reads everything.
func (f *Follower) load(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	f.scope.Counter("follower-loads").Inc(1)
	change, err := f.source.Load(call, f.fresh)
	if err != nil {
		return err
	}
	f.regain()
	f.revision = change.Revision
	f.apply(change, "load")
	if f.fresh {
		f.peers.Confirm(time.Now())
	}
	f.fresh = false
	return nil
}

func empty(c registrar.Change) bool {
	return c.Table == nil && len(c.Put) == 0 && len(c.Removed) == 0 && len(c.Closed) == 0 && len(c.Opened) == 0
}

func (f *Follower) apply(change registrar.Change, origin string) {
	if empty(change) && !change.Complete {
		return
	}
	trusted := f.settleAt.IsZero()
	before := f.registrar.View()
	after := f.registrar.Apply(change, trusted)
	f.logger.Info("state of the platform changed", "from", origin, "revision", after.Revision(), "version", version(after),
		"put", len(change.Put), "removed", ids(change.Removed), "missing", after.Missing(), "trusted", trusted,
		"closed-domains", after.ClosedDomains(), "targets-before", len(before.Targets()), "targets", len(after.Targets()))
}

// maxNamed bounds the ids in one log line.
const maxNamed = 8

func ids(all []string) []string {
	return all[:min(len(all), maxNamed)]
}

func version(v *registrar.View) int {
	if v.Table() == nil {
		return 0
	}
	return v.Table().Version()
}

// regain notes a successful call. After an outage, removals are not trusted until live targets had the time to renew
// their entries.
func (f *Follower) regain() {
	f.reachable.Store(true)
	f.backoff = firstBackoff
	if f.lostAt.IsZero() {
		return
	}
	f.settleAt = time.Now().Add(settleTime)
	f.logger.Info("store regained", "after", time.Since(f.lostAt), "revision", f.revision)
	f.lostAt = time.Time{}
}

// settle trusts removals again when it is time.
func (f *Follower) settle() {
	if f.settleAt.IsZero() || time.Now().Before(f.settleAt) {
		return
	}
	f.settleAt = time.Time{}
	missing := f.registrar.View().Missing()
	after := f.registrar.Settle()
	f.logger.Info("directory trusted again", "removed", missing, "targets", len(after.Targets()))
}

// fail waits after a failed call, and asks peers meanwhile.
func (f *Follower) fail(ctx context.Context, err error) {
	f.reachable.Store(false)
	f.scope.Counter("follower-failures").Inc(1)
	if f.lostAt.IsZero() {
		f.lostAt = time.Now()
		f.logger.Warn("store lost", "revision", f.revision, "error", err)
	}
	f.ask(ctx)
	timekeeper.Sleep(ctx, f.backoff)
	f.backoff = min(2*f.backoff, lastBackoff)
}

// ask takes up the newest state of the peers.
func (f *Follower) ask(ctx context.Context) {
	if time.Since(f.askedAt) < peerInterval {
		return
	}
	f.askedAt = time.Now()
	known := f.registrar.View()
	change, found := f.peers.Newest(ctx, known.Revision())
	if !found {
		return
	}
	f.logger.Info("state of the platform changed", "from", "peer", "revision", change.Revision, "before", known.Revision(), "targets", len(change.Put))
	f.registrar.Apply(change, true)
	f.revision = max(f.revision, change.Revision)
}
