package bencher

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"apricotflow/internal/standin/driver"
	"apricotflow/internal/standin/launcher"
	"apricotflow/internal/wire/encoder"
)

const (
	// scale leaves 14 targets of Ulaanbaatar and 16 of Dar es Salaam.
	scale = 10
	// instances is the number of entry instances of each deployment.
	instances = 4
	// readyLimit is how long the instances may take until they are ready.
	readyLimit = 30 * time.Second
)

// variant is one way to run a deployment.
type variant struct {
	name string
	// policy is that of all instances; nil means the default.
	policy *encoder.Policy
	// change changes the manifest; it may be nil.
	change func(*encoder.Manifest)
	// flags are further flags of the targets.
	flags []string
}

// fixture is a running deployment.
type fixture struct {
	*launcher.Launcher
	bench    *bench
	latency  time.Duration
	balancer *driver.Balancer
	stop     context.CancelFunc
	serial   uint64
}

// start starts a deployment and waits until its answers are complete.
func (b *bench) start(ctx context.Context, v variant) (*fixture, error) {
	plan, err := b.plan()
	if err != nil {
		return nil, err
	}
	b.extra = float64(plan.Manifest.Limits.ExtraLoadPercent)
	if v.change != nil {
		v.change(&plan.Manifest)
	}
	seed := b.settings.Seed
	l, err := launcher.Start(ctx, launcher.Settings{
		Standin: b.settings.Standin, Apricotflow: b.settings.Apricotflow, Plan: plan, Instances: instances,
		TargetFlags: func(encoder.Target) []string {
			seed++
			return slices.Concat(plan.TargetFlags(), []string{"--seed", fmt.Sprint(seed)}, v.flags)
		},
		Change: func(s *encoder.Settings) { s.Policy = v.policy },
	})
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	f := &fixture{Launcher: l, bench: b, latency: plan.ClientLatency, stop: stop}
	f.balancer = driver.StartBalancer(ctx, l.Callers())
	if err := f.warm(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Close stops everything that the fixture started.
func (f *fixture) Close() {
	f.stop()
	f.Launcher.Close()
}

// warm waits until leases are usable and answers are complete.
func (f *fixture) warm(ctx context.Context) error {
	if err := f.WaitReady(ctx, readyLimit); err != nil {
		return err
	}
	// An instance neither grants nor holds a lease for this time after its start.
	time.Sleep(time.Duration(f.Manifest().Limits.LeaseMs) * time.Millisecond)
	return driver.WarmUp(ctx, f.driving(0))
}

// load sends queries for a time.
func (f *fixture) load(ctx context.Context, duration time.Duration) driver.Recording {
	return driver.Record(ctx, f.driving(duration))
}

// driving returns the settings of one load, with a seed of its own.
func (f *fixture) driving(duration time.Duration) driver.Settings {
	f.serial++
	return driver.Settings{
		Manifest: f.Manifest(), Newest: f.Manifest, Entries: f.Callers(), Balancer: f.balancer,
		Targets: f.Controls(), Admins: f.Admins(), Rate: f.bench.settings.Rate, Duration: duration,
		Seed: f.bench.settings.Seed + f.serial, Latency: f.latency,
	}
}

// during sends queries for a time while act runs; act gets the start of the load.
func (f *fixture) during(ctx context.Context, duration time.Duration, act func(began time.Time) error) (driver.Recording, error) {
	began := time.Now()
	done := make(chan error, 1)
	go func() { done <- act(began) }()
	r := f.load(ctx, duration)
	return r, errors.Join(<-done, ctx.Err())
}

// sleep waits until a time after began.
func sleep(ctx context.Context, began time.Time, after time.Duration) error {
	select {
	case <-time.After(time.Until(began.Add(after))):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
