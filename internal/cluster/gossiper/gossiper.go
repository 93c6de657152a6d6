// Package gossiper exchanges the state of the configuration and of targets with other instances.
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
	// exchangeInterval is how often a random peer is asked.
	exchangeInterval = time.Second
	// exchangeTimeout bounds an exchange, and fetchTimeout the transfer of a value.
	exchangeTimeout = time.Second
	fetchTimeout    = 2 * time.Second
	// exchangesPerLease is the number of exchanges with each rival in one lease time.
	exchangesPerLease = 3
	// announcedLimit bounds the messages of peers that wait to be compared with the configuration in force.
	announcedLimit = 256
	// pushParallel bounds the exchanges of one push that run at the same time.
	pushParallel = 64
	// settledPoll is how often an instance that has just started looks whether it may grant and hold leases.
	settledPoll = 20 * time.Millisecond
	// confirmPoll is how often a stopping instance looks whether its rivals know of its release.
	confirmPoll = 5 * time.Millisecond
	// startRetry is the pause between two attempts to get a first configuration.
	startRetry = 250 * time.Millisecond
)

// Configuration provides and takes the manifest and member list.
type Configuration interface {
	Manifest() *resolver.Manifest
	Members() *resolver.Members
	RawManifest() []byte
	RawMembers() []byte
	ApplyManifest(raw []byte, source string) (bool, error)
	ApplyMembers(raw []byte, source string) (bool, error)
	Subscribe(f func())
}

// Platform reads the platform's values once.
type Platform interface {
	Fetch(ctx context.Context) error
}

// Ownership tells which groups this instance may own and with whom it competes for them.
type Ownership interface {
	Candidates() []string
	Rivals(group string) []string
	// MayOwn reports whether an instance may own the target or grant a lease on it.
	MayOwn(instance, target string) bool
}

// Targets provides and takes states of incarnations of targets.
type Targets interface {
	Facts() []encoder.TargetFact
	// Learn is called for each fact with the instance that sent it.
	Learn(fact encoder.TargetFact, from string)
}

// Option changes a gossiper.
type Option func(*Gossiper)

// WithSeeds sets raw peer addresses that are asked at the start beside the member list.
func WithSeeds(seeds ...string) Option {
	return func(g *Gossiper) { g.seeds = seeds }
}

// WithTargets sets the source and sink of target states.
func WithTargets(targets Targets) Option {
	return func(g *Gossiper) { g.targets = targets }
}

// Events records peers that announce their shutdown.
type Events interface {
	Record(kind recorder.Kind, subject, query, detail string)
}

// WithEvents sets where events are recorded.
func WithEvents(events Events) Option {
	return func(g *Gossiper) { g.events = events }
}

// Gossiper exchanges state for one instance.
type Gossiper struct {
	instance      string
	incarnation   string
	messenger     *messenger.Messenger
	configuration Configuration
	targets       Targets
	events        Events
	seeds         []string
	peers         *peers
	spreader      *spreader

	// platform, ownership and settled are set once before Run.
	platform  Platform
	ownership Ownership
	settled   func() bool

	ready    atomic.Bool
	leaving  atomic.Bool
	joining  atomic.Bool
	released atomic.Bool
	// push holds a token when all peers are to be told of a newer value.
	push chan struct{}
	// announced holds messages of peers that have a newer value.
	announced chan encoder.ExchangeMessage
	// fetching serialises the transfer of values, so that one newer value is fetched once.
	fetching sync.Mutex
	// confirmed holds the instances that have asked this one since its release.
	confirmed sync.Map
	// refused holds the digests of announced manifests that did not apply.
	refused sync.Map
}

// New creates a gossiper and registers its methods at the messenger. The clock is boot time.
func New(instance, incarnation string, m *messenger.Messenger, configuration Configuration,
	clock func() time.Duration, options ...Option,
) *Gossiper {
	g := &Gossiper{
		instance: instance, incarnation: incarnation, messenger: m, configuration: configuration,
		targets: noTargets{}, events: noEvents{}, peers: newPeers(clock), spreader: newSpreader(clock),
		push: make(chan struct{}, 1), announced: make(chan encoder.ExchangeMessage, announcedLimit),
	}
	for _, option := range options {
		option(g)
	}
	g.joining.Store(true)
	m.Introduce(g.joining.Load, g.peers.greeted)
	messenger.Handle(m, methodExchange, g.answerExchange)
	messenger.Handle(m, methodFetch, g.answerFetch)
	configuration.Subscribe(g.changed)
	return g
}

// Attach sets the platform, the ownership and whether this instance may grant and hold leases, which themselves depend
// on the gossiper. It is called before Run.
func (g *Gossiper) Attach(platform Platform, ownership Ownership, settled func() bool) {
	g.platform, g.ownership, g.settled = platform, ownership, settled
}

// Ready reports whether this instance has the newest configuration among those that answered at its start.
func (g *Gossiper) Ready() bool {
	return g.ready.Load()
}

// Peers returns what is known of other instances, sorted by name.
func (g *Gossiper) Peers() []PeerState {
	list := g.peers.all()
	slices.SortFunc(list, func(a, b PeerState) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}

// Peer returns what is known of one instance.
func (g *Gossiper) Peer(instance string) (PeerState, bool) {
	return g.peers.get(instance)
}

// Reachable reports whether the instance answered lately.
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

// Released reports whether the incarnation of the instance never grants or holds a lease again.
func (g *Gossiper) Released(instance string) bool {
	if instance == g.instance {
		return g.released.Load()
	}
	s, found := g.peers.get(instance)
	return found && s.Released
}

// ReleasedAt returns the boot time from before the latest request whose reply said that the incarnation of the instance
// never grants or holds a lease again, or 0.
func (g *Gossiper) ReleasedAt(instance string) time.Duration {
	s, _ := g.peers.get(instance)
	return s.ReleasedAt
}

// AnnouncementVersion changes with every change of Leaving, Joining and Released.
func (g *Gossiper) AnnouncementVersion() uint64 {
	return g.peers.version.Load()
}

// Run gets the first configuration and then exchanges state until the context ends.
func (g *Gossiper) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { g.start(ctx) })
	running.Go(func() { g.awaitSettled(ctx) })
	running.Go(func() { g.every(ctx, func() time.Duration { return exchangeInterval }, g.exchangeRandom) })
	running.Go(func() { g.every(ctx, g.rivalInterval, g.exchangeRivals) })
	running.Go(func() { g.pushChanges(ctx) })
	running.Go(func() { g.fetchAnnounced(ctx) })
	running.Wait()
}

func (g *Gossiper) every(ctx context.Context, interval func() time.Duration, f func(context.Context)) {
	for {
		d := interval()
		// Jitter keeps instances that started together from exchanging in step.
		timekeeper.Sleep(ctx, d-d/8+rand.N(d/4+1))
		if ctx.Err() != nil {
			return
		}
		f(ctx)
	}
}

// noTargets is used when no target states are spread.
type noTargets struct{}

func (noTargets) Facts() []encoder.TargetFact      { return nil }
func (noTargets) Learn(encoder.TargetFact, string) {}

// noEvents is used when no events are recorded.
type noEvents struct{}

func (noEvents) Record(recorder.Kind, string, string, string) {}
