package assembler

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	"apricotflow/internal/caller/server"
	"apricotflow/internal/cluster/configurer"
	"apricotflow/internal/cluster/messenger"
	"apricotflow/internal/operator/checker"
	"apricotflow/internal/operator/loader"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/query/admitter"
	"apricotflow/internal/query/executor"
	"apricotflow/internal/query/planner"
	"apricotflow/internal/query/ticketer"
	"apricotflow/internal/target/dispatcher"
	"apricotflow/internal/target/hedger"
	"apricotflow/internal/target/router"
	"apricotflow/internal/target/selector"
	"apricotflow/internal/wire/encoder"
)

// methodRunTicket is the peer protocol method that forwards a ticketed query.
const methodRunTicket = "run-ticket"

// queryModule provides the components that admit, plan and run queries, in native mode.
var queryModule = fx.Options(
	fx.Provide(
		newPlanner,
		newAdmitter,
		newTicketer,
		newExecutor,
	),
)

func newPlanner(configuration *configurer.Configurer, d *dispatcher.Dispatcher) *planner.Planner {
	return planner.New(configuration, d)
}

func newAdmitter(settings loader.Settings, events *recorder.Recorder, scope tally.Scope) *admitter.Admitter {
	return admitter.New(settings.Concurrency(), events, scope)
}

// ticketForwarder forwards ticketed queries through the messenger.
type ticketForwarder struct {
	messenger *messenger.Messenger
}

// RunTicket runs a ticketed query on the instance that issued its ticket.
func (t ticketForwarder) RunTicket(ctx context.Context, instance string, request encoder.RunTicketRequest) (encoder.RunTicketReply, error) {
	if tenant := server.TenantOf(ctx); tenant != nil {
		request.Tenant = &tenant.Name
	}
	return messenger.Call[encoder.RunTicketRequest, encoder.RunTicketReply](ctx, t.messenger, instance, methodRunTicket, request)
}

// defaultTicketLifetime is the lifetime of tickets that are issued before the first manifest is in force.
const defaultTicketLifetime = time.Minute

func newTicketer(
	settings loader.Settings, incarnation Incarnation, configuration *configurer.Configurer, m *messenger.Messenger,
	events *recorder.Recorder, check *checker.Checker, scope tally.Scope,
) *ticketer.Ticketer {
	lifetime := func() time.Duration {
		if manifest := configuration.Manifest(); manifest != nil {
			return time.Duration(manifest.Limits().TicketMs) * time.Millisecond
		}
		return defaultTicketLifetime
	}
	return ticketer.New(settings.Instance(), string(incarnation), lifetime, ticketForwarder{messenger: m}, events, check, scope)
}

func newExecutor(
	settings loader.Settings, incarnation Incarnation, p *planner.Planner, a *admitter.Admitter, r *router.Router,
	s *selector.Selector, h *hedger.Hedger, events *recorder.Recorder, check *checker.Checker, scope tally.Scope,
) *executor.Executor {
	return executor.New(settings.Instance(), string(incarnation), executor.Dependencies{
		Planner: p, Admitter: a, Router: r, Selector: s, Hedger: h, Events: events, Checker: check, Scope: scope,
	})
}
