package loopback_test

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/target/dispatcher"
	"apricotflow/internal/wire/encoder"
)

// observer keeps the latest report and counts the changes of reachability.
type observer struct {
	report      atomic.Pointer[encoder.TargetReport]
	unreachable atomic.Int64
	reachable   atomic.Int64
}

func (o *observer) ObserveReport(report encoder.TargetReport) { o.report.Store(&report) }

func (o *observer) SetReachable(_ string, reachable bool) {
	if reachable {
		o.reachable.Add(1)
		return
	}
	o.unreachable.Add(1)
}

// The selector must learn the load, the loss and the return of an owned target without a sub-query that fails first.
func TestObserverLearnsReportsAndReachability(t *testing.T) {
	o := &observer{}
	d := newTestDispatcher(t, dispatcher.WithObserver(o))
	eventually(t, "report passed on", func() bool { return o.report.Load() != nil && o.report.Load().Target == "t" })
	assert.Equal(t, o.unreachable.Load(), int64(0))
	d.fake.update(func() { d.fake.silentBelow = 1 << 30 })
	d.run(1, 50*time.Millisecond)
	eventually(t, "loss repeated while it lasts", func() bool { return o.unreachable.Load() > 1 })
	d.fake.update(func() { d.fake.silentBelow = 0 })
	eventually(t, "return passed on", func() bool { return o.reachable.Load() == 1 })
}
