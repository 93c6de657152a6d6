// Package dispatcher runs sub-queries on the targets that this instance owns.
package dispatcher

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/operator/checker"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/target/limiter"
	"apricotflow/internal/wire/encoder"
)

// Share is the part of the slots of a target that one owner may use.
type Share struct {
	Instance string
	Slots    int
	// Rank is 0 for the first owner.
	Rank int
}

// Configuration provides the current manifest and member list.
type Configuration interface {
	Manifest() *resolver.Manifest
	Members() *resolver.Members
}

// Owners returns the owners of a target in order.
type Owners func(target string) []Share

// Events records changes of state.
type Events interface {
	Record(kind recorder.Kind, subject, query, detail string)
}

// Checks records violated invariants.
type Checks interface {
	Check(ok bool, invariant checker.Invariant, subject, detail string) bool
}

// Observer learns what this instance finds out about its targets itself.
type Observer interface {
	// Hint passes a load report of a target.
	Hint(report encoder.TargetReport)
	// SetReachable is called when new connections to a target begin to fail and repeatedly while they do, and when they
	// work again.
	SetReachable(target string, reachable bool)
}

// unobserved is the default observer.
type unobserved struct{}

// Hint ignores the report.
func (unobserved) Hint(encoder.TargetReport) {}

// SetReachable ignores the change.
func (unobserved) SetReachable(string, bool) {}

// Tell sends the facts about a target to its other owners now, and reports whether all have received them.
type Tell func(ctx context.Context, target string) bool

// WithTell sets how the other owners of a target are told at once that it has turned cold. Without it they learn it with
// the next exchange.
func WithTell(tell Tell) Option {
	return func(d *Dispatcher) { d.tell = tell }
}

// Option changes a dispatcher.
type Option func(*Dispatcher)

// WithLogger sets the logger for changes of state.
func WithLogger(logger *log.Logger) Option {
	return func(d *Dispatcher) { d.logger = logger }
}

// WithScope sets the scope for counters.
func WithScope(scope tally.Scope) Option {
	return func(d *Dispatcher) { d.scope = scope }
}

// WithDirect makes this instance the only owner of every target with all of its slots, as a baseline for
// measurements.
func WithDirect() Option {
	return func(d *Dispatcher) { d.direct = true }
}

// WithOwnershipVersion sets the version of the owners. The owners of a target may then change only together with the
// manifest, the member list or the version, so that the periodic Sync looks at all targets only after such a change.
func WithOwnershipVersion(version func() uint64) Option {
	return func(d *Dispatcher) { d.version = version }
}

// scan is what the owned targets were last determined from.
type scan struct {
	manifest *resolver.Manifest
	members  *resolver.Members
	version  uint64
}

// WithObserver sets the observer of reports and of reachability.
func WithObserver(observer Observer) Option {
	return func(d *Dispatcher) { d.observer = observer }
}

// Dispatcher runs sub-queries on owned targets.
type Dispatcher struct {
	instance      string
	configuration Configuration
	owners        Owners
	allowance     limiter.Allowance
	events        Events
	checks        Checks
	logger        *log.Logger
	scope         tally.Scope
	direct        bool
	// version is nil if changes of the owners are not announced.
	version func() uint64
	// syncing is held during Sync; it guards scanned.
	syncing  sync.Mutex
	scanned  scan
	observer Observer
	// tell is nil if the other owners are not told at once.
	tell Tell
	// outcomes holds the counter of every outcome of a sub-query that passed the first checks.
	outcomes map[encoder.Outcome]tally.Counter
	attempts *attempts

	// closing refuses new sub-queries; inFlight counts those that entered before.
	closing  atomic.Bool
	inFlight atomic.Int64

	// mu is held while the entries change; the map itself is replaced as a whole.
	mu      sync.Mutex
	entries atomic.Pointer[map[string]*entry]
	// drained is closed once by Close and ends the sweep; swept is closed after it ended.
	drained chan struct{}
	swept   chan struct{}
	once    sync.Once
	// groups holds the rank of this instance, from 1, for every group it owns; only Sync uses it.
	groups map[string]int
	// dropped counts the entries that are being closed.
	dropped sync.WaitGroup
}

// New creates a dispatcher and starts its periodic work, which Close ends.
func New(instance string, configuration Configuration, owners Owners, allowance limiter.Allowance, events Events, checks Checks, opts ...Option) *Dispatcher {
	d := &Dispatcher{
		instance: instance, configuration: configuration, owners: owners, allowance: allowance,
		events: events, checks: checks, logger: log.New(io.Discard), scope: tally.NoopScope,
		observer: unobserved{},
		attempts: newAttempts(), drained: make(chan struct{}), swept: make(chan struct{}),
		groups: make(map[string]int),
	}
	for _, opt := range opts {
		opt(d)
	}
	d.outcomes = map[encoder.Outcome]tally.Counter{
		encoder.OutcomeAnswered: d.scope.Counter("dispatcher-answered"),
		encoder.OutcomeNotRun:   d.scope.Counter("dispatcher-not-run"),
		encoder.OutcomeUnknown:  d.scope.Counter("dispatcher-unknown"),
	}
	d.entries.Store(&map[string]*entry{})
	go d.sweep()
	return d
}

// ownership returns the place of this instance among the owners of the target; its share is 0 for no owner.
func (d *Dispatcher) ownership(t resolver.Target) limiter.Ownership {
	own := limiter.Ownership{ColdLimit: t.ColdLimit}
	if d.direct {
		own.Share = t.Slots
		own.First = d.instance
		return own
	}
	shares := d.owners(t.Name)
	for _, s := range shares {
		if s.Rank == 0 {
			own.First = s.Instance
		}
		if s.Instance == d.instance {
			own.Share = s.Slots
			own.Rank = s.Rank
		}
	}
	return own
}

// Sync applies the current configuration to the owned targets. It is called after every change, and periodically.
func (d *Dispatcher) Sync() {
	d.syncing.Lock()
	defer d.syncing.Unlock()
	m := d.configuration.Manifest()
	if m == nil || d.closing.Load() {
		return
	}
	current := scan{manifest: m, members: d.configuration.Members()}
	if d.version != nil {
		current.version = d.version()
	}
	if d.version == nil || d.scanned != current {
		d.noteOwnership(d.syncAll(current))
		d.scanned = current
	} else {
		// A sub-query that was checked before the last change may have applied older settings since.
		for name := range *d.entries.Load() {
			d.sync(current, name)
		}
	}
	d.drop()
}

// syncAll looks at all targets, which finds those that are newly owned, and returns the ranks of the owned groups,
// from 1.
func (d *Dispatcher) syncAll(s scan) map[string]int {
	ranks := make(map[string]int)
	for _, g := range s.manifest.Groups() {
		for _, name := range g.Targets {
			if own := d.sync(s, name); own.Share > 0 {
				ranks[g.Name] = own.Rank + 1
			}
		}
	}
	return ranks
}

// sync applies the configuration to one target if it is owned.
func (d *Dispatcher) sync(s scan, name string) limiter.Ownership {
	t, found := s.manifest.Target(name)
	if !found {
		return limiter.Ownership{}
	}
	own := d.ownership(t)
	if own.Share == 0 {
		return own
	}
	if e := d.entry(t, own); e != nil {
		e.serve(s.manifest.Serving(name) && !s.members.TargetLeaving(name))
	}
	return own
}

// noteOwnership records the groups for which the rank of this instance has changed.
func (d *Dispatcher) noteOwnership(ranks map[string]int) {
	for _, group := range slices.Sorted(maps.Keys(ranks)) {
		rank, before := ranks[group], d.groups[group]
		switch {
		case before == 0:
			d.events.Record(recorder.KindOwnershipGained, group, "", fmt.Sprintf("as owner %d", rank))
		case rank != before:
			d.events.Record(recorder.KindOwnershipGained, group, "", fmt.Sprintf("as owner %d, previously owner %d", rank, before))
		}
	}
	for _, group := range slices.Sorted(maps.Keys(d.groups)) {
		if ranks[group] == 0 {
			d.events.Record(recorder.KindOwnershipLost, group, "", fmt.Sprintf("previously owner %d", d.groups[group]))
		}
	}
	d.groups = ranks
}

// entry returns the entry of an owned target with the ownership applied; nil after Close.
func (d *Dispatcher) entry(t resolver.Target, own limiter.Ownership) *entry {
	e, found := (*d.entries.Load())[t.Name]
	if !found {
		e = d.add(t.Name)
	}
	if e != nil {
		e.configure(t, own)
	}
	return e
}

func (d *Dispatcher) add(target string) *entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closing.Load() {
		return nil
	}
	old := *d.entries.Load()
	if e, found := old[target]; found {
		return e
	}
	e := d.newEntry(target)
	next := maps.Clone(old)
	next[target] = e
	d.entries.Store(&next)
	return e
}

// drop retires the entries that are no longer owned and closes those without sub-queries in flight. A retired
// entry is kept until then, so that a target that is soon owned again is not sent more than its share.
func (d *Dispatcher) drop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.configuration.Manifest()
	next := maps.Clone(*d.entries.Load())
	for name, e := range next {
		t, found := m.Target(name)
		if found && d.ownership(t).Share > 0 {
			continue
		}
		e.retire()
		if e.limiter.InFlight() == 0 {
			delete(next, name)
			d.dropped.Go(e.close)
		}
	}
	d.entries.Store(&next)
}

// sweep applies the configuration periodically and forgets old attempts.
func (d *Dispatcher) sweep() {
	defer close(d.swept)
	for {
		d.Sync()
		d.attempts.sweep()
		select {
		case <-d.drained:
			return
		case <-time.After(refreshInterval):
		}
	}
}

// Facts returns what this instance knows of its targets, for the other owners.
func (d *Dispatcher) Facts() []encoder.TargetFact {
	var facts []encoder.TargetFact
	for _, e := range *d.entries.Load() {
		facts = append(facts, e.limiter.Facts()...)
	}
	return facts
}

// Learn takes a fact from another instance into account. When a target has become cold by it, Learn returns only after the
// sub-queries in flight have ended or idleLimit has passed, since the first owner goes on when Learn is confirmed.
func (d *Dispatcher) Learn(fact encoder.TargetFact, from string) {
	e, found := (*d.entries.Load())[fact.Target]
	if !found || !e.limiter.Learn(fact, from) {
		return
	}
	for end := time.Now().Add(idleLimit); e.limiter.InFlight() > 0 && time.Now().Before(end); {
		time.Sleep(drainPoll)
	}
}

// idleLimit is how long Learn waits; it is shorter than the time-out of an exchange.
const idleLimit = 250 * time.Millisecond

// Holds reports whether an owned target holds a version, and whether that is known here.
func (d *Dispatcher) Holds(target, index string, version int) (held, known bool) {
	e, found := (*d.entries.Load())[target]
	if !found {
		return false, false
	}
	return e.holds(index, version)
}

// States in a status reply of targets that the configuration has taken out of service.
const (
	stateClosed  = "closed"
	stateLeaving = "leaving"
)

// Statuses returns the owned targets sorted by name. What the configuration says goes before what is known of the
// target, because a target out of service may be stopped.
func (d *Dispatcher) Statuses() []encoder.TargetStatus {
	entries := *d.entries.Load()
	current := d.snapshot()
	m := current.manifest
	statuses := make([]encoder.TargetStatus, 0, len(entries))
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		s := entries[name].status()
		if m != nil {
			t, _ := m.Target(name)
			s.FailureDomain = t.FailureDomain
			_, reason := current.allowed(name)
			switch reason {
			case encoder.ReasonFailureDomainClosed:
				s.State, s.Limit = stateClosed, 0
			case encoder.ReasonTargetLeaving:
				s.State, s.Limit = stateLeaving, 0
			}
		}
		statuses = append(statuses, s)
	}
	return statuses
}

// drainPoll is how often Close looks whether the last sub-query has finished.
const drainPoll = 2 * time.Millisecond

// Close refuses new sub-queries, waits for those in flight until ctx ends, and closes all connections. It returns
// the error of ctx when sub-queries were still in flight.
func (d *Dispatcher) Close(ctx context.Context) error {
	d.closing.Store(true)
	err := d.drain(ctx)
	d.once.Do(func() { close(d.drained) })
	<-d.swept
	d.dropped.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	var group sync.WaitGroup
	for _, e := range *d.entries.Load() {
		group.Go(e.close)
	}
	group.Wait()
	d.entries.Store(&map[string]*entry{})
	return err
}

func (d *Dispatcher) drain(ctx context.Context) error {
	for d.inFlight.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainPoll):
		}
	}
	return nil
}
