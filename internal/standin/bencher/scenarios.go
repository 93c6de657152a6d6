package bencher

import (
	"context"
	"fmt"
	"time"

	"apricotflow/internal/standin/deployer"
	"apricotflow/internal/standin/driver"
	"apricotflow/internal/standin/launcher"
	"apricotflow/internal/standin/replier"
	"apricotflow/internal/standin/tabulator"
	"apricotflow/internal/wire/encoder"
)

const (
	// changeCount is the number of changes of the manifest. changeLimit is the maximum time until all instances apply
	// one.
	changeCount, changeLimit = 10, 5 * time.Second
	// changeTimeout is the time after which a change is no longer awaited. changePause is the pause between two
	// changes.
	changeTimeout, changePause = 4 * changeLimit, 200 * time.Millisecond
	// statusInterval is the interval between two reads of an instance's status.
	statusInterval = 5 * time.Millisecond
	// stopLoadTime is the time of load from the start of a graceful stop on. stopTimeout limits the time until the
	// instance exits.
	stopLoadTime, stopTimeout = 6 * time.Second, 40 * time.Second
	// killLoadTime is the time of load after a kill.
	killLoadTime = 8 * time.Second
	// memberListDelay is the time after which a killed instance is removed from the member list.
	memberListDelay = time.Second
)

// runManifestChanges publishes changes of the manifest and measures the time until all instances report each of them.
func runManifestChanges(ctx context.Context, b *benchmark) error {
	f, err := b.startFixture(ctx, variant{})
	if err != nil {
		return err
	}
	defer f.Close()
	var times []float64
	for range changeCount {
		took, err := f.measureManifestChange(ctx)
		if err != nil {
			return err
		}
		times = append(times, took.Seconds())
		time.Sleep(changePause)
	}
	s := tabulator.NewSummary(times)
	b.addFigure("change", "all", fmt.Sprintf("median time to apply, %d changes, s", changeCount), s.Median, atMost(changeLimit.Seconds()))
	b.addFigure("change", "all", fmt.Sprintf("largest time to apply, %d changes, s", changeCount), s.Maximum, atMost(changeLimit.Seconds()))
	return nil
}

// measureManifestChange publishes a change and returns the time until all instances report its generation, at most
// changeTimeout.
func (f *fixture) measureManifestChange(ctx context.Context) (time.Duration, error) {
	began := time.Now()
	// Any change will do, because no load runs that it could affect.
	err := f.ChangeManifest(ctx, func(m encoder.Manifest) encoder.Manifest {
		limits := m.Limits
		limits.TicketMs++
		return deployer.WithLimits(m, limits)
	})
	generation := f.Manifest().Generation
	for _, address := range f.AdminAddresses() {
		for err == nil && time.Since(began) < changeTimeout {
			s, statusErr := replier.Get[encoder.StatusReply](ctx, "http://"+address+"/v1/status")
			if statusErr == nil && s.Generation >= generation {
				break
			}
			time.Sleep(statusInterval)
			err = ctx.Err()
		}
	}
	return time.Since(began), err
}

// runStop stops an instance gracefully under load.
func runStop(ctx context.Context, b *benchmark) error {
	f, err := b.startFixture(ctx, variant{})
	if err != nil {
		return err
	}
	defer f.Close()
	code := 0
	r, err := f.loadDuring(ctx, b.settings.Duration+stopLoadTime, func(began time.Time) (err error) {
		if err := sleepUntil(ctx, began, b.settings.Duration); err != nil {
			return err
		}
		code, err = f.StopAndRemoveInstance(ctx, f.Instances()[0].Name, stopTimeout)
		return err
	})
	if err != nil {
		return err
	}
	b.addPhase("stop", "before", r.Phase(0, b.settings.Duration))
	b.addPhase("stop", "during", r.Phase(b.settings.Duration, 0))
	b.addRun("stop", r)
	b.addFigure("stop", "during", "cut-off requests", float64(r.Result.Codes[string(driver.OutcomeNoReply)]), atMost(0))
	b.addFigure("stop", "during", "exit code", float64(code), atMost(0))
	return nil
}

// runKill kills an instance under load.
func runKill(ctx context.Context, b *benchmark) error {
	f, err := b.startFixture(ctx, variant{})
	if err != nil {
		return err
	}
	defer f.Close()
	r, killed, err := f.killUnderLoad(ctx, f.Instances()[0])
	if err != nil {
		return err
	}
	b.addPhase("kill", "before", r.Phase(0, killed))
	b.addPhase("kill", "after", r.Phase(killed, 0))
	b.addRun("kill", r)
	for _, o := range []encoder.QueryOutcome{
		encoder.QueryOutcomeNotRun, encoder.QueryOutcomePartial, encoder.QueryOutcomeUnknown, driver.OutcomeNoReply,
	} {
		end := driver.TimeUntilLast(r.Observations, r.Began.Add(killed), o)
		b.addFigure("kill", "after", "last "+string(o)+", s", end.Seconds(), nil)
	}
	return nil
}

// killUnderLoad kills an instance under load and removes it from the member list after memberListDelay. It returns the
// time of the kill, counted from the start of the load.
func (f *fixture) killUnderLoad(ctx context.Context, n launcher.Instance) (driver.Recording, time.Duration, error) {
	var killed time.Time
	before := f.benchmark.settings.Duration
	r, err := f.loadDuring(ctx, before+killLoadTime, func(began time.Time) error {
		if err := sleepUntil(ctx, began, before); err != nil {
			return err
		}
		killed = time.Now()
		if err := f.Kill(n.Name); err != nil {
			return err
		}
		if err := sleepUntil(ctx, killed, memberListDelay); err != nil {
			return err
		}
		return f.RemoveMember(ctx, n.Name)
	})
	return r, killed.Sub(r.Began), err
}
