package bencher

import (
	"context"
	"fmt"
	"time"

	"apricotflow/internal/standin/deployer"
	"apricotflow/internal/standin/driver"
	"apricotflow/internal/standin/replier"
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
	s := newSpread(times)
	b.figure("change", "all", fmt.Sprintf("median of %d", changes), s.Median, "s", atMost(changeLimit.Seconds()))
	b.figure("change", "all", fmt.Sprintf("largest of %d", changes), s.Maximum, "s", atMost(changeLimit.Seconds()))
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
	before := b.settings.Duration
	var code int
	var stopped time.Time
	r, err := f.during(ctx, before+stopTime, func(began time.Time) error {
		if err := sleep(ctx, began, before); err != nil {
			return err
		}
		stopped = time.Now()
		var err error
		code, err = f.RemoveInstance(ctx, f.Instances()[0].Name, stopLimit)
		return err
	})
	if err != nil {
		return err
	}
	at := stopped.Sub(r.began)
	b.row("stop", "before", r, r.phase(0, at))
	during := b.row("stop", "during", r, r.phase(at, 0))
	b.figure("stop", "during", "cut-off requests", float64(r.result.Codes[string(driver.NoReply)]), "", atMost(0))
	b.figure("stop", "during", "exit code", float64(code), "", atMost(0))
	b.figure("stop", "during", "coverage minimum", during.CoverageMinimum, "", atLeastOne())
	b.figure("stop", "during", "not run", float64(during.NotRun), "", noBound())
	b.figure("stop", "all", "violations", float64(r.result.ViolationCount), "", atMost(0))
	b.extraLoad("stop", "all", r.result.ExtraLoad)
	return nil
}

// runKill kills an instance under load.
func runKill(ctx context.Context, b *bench) error {
	f, err := b.start(ctx, variant{})
	if err != nil {
		return err
	}
	defer f.Close()
	k, err := f.kill(ctx, b.settings.Duration, f.Instances()[0])
	if err != nil {
		return err
	}
	at := k.killed.Sub(k.began)
	b.row("kill", "before", k.recording, k.phase(0, at))
	after := b.row("kill", "after", k.recording, k.phase(at, 0))
	for _, o := range []encoder.QueryOutcome{encoder.QueryOutcomeNotRun, encoder.QueryOutcomePartial, encoder.QueryOutcomeUnknown, driver.NoReply} {
		b.figure("kill", "after", "last "+string(o), last(k.observations, k.killed, o).Seconds(), "s", noBound())
	}
	b.figure("kill", "after", "coverage minimum", after.CoverageMinimum, "", atLeastOne())
	b.figure("kill", "all", "violations", float64(k.result.ViolationCount), "", atMost(0))
	return nil
}
