package assembler

import (
	"context"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	"apricotflow/internal/caller/server"
	"apricotflow/internal/cluster/configurer"
	"apricotflow/internal/cluster/gossiper"
	"apricotflow/internal/cluster/messenger"
	"apricotflow/internal/cluster/watcher"
	"apricotflow/internal/manifest/authenticator"
	"apricotflow/internal/operator/checker"
	"apricotflow/internal/operator/loader"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/operator/reporter"
	admin "apricotflow/internal/operator/server"
	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/query/executor"
	"apricotflow/internal/query/ticketer"
	"apricotflow/internal/target/dispatcher"
	"apricotflow/internal/wire/encoder"
)

// callerModule provides the servers of the caller API and of the admin API in native mode.
var callerModule = fx.Options(
	fx.Provide(
		newCallerServer,
		newAdminServer,
	),
)

func newCallerServer(
	settings loader.Settings, e *executor.Executor, t *ticketer.Ticketer, check *checker.Checker, m *messenger.Messenger,
	configuration *configurer.Configurer, clock *timekeeper.HybridClock, logger *log.Logger, scope tally.Scope,
) *server.Server {
	s := server.New(e, t, check, callerLogger{logger}, scope,
		server.WithBalancerDelay(settings.BalancerDelay()), server.WithShutdownTimeout(settings.ShutdownTimeout()),
		server.WithTenants(func() *authenticator.Tenants { return configuration.Manifest().Tenants() }))
	messenger.Handle(m, methodRunTicket, func(ctx context.Context, _ messenger.Peer, request encoder.RunTicketRequest) (encoder.RunTicketReply, error) {
		reply := s.RunForwardedTicket(ctx, request)
		reply.Clock = clock.Now()
		return reply, nil
	})
	return s
}

// callerLogger adapts the logger to the interface server.Logger.
type callerLogger struct {
	logger *log.Logger
}

// Info logs a change of state.
func (l callerLogger) Info(message any, attributes ...any) {
	l.logger.Info(message, attributes...)
}

func newAdminServer(
	settings loader.Settings, incarnation Incarnation, version Version, events *recorder.Recorder, metrics *reporter.Reporter,
	clock *timekeeper.HybridClock, configuration *configurer.Configurer, w *watcher.Watcher, g *gossiper.Gossiper, d *dispatcher.Dispatcher,
	callerServer *server.Server,
) *admin.Server {
	identity := admin.Identity{
		Instance: settings.Instance(), Incarnation: string(incarnation), FailureDomain: settings.FailureDomain(), Version: string(version),
	}
	currentConfiguration := func() admin.Configuration {
		current := admin.Configuration{PlatformAge: w.TimeSinceResponse()}
		if m := configuration.Manifest(); m != nil {
			current.Generation, current.Digest, current.Age = m.Generation(), m.Digest(), configuration.ManifestAge()
		}
		return current
	}
	return admin.New(identity, events, metrics, clock,
		admin.WithConfiguration(currentConfiguration), admin.WithReady(callerServer.Ready),
		admin.WithMembers(func() []encoder.MemberStatus { return memberStatuses(configuration, g) }),
		admin.WithTargets(d.Statuses))
}

func memberStatuses(configuration *configurer.Configurer, g *gossiper.Gossiper) []encoder.MemberStatus {
	var statuses []encoder.MemberStatus
	for _, n := range configuration.Members().Instances() {
		status := encoder.MemberStatus{Instance: n.Name, FailureDomain: n.FailureDomain, State: string(n.State)}
		if p, known := g.Peer(n.Name); known {
			status.Reachable, status.Generation = p.Reachable, p.Generation
			if p.Leaving {
				status.State = string(encoder.MemberInstanceStateLeaving)
			}
		}
		statuses = append(statuses, status)
	}
	return statuses
}
