package loopback_test

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/target/dispatcher"
	"apricotflow/internal/wire/encoder"
)

// observer keeps the latest report and counts the calls of SetTargetUp by their argument.
type observer struct {
	report    atomic.Pointer[encoder.TargetReport]
	downCalls atomic.Int64
	upCalls   atomic.Int64
}

func (o *observer) ObserveReport(report encoder.TargetReport) { o.report.Store(&report) }

func (o *observer) SetTargetUp(_ string, up bool) {
	if up {
		o.upCalls.Add(1)
		return
	}
	o.downCalls.Add(1)
}

// The selector must learn the load of an owned target, and whether the target is up, without a sub-query that fails
// first.
func TestObserverLearnsReportsAndWhetherTargetIsUp(t *testing.T) {
	o := &observer{}
	d := newTestDispatcher(t, dispatcher.WithObserver(o))
	eventually(t, "report observed", func() bool { return o.report.Load() != nil && o.report.Load().Target == "t" })
	assert.Equal(t, o.downCalls.Load(), int64(0))
	d.fake.update(func() { d.fake.silentBelow = 1 << 30 })
	d.run(1, 50*time.Millisecond)
	eventually(t, "target reported as down repeatedly", func() bool { return o.downCalls.Load() > 1 })
	d.fake.update(func() { d.fake.silentBelow = 0 })
	eventually(t, "target reported as up again", func() bool { return o.upCalls.Load() == 1 })
}
