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

// refreshInterval is the mean interval between two report requests to an owned target. It is also the interval at which
// Dispatcher.maintain applies the configuration and removes expired attempts.
const refreshInterval = time.Second

// targetSettings holds the address and the ownership of one owned target.
type targetSettings struct {
	address   string
	ownership limiter.Ownership
}

// entry is the dispatcher's record of one owned target: its connector, its limiter and its latest report.
type entry struct {
	target    string
	observer  Observer
	connector *connector.Connector
	limiter   *limiter.Limiter
	// appliedSettings holds the latest settings that were applied completely; configureMu is held while settings are
	// applied.
	appliedSettings atomic.Pointer[targetSettings]
	configureMu     sync.Mutex
	// serving is set if the target was serving at the latest Sync.
	serving atomic.Bool
	// report is the latest report; nil before the first one.
	report atomic.Pointer[encoder.TargetReport]
	// coldNoticePending holds one element while the other owners have yet to be notified that the target has turned cold.
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
	e.limiter = limiter.New(target, d.allowance, d.checker, d.events, options...)
	e.connector = connector.New(
		target, "", d.events, connector.WithLogger(d.logger), connector.WithScope(d.scope),
		connector.WithOnRemoteClose(e.limiter.ObserveRemoteClose),
		connector.WithOnUpChange(func(up bool) { d.observer.SetTargetUp(target, up) }),
	)
	e.appliedSettings.Store(&targetSettings{})
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

// sendColdNotices notifies the other owners each time the target has turned cold, until ctx ends.
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
	next := targetSettings{address: t.Address, ownership: ownership}
	if *e.appliedSettings.Load() == next {
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
	next := *e.appliedSettings.Load()
	next.ownership.Share = 0
	e.apply(next)
}

// apply stores the settings last, so that a reader never sees settings that the limiter does not have yet.
// e.configureMu must be held.
func (e *entry) apply(next targetSettings) {
	if *e.appliedSettings.Load() == next {
		return
	}
	e.connector.Configure(next.address, next.ownership.Share)
	e.limiter.Configure(next.ownership)
	e.appliedSettings.Store(&next)
}

// setServing records whether the target is serving. After a change in either direction, the target is treated as cold.
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

// refresh requests reports until ctx ends. The interval is jittered, so that the owners do not all send their requests
// at the same time.
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
	if e.appliedSettings.Load().ownership.Share == 0 {
		return
	}
	if e.connector.IsDown() {
		e.observer.SetTargetUp(e.target, false)
		return
	}
	e.connector.CloseIdle()
	e.connector.OpenIfNoneIdle()
	requestedAt := timekeeper.BootTime()
	report, err := e.connector.FetchReport(ctx)
	if err != nil {
		return
	}
	e.limiter.ObserveReport(report.Incarnation, report.State, requestedAt)
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
	if e.connector.IsDown() {
		s.State = "down"
	}
	return s
}

// holds reports whether the target holds the index version; known is false before the first report.
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
