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
	// reportedDownTime is how long a target gets no new work after a reply with the reason target-down.
	reportedDownTime = time.Second
	// observedDownTime is how long a target gets no new work after this instance failed to connect to it. While it stays
	// down, the dispatcher repeats SetTargetUp at intervals of at most 1.2 s, so the state lasts. Nobody repeats it for a
	// target that this instance no longer owns, so the state then expires.
	observedDownTime = 1500 * time.Millisecond
	// drainTime is how long a target gets no new work after it was reported as draining. It need not cover the whole
	// draining, because an owner that knows of the draining refuses new work in any case.
	drainTime = 5 * time.Second
)

// timedValue is a value and the time at which it was recorded.
type timedValue struct {
	value float64
	at    time.Time
}

// targetLoad is what this instance knows about the load and the availability of one target. All fields are updated
// atomically.
type targetLoad struct {
	// inFlight is the number of sub-queries that this instance has in flight to the target.
	inFlight atomic.Int64
	// latency is the average latency in nanoseconds; nil before the first reply.
	latency atomic.Pointer[timedValue]
	// reportedInFlight is the number of running sub-queries in the latest report of the target.
	reportedInFlight atomic.Pointer[timedValue]
	// downUntil and drainingUntil are in nanoseconds since 1970, the Unix epoch. The target gets no new work before them.
	downUntil     atomic.Int64
	drainingUntil atomic.Int64
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

// observeLatency adds the latency of a reply to the average. A reply with another outcome than answered counts as
// slower than the average, so that a target that fails fast is not preferred.
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

// estimatedInFlight estimates the sub-queries in flight to the target from all instances. It adds to those of this
// instance half of the further ones in the latest report, with a weight that decreases with the age of the report.
func (l *targetLoad) estimatedInFlight(now time.Time) float64 {
	own := float64(max(l.inFlight.Load(), 0))
	reported := l.reportedInFlight.Load()
	if reported == nil {
		return own
	}
	return own + max(reported.value-own, 0)*decay(now.Sub(reported.at), reportHalfLife)/2
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}

// isAvailable reports whether the target is neither down nor draining.
func (l *targetLoad) isAvailable(now time.Time) bool {
	n := now.UnixNano()
	return n >= l.downUntil.Load() && n >= l.drainingUntil.Load()
}
