package bencher

import (
	"context"
	"time"

	"apricotflow/internal/standin/driver"
	"apricotflow/internal/standin/responder"
)

const (
	// coldTime is the time that a restarted target stays cold.
	coldTime = 2 * time.Second
	// recoveryLimit is how long a restarted target is watched.
	recoveryLimit = 10 * time.Second
	// recoveryWindow and recoveryShare define full rate: the share of the rate before, over the window.
	recoveryWindow, recoveryShare = time.Second, 0.75
	// sampleInterval is the time between two reads of a target's statistics.
	sampleInterval = 50 * time.Millisecond
)

// busiest returns the target that runs most sub-queries under load, and their number per second.
func (f *fixture) busiest(ctx context.Context, duration time.Duration) (string, float64) {
	before := f.Statistics(ctx)
	f.load(ctx, duration)
	name, most := "", -1
	for _, s := range f.Statistics(ctx) {
		if n := s.Executed - before[s.Name].Executed; n > most {
			name, most = s.Name, n
		}
	}
	return name, float64(most) / duration.Seconds()
}

// sample reads the statistics of a target until recoveryLimit.
func (f *fixture) sample(ctx context.Context, target string) []driver.Sample {
	var samples []driver.Sample
	for began := time.Now(); time.Since(began) < recoveryLimit && ctx.Err() == nil; time.Sleep(sampleInterval) {
		if s, err := f.ControlTarget(ctx, target, responder.Control{}); err == nil {
			samples = append(samples, driver.Sample{At: time.Since(began), Executed: s.Executed})
		}
	}
	return samples
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
