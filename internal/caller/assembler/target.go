package assembler

import (
	"context"
	"errors"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	"apricotflow/internal/cluster/configurer"
	"apricotflow/internal/cluster/gossiper"
	"apricotflow/internal/cluster/lessor"
	"apricotflow/internal/cluster/messenger"
	"apricotflow/internal/cluster/owner"
	"apricotflow/internal/operator/checker"
	"apricotflow/internal/operator/loader"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/target/dispatcher"
	"apricotflow/internal/target/hedger"
	"apricotflow/internal/target/router"
	"apricotflow/internal/target/selector"
	"apricotflow/internal/wire/encoder"
)

// Peer protocol methods for batches of sub-queries.
const (
	methodExecute = "execute"
	methodDeliver = "deliver"
	methodCancel  = "cancel"
)

// targetModule provides the components that choose targets and send sub-queries to them, in native mode.
var targetModule = fx.Options(
	fx.Provide(
		newOwners,
		newSelector,
		newHedger,
		newDispatcher,
		newRouter,
	),
)

// newOwners returns the owners of a target as shares of package dispatcher, where ranks start at 0. Ranks start at 1 in
// package owner.
func newOwners(o *owner.Owner) dispatcher.Owners {
	return func(target string) []dispatcher.OwnerShare {
		shares := o.Shares(target)
		converted := make([]dispatcher.OwnerShare, len(shares))
		for i, s := range shares {
			converted[i] = dispatcher.OwnerShare{Instance: s.Instance, Slots: s.Slots, Rank: s.Rank - 1}
		}
		return converted
	}
}

func newSelector(settings loader.Settings, configuration *configurer.Configurer) *selector.Selector {
	return selector.New(settings.FailureDomain(), configuration, selector.WithPolicy(settings.Policy().Selection))
}

func newHedger(
	settings loader.Settings, configuration *configurer.Configurer, events *recorder.Recorder, check *checker.Checker, scope tally.Scope,
) *hedger.Hedger {
	options := []hedger.Option{hedger.WithScope(scope)}
	if !settings.Policy().Hedging {
		options = append(options, hedger.WithoutHedges())
	}
	return hedger.New(configuration, events, check, options...)
}

// factFanout implements targetFacts: Learn passes a fact to both the dispatcher and the selector, and Facts is that of
// the embedded dispatcher.
type factFanout struct {
	*dispatcher.Dispatcher
	selector *selector.Selector
}

// Learn passes on a fact from a peer.
func (f factFanout) Learn(fact encoder.TargetFact, from string) {
	f.selector.Learn(fact)
	f.Dispatcher.Learn(fact, from)
}

// newNotifyOwners returns a function that exchanges the facts about a target with its other owners.
func newNotifyOwners(self string, owners dispatcher.Owners, g *gossiper.Gossiper) dispatcher.NotifyOwners {
	return func(ctx context.Context, target string) bool {
		var others []string
		for _, s := range owners(target) {
			if s.Instance != self {
				others = append(others, s.Instance)
			}
		}
		return g.ExchangeWith(ctx, others)
	}
}

func newDispatcher(
	settings loader.Settings, configuration *configurer.Configurer, owners dispatcher.Owners, leases *lessor.Lessor,
	s *selector.Selector, f *deferredFacts, g *gossiper.Gossiper, events *recorder.Recorder, check *checker.Checker, logger *log.Logger, scope tally.Scope,
) *dispatcher.Dispatcher {
	options := []dispatcher.Option{
		dispatcher.WithLogger(logger), dispatcher.WithScope(scope), dispatcher.WithObserver(s),
		dispatcher.WithOwnershipVersion(g.AnnouncementVersion),
	}
	if settings.Policy().Routing == encoder.PolicyRoutingDirect {
		options = append(options, dispatcher.WithDirect())
	} else {
		options = append(options, dispatcher.WithNotifyOwners(newNotifyOwners(settings.Instance(), owners, g)))
	}
	d := dispatcher.New(settings.Instance(), configuration, owners, leases.Allowance, events, check, options...)
	// The gossiper was created before the dispatcher and gets its target facts here.
	var t targetFacts = factFanout{Dispatcher: d, selector: s}
	f.delegate.Store(&t)
	return d
}

// batchSender sends batches and their replies through the messenger.
type batchSender struct {
	messenger *messenger.Messenger
}

// Execute runs a batch on a peer. The boolean reports whether the peer may have received the batch.
func (b batchSender) Execute(ctx context.Context, peer string, request encoder.ExecuteRequest) (encoder.ExecuteReply, bool, error) {
	reply, err := messenger.Call[encoder.ExecuteRequest, encoder.ExecuteReply](ctx, b.messenger, peer, methodExecute, request)
	var notSent *messenger.NotSentError
	return reply, !errors.As(err, &notSent), err
}

// Cancel tells a peer that the results of attempts are no longer needed.
func (b batchSender) Cancel(ctx context.Context, peer string, message encoder.CancelBatchMessage) error {
	return messenger.Notify(ctx, b.messenger, peer, methodCancel, message)
}

// Deliver sends one reply of a batch to the peer that sent the batch.
func (b batchSender) Deliver(ctx context.Context, peer string, message encoder.DeliverMessage) error {
	return messenger.Notify(ctx, b.messenger, peer, methodDeliver, message)
}

func newRouter(
	settings loader.Settings, incarnation Incarnation, owners dispatcher.Owners, d *dispatcher.Dispatcher,
	m *messenger.Messenger, clock *timekeeper.HybridClock, events *recorder.Recorder, check *checker.Checker, scope tally.Scope,
) *router.Router {
	options := []router.Option{router.WithScope(scope)}
	if settings.Policy().Routing == encoder.PolicyRoutingDirect {
		options = append(options, router.WithDirect())
	}
	r := router.New(settings.Instance(), string(incarnation), owners, d, batchSender{messenger: m}, clock, events, check, options...)
	messenger.Handle(m, methodExecute, func(ctx context.Context, peer messenger.Peer, request encoder.ExecuteRequest) (encoder.ExecuteReply, error) {
		return r.HandleExecute(ctx, peer.Instance, request)
	})
	messenger.Handle(m, methodDeliver, func(_ context.Context, peer messenger.Peer, message encoder.DeliverMessage) (struct{}, error) {
		r.HandleDeliver(peer.Instance, message)
		return struct{}{}, nil
	})
	messenger.Handle(m, methodCancel, func(_ context.Context, peer messenger.Peer, message encoder.CancelBatchMessage) (struct{}, error) {
		r.HandleCancel(peer.Instance, message)
		return struct{}{}, nil
	})
	return r
}
