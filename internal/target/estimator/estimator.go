// Package estimator records latencies over a sliding window and computes quantiles of them. The sender uses it for
// each kind of request, and the hedger for each query class.
package estimator

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// partCount and partDuration define the sliding window. It advances by one part at a time.
	partCount    = 6
	partDuration = 5 * time.Second
	// minLatencyUs and maxLatencyUs are the bounds in microseconds to which latencies are clamped.
	minLatencyUs = 1
	maxLatencyUs = 60_000_000
	// significantDigits is the precision in decimal digits.
	significantDigits = 2
	// minSamples is the number of latencies below which no quantile is returned.
	minSamples = 20
	// cacheTTL is how long a computed quantile is reused.
	cacheTTL = 100 * time.Millisecond
)

// Window holds the latencies of one kind of request over the sliding window.
type Window struct {
	mu        sync.Mutex
	histogram *hdrhistogram.WindowedHistogram
	// partStart is the start of the current part.
	partStart time.Time
	// quantiles holds the computed quantiles by percentage, from the latencies up to cachedAt. The value 0 stands for
	// too few samples.
	quantiles map[float64]time.Duration
	cachedAt  time.Time
}

// NewWindow returns an empty window.
func NewWindow() *Window {
	return &Window{histogram: hdrhistogram.NewWindowed(partCount, minLatencyUs, maxLatencyUs, significantDigits), partStart: time.Now(), quantiles: make(map[float64]time.Duration)}
}

// Record adds a latency.
func (w *Window) Record(latency time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rotate()
	// The value is within the bounds, so recording cannot fail.
	_ = w.histogram.Current.RecordValue(min(max(latency.Microseconds(), minLatencyUs), maxLatencyUs))
}

// rotate drops the parts that have left the window.
func (w *Window) rotate() {
	elapsed := int(time.Since(w.partStart) / partDuration)
	for range min(elapsed, partCount) {
		w.histogram.Rotate()
	}
	w.partStart = w.partStart.Add(time.Duration(elapsed) * partDuration)
}

// Quantile returns the latency at the percentage, and whether there are enough samples.
func (w *Window) Quantile(percent float64) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(w.cachedAt) >= cacheTTL {
		w.rotate()
		clear(w.quantiles)
		w.cachedAt = time.Now()
	}
	latency, found := w.quantiles[percent]
	if !found {
		latency = w.computeQuantile(percent)
		w.quantiles[percent] = latency
	}
	return latency, latency > 0
}

func (w *Window) computeQuantile(percent float64) time.Duration {
	merged := w.histogram.Merge()
	if merged.TotalCount() < minSamples {
		return 0
	}
	return time.Duration(merged.ValueAtQuantile(percent)) * time.Microsecond
}
