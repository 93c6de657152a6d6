package assembler

import (
	"sync/atomic"

	"go.uber.org/fx"

	"apricotflow/internal/cluster/configurer"
	"apricotflow/internal/cluster/gossiper"
	"apricotflow/internal/cluster/lessor"
	"apricotflow/internal/cluster/messenger"
	"apricotflow/internal/cluster/owner"
	"apricotflow/internal/cluster/watcher"
	"apricotflow/internal/manifest/parser"
	"apricotflow/internal/operator/checker"
	"apricotflow/internal/operator/loader"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/wire/encoder"
)

var clusterParts = fx.Options(
	fx.Provide(
		newConfigurer,
		newMessenger,
		newReachability,
		newFacts,
		newWatcher,
		newGossiper,
		newOwner,
		newLessor,
	),
)

func newConfigurer(events *recorder.Recorder, check *checker.Checker) *configurer.Configurer {
	return configurer.New(parser.Parse, timekeeper.BootTime, events, check)
}

func newMessenger(
	settings loader.Settings, incarnation Incarnation, configuration *configurer.Configurer,
	clock *timekeeper.HybridClock, events *recorder.Recorder,
) *messenger.Messenger {
	identity := messenger.Identity{
		Instance: settings.Instance(), Incarnation: string(incarnation), FailureDomain: settings.FailureDomain(),
	}
	addresses := messenger.ResolverFunc(func(instance string) (string, bool) {
		n, found := configuration.Members().Instance(instance)
		return n.PeerAddress, found
	})
	return messenger.New(identity, settings.PeerAddress().String(), addresses, clock, events)
}

// reachability breaks the cycle between watcher and gossiper: it is bound to the gossiper once that exists.
type reachability struct {
	gossiper atomic.Pointer[gossiper.Gossiper]
}

func newReachability() *reachability {
	return &reachability{}
}

// Reachable reports whether the instance answered lately.
func (r *reachability) Reachable(instance string) bool {
	g := r.gossiper.Load()
	return g != nil && g.Reachable(instance)
}

// targets provides and learns facts about targets.
type targets interface {
	Facts() []encoder.TargetFact
	Learn(fact encoder.TargetFact, from string)
}

// facts breaks the cycle between gossiper and dispatcher: it is bound to the dispatcher once that exists.
type facts struct {
	targets atomic.Pointer[targets]
}

func newFacts() *facts {
	return &facts{}
}

// Facts returns what this instance knows of its targets.
func (f *facts) Facts() []encoder.TargetFact {
	if t := f.targets.Load(); t != nil {
		return (*t).Facts()
	}
	return nil
}

// Learn takes a fact from a peer.
func (f *facts) Learn(fact encoder.TargetFact, from string) {
	if t := f.targets.Load(); t != nil {
		(*t).Learn(fact, from)
	}
}

func newWatcher(
	settings loader.Settings, configuration *configurer.Configurer, reachable *reachability, events *recorder.Recorder,
) *watcher.Watcher {
	return watcher.New(settings.PlatformAddress().String(), settings.Instance(), settings.FailureDomain(),
		configuration, reachable, timekeeper.BootTime, events)
}

func newGossiper(
	settings loader.Settings, incarnation Incarnation, m *messenger.Messenger, configuration *configurer.Configurer,
	platform *watcher.Watcher, reachable *reachability, f *facts, events *recorder.Recorder,
) *gossiper.Gossiper {
	seeds := make([]string, 0, len(settings.Seeds()))
	for _, s := range settings.Seeds() {
		seeds = append(seeds, s.String())
	}
	g := gossiper.New(settings.Instance(), string(incarnation), m, configuration, platform, timekeeper.BootTime,
		gossiper.WithSeeds(seeds...), gossiper.WithTargets(f), gossiper.WithEvents(events))
	reachable.gossiper.Store(g)
	return g
}

func newOwner(settings loader.Settings, configuration *configurer.Configurer, g *gossiper.Gossiper) *owner.Owner {
	o := owner.New(settings.Instance(), configuration, g)
	g.SetOwnership(o)
	return o
}

func newLessor(
	settings loader.Settings, incarnation Incarnation, o *owner.Owner, configuration *configurer.Configurer,
	m *messenger.Messenger, clock *timekeeper.HybridClock, events *recorder.Recorder,
) *lessor.Lessor {
	l := lessor.New(settings.Instance(), string(incarnation), o, configuration, lessor.NewNetwork(m),
		timekeeper.BootTime, clock, events, lessor.WithPolicy(settings.Policy().ColdLimit))
	l.Register(m)
	return l
}
