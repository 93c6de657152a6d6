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
	// startTimeout limits the start of an instance, which opens the listeners.
	startTimeout = 10 * time.Second
	// stopMargin is the time for the steps of a shutdown other than CallerServer.Stop: announcements to peers,
	// sub-queries in flight, leases and connections. It is added to the balancer delay and the shutdown timeout of the
	// settings, which CallerServer.Stop may use up, or in relay mode to the grace period.
	stopMargin = 5 * time.Second
	// syncInterval is the interval at which the dispatcher applies changes of ownership without a new configuration, such
	// as those that announcements of peers cause.
	syncInterval = 250 * time.Millisecond
	// announceTimeout limits an announcement to peers during a shutdown, because some may not answer.
	announceTimeout = time.Second
)

// nativeComponents holds the components that an instance in native mode starts and stops.
type nativeComponents struct {
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
	CallerServer  *server.Server
	AdminServer   *admin.Server
	Events        *recorder.Recorder
	Reporter      *reporter.Reporter
	Logger        *log.Logger
}

// nativeInstance starts and stops the components of an instance in native mode.
type nativeInstance struct {
	nativeComponents
	// cancel ends the background goroutines after the work for callers and on targets has finished.
	cancel     context.CancelFunc
	background sync.WaitGroup
	// cancelReadyWait cancels the wait for readiness; readyWaitDone is closed after the wait has ended.
	cancelReadyWait context.CancelFunc
	readyWaitDone   chan struct{}
}

func registerNativeInstance(lifecycle fx.Lifecycle, p nativeComponents) {
	n := &nativeInstance{nativeComponents: p}
	lifecycle.Append(fx.Hook{OnStart: n.start, OnStop: n.stop})
}

func (n *nativeInstance) start(context.Context) error {
	adminListener, err := net.Listen("tcp", n.Settings.AdminAddress().String())
	if err != nil {
		return err
	}
	callerListener, err := net.Listen("tcp", n.Settings.CallerAddress().String())
	if err != nil {
		return errors.Join(err, adminListener.Close())
	}
	n.Gossiper.SetDependencies(n.Watcher, n.Owner, n.Lessor.Settled)
	if err := n.Messenger.Start(); err != nil {
		return errors.Join(err, adminListener.Close(), callerListener.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.Configuration.Subscribe(n.Dispatcher.Sync)
	n.Events.Record(recorder.KindInstanceStarted, n.Settings.Instance(), "", string(n.Version)+" "+string(n.Incarnation))
	n.Logger.Info("instance started", "version", n.Version, "incarnation", n.Incarnation, "caller-address", callerListener.Addr())
	n.background.Go(func() { n.serve("operators", n.AdminServer.Serve, adminListener) })
	n.background.Go(func() { n.serve("callers", n.CallerServer.Serve, callerListener) })
	n.background.Go(func() { n.Gossiper.Run(ctx) })
	n.background.Go(func() { n.Watcher.Run(ctx) })
	n.background.Go(func() { n.Lessor.Run(ctx) })
	n.background.Go(func() { n.syncTargets(ctx) })
	readyCtx, cancelReadyWait := context.WithCancel(ctx)
	n.cancelReadyWait, n.readyWaitDone = cancelReadyWait, make(chan struct{})
	go n.awaitReady(readyCtx)
	return nil
}

func (n *nativeInstance) serve(purpose string, serve func(net.Listener) error, listener net.Listener) {
	if err := serve(listener); err != nil {
		n.Logger.Error("serving a listener failed", "for", purpose, "error", err)
	}
}

func (n *nativeInstance) syncTargets(ctx context.Context) {
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

// awaitReady makes the instance ready for the load balancer once it has the newest configuration and may hold leases.
func (n *nativeInstance) awaitReady(ctx context.Context) {
	defer close(n.readyWaitDone)
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if !n.Gossiper.Ready() || n.Configuration.Manifest() == nil || !n.Lessor.Settled() {
				continue
			}
			n.CallerServer.SetReady(true)
			n.Events.Record(recorder.KindInstanceReady, n.Settings.Instance(), "", "")
			n.Logger.Info("instance ready", "generation", n.Configuration.Manifest().Generation())
			return
		}
	}
}

// readyPollInterval is the interval at which awaitReady checks whether the instance may become ready.
const readyPollInterval = 20 * time.Millisecond

// stop shuts down gracefully: peers stop sending new batches, callers are served until the load balancer has stopped
// sending, work in flight finishes, leases are released, and connections are closed last. A step that fails does not
// keep the later ones from running.
func (n *nativeInstance) stop(ctx context.Context) error {
	n.Events.Record(recorder.KindInstanceStopping, n.Settings.Instance(), "", "")
	n.Logger.Info("instance stopping")
	// The instance must not become ready again.
	n.cancelReadyWait()
	<-n.readyWaitDone
	// CallerServer.Stop does the same, but only after the announcement, which may take announceTimeout.
	n.CallerServer.SetReady(false)
	// Peers then send their batches to other owners, while this instance still serves its callers.
	n.announceLeaving(ctx)
	// Wait for the load balancer and for the requests in flight, then for attempts that outlive their query.
	errs := []error{n.CallerServer.Stop(ctx), n.Executor.Drain(ctx)}
	// Refuse sub-queries of peers too, and wait for those in flight to targets.
	errs = append(errs, n.Dispatcher.Close(ctx))
	// Leases are released only now, because sub-queries in flight to cold targets need them.
	n.Lessor.ReleaseAll(ctx)
	n.retireAndAnnounce(ctx)
	// The background goroutines have renewed leases and exchanged state with peers up to here.
	n.cancel()
	// Wait for the requests of peers that are still being handled, then close the connections to peers.
	errs = append(errs, n.Messenger.Close(ctx))
	n.Events.Record(recorder.KindInstanceStopped, n.Settings.Instance(), "", "")
	// The admin API stays available up to the last event, so that operators can follow the shutdown.
	errs = append(errs, n.AdminServer.Stop(ctx))
	n.background.Wait()
	errs = append(errs, n.Reporter.Close())
	n.Logger.Info("instance stopped")
	return errors.Join(errs...)
}

func (n *nativeInstance) announceLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	n.Gossiper.AnnounceLeaving(ctx)
}

// retireAndAnnounce tells peers that this instance holds and grants no more leases, so that the next holders do not
// wait for its grants.
func (n *nativeInstance) retireAndAnnounce(ctx context.Context) {
	if !n.Lessor.Retire() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	n.Gossiper.AnnounceReleased(ctx)
}
