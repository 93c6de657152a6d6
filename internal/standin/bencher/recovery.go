package bencher

import (
	"context"
	"time"

	"apricotflow/internal/standin/driver"
	"apricotflow/internal/standin/responder"
	"apricotflow/internal/wire/encoder"
)

const (
	// coldAnswers is the number of answers until a cold target is warm.
	coldAnswers = "20"
	// slowService is a service time, in milliseconds, with which the limit of a cold target bounds its rate.
	slowService = "10"
	// recoveryLimit is how long a restarted target is watched.
	recoveryLimit = 10 * time.Second
	// recoveryWindow and recoveryShare define full rate: the share of the rate before, over the window.
	recoveryWindow, recoveryShare = time.Second, 0.75
	// sampleInterval is the time between two reads of a target's statistics.
	sampleInterval = 50 * time.Millisecond
)

// shareable sets the cold limit to the number of instances, since each equal share of a lower one is 0, and gives each
// target twice as many slots.
func shareable(m *encoder.Manifest) {
	for _, s := range m.Services {
		for i := range s.Targets {
			s.Targets[i].ColdLimit, s.Targets[i].Slots = instances, 2*instances
		}
	}
}

func slowFlags() []string {
	return []string{"--cold-answers", coldAnswers, "--service-ms", slowService}
}

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
