package driver

import "time"

// ExecutedSample is the number of sub-queries that a target has started to run since its start, at a point in time.
type ExecutedSample struct {
	At       time.Duration
	Executed int
}

// FindRecovery returns the start of the first window in which a target started at least rate sub-queries per second. It
// returns false if there is none.
func FindRecovery(samples []ExecutedSample, rate float64, window time.Duration) (time.Duration, bool) {
	for i, first := range samples {
		for _, last := range samples[i+1:] {
			length := last.At - first.At
			if length < window {
				continue
			}
			if float64(last.Executed-first.Executed) >= rate*length.Seconds() {
				return first.At, true
			}
			break
		}
	}
	return 0, false
}
