package assembler

import (
	"sync/atomic"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
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

// clusterModule provides the components that keep the manifest and the member list up to date, exchange state with
// peers and hold leases, in native mode. RunRelay provides those of relay mode.
var clusterModule = fx.Options(
	fx.Provide(
		newConfigurer,
		newMessenger,
		newDeferredFacts,
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
	clock *timekeeper.HybridClock, events *recorder.Recorder, scope tally.Scope,
) *messenger.Messenger {
	identity := messenger.Identity{
		Instance: settings.Instance(), Incarnation: string(incarnation), FailureDomain: settings.FailureDomain(),
	}
	addresses := messenger.ResolverFunc(func(instance string) (string, bool) {
		n, found := configuration.Members().Instance(instance)
		return n.PeerAddress, found
	})
	return messenger.New(identity, settings.PeerAddress().String(), addresses, clock, events, messenger.WithScope(scope))
}

// targetFacts returns and learns facts about targets, such as which are cold or draining.
type targetFacts interface {
	Facts() []encoder.TargetFact
	Learn(fact encoder.TargetFact, from string)
}

// deferredFacts breaks the dependency cycle between the gossiper and the dispatcher: the gossiper is created with it,
// and newDispatcher sets its target facts later. Until then it has no facts and ignores those that it learns.
type deferredFacts struct {
	delegate atomic.Pointer[targetFacts]
}

func newDeferredFacts() *deferredFacts {
	return &deferredFacts{}
}

// Facts returns what this instance knows about its targets.
func (f *deferredFacts) Facts() []encoder.TargetFact {
	if t := f.delegate.Load(); t != nil {
		return (*t).Facts()
	}
	return nil
}

// Learn passes on a fact from a peer.
func (f *deferredFacts) Learn(fact encoder.TargetFact, from string) {
	if t := f.delegate.Load(); t != nil {
		(*t).Learn(fact, from)
	}
}

func newWatcher(
	settings loader.Settings, configuration *configurer.Configurer, g *gossiper.Gossiper, events *recorder.Recorder, scope tally.Scope, l *log.Logger,
) *watcher.Watcher {
	return watcher.New(settings.PlatformAddress().String(), settings.Instance(), settings.FailureDomain(),
		configuration, g, timekeeper.BootTime, events, watcher.WithScope(scope), watcher.WithLogger(l))
}

func newGossiper(
	settings loader.Settings, incarnation Incarnation, m *messenger.Messenger, configuration *configurer.Configurer,
	f *deferredFacts, events *recorder.Recorder,
) *gossiper.Gossiper {
	seeds := make([]string, 0, len(settings.Seeds()))
	for _, s := range settings.Seeds() {
		seeds = append(seeds, s.String())
	}
	return gossiper.New(settings.Instance(), string(incarnation), m, configuration, timekeeper.BootTime,
		gossiper.WithSeeds(seeds...), gossiper.WithTargets(f), gossiper.WithEvents(events))
}

func newOwner(settings loader.Settings, configuration *configurer.Configurer, g *gossiper.Gossiper) *owner.Owner {
	return owner.New(settings.Instance(), configuration, g)
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
