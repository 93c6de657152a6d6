// Package demonstrator runs both deployments at a small scale for a few seconds each.
package demonstrator

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"apricotflow/internal/standin/deployer"
	"apricotflow/internal/standin/driver"
	"apricotflow/internal/standin/launcher"
	"apricotflow/internal/wire/encoder"
)

const (
	// scale leaves 14 targets of each deployment.
	scale = 10
	// instances is the number of entry instances of each deployment.
	instances = 3
	// readyLimit is how long the instances may take until they are ready.
	readyLimit = 30 * time.Second
	// resendPercent of the tickets are sent twice.
	resendPercent = 20
)

// Settings describe a demo.
type Settings struct {
	// Standin and Apricotflow are the paths of the two programs.
	Standin, Apricotflow string
	// Environment is added to that of the children.
	Environment []string
	// Rate is in queries per second, Duration that of each deployment.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	Output   io.Writer
}

// ViolationsError reports a demo in which a guarantee was broken or no query was answered.
type ViolationsError struct {
	Violations, Unanswered int
}

func (e *ViolationsError) Error() string {
	return fmt.Sprintf("demonstrator: %d violations, %d deployments without an answer", e.Violations, e.Unanswered)
}

// Run runs the deployments one after the other, prints a table and stops everything it started.
func Run(ctx context.Context, s Settings) error {
	results := make(map[string]driver.Result)
	names := []string{deployer.Ulaanbaatar, deployer.DarEsSalaam}
	for _, name := range names {
		_, _ = fmt.Fprintf(s.Output, "running %s for %s\n", name, s.Duration)
		result, err := run(ctx, s, name)
		if err != nil {
			return err
		}
		results[name] = result
	}
	return report(s.Output, names, results)
}

func run(ctx context.Context, s Settings, name string) (driver.Result, error) {
	plan, err := deployer.New(name, scale, launcher.FreeAddress)
	if err != nil {
		return driver.Result{}, err
	}
	l, err := launcher.Start(ctx, launcher.Settings{
		Standin: s.Standin, Apricotflow: s.Apricotflow, Environment: s.Environment, Plan: plan, Instances: instances,
		TargetFlags: func(encoder.Target) []string { return plan.TargetFlags() },
	})
	if err != nil {
		return driver.Result{}, err
	}
	defer l.Close()
	if err := l.WaitReady(ctx, readyLimit); err != nil {
		return driver.Result{}, err
	}
	load := driver.Settings{
		Manifest: l.Manifest(), Newest: l.Manifest, Entries: l.Callers(), Targets: l.Controls(), Admins: l.Admins(),
		Rate: s.Rate, Duration: s.Duration, Seed: s.Seed, ResendPercent: resendPercent, Latency: plan.ClientLatency,
	}
	if err := driver.WarmUp(ctx, load); err != nil {
		return driver.Result{}, err
	}
	return driver.New(load).Run(ctx), nil
}

func report(w io.Writer, names []string, results map[string]driver.Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "deployment\trate/s\tp50 ms\tp99 ms\tcoverage\textra load\tviolations")
	failure := &ViolationsError{}
	for _, name := range names {
		r := results[name]
		_, _ = fmt.Fprintf(table, "%s\t%.0f\t%.1f\t%.1f\t%.4f\t%.3f\t%d\n",
			name, r.Rate, r.P50Ms, r.P99Ms, r.CoverageMean, r.ExtraLoad, r.ViolationCount)
		failure.Violations += r.ViolationCount
		if r.Rate == 0 {
			failure.Unanswered++
		}
	}
	_ = table.Flush()
	for _, name := range names {
		for _, v := range results[name].Violations {
			_, _ = fmt.Fprintf(w, "%s: %s: %s\n", name, v.Kind, v.Detail)
		}
	}
	if *failure != (ViolationsError{}) {
		return failure
	}
	return nil
}
