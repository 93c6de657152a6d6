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
	// scaleDivisor divides the size of a deployment, which leaves 14 targets.
	scaleDivisor = 10
	// instanceCount is the number of instances that accept queries, in each deployment.
	instanceCount = 4
	// readyTimeout limits the time until all instances are ready.
	readyTimeout = 30 * time.Second
)

// variant is one configuration of a deployment.
type variant struct {
	name string
	// policy is the policy of all instances; nil means the default one.
	policy *encoder.Policy
	// changeManifest modifies the manifest before the start; it may be nil.
	changeManifest func(*encoder.Manifest)
	// targetFlags are additional flags of the targets.
	targetFlags []string
}

// fixture is a running deployment.
type fixture struct {
	*launcher.Launcher
	benchmark     *benchmark
	clientLatency time.Duration
	balancer      *driver.Balancer
	stop          context.CancelFunc
	loadCount     uint64
}

// startFixture starts a deployment and waits until it answers queries completely.
func (b *benchmark) startFixture(ctx context.Context, v variant) (*fixture, error) {
	plan, err := b.plan()
	if err != nil {
		return nil, err
	}
	b.extraLoadPercent = float64(plan.Manifest.Limits.ExtraLoadPercent)
	if v.changeManifest != nil {
		v.changeManifest(&plan.Manifest)
	}
	seed := b.settings.Seed
	l, err := launcher.Start(ctx, launcher.Settings{
		Standin: b.settings.Standin, Apricotflow: b.settings.Apricotflow, Plan: plan, Instances: instanceCount,
		TargetFlags: func(encoder.Target) []string {
			seed++
			return slices.Concat(plan.TargetFlags(), []string{"--seed", fmt.Sprint(seed)}, v.targetFlags)
		},
		ChangeSettings: func(s *encoder.Settings) { s.Policy = v.policy },
	})
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	f := &fixture{Launcher: l, benchmark: b, clientLatency: plan.ClientLatency, stop: stop}
	f.balancer = driver.StartBalancer(ctx, l.CallerAddresses())
	if err := f.awaitComplete(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Close stops everything that startFixture started.
func (f *fixture) Close() {
	f.stop()
	f.Launcher.Close()
}

// awaitComplete waits until leases are usable and answers are complete.
func (f *fixture) awaitComplete(ctx context.Context) error {
	if err := f.WaitReady(ctx, readyTimeout); err != nil {
		return err
	}
	// For one lease period after its start, an instance neither grants nor holds leases.
	time.Sleep(time.Duration(f.Manifest().Limits.LeaseMs) * time.Millisecond)
	return driver.AwaitComplete(ctx, f.driverSettings(0))
}

// load sends queries for the given duration.
func (f *fixture) load(ctx context.Context, duration time.Duration) driver.Recording {
	return driver.Record(ctx, f.driverSettings(duration))
}

// driverSettings returns the settings of one load. Each load has its own seed.
func (f *fixture) driverSettings(duration time.Duration) driver.Settings {
	f.loadCount++
	return driver.Settings{
		Manifest: f.Manifest(), NewestManifest: f.Manifest, CallerAddresses: f.CallerAddresses(), Balancer: f.balancer,
		TargetControlAddresses: f.TargetControlAddresses(), AdminAddresses: f.AdminAddresses(), Rate: f.benchmark.settings.Rate, Duration: duration,
		Seed: f.benchmark.settings.Seed + f.loadCount, Latency: f.clientLatency,
	}
}

// loadDuring sends queries for the given duration while act runs. act gets the start time of the load.
func (f *fixture) loadDuring(ctx context.Context, duration time.Duration, act func(began time.Time) error) (driver.Recording, error) {
	began := time.Now()
	done := make(chan error, 1)
	go func() { done <- act(began) }()
	r := f.load(ctx, duration)
	return r, errors.Join(<-done, ctx.Err())
}

// sleepUntil waits until a time after began, or returns an error if ctx ends first.
func sleepUntil(ctx context.Context, began time.Time, after time.Duration) error {
	select {
	case <-time.After(time.Until(began.Add(after))):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
