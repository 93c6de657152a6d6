package selector

import (
	"math"
	"sync/atomic"
	"time"

	"apricotflow/internal/wire/encoder"
)

const (
	// latencyWeight is the weight of a new latency in the moving average.
	latencyWeight = 0.2
	// latencyHalfLife is the time in which the average decays by half while a target gets no sub-queries, so that the
	// target is tried again.
	latencyHalfLife = 5 * time.Second
	// defaultLatency is the latency of a target without measurements.
	defaultLatency = time.Millisecond
	// maxLatency limits the average latency after failures.
	maxLatency = 10 * time.Second
	// reportHalfLife is the time in which the weight of a load report decays by half.
	reportHalfLife = 2 * time.Second
	// downTime is how long a target gets no new work after an owner reported it as down.
	downTime = time.Second
	// unreachableTime is how long a target gets no new work after this instance failed to connect to it. It exceeds the
	// longest time between two refreshes by the dispatcher, which renew it, and expires when the target is no longer
	// owned.
	unreachableTime = 1500 * time.Millisecond
	// drainTime is how long a target gets no new work after it reported itself as draining. An owner that knows of the
	// draining refuses new work in any case.
	drainTime = 5 * time.Second
)

// timedValue is a value and the time at which it was recorded.
type timedValue struct {
	value float64
	at    time.Time
}

// targetLoad is the load of one target as known to this instance. All fields are updated atomically.
type targetLoad struct {
	inFlight atomic.Int64
	latency  atomic.Pointer[timedValue]
	// reportedInFlight is the number of running sub-queries in the latest report of the target.
	reportedInFlight atomic.Pointer[timedValue]
	// downUntil and drainUntil are in nanoseconds since 1970, the Unix epoch.
	downUntil  atomic.Int64
	drainUntil atomic.Int64
}

// meanLatency returns the decayed average latency in nanoseconds.
func (l *targetLoad) meanLatency(now time.Time) float64 {
	m := l.latency.Load()
	if m == nil {
		return float64(defaultLatency)
	}
	aged := m.value * decay(now.Sub(m.at), latencyHalfLife)
	return max(aged, float64(defaultLatency)/10)
}

// observeLatency adds the latency of a reply to the average. A reply without an answer counts as slower than the
// average, so that a target that fails fast is not preferred.
func (l *targetLoad) observeLatency(r encoder.SubReply, latency time.Duration, now time.Time) {
	meanLatency := l.meanLatency(now)
	sample := float64(latency)
	switch {
	case r.Outcome == encoder.OutcomeAnswered:
	case r.Reason == encoder.ReasonCancelled:
		sample = max(sample, meanLatency)
	default:
		sample = max(sample, 2*meanLatency)
	}
	value := meanLatency + latencyWeight*(sample-meanLatency)
	if l.latency.Load() == nil {
		value = sample
	}
	l.latency.Store(&timedValue{value: min(value, float64(maxLatency)), at: now})
}

// estimatedInFlight estimates the sub-queries in flight from those of this instance and those in the latest report,
// whose weight decreases with its age.
func (l *targetLoad) estimatedInFlight(now time.Time) float64 {
	own := float64(max(l.inFlight.Load(), 0))
	h := l.reportedInFlight.Load()
	if h == nil {
		return own
	}
	return own + max(h.value-own, 0)*decay(now.Sub(h.at), reportHalfLife)/2
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}

// usable reports whether the target is neither down nor draining.
func (l *targetLoad) usable(now time.Time) bool {
	n := now.UnixNano()
	return n >= l.downUntil.Load() && n >= l.drainUntil.Load()
}
