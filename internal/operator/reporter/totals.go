package reporter

import (
	"math"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// totals is a tally reporter that adds up counters and keeps the latest values of gauges.
type totals struct {
	mu       sync.Mutex
	counters map[string]int
	gauges   map[string]float64
}

func newTotals() *totals {
	return &totals{counters: make(map[string]int), gauges: make(map[string]float64)}
}

// ReportCounter adds the count since the last report to the total of the counter.
func (t *totals) ReportCounter(name string, _ map[string]string, value int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counters[name] += int(value)
}

// ReportGauge replaces the value of the gauge.
func (t *totals) ReportGauge(name string, _ map[string]string, value float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gauges[name] = value
}

// ReportTimer does nothing, because no part of an instance uses timers of tally.
func (t *totals) ReportTimer(string, map[string]string, time.Duration) {}

// ReportHistogramValueSamples does nothing, because the only histogram of tally, receiver-latency, holds durations.
// Other latencies are kept in HDR histograms.
func (t *totals) ReportHistogramValueSamples(string, map[string]string, tally.Buckets, float64, float64, int64) {
}

// ReportHistogramDurationSamples adds the samples to a counter for their bucket, named by its upper bound.
func (t *totals) ReportHistogramDurationSamples(name string, _ map[string]string, _ tally.Buckets, _, upper time.Duration, samples int64) {
	bucket := "inf"
	if upper < math.MaxInt64 {
		bucket = upper.String()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counters[name+"-up-to-"+bucket] += int(samples)
}

// Capabilities returns the totals themselves.
func (t *totals) Capabilities() tally.Capabilities {
	return t
}

// Reporting returns true, because the totals are always kept.
func (t *totals) Reporting() bool {
	return true
}

// Tagging returns false, because the totals are kept by name only.
func (t *totals) Tagging() bool {
	return false
}

// Flush does nothing, because reports are added to the totals at once.
func (t *totals) Flush() {}
