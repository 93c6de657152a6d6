// Package gossiper exchanges periodically with other instances: which manifest and member list each has, whether it is
// joining, leaving or released, and facts about targets. It fetches newer values from peers, and tracks which peers are
// reachable, which the watcher uses. It belongs to native mode; in relay mode, packages discoverer and feeder have
// these tasks. Package owner uses the announcements, and the dispatcher and the selector use the facts; validation and
// storage of the configuration belong to package configurer.
package gossiper

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"apricotflow/internal/cluster/messenger"
	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/wire/encoder"
)

const (
	methodExchange = "exchange"
	methodFetch    = "fetch"
)

const (
	// exchangeInterval is the interval of exchanges with a random peer.
	exchangeInterval = time.Second
	// exchangeTimeout limits the time of an exchange, and fetchTimeout that of fetching a value.
	exchangeTimeout = time.Second
	fetchTimeout    = 2 * time.Second
	// exchangesPerLease is the number of exchanges with each grantor in one lease duration.
	exchangesPerLease = 3
	// messageQueueSize is the maximum number of messages in the queue of messages with newer values or releases.
	messageQueueSize = 256
	// maxParallelExchanges is the maximum number of exchanges that one call of exchangeWithAll runs at the same time.
	maxParallelExchanges = 64
	// settledPollInterval is how often a new instance checks whether it may grant and hold leases.
	settledPollInterval = 20 * time.Millisecond
	// confirmPollInterval is how often a stopping instance checks whether its grantors have confirmed its release.
	confirmPollInterval = 5 * time.Millisecond
	// startRetryDelay is the pause between attempts to get the initial configuration.
	startRetryDelay = 250 * time.Millisecond
)

// Configuration provides the manifest and member list in force and applies newer ones. It is implemented by
// configurer.Configurer.
type Configuration interface {
	Manifest() *resolver.Manifest
	Members() *resolver.Members
	RawManifest() []byte
	RawMembers() []byte
	ApplyManifest(raw []byte, source string) (bool, error)
	ApplyMembers(raw []byte, source string) (bool, error)
	Subscribe(f func())
}

// Platform fetches the configuration from the platform once and applies it.
type Platform interface {
	Fetch(ctx context.Context) error
}

// Ownership provides the groups that this instance may own and their grantors.
type Ownership interface {
	Candidates() []string
	// Grantors returns the grantors of the group: the instances whose grants a lease needs.
	Grantors(group string) []string
	// MayOwn reports whether an instance may own the target or grant a lease on it.
	MayOwn(instance, target string) bool
}

// Targets is the source and sink of facts about targets. A fact is the state of one start of a target, such as warm or
// draining.
type Targets interface {
	Facts() []encoder.TargetFact
	// Learn is called for each received fact with the instance that sent it.
	Learn(fact encoder.TargetFact, from string)
}

// Option configures a Gossiper.
type Option func(*Gossiper)

// WithSeeds sets peer addresses to contact at the start, and whenever no other instance is known.
func WithSeeds(seeds ...string) Option {
	return func(g *Gossiper) { g.seeds = seeds }
}

// WithTargets sets the source and sink of facts about targets.
func WithTargets(targets Targets) Option {
	return func(g *Gossiper) { g.targets = targets }
}

// Events records the shutdown announcements of peers.
type Events interface {
	Record(kind recorder.Kind, subject, query, detail string)
}

// WithEvents sets where events are recorded.
func WithEvents(events Events) Option {
	return func(g *Gossiper) { g.events = events }
}

// Gossiper exchanges the state of one instance with others. It is safe for concurrent use.
type Gossiper struct {
	instance      string
	incarnation   string
	messenger     *messenger.Messenger
	configuration Configuration
	targets       Targets
	events        Events
	seeds         []string
	peers         *peers
	factTracker   *factTracker

	// platform, ownership and settled are set once before Run; settled reports whether this instance may grant and hold
	// leases.
	platform  Platform
	ownership Ownership
	settled   func() bool

	// ready reports whether the initial configuration is complete; it does not depend on the states below.
	ready atomic.Bool
	// An instance is joining from its start until it may grant and hold leases. When it stops, it is leaving at first, and
	// released once its leases have ended.
	leaving  atomic.Bool
	joining  atomic.Bool
	released atomic.Bool
	// pushRequested holds a token while a change of the configuration is to be pushed.
	pushRequested chan struct{}
	// messageQueue holds messages of peers that have a newer value or announced their release; see processQueue.
	messageQueue chan encoder.ExchangeMessage
	// fetchMu serialises fetches, so that each newer value is fetched only once.
	fetchMu sync.Mutex
	// releaseConfirmedBy holds the instances that have sent an exchange since the release of this one.
	releaseConfirmedBy sync.Map
	// refusedDigests holds the digests of announced manifests that were refused.
	refusedDigests sync.Map
}

// New creates a Gossiper and registers its methods with the messenger.
func New(instance, incarnation string, m *messenger.Messenger, configuration Configuration,
	bootTime func() time.Duration, options ...Option,
) *Gossiper {
	g := &Gossiper{
		instance: instance, incarnation: incarnation, messenger: m, configuration: configuration,
		targets: noopTargets{}, events: noopEvents{}, peers: newPeers(bootTime), factTracker: newFactTracker(bootTime),
		pushRequested: make(chan struct{}, 1), messageQueue: make(chan encoder.ExchangeMessage, messageQueueSize),
	}
	for _, option := range options {
		option(g)
	}
	g.joining.Store(true)
	m.SetHello(g.joining.Load, g.peers.recordHello)
	messenger.Handle(m, methodExchange, g.handleExchange)
	messenger.Handle(m, methodFetch, g.handleFetch)
	configuration.Subscribe(g.requestPush)
	return g
}

// SetDependencies sets the platform, the ownership and the function that reports whether this instance may grant and
// hold leases, all of which depend on the gossiper. It must be called before Run.
func (g *Gossiper) SetDependencies(platform Platform, ownership Ownership, settled func() bool) {
	g.platform, g.ownership, g.settled = platform, ownership, settled
}

// Ready reports whether this instance has a manifest that was the newest one among the peers reachable at its start.
func (g *Gossiper) Ready() bool {
	return g.ready.Load()
}

// Peers returns the known states of other instances, sorted by name.
func (g *Gossiper) Peers() []PeerState {
	list := g.peers.all()
	slices.SortFunc(list, func(a, b PeerState) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}

// Peer returns the known state of another instance.
func (g *Gossiper) Peer(instance string) (PeerState, bool) {
	return g.peers.get(instance)
}

// Reachable reports whether the instance is known and its latest exchanges did not fail.
func (g *Gossiper) Reachable(instance string) bool {
	s, found := g.peers.get(instance)
	return found && s.Reachable
}

// Leaving reports whether the instance announced its shutdown.
func (g *Gossiper) Leaving(instance string) bool {
	if instance == g.instance {
		return g.leaving.Load()
	}
	s, found := g.peers.get(instance)
	return found && s.Leaving
}

// Joining reports whether the instance may not grant or hold leases yet.
func (g *Gossiper) Joining(instance string) bool {
	if instance == g.instance {
		return g.joining.Load()
	}
	s, found := g.peers.get(instance)
	return found && s.Joining
}

// Released reports whether the current incarnation of the instance never grants or holds a lease again.
func (g *Gossiper) Released(instance string) bool {
	if instance == g.instance {
		return g.released.Load()
	}
	s, found := g.peers.get(instance)
	return found && s.Released
}

// ReleasedAt returns the boot time before the latest request whose reply announced that the current incarnation of the
// instance never grants or holds a lease again, or 0. That incarnation was still running after this time, so the next
// one started later.
func (g *Gossiper) ReleasedAt(instance string) time.Duration {
	s, _ := g.peers.get(instance)
	return s.ReleasedAt
}

// AnnouncementVersion returns a number that changes whenever Leaving, Joining or Released changes.
func (g *Gossiper) AnnouncementVersion() uint64 {
	return g.peers.announcementVersion.Load()
}

// Run fetches the initial configuration and exchanges state until the context ends.
func (g *Gossiper) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { g.fetchInitialConfiguration(ctx) })
	wg.Go(func() { g.awaitSettled(ctx) })
	wg.Go(func() { g.runEvery(ctx, func() time.Duration { return exchangeInterval }, g.exchangeWithRandom) })
	wg.Go(func() { g.runEvery(ctx, g.grantorInterval, g.exchangeWithGrantors) })
	wg.Go(func() { g.pushLoop(ctx) })
	wg.Go(func() { g.processQueue(ctx) })
	wg.Wait()
}

// runEvery calls f at the interval, with jitter, until the context ends.
func (g *Gossiper) runEvery(ctx context.Context, interval func() time.Duration, f func(context.Context)) {
	for {
		d := interval()
		// Jitter keeps instances that started together from exchanging at the same times.
		timekeeper.Sleep(ctx, d-d/8+rand.N(d/4+1))
		if ctx.Err() != nil {
			return
		}
		f(ctx)
	}
}

// noopTargets is the default when no facts about targets are exchanged.
type noopTargets struct{}

func (noopTargets) Facts() []encoder.TargetFact      { return nil }
func (noopTargets) Learn(encoder.TargetFact, string) {}

// noopEvents is the default when no events are recorded.
type noopEvents struct{}

func (noopEvents) Record(recorder.Kind, string, string, string) {}
