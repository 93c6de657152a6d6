package bencher

import (
	"context"
	"time"

	"apricotflow/internal/standin/driver"
	"apricotflow/internal/standin/responder"
	"apricotflow/internal/wire/encoder"
)

const (
	// warmUpAnswers is the number of answers that a cold target needs to become warm.
	warmUpAnswers = "20"
	// slowServiceMs is a service time, in milliseconds, that is long enough for the cold limit to bound the rate of a
	// cold target.
	slowServiceMs = "10"
	// recoveryTimeout is the time for which a restarted target is observed.
	recoveryTimeout = 10 * time.Second
	// recoveryWindow and recoveryShare define when a restarted target has recovered: its rate over the window is at
	// least this share of the rate before.
	recoveryWindow, recoveryShare = time.Second, 0.75
	// sampleInterval is the interval between two reads of a target's statistics.
	sampleInterval = 50 * time.Millisecond
)

// setShareableColdLimits sets the cold limit of each target to the number of instances, because with a lower one each
// equal share would be 0. It gives each target twice as many slots.
func setShareableColdLimits(m *encoder.Manifest) {
	for _, s := range m.Services {
		for i := range s.Targets {
			s.Targets[i].ColdLimit, s.Targets[i].Slots = instanceCount, 2*instanceCount
		}
	}
}

func slowTargetFlags() []string {
	return []string{"--cold-answers", warmUpAnswers, "--service-ms", slowServiceMs}
}

// busiestTarget returns the target that runs the most sub-queries under load, and their rate per second.
func (f *fixture) busiestTarget(ctx context.Context, duration time.Duration) (string, float64) {
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

// sampleStatistics reads the statistics of a target repeatedly for recoveryTimeout. Failed reads are skipped.
func (f *fixture) sampleStatistics(ctx context.Context, target string) []driver.ExecutedSample {
	var samples []driver.ExecutedSample
	for began := time.Now(); time.Since(began) < recoveryTimeout && ctx.Err() == nil; time.Sleep(sampleInterval) {
		if s, err := f.ControlTarget(ctx, target, responder.Control{}); err == nil {
			samples = append(samples, driver.ExecutedSample{At: time.Since(began), Executed: s.Executed})
		}
	}
	return samples
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
