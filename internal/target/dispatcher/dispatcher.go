// Package dispatcher runs sub-queries on the targets that this instance owns in native mode. It checks the
// configuration and the ownership immediately before it sends a sub-query, and sends each attempt of a non-idempotent
// one at most once. It keeps one limiter and one connector per owned target, and requests periodic reports from the
// targets. The router uses it, and chooses the owner and reroutes to other owners; the tests are in package loopback.
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

// OwnerShare is one owner of a target with the number of slots that it may use.
type OwnerShare struct {
	Instance string
	Slots    int
	// Rank is the position among the owners, counted from 0 for the first owner.
	Rank int
}

// Configuration provides the current manifest and member list.
type Configuration interface {
	Manifest() *resolver.Manifest
	Members() *resolver.Members
}

// Owners returns the owners of a target in order of rank.
type Owners func(target string) []OwnerShare

// Events records state changes.
type Events interface {
	Record(kind recorder.Kind, subject, query, detail string)
}

// Checker checks invariants and records violations.
type Checker interface {
	Check(ok bool, invariant checker.Invariant, subject, detail string) bool
}

// Observer receives what this instance finds out about the targets that it owns.
type Observer interface {
	// ObserveReport passes on a load report of a target.
	ObserveReport(report encoder.TargetReport)
	// SetTargetUp is called with up false when new connections to a target begin to fail, and repeatedly while they
	// fail. It is called with up true when they succeed again.
	SetTargetUp(target string, up bool)
}

// noopObserver is the default observer.
type noopObserver struct{}

// ObserveReport does nothing.
func (noopObserver) ObserveReport(encoder.TargetReport) {}

// SetTargetUp does nothing.
func (noopObserver) SetTargetUp(string, bool) {}

// NotifyOwners exchanges facts with the other owners of the target immediately, and reports whether all of them have
// replied.
type NotifyOwners func(ctx context.Context, target string) bool

// WithNotifyOwners sets the function that notifies the other owners of a target immediately after it has turned cold.
// Without it they learn this in the next periodic exchange.
func WithNotifyOwners(notifyOwners NotifyOwners) Option {
	return func(d *Dispatcher) { d.notifyOwners = notifyOwners }
}

// Option configures a Dispatcher.
type Option func(*Dispatcher)

// WithLogger sets the logger for state changes.
func WithLogger(logger *log.Logger) Option {
	return func(d *Dispatcher) { d.logger = logger }
}

// WithScope sets the metrics scope.
func WithScope(scope tally.Scope) Option {
	return func(d *Dispatcher) { d.scope = scope }
}

// WithDirect makes this instance the only owner of every target, with all of its slots. It serves as a baseline for
// measurements.
func WithDirect() Option {
	return func(d *Dispatcher) { d.direct = true }
}

// WithOwnershipVersion sets the function that returns the ownership version, a number that changes with the ownership.
// With this option, the periodic Sync scans all targets only after a change of the manifest, the member list or the
// ownership version; the owners of a target must not change without one of these.
func WithOwnershipVersion(ownershipVersion func() uint64) Option {
	return func(d *Dispatcher) { d.ownershipVersion = ownershipVersion }
}

// ownershipInputs holds the inputs from which Sync determines the owned targets.
type ownershipInputs struct {
	manifest         *resolver.Manifest
	members          *resolver.Members
	ownershipVersion uint64
}

// WithObserver sets the observer of load reports and of targets that go down or come up.
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
	checker       Checker
	logger        *log.Logger
	scope         tally.Scope
	direct        bool
	// ownershipVersion returns the ownership version; nil if ownership changes are not announced.
	ownershipVersion func() uint64
	// syncMu is held during Sync and guards lastInputs.
	syncMu     sync.Mutex
	lastInputs ownershipInputs
	observer   Observer
	// notifyOwners is nil if the other owners are not notified immediately.
	notifyOwners NotifyOwners
	// outcomes holds a counter for every outcome of the sub-queries that were handed to the connector.
	outcomes map[encoder.Outcome]tally.Counter
	attempts *attempts

	// closing is set when new sub-queries are refused. inFlight counts the calls of Execute, and the attempts that a
	// target may still run after their call has returned.
	closing  atomic.Bool
	inFlight atomic.Int64

	// mu is held while entries are added or removed; the map of entries by target is copied on write.
	mu      sync.Mutex
	entries atomic.Pointer[map[string]*entry]
	// stopMaintenance is closed once by Close and ends maintain; maintenanceEnded is closed when maintain returns.
	stopMaintenance  chan struct{}
	maintenanceEnded chan struct{}
	stopOnce         sync.Once
	// groupRanks holds the rank of this instance, counted from 1, for every target group that it owns. Only Sync uses it.
	groupRanks map[string]int
	// closingEntries counts the removed entries that are being closed.
	closingEntries sync.WaitGroup
}

// New creates a dispatcher and starts its periodic work, which Close ends.
func New(instance string, configuration Configuration, owners Owners, allowance limiter.Allowance, events Events, invariantChecker Checker, opts ...Option) *Dispatcher {
	d := &Dispatcher{
		instance: instance, configuration: configuration, owners: owners, allowance: allowance,
		events: events, checker: invariantChecker, logger: log.New(io.Discard), scope: tally.NoopScope,
		observer: noopObserver{},
		attempts: newAttempts(), stopMaintenance: make(chan struct{}), maintenanceEnded: make(chan struct{}),
		groupRanks: make(map[string]int),
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
	go d.maintain()
	return d
}

// ownership returns the share and rank of this instance for the target; the share is 0 if it does not own the target.
func (d *Dispatcher) ownership(t resolver.Target) limiter.Ownership {
	own := limiter.Ownership{ColdLimit: t.ColdLimit}
	if d.direct {
		own.Share = t.Slots
		own.FirstOwner = d.instance
		return own
	}
	shares := d.owners(t.Name)
	for _, s := range shares {
		if s.Rank == 0 {
			own.FirstOwner = s.Instance
		}
		if s.Instance == d.instance {
			own.Share = s.Slots
			own.Rank = s.Rank
		}
	}
	return own
}

// Sync applies the current configuration to the owned targets. It runs after every change of the configuration and
// periodically.
func (d *Dispatcher) Sync() {
	d.syncMu.Lock()
	defer d.syncMu.Unlock()
	m := d.configuration.Manifest()
	if m == nil || d.closing.Load() {
		return
	}
	current := ownershipInputs{manifest: m, members: d.configuration.Members()}
	if d.ownershipVersion != nil {
		current.ownershipVersion = d.ownershipVersion()
	}
	if d.ownershipVersion == nil || d.lastInputs != current {
		d.recordOwnershipChanges(d.syncAll(current))
		d.lastInputs = current
	} else {
		// A sub-query that read the configuration before its last change may have applied the older settings since then.
		for name := range *d.entries.Load() {
			d.syncTarget(current, name)
		}
	}
	d.dropUnowned()
}

// syncAll applies the configuration to all targets, which adds entries for the newly owned ones. It returns the ranks
// of this instance for the target groups that it owns, counted from 1.
func (d *Dispatcher) syncAll(s ownershipInputs) map[string]int {
	ranks := make(map[string]int)
	for _, g := range s.manifest.Groups() {
		for _, name := range g.Targets {
			if own := d.syncTarget(s, name); own.Share > 0 {
				ranks[g.Name] = own.Rank + 1
			}
		}
	}
	return ranks
}

// syncTarget applies the configuration to one target if this instance owns it.
func (d *Dispatcher) syncTarget(s ownershipInputs, name string) limiter.Ownership {
	t, found := s.manifest.Target(name)
	if !found {
		return limiter.Ownership{}
	}
	own := d.ownership(t)
	if own.Share == 0 {
		return own
	}
	if e := d.configuredEntry(t, own); e != nil {
		e.setServing(s.manifest.IsServing(name) && !s.members.IsTargetLeaving(name))
	}
	return own
}

// recordOwnershipChanges records the target groups for which the rank of this instance has changed.
func (d *Dispatcher) recordOwnershipChanges(ranks map[string]int) {
	for _, group := range slices.Sorted(maps.Keys(ranks)) {
		rank, before := ranks[group], d.groupRanks[group]
		switch {
		case before == 0:
			d.events.Record(recorder.KindOwnershipGained, group, "", fmt.Sprintf("as owner %d", rank))
		case rank != before:
			d.events.Record(recorder.KindOwnershipGained, group, "", fmt.Sprintf("as owner %d, previously owner %d", rank, before))
		}
	}
	for _, group := range slices.Sorted(maps.Keys(d.groupRanks)) {
		if ranks[group] == 0 {
			d.events.Record(recorder.KindOwnershipLost, group, "", fmt.Sprintf("previously owner %d", d.groupRanks[group]))
		}
	}
	d.groupRanks = ranks
}

// configuredEntry returns the entry of an owned target after applying the ownership to it. It returns nil after Close.
func (d *Dispatcher) configuredEntry(t resolver.Target, own limiter.Ownership) *entry {
	e, found := (*d.entries.Load())[t.Name]
	if !found {
		e = d.addEntry(t.Name)
	}
	if e != nil {
		e.configure(t, own)
	}
	return e
}

func (d *Dispatcher) addEntry(target string) *entry {
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

// dropUnowned retires the entries of targets that are no longer owned and closes those without sub-queries in flight. A
// retired entry is kept until then, so that a target that is soon owned again does not get more sub-queries than its
// share.
func (d *Dispatcher) dropUnowned() {
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
			d.closingEntries.Go(e.close)
		}
	}
	d.entries.Store(&next)
}

// maintain periodically applies the configuration and removes expired attempts.
func (d *Dispatcher) maintain() {
	defer close(d.maintenanceEnded)
	for {
		d.Sync()
		d.attempts.removeExpired()
		select {
		case <-d.stopMaintenance:
			return
		case <-time.After(refreshInterval):
		}
	}
}

// Facts returns what this instance knows from its own evidence about the targets that it owns, for their other owners.
func (d *Dispatcher) Facts() []encoder.TargetFact {
	var facts []encoder.TargetFact
	for _, e := range *d.entries.Load() {
		facts = append(facts, e.limiter.Facts()...)
	}
	return facts
}

// Learn processes a fact from another instance. If the fact turns a target cold, Learn returns only after the
// sub-queries in flight have ended or learnWaitTimeout has passed. The first owner resumes sending once it has the
// reply to the exchange that delivered the fact, and that reply is sent after Learn has returned.
func (d *Dispatcher) Learn(fact encoder.TargetFact, from string) {
	e, found := (*d.entries.Load())[fact.Target]
	if !found || !e.limiter.Learn(fact, from) {
		return
	}
	for end := time.Now().Add(learnWaitTimeout); e.limiter.InFlight() > 0 && time.Now().Before(end); {
		time.Sleep(drainPollInterval)
	}
}

// learnWaitTimeout is the maximum time that Learn waits for sub-queries in flight. It is shorter than the timeout of an
// exchange between instances.
const learnWaitTimeout = 250 * time.Millisecond

// Holds reports whether a target holds an index version. known is false if this instance does not own the target or has
// no report of it yet.
func (d *Dispatcher) Holds(target, index string, version int) (held, known bool) {
	e, found := (*d.entries.Load())[target]
	if !found {
		return false, false
	}
	return e.holds(index, version)
}

// States in the status of a target that is not serving because of the configuration.
const (
	stateClosed  = "closed"
	stateLeaving = "leaving"
)

// Statuses returns the status of the owned targets, sorted by name. The configured state takes precedence over the
// observed state, because a target that is not serving may be stopped.
func (d *Dispatcher) Statuses() []encoder.TargetStatus {
	entries := *d.entries.Load()
	current := d.configurationView()
	m := current.manifest
	statuses := make([]encoder.TargetStatus, 0, len(entries))
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		s := entries[name].status()
		if m != nil {
			t, _ := m.Target(name)
			s.FailureDomain = t.FailureDomain
			_, reason := current.servingTarget(name)
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

// drainPollInterval is the interval at which Close and Learn check for sub-queries in flight.
const drainPollInterval = 2 * time.Millisecond

// Close refuses new sub-queries, waits until those in flight have ended or ctx ends, and closes all connections. It
// returns the error of ctx if sub-queries were still in flight.
func (d *Dispatcher) Close(ctx context.Context) error {
	d.closing.Store(true)
	err := d.drain(ctx)
	d.stopOnce.Do(func() { close(d.stopMaintenance) })
	<-d.maintenanceEnded
	d.closingEntries.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	var wg sync.WaitGroup
	for _, e := range *d.entries.Load() {
		wg.Go(e.close)
	}
	wg.Wait()
	d.entries.Store(&map[string]*entry{})
	return err
}

func (d *Dispatcher) drain(ctx context.Context) error {
	for d.inFlight.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainPollInterval):
		}
	}
	return nil
}
