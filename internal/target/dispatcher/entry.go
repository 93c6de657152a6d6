package dispatcher

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/target/connector"
	"apricotflow/internal/target/limiter"
	"apricotflow/internal/wire/encoder"
)

// refreshInterval is the mean interval between two report requests to an owned target. It is also the interval of the
// sweep.
const refreshInterval = time.Second

// settings holds the configuration of one owned target.
type settings struct {
	address   string
	ownership limiter.Ownership
}

// entry holds the connector, the limiter and the latest report of one owned target.
type entry struct {
	target    string
	observer  Observer
	connector *connector.Connector
	limiter   *limiter.Limiter
	// settings holds the latest settings that were applied completely; configureMu is held while settings are applied.
	settings    atomic.Pointer[settings]
	configureMu sync.Mutex
	// serving is set if the configuration allowed new work at the latest synchronisation.
	serving atomic.Bool
	// report is the latest report; nil before the first one.
	report atomic.Pointer[encoder.TargetReport]
	// coldNoticePending holds a message while the other owners have yet to be notified that the target has turned cold.
	coldNoticePending chan struct{}
	// stop ends the background tasks.
	stop  context.CancelFunc
	tasks sync.WaitGroup
}

func (d *Dispatcher) newEntry(target string) *entry {
	e := &entry{target: target, observer: d.observer, coldNoticePending: make(chan struct{}, 1)}
	options := []limiter.Option{limiter.WithScope(d.scope)}
	if d.notifyOwners != nil {
		options = append(options, limiter.WithOnCold(e.requestColdNotice))
	}
	e.limiter = limiter.New(target, d.allowance, d.checks, d.events, options...)
	e.connector = connector.New(
		target, "", d.events, connector.WithLogger(d.logger), connector.WithScope(d.scope),
		connector.WithOnReset(e.limiter.ConnectionReset),
		connector.WithOnReachable(func(reachable bool) { d.observer.SetReachable(target, reachable) }),
	)
	e.settings.Store(&settings{})
	e.serving.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	e.tasks.Go(func() { e.refresh(ctx) })
	if d.notifyOwners != nil {
		e.tasks.Go(func() { e.sendColdNotices(ctx, d.notifyOwners) })
	}
	return e
}

// requestColdNotice requests a notification of the other owners. It does not block.
func (e *entry) requestColdNotice() {
	select {
	case e.coldNoticePending <- struct{}{}:
	default:
	}
}

// sendColdNotices notifies the other owners each time that the target has turned cold, until ctx ends.
func (e *entry) sendColdNotices(ctx context.Context, notify NotifyOwners) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.coldNoticePending:
			if notify(ctx, e.target) {
				e.limiter.OwnersNotified()
			}
		}
	}
}

// configure applies new settings if they differ from the latest ones. They are in effect when it returns.
func (e *entry) configure(t resolver.Target, ownership limiter.Ownership) {
	next := settings{address: t.Address, ownership: ownership}
	if *e.settings.Load() == next {
		return
	}
	e.configureMu.Lock()
	defer e.configureMu.Unlock()
	e.apply(next)
}

// retire refuses new sub-queries by setting the share to 0.
func (e *entry) retire() {
	e.configureMu.Lock()
	defer e.configureMu.Unlock()
	next := *e.settings.Load()
	next.ownership.Share = 0
	e.apply(next)
}

// apply publishes the settings last, so that a reader never sees settings that the limiter does not have yet. The
// caller holds configureMu.
func (e *entry) apply(next settings) {
	if *e.settings.Load() == next {
		return
	}
	e.connector.Configure(next.address, next.ownership.Share)
	e.limiter.Configure(next.ownership)
	e.settings.Store(&next)
}

// setServing records whether the configuration allows new work. A target that leaves service or returns to it is
// treated as cold.
func (e *entry) setServing(serving bool) {
	if e.serving.Swap(serving) == serving {
		return
	}
	if serving {
		e.limiter.ReturnToService()
		return
	}
	e.limiter.LeaveService()
}

// refresh requests reports until ctx ends. The interval is jittered, so that the owners do not send their requests at
// the same time.
func (e *entry) refresh(ctx context.Context) {
	for {
		e.refreshOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(refreshInterval*4/5 + rand.N(refreshInterval*2/5)):
		}
	}
}

func (e *entry) refreshOnce(ctx context.Context) {
	if e.settings.Load().ownership.Share == 0 {
		return
	}
	if e.connector.Down() {
		e.observer.SetReachable(e.target, false)
		return
	}
	e.connector.Sweep()
	e.connector.Prepare()
	asked := timekeeper.BootTime()
	report, err := e.connector.Report(ctx)
	if err != nil {
		return
	}
	e.limiter.Report(report.Incarnation, report.State, asked)
	e.report.Store(&report)
	e.observer.ObserveReport(report)
}

func (e *entry) close() {
	e.stop()
	e.tasks.Wait()
	e.connector.Close()
}

func (e *entry) status() encoder.TargetStatus {
	s := e.limiter.Status()
	s.Connections = e.connector.OpenConnections()
	if e.connector.Down() {
		s.State = "down"
	}
	return s
}

// holds reports whether the target holds the version, and whether this is known.
func (e *entry) holds(index string, version int) (held, known bool) {
	report := e.report.Load()
	if report == nil {
		return false, false
	}
	for _, v := range report.Versions {
		if v.Index == index && v.Version == version {
			return true, true
		}
	}
	return false, true
}
