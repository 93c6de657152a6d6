// Package estimator records latencies over a sliding window and computes percentiles of them. In relay mode the sender
// uses it for each route, and in native mode the hedger uses it for each query class; they derive the hedge delays.
package estimator

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// bucketCount and bucketDuration define the sliding window. It advances by one bucket at a time.
	bucketCount    = 6
	bucketDuration = 5 * time.Second
	// minLatencyUs and maxLatencyUs are the bounds in microseconds to which latencies are clamped.
	minLatencyUs = 1
	maxLatencyUs = 60_000_000
	// significantDigits is the precision in decimal digits.
	significantDigits = 2
	// minSamples is the number of latencies below which no percentile is returned.
	minSamples = 20
	// cacheTTL is how long a computed percentile is reused.
	cacheTTL = 100 * time.Millisecond
)

// Window holds the latencies of one route or query class over the sliding window.
type Window struct {
	mu        sync.Mutex
	histogram *hdrhistogram.WindowedHistogram
	// bucketStart is the start of the current bucket.
	bucketStart time.Time
	// percentiles caches the percentiles computed since cachedAt, by percentage. The value 0 stands for too few
	// samples.
	percentiles map[float64]time.Duration
	cachedAt    time.Time
}

// NewWindow returns an empty window.
func NewWindow() *Window {
	return &Window{histogram: hdrhistogram.NewWindowed(bucketCount, minLatencyUs, maxLatencyUs, significantDigits), bucketStart: time.Now(), percentiles: make(map[float64]time.Duration)}
}

// Record adds a latency.
func (w *Window) Record(latency time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rotate()
	// The value is within the bounds, so recording cannot fail.
	_ = w.histogram.Current.RecordValue(min(max(latency.Microseconds(), minLatencyUs), maxLatencyUs))
}

// rotate drops the buckets that have left the window.
func (w *Window) rotate() {
	elapsed := int(time.Since(w.bucketStart) / bucketDuration)
	for range min(elapsed, bucketCount) {
		w.histogram.Rotate()
	}
	w.bucketStart = w.bucketStart.Add(time.Duration(elapsed) * bucketDuration)
}

// Percentile returns the latency that the given percentage of the recorded latencies does not exceed, and reports
// whether there are enough samples.
func (w *Window) Percentile(percent float64) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(w.cachedAt) >= cacheTTL {
		w.rotate()
		clear(w.percentiles)
		w.cachedAt = time.Now()
	}
	latency, found := w.percentiles[percent]
	if !found {
		latency = w.computePercentile(percent)
		w.percentiles[percent] = latency
	}
	return latency, latency > 0
}

func (w *Window) computePercentile(percent float64) time.Duration {
	merged := w.histogram.Merge()
	if merged.TotalCount() < minSamples {
		return 0
	}
	return time.Duration(merged.ValueAtQuantile(percent)) * time.Microsecond
}
