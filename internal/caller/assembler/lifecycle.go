package assembler

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"apricotflow/internal/caller/server"
	"apricotflow/internal/cluster/configurer"
	"apricotflow/internal/cluster/gossiper"
	"apricotflow/internal/cluster/lessor"
	"apricotflow/internal/cluster/messenger"
	"apricotflow/internal/cluster/owner"
	"apricotflow/internal/cluster/watcher"
	"apricotflow/internal/operator/loader"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/operator/reporter"
	admin "apricotflow/internal/operator/server"
	"apricotflow/internal/query/executor"
	"apricotflow/internal/target/dispatcher"
)

const (
	// startTimeout bounds opening the listeners.
	startTimeout = 10 * time.Second
	// stopMargin is the time after shutdown-ms for closing connections.
	stopMargin = 5 * time.Second
	// syncInterval is how often ownership changes without a new configuration are taken up.
	syncInterval = 250 * time.Millisecond
	// leaveTimeout bounds the announcement of a shutdown to peers that may not answer.
	leaveTimeout = time.Second
)

// parts are what starts and stops.
type parts struct {
	fx.In

	Settings      loader.Settings
	Incarnation   Incarnation
	Version       Version
	Configuration *configurer.Configurer
	Messenger     *messenger.Messenger
	Watcher       *watcher.Watcher
	Gossiper      *gossiper.Gossiper
	Owner         *owner.Owner
	Lessor        *lessor.Lessor
	Dispatcher    *dispatcher.Dispatcher
	Executor      *executor.Executor
	Callers       *server.Server
	Operators     *admin.Server
	Events        *recorder.Recorder
	Reporter      *reporter.Reporter
	Logger        *log.Logger
}

// instance runs the parts of one instance.
type instance struct {
	parts
	// cancel ends the background work, after callers and targets are done.
	cancel     context.CancelFunc
	background sync.WaitGroup
	// stopReady ends the wait for readiness, and ready is closed after it ended.
	stopReady context.CancelFunc
	ready     chan struct{}
}

func run(lifecycle fx.Lifecycle, p parts) {
	n := &instance{parts: p}
	lifecycle.Append(fx.Hook{OnStart: n.start, OnStop: n.stop})
}

func (n *instance) start(context.Context) error {
	operators, err := net.Listen("tcp", n.Settings.AdminAddress().String())
	if err != nil {
		return err
	}
	callers, err := net.Listen("tcp", n.Settings.CallerAddress().String())
	if err != nil {
		return errors.Join(err, operators.Close())
	}
	n.Gossiper.Attach(n.Watcher, n.Owner, n.Lessor.Settled)
	if err := n.Messenger.Start(); err != nil {
		return errors.Join(err, operators.Close(), callers.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.Configuration.Subscribe(n.Dispatcher.Sync)
	n.Events.Record(recorder.KindInstanceStarted, n.Settings.Instance(), "", string(n.Version)+" "+string(n.Incarnation))
	n.Logger.Info("instance started", "version", n.Version, "incarnation", n.Incarnation, "caller-address", callers.Addr())
	n.background.Go(func() { n.serve("operators", n.Operators.Serve, operators) })
	n.background.Go(func() { n.serve("callers", n.Callers.Serve, callers) })
	n.background.Go(func() { n.Gossiper.Run(ctx) })
	n.background.Go(func() { n.Watcher.Run(ctx) })
	n.background.Go(func() { n.Lessor.Run(ctx) })
	n.background.Go(func() { n.syncTargets(ctx) })
	starting, stopReady := context.WithCancel(ctx)
	n.stopReady, n.ready = stopReady, make(chan struct{})
	go n.awaitReady(starting)
	return nil
}

func (n *instance) serve(name string, serve func(net.Listener) error, listener net.Listener) {
	if err := serve(listener); err != nil {
		n.Logger.Error("listener ended", "for", name, "error", err)
	}
}

func (n *instance) syncTargets(ctx context.Context) {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.Dispatcher.Sync()
		}
	}
}

// awaitReady reports the instance ready to the balancer once it has a configuration and may hold leases.
func (n *instance) awaitReady(ctx context.Context) {
	defer close(n.ready)
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if !n.Gossiper.Ready() || n.Configuration.Manifest() == nil || !n.Lessor.Settled() {
				continue
			}
			n.Callers.SetReady(true)
			n.Events.Record(recorder.KindInstanceReady, n.Settings.Instance(), "", "")
			n.Logger.Info("instance ready", "generation", n.Configuration.Manifest().Generation())
			return
		}
	}
}

// readyInterval is how often readiness is checked at the start.
const readyInterval = 20 * time.Millisecond

// stop is the graceful shutdown: peers stop sending new batches, callers are served until the balancer has stopped
// sending, work in flight is finished, leases are released, and connections are closed last.
func (n *instance) stop(ctx context.Context) error {
	n.Events.Record(recorder.KindInstanceStopping, n.Settings.Instance(), "", "")
	n.Logger.Info("instance stopping")
	n.stopReady()
	<-n.ready
	n.Callers.SetReady(false)
	n.leave(ctx)
	errs := []error{n.Callers.Stop(ctx), n.Executor.Drain(ctx)}
	errs = append(errs, n.Dispatcher.Close(ctx))
	n.Lessor.Release(ctx)
	n.announceReleased(ctx)
	n.cancel()
	errs = append(errs, n.Messenger.Close(ctx))
	n.Events.Record(recorder.KindInstanceStopped, n.Settings.Instance(), "", "")
	errs = append(errs, n.Operators.Stop(ctx))
	n.background.Wait()
	errs = append(errs, n.Reporter.Close())
	n.Logger.Info("instance stopped")
	return errors.Join(errs...)
}

func (n *instance) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	n.Gossiper.Leave(ctx)
}

// announceReleased lets the successors of this instance do without its grants.
func (n *instance) announceReleased(ctx context.Context) {
	if !n.Lessor.Retire() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	n.Gossiper.AnnounceReleased(ctx)
}
