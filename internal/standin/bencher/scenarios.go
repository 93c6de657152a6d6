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
	// changes is the number of configuration changes; changeLimit is the time until one is in effect everywhere.
	changes, changeLimit = 10, 5 * time.Second
	// changeWait is how long a change is waited for, changePause the time between two.
	changeWait, changePause = 4 * changeLimit, 200 * time.Millisecond
	// statusInterval is the time between two reads of a status.
	statusInterval = 5 * time.Millisecond
	// stopTime is the time of load from a planned stop on, stopLimit that until the instance has exited.
	stopTime, stopLimit = 6 * time.Second, 40 * time.Second
	// killTime is the time of load from a kill on.
	killTime = 8 * time.Second
	// listDelay is the time until the member list no longer holds an instance that was killed.
	listDelay = time.Second
)

// runChange publishes configuration changes and waits for each until every instance reports it.
func runChange(ctx context.Context, b *bench) error {
	f, err := b.start(ctx, variant{})
	if err != nil {
		return err
	}
	defer f.Close()
	var times []float64
	for range changes {
		took, err := f.change(ctx)
		if err != nil {
			return err
		}
		times = append(times, took.Seconds())
		time.Sleep(changePause)
	}
	s := tabulator.NewSpread(times)
	b.figure("change", "all", fmt.Sprintf("median of %d, s", changes), s.Median, atMost(changeLimit.Seconds()))
	b.figure("change", "all", fmt.Sprintf("largest of %d, s", changes), s.Maximum, atMost(changeLimit.Seconds()))
	return nil
}

// change returns the time until every instance reports a new generation, at most changeWait.
func (f *fixture) change(ctx context.Context) (time.Duration, error) {
	began := time.Now()
	err := f.ChangeManifest(ctx, func(m encoder.Manifest) encoder.Manifest {
		limits := m.Limits
		limits.TicketMs++
		return deployer.WithLimits(m, limits)
	})
	generation := f.Manifest().Generation
	for _, address := range f.Admins() {
		for err == nil && time.Since(began) < changeWait {
			s, failure := replier.Get[encoder.StatusReply](ctx, "http://"+address+"/v1/status")
			if failure == nil && s.Generation >= generation {
				break
			}
			time.Sleep(statusInterval)
			err = ctx.Err()
		}
	}
	return time.Since(began), err
}

// runStop stops an instance as planned, under load.
func runStop(ctx context.Context, b *bench) error {
	f, err := b.start(ctx, variant{})
	if err != nil {
		return err
	}
	defer f.Close()
	code := 0
	r, err := f.during(ctx, b.settings.Duration+stopTime, func(began time.Time) (err error) {
		if err := sleep(ctx, began, b.settings.Duration); err != nil {
			return err
		}
		code, err = f.RemoveInstance(ctx, f.Instances()[0].Name, stopLimit)
		return err
	})
	if err != nil {
		return err
	}
	b.phase("stop", "before", r.Phase(0, b.settings.Duration))
	b.phase("stop", "during", r.Phase(b.settings.Duration, 0))
	b.whole("stop", r)
	b.figure("stop", "during", "cut-off requests", float64(r.Result.Codes[string(driver.NoReply)]), atMost(0))
	b.figure("stop", "during", "exit code", float64(code), atMost(0))
	return nil
}

// runKill kills an instance under load.
func runKill(ctx context.Context, b *bench) error {
	f, err := b.start(ctx, variant{})
	if err != nil {
		return err
	}
	defer f.Close()
	r, killed, err := f.kill(ctx, f.Instances()[0])
	if err != nil {
		return err
	}
	b.phase("kill", "before", r.Phase(0, killed))
	b.phase("kill", "after", r.Phase(killed, 0))
	b.whole("kill", r)
	for _, o := range []encoder.QueryOutcome{
		encoder.QueryOutcomeNotRun, encoder.QueryOutcomePartial, encoder.QueryOutcomeUnknown, driver.NoReply,
	} {
		end := driver.Last(r.Observations, r.Began.Add(killed), o)
		b.figure("kill", "after", "last "+string(o)+", s", end.Seconds(), nil)
	}
	return nil
}

// kill kills an instance under load; the member list loses it after listDelay. It returns the time of the kill.
func (f *fixture) kill(ctx context.Context, n launcher.Instance) (driver.Recording, time.Duration, error) {
	var killed time.Time
	before := f.bench.settings.Duration
	r, err := f.during(ctx, before+killTime, func(began time.Time) error {
		if err := sleep(ctx, began, before); err != nil {
			return err
		}
		killed = time.Now()
		if err := f.Kill(n.Name); err != nil {
			return err
		}
		if err := sleep(ctx, killed, listDelay); err != nil {
			return err
		}
		return f.ForgetInstance(ctx, n.Name)
	})
	return r, killed.Sub(r.Began), err
}
