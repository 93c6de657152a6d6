package selector

import (
	"math"
	"sync/atomic"
	"time"

	"apricotflow/internal/wire/encoder"
)

const (
	// latencyWeight is the weight of a new latency in the average.
	latencyWeight = 0.2
	// latencyHalfLife halves the average while a target gets no sub-queries, so that it is tried again.
	latencyHalfLife = 5 * time.Second
	// latencyPrior is assumed for a target without measurements.
	latencyPrior = time.Millisecond
	// latencyCap bounds the average after failures.
	latencyCap = 10 * time.Second
	// hintHalfLife halves the weight of a load report.
	hintHalfLife = 2 * time.Second
	// downTime is how long a target that an owner reported as down gets no new work.
	downTime = time.Second
	// unreachableTime is how long a target that this instance can't reach gets no new work. It exceeds the longest time
	// between two refreshes by the dispatcher, and ends by itself when the target is no longer owned.
	unreachableTime = 1500 * time.Millisecond
	// drainTime is how long a target that reported itself as draining gets no new work. An owner that learns of the
	// draining refuses it in any case.
	drainTime = 5 * time.Second
)

// measure is an average at a time.
type measure struct {
	value float64
	at    time.Time
}

// load is what is known of one target; all fields are replaced atomically.
type load struct {
	inFlight atomic.Int64
	latency  atomic.Pointer[measure]
	// hint is the number of sub-queries that the target reported as running.
	hint atomic.Pointer[measure]
	// downUntil and drainUntil are in nanoseconds since 1970.
	downUntil  atomic.Int64
	drainUntil atomic.Int64
}

// mean returns the average latency in nanoseconds.
func (l *load) mean(now time.Time) float64 {
	m := l.latency.Load()
	if m == nil {
		return float64(latencyPrior)
	}
	aged := m.value * decay(now.Sub(m.at), latencyHalfLife)
	return max(aged, float64(latencyPrior)/10)
}

// observe adds the latency of a reply. A reply without an answer counts as slower than the average, so that a target
// that fails fast isn't preferred.
func (l *load) observe(r encoder.SubReply, latency time.Duration, now time.Time) {
	mean := l.mean(now)
	sample := float64(latency)
	switch {
	case r.Outcome == encoder.OutcomeAnswered:
	case r.Reason == encoder.ReasonCancelled:
		sample = max(sample, mean)
	default:
		sample = max(sample, 2*mean)
	}
	value := mean + latencyWeight*(sample-mean)
	if l.latency.Load() == nil {
		value = sample
	}
	l.latency.Store(&measure{value: min(value, float64(latencyCap)), at: now})
}

// running estimates the sub-queries in flight: the own ones, and those in the latest report with a weight that
// decreases with its age.
func (l *load) running(now time.Time) float64 {
	own := float64(max(l.inFlight.Load(), 0))
	h := l.hint.Load()
	if h == nil {
		return own
	}
	return own + max(h.value-own, 0)*decay(now.Sub(h.at), hintHalfLife)/2
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}

// usable reports whether no fact speaks against new work.
func (l *load) usable(now time.Time) bool {
	n := now.UnixNano()
	return n >= l.downUntil.Load() && n >= l.drainUntil.Load()
}
