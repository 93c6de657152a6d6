package assembler

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gorilla/mux"
	"go.uber.org/fx"

	"apricotflow/internal/caller/receiver"
	"apricotflow/internal/cluster/discoverer"
	"apricotflow/internal/cluster/follower"
	"apricotflow/internal/cluster/messenger"
	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/operator/loader"
	"apricotflow/internal/operator/observer"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/operator/reporter"
	admin "apricotflow/internal/operator/server"
	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/query/rationer"
	"apricotflow/internal/query/sharer"
	"apricotflow/internal/target/budgeter"
	"apricotflow/internal/target/picker"
	"apricotflow/internal/target/prober"
	"apricotflow/internal/target/throttler"
	"apricotflow/internal/target/transporter"
)

const (
	// balancerDelay is how long the instance accepts requests after it has become not ready. The load balancer checks
	// readiness once a second and removes an instance after two failed checks.
	balancerDelay = 3 * time.Second
	// maxBalancerDelayFraction is the maximum fraction of the grace period that balancerDelay may take.
	maxBalancerDelayFraction = 0.5
	// closeMargin is the time that is left of the grace period for closing connections when the wait for requests in
	// flight ends; at most half of the grace period.
	closeMargin = 500 * time.Millisecond
	// backgroundTimeout limits the wait for the background goroutines at the end of closeMargin.
	backgroundTimeout = closeMargin / 4
	// readinessTimeout limits reading and answering one readiness check of the load balancer.
	readinessTimeout = 5 * time.Second
	// cleanUpInterval is the interval at which idle connections are closed, the records of removed targets are
	// deleted, and readiness changes are logged.
	cleanUpInterval = time.Second
	// reloadInterval is the interval at which the settings file is checked for changes, as it may change without a
	// signal.
	reloadInterval = 2 * time.Second
)

// relayComponents holds the components that a relaying instance starts and stops.
type relayComponents struct {
	fx.In

	Settings    loader.Settings
	Incarnation Incarnation
	Version     Version
	Registrar   *registrar.Registrar
	Messenger   *messenger.Messenger
	Discoverer  *discoverer.Discoverer
	Follower    *follower.Follower
	Picker      *picker.Picker
	Budgeter    *budgeter.Budgeter
	Throttler   *throttler.Throttler
	Transporter *transporter.Transporter
	Prober      *prober.Prober
	Sharer      *sharer.Sharer
	Rationer    *rationer.Rationer
	Receiver    *receiver.Receiver
	AdminServer *admin.Server
	Events      *recorder.Recorder
	Observer    *observer.Observer
	Standstills *timekeeper.StandstillDetector
	Reporter    *reporter.Reporter
	Logger      *log.Logger
}

// relayInstance starts and stops the components of an instance in relay mode.
type relayInstance struct {
	relayComponents
	readiness *http.Server
	// cancel ends the background goroutines.
	cancel     context.CancelFunc
	background sync.WaitGroup
}

func registerRelayInstance(lifecycle fx.Lifecycle, p relayComponents) {
	n := &relayInstance{relayComponents: p}
	lifecycle.Append(fx.Hook{OnStart: n.start, OnStop: n.stop})
}

// listeners holds the open listeners of an instance.
type listeners struct {
	caller, admin, readiness net.Listener
}

func (n *relayInstance) listen() (listeners, error) {
	var l listeners
	var errs [3]error
	l.caller, errs[0] = net.Listen("tcp", n.Settings.CallerAddress().String())
	l.admin, errs[1] = net.Listen("tcp", n.Settings.AdminAddress().String())
	l.readiness, errs[2] = net.Listen("tcp", n.Settings.Relay().ReadyAddress.String())
	if err := errors.Join(errs[:]...); err != nil {
		l.close()
		return listeners{}, err
	}
	return l, nil
}

// close closes the listeners that are open.
func (l listeners) close() {
	for _, listener := range []net.Listener{l.caller, l.admin, l.readiness} {
		if listener != nil {
			// A listener fails to close only if it is closed.
			_ = listener.Close()
		}
	}
}

func (n *relayInstance) start(context.Context) error {
	l, err := n.listen()
	if err != nil {
		return err
	}
	if err := n.Messenger.Start(); err != nil {
		l.close()
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.readiness = &http.Server{Handler: n.readinessHandler(), ReadTimeout: readinessTimeout, WriteTimeout: readinessTimeout}
	n.Events.Record(recorder.KindInstanceStarted, n.Settings.Instance(), "", string(n.Version)+" "+string(n.Incarnation))
	n.Logger.Info("instance started", "version", n.Version, "incarnation", n.Incarnation, "failure-domain", n.Settings.FailureDomain(),
		"caller-address", l.caller.Addr(), "seeds", n.Settings.Seeds())
	n.background.Go(func() { n.serve("callers", n.Receiver.Serve, l.caller) })
	n.background.Go(func() { n.serve("operators", n.AdminServer.Serve, l.admin) })
	n.background.Go(func() { n.serve("balancer", n.readiness.Serve, l.readiness) })
	n.background.Go(func() { n.Follower.Run(ctx) })
	n.background.Go(func() { n.Discoverer.Run(ctx) })
	n.background.Go(func() { n.Prober.Run(ctx) })
	n.background.Go(func() { n.Sharer.Run(ctx) })
	n.background.Go(func() { n.Rationer.Run(ctx) })
	n.background.Go(func() { n.Observer.Run(ctx) })
	n.background.Go(func() { n.Standstills.Run(ctx) })
	n.background.Go(func() { n.cleanUp(ctx) })
	n.background.Go(func() { n.watchSettings(ctx) })
	if n.Settings.Relay().MemoryBytes < smallMemoryBytes {
		n.background.Go(func() { releaseMemory(ctx) })
	}
	return nil
}

func (n *relayInstance) serve(purpose string, serve func(net.Listener) error, listener net.Listener) {
	if err := serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		n.Logger.Error("serving a listener failed", "for", purpose, "error", err)
	}
}

// readinessHandler returns the handler for the readiness checks of the load balancer.
func (n *relayInstance) readinessHandler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(n.Settings.Relay().ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !n.Receiver.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}).Methods(http.MethodGet)
	return router
}

// cleanUp periodically closes idle connections, deletes the records of removed targets, and logs readiness changes.
func (n *relayInstance) cleanUp(ctx context.Context) {
	ticker := time.NewTicker(cleanUpInterval)
	defer ticker.Stop()
	wasReady := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n.Transporter.CloseIdle()
		n.Receiver.CloseIdle()
		view := n.Registrar.View()
		known := make(map[string]bool)
		for _, t := range view.Targets() {
			known[t.ID] = true
		}
		isKnown := func(id string) bool { return known[id] }
		n.Transporter.Retain(isKnown)
		n.Picker.Retain(isKnown)
		n.Throttler.Retain(isKnown)
		if ready := n.Receiver.Ready(); ready != wasReady {
			wasReady = ready
			n.Logger.Info("readiness changed", "ready", ready, "position", view.Position())
			if ready {
				n.Events.Record(recorder.KindInstanceReady, n.Settings.Instance(), "", "")
			}
		}
	}
}

// releaseMemory regularly returns freed memory to the system.
func releaseMemory(ctx context.Context) {
	ticker := time.NewTicker(releaseInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			debug.FreeOSMemory()
		}
	}
}

// watchSettings reloads the settings after a SIGHUP, and when the file has changed.
func (n *relayInstance) watchSettings(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	lastModified := modTime(n.Settings.File())
	for {
		cause := "signal"
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-ticker.C:
			if modTime(n.Settings.File()).Equal(lastModified) {
				continue
			}
			cause = "file"
		}
		lastModified = modTime(n.Settings.File())
		n.reloadSettings(cause)
	}
}

// modTime returns the modification time of the file, or the zero time if the file cannot be read.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reloadSettings reads the settings file and applies the limits of the extra load and the seeds. Other settings, such
// as addresses, stay as they were at the start.
func (n *relayInstance) reloadSettings(cause string) {
	settings, err := loader.Load(n.Settings.File())
	if err == nil && settings.Relay() == nil {
		err = errors.New("the settings have no relay section")
	}
	if err != nil {
		n.Logger.Error("settings refused, previous settings stay in force", "cause", cause, "error", err)
		return
	}
	n.Budgeter.SetLimits(extraLoadLimits(settings))
	n.Discoverer.SetSeeds(seedAddresses(settings))
	n.Logger.Info("settings reloaded", "cause", cause, "seeds", settings.Seeds())
}

// stop shuts down gracefully within the grace period: the instance becomes not ready, serves callers for balancerDelay,
// until the load balancer has stopped sending, finishes the requests in flight, and closes connections in closeMargin.
func (n *relayInstance) stop(ctx context.Context) error {
	grace := n.Settings.Relay().GracePeriod
	graceEnd := time.Now().Add(grace - min(closeMargin, grace/2))
	graceCtx, cancelGrace := context.WithDeadline(ctx, graceEnd)
	defer cancelGrace()
	n.Events.Record(recorder.KindInstanceStopping, n.Settings.Instance(), "", "")
	n.Logger.Info("instance stopping", "running", n.Receiver.InFlight(), "grace", grace)
	n.Receiver.Drain(graceEnd)
	timekeeper.Sleep(graceCtx, min(balancerDelay, time.Duration(maxBalancerDelayFraction*float64(grace))))
	err := n.Receiver.Stop(graceCtx)
	n.cancel()
	closeCtx, cancelClose := context.WithTimeout(context.Background(), closeMargin/2)
	defer cancelClose()
	err = errors.Join(err, n.Messenger.Close(closeCtx), n.AdminServer.Stop(closeCtx), n.readiness.Close(), n.awaitBackground(), n.Reporter.Close())
	// The requests that are still running have not finished in time; they end with the process.
	n.Logger.Info("instance stopped", "running", n.Receiver.InFlight(), "error", err)
	return err
}

// errBackgroundRunning reports that background goroutines have not ended backgroundTimeout after they were told to.
var errBackgroundRunning = errors.New("assembler: stop: background goroutines are still running")

// awaitBackground waits until the background goroutines have ended, at most for backgroundTimeout.
func (n *relayInstance) awaitBackground() error {
	ended := make(chan struct{})
	go func() {
		n.background.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-time.After(backgroundTimeout):
		return errBackgroundRunning
	}
}
