package assembler

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
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
	"apricotflow/internal/target/budgeter"
	"apricotflow/internal/target/picker"
	"apricotflow/internal/target/prober"
	"apricotflow/internal/target/transporter"
)

const (
	// drainTime is how long callers are served after the instance has become not ready. The balancer asks once a second
	// and takes an instance out after two misses.
	drainTime = 3 * time.Second
	// drainShare bounds it by the grace time.
	drainShare = 0.5
	// finishMargin is the part of the grace time that is left when requests in flight are given up.
	finishMargin = 500 * time.Millisecond
	// readyTimeout bounds one question of the balancer.
	readyTimeout = 5 * time.Second
	// maintainInterval is how often idle connections and records of targets that are gone are dropped.
	maintainInterval = time.Second
	// reloadInterval is how often the settings file is looked at, since it may change without a signal.
	reloadInterval = 2 * time.Second
)

// relayParts are what starts and stops.
type relayParts struct {
	fx.In

	Settings    loader.Settings
	Incarnation Incarnation
	Version     Version
	Registrar   *registrar.Registrar
	Messenger   *messenger.Messenger
	Discoverer  *discoverer.Discoverer
	Follower    *follower.Follower
	Picker      *picker.Picker
	Budget      *budgeter.Budgeter
	Transporter *transporter.Transporter
	Prober      *prober.Prober
	Receiver    *receiver.Receiver
	Operators   *admin.Server
	Events      *recorder.Recorder
	Observer    *observer.Observer
	Reporter    *reporter.Reporter
	Logger      *log.Logger
}

// relayInstance runs the parts of one instance that relays requests.
type relayInstance struct {
	relayParts
	ready      *http.Server
	cancel     context.CancelFunc
	background sync.WaitGroup
}

func runRelay(lifecycle fx.Lifecycle, p relayParts) {
	n := &relayInstance{relayParts: p}
	lifecycle.Append(fx.Hook{OnStart: n.start, OnStop: n.stop})
}

// listeners are the open ports of an instance.
type listeners struct {
	callers, operators, ready net.Listener
}

func (n *relayInstance) listen() (listeners, error) {
	var l listeners
	var failures [3]error
	l.callers, failures[0] = net.Listen("tcp", n.Settings.CallerAddress().String())
	l.operators, failures[1] = net.Listen("tcp", n.Settings.AdminAddress().String())
	l.ready, failures[2] = net.Listen("tcp", n.Settings.Relay().ReadyAddress.String())
	return l, errors.Join(failures[:]...)
}

func (n *relayInstance) start(context.Context) error {
	l, err := n.listen()
	if err != nil {
		return err
	}
	if err := n.Messenger.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.ready = &http.Server{Handler: n.readyHandler(), ReadTimeout: readyTimeout, WriteTimeout: readyTimeout}
	n.Events.Record(recorder.KindInstanceStarted, n.Settings.Instance(), "", string(n.Version)+" "+string(n.Incarnation))
	n.Logger.Info("instance started", "version", n.Version, "incarnation", n.Incarnation, "failure-domain", n.Settings.FailureDomain(),
		"caller-address", l.callers.Addr(), "seeds", n.Settings.Seeds())
	n.background.Go(func() { n.serve("callers", n.Receiver.Serve, l.callers) })
	n.background.Go(func() { n.serve("operators", n.Operators.Serve, l.operators) })
	n.background.Go(func() { n.serve("balancer", n.ready.Serve, l.ready) })
	n.background.Go(func() { n.Follower.Run(ctx) })
	n.background.Go(func() { n.Discoverer.Run(ctx) })
	n.background.Go(func() { n.Prober.Run(ctx) })
	n.background.Go(func() { n.Observer.Run(ctx) })
	n.background.Go(func() { n.maintain(ctx) })
	n.background.Go(func() { n.reload(ctx) })
	return nil
}

func (n *relayInstance) serve(name string, serve func(net.Listener) error, listener net.Listener) {
	if err := serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		n.Logger.Error("listener ended", "for", name, "error", err)
	}
}

// readyHandler answers the balancer.
func (n *relayInstance) readyHandler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(n.Settings.Relay().ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !n.Receiver.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}).Methods(http.MethodGet)
	return router
}

// maintain drops what is not needed any more.
func (n *relayInstance) maintain(ctx context.Context) {
	ticker := time.NewTicker(maintainInterval)
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
		wanted := func(id string) bool { return known[id] }
		n.Transporter.Retain(wanted)
		n.Picker.Retain(wanted)
		if ready := n.Receiver.Ready(); ready != wasReady {
			wasReady = ready
			n.Logger.Info("readiness changed", "ready", ready, "revision", view.Revision())
			if ready {
				n.Events.Record(recorder.KindInstanceReady, n.Settings.Instance(), "", "")
			}
		}
	}
}

// reload takes up changed settings after a signal or when the file has changed.
func (n *relayInstance) reload(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	changed := modified(n.Settings.File())
	for {
		cause := "signal"
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-ticker.C:
			if modified(n.Settings.File()).Equal(changed) {
				continue
			}
			cause = "file"
		}
		changed = modified(n.Settings.File())
		n.takeSettings(cause)
	}
}

// modified returns when the file was changed; it is zero for a file that cannot be looked at, which counts as unchanged.
func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// takeSettings reads the settings again. Addresses stay as they were at the start.
func (n *relayInstance) takeSettings(cause string) {
	settings, err := loader.Load(n.Settings.File())
	if err == nil && settings.Relay() == nil {
		err = errors.New("the settings have no relay section")
	}
	if err != nil {
		n.Logger.Error("settings refused, the ones before stay in force", "cause", cause, "error", err)
		return
	}
	n.Budget.SetLimits(extraLoad(settings))
	n.Discoverer.SetSeeds(seedAddresses(settings))
	n.Logger.Info("settings reloaded", "cause", cause, "seeds", settings.Seeds())
}

// stop is the graceful shutdown: the instance becomes not ready, serves callers until the balancer has stopped sending,
// finishes the requests in flight, and closes connections last.
func (n *relayInstance) stop(ctx context.Context) error {
	grace := n.Settings.Relay().Grace
	end, cancelEnd := context.WithTimeout(ctx, grace-min(finishMargin, grace/2))
	defer cancelEnd()
	n.Events.Record(recorder.KindInstanceStopping, n.Settings.Instance(), "", "")
	n.Logger.Info("instance stopping", "running", n.Receiver.Running(), "grace", grace)
	n.Receiver.Drain()
	timekeeper.Sleep(end, min(drainTime, time.Duration(drainShare*float64(grace))))
	err := n.Receiver.Stop(end)
	n.Logger.Info("instance stopped", "running", n.Receiver.Running(), "error", err)
	n.cancel()
	closed, cancelClosed := context.WithTimeout(context.Background(), finishMargin/2)
	defer cancelClosed()
	return errors.Join(err, n.Messenger.Close(closed), n.Operators.Stop(closed), n.ready.Close(), n.Reporter.Close())
}
