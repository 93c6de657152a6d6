// Package estimator keeps recent latencies in a sliding window and computes quantiles of them.
package estimator

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// parts and partLength define the sliding window: its oldest part is dropped as a whole.
	parts      = 6
	partLength = 5 * time.Second
	// lowest and highest bound the latencies in microseconds that are kept apart.
	lowest  = 1
	highest = 60_000_000
	// digits is the precision in significant decimal digits.
	digits = 2
	// minSamples is the number of latencies below which a quantile says little.
	minSamples = 20
	// cacheLength is how long a computed quantile is used.
	cacheLength = 100 * time.Millisecond
)

// Window holds the latencies of one kind of request over the sliding window.
type Window struct {
	mu        sync.Mutex
	histogram *hdrhistogram.WindowedHistogram
	// rotated is the start of the current part.
	rotated time.Time
	// cached holds the quantiles by percentage computed from the latencies up to cachedAt; 0 stands for too few samples.
	cached   map[float64]time.Duration
	cachedAt time.Time
}

// NewWindow creates an empty window.
func NewWindow() *Window {
	return &Window{histogram: hdrhistogram.NewWindowed(parts, lowest, highest, digits), rotated: time.Now(), cached: make(map[float64]time.Duration)}
}

// Record adds a latency.
func (w *Window) Record(latency time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rotate()
	// The value is within the bounds, so recording cannot fail.
	_ = w.histogram.Current.RecordValue(min(max(latency.Microseconds(), lowest), highest))
}

// rotate drops the parts that have left the window.
func (w *Window) rotate() {
	elapsed := int(time.Since(w.rotated) / partLength)
	for range min(elapsed, parts) {
		w.histogram.Rotate()
	}
	w.rotated = w.rotated.Add(time.Duration(elapsed) * partLength)
}

// Quantile returns the latency at the percentage, unless there are too few samples.
func (w *Window) Quantile(percent float64) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(w.cachedAt) >= cacheLength {
		w.rotate()
		clear(w.cached)
		w.cachedAt = time.Now()
	}
	delay, found := w.cached[percent]
	if !found {
		delay = w.compute(percent)
		w.cached[percent] = delay
	}
	return delay, delay > 0
}

func (w *Window) compute(percent float64) time.Duration {
	merged := w.histogram.Merge()
	if merged.TotalCount() < minSamples {
		return 0
	}
	return time.Duration(merged.ValueAtQuantile(percent)) * time.Microsecond
}
