package bencher

import (
	"context"
	"slices"
	"time"

	"apricotflow/internal/standin/responder"
)

const (
	// recoveryLimit is how long a restarted target is watched.
	recoveryLimit = 12 * time.Second
	// recoveryWindow and recoveryShare define full rate: the share of the rate before, over the window.
	recoveryWindow, recoveryShare = time.Second, 0.75
	// sampleInterval is the time between two reads of a target's statistics.
	sampleInterval = 50 * time.Millisecond
)

// statistics returns the statistics of the targets that can be reached, by name.
func (f *fixture) statistics(ctx context.Context) map[string]responder.Statistics {
	all := make(map[string]responder.Statistics)
	for _, s := range f.Manifest().Services {
		for _, t := range s.Targets {
			if read, err := f.ControlTarget(ctx, t.Name, responder.Control{}); err == nil {
				all[t.Name] = read
			}
		}
	}
	return all
}

// busiest returns the target that runs most sub-queries under load, and their number per second.
func (f *fixture) busiest(ctx context.Context, duration time.Duration) (string, float64, error) {
	before := f.statistics(ctx)
	f.load(ctx, duration)
	name, most := "", -1
	for _, s := range f.statistics(ctx) {
		if n := s.Executed - before[s.Name].Executed; n > most {
			name, most = s.Name, n
		}
	}
	return name, float64(most) / duration.Seconds(), ctx.Err()
}

// sample reads the statistics of a target until end; times count from the call.
func (f *fixture) sample(ctx context.Context, target string, end time.Time) []sample {
	var samples []sample
	for began := time.Now(); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(sampleInterval) {
		if s, err := f.ControlTarget(ctx, target, responder.Control{}); err == nil {
			samples = append(samples, sample{at: time.Since(began), executed: s.Executed})
		}
	}
	return samples
}

// domainTargets returns the names of the targets of a failure domain.
func (f *fixture) domainTargets(domain string) []string {
	var names []string
	for _, s := range f.Manifest().Services {
		for _, t := range s.Targets {
			if t.FailureDomain == domain {
				names = append(names, t.Name)
			}
		}
	}
	slices.Sort(names)
	return names
}
