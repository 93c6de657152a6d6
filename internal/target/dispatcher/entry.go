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

// refreshInterval is the mean time between two reports of an owned target.
const refreshInterval = time.Second

// settings is what the configuration says about an owned target.
type settings struct {
	address   string
	ownership limiter.Ownership
}

// entry holds what this instance keeps about one owned target.
type entry struct {
	target    string
	observer  Observer
	connector *connector.Connector
	limiter   *limiter.Limiter
	// settings is the latest one that was applied completely; configuring is held while it is applied.
	settings    atomic.Pointer[settings]
	configuring sync.Mutex
	// serving is whether the configuration allowed new work at the last synchronisation.
	serving atomic.Bool
	// report is nil before the first one.
	report atomic.Pointer[encoder.TargetReport]
	// turnedCold holds a message while the other owners are still to be told.
	turnedCold chan struct{}
	// stop ends the tasks.
	stop  context.CancelFunc
	tasks sync.WaitGroup
}

func (d *Dispatcher) newEntry(target string) *entry {
	e := &entry{target: target, observer: d.observer, turnedCold: make(chan struct{}, 1)}
	options := []limiter.Option{limiter.WithScope(d.scope)}
	if d.tell != nil {
		options = append(options, limiter.WithOnCold(e.noteCold))
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
	if d.tell != nil {
		e.tasks.Go(func() { e.tellOwners(ctx, d.tell) })
	}
	return e
}

// noteCold asks for the other owners to be told; it does not block.
func (e *entry) noteCold() {
	select {
	case e.turnedCold <- struct{}{}:
	default:
	}
}

// tellOwners tells the other owners of the target each time that it has turned cold, until ctx ends.
func (e *entry) tellOwners(ctx context.Context, tell Tell) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.turnedCold:
			if tell(ctx, e.target) {
				e.limiter.Told()
			}
		}
	}
}

// configure applies settings that differ from the latest ones. They are in effect when it returns.
func (e *entry) configure(t resolver.Target, ownership limiter.Ownership) {
	next := settings{address: t.Address, ownership: ownership}
	if *e.settings.Load() == next {
		return
	}
	e.configuring.Lock()
	defer e.configuring.Unlock()
	e.apply(next)
}

// retire refuses new sub-queries.
func (e *entry) retire() {
	e.configuring.Lock()
	defer e.configuring.Unlock()
	next := *e.settings.Load()
	next.ownership.Share = 0
	e.apply(next)
}

// apply publishes the settings last, so that nobody who sees them finds the limiter without them; the caller
// holds configuring.
func (e *entry) apply(next settings) {
	if *e.settings.Load() == next {
		return
	}
	e.connector.Configure(next.address, next.ownership.Share)
	e.limiter.Configure(next.ownership)
	e.settings.Store(&next)
}

// serve notes whether the configuration allows new work; a target that leaves or returns to service is treated as
// cold.
func (e *entry) serve(serving bool) {
	if e.serving.Swap(serving) == serving {
		return
	}
	if serving {
		e.limiter.ReturnToService()
		return
	}
	e.limiter.LeaveService()
}

// refresh asks for reports until ctx ends. The interval is jittered, so that owners don't ask at the same time.
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
	e.observer.Hint(report)
}

func (e *entry) close() {
	e.stop()
	e.tasks.Wait()
	e.connector.Close()
}

func (e *entry) status() encoder.TargetStatus {
	s := e.limiter.Status()
	s.Connections = e.connector.Open()
	if e.connector.Down() {
		s.State = "down"
	}
	return s
}

// holds reports whether the target holds the version, and whether that is known.
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
