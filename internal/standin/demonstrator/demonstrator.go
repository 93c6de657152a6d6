// Package demonstrator runs the sample deployments of package deployer, in native mode and at a small scale, for a few
// seconds each and prints their results. "standin demo" runs it before the demo of package rehearser, which covers
// relay mode. Package launcher starts the processes, and package driver sends the load and verifies the answers.
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
	// scaleDivisor divides the size of a deployment, which leaves 14 targets.
	scaleDivisor = 10
	// instanceCount is the number of instances of each deployment.
	instanceCount = 3
	// readyTimeout is the maximum time until all instances are ready.
	readyTimeout = 30 * time.Second
	// resendPercent is the percentage of answered queries with a ticket that are sent again.
	resendPercent = 20
)

// Settings configures a demo.
type Settings struct {
	// Standin and Apricotflow are the paths of the two programs.
	Standin, Apricotflow string
	// Environment is added to the environment of the processes.
	Environment []string
	// Rate is in queries per second, Duration is the duration of the load on each deployment.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	Output   io.Writer
}

// ViolationsError reports a demo in which a guarantee was broken or a deployment answered no query.
type ViolationsError struct {
	ViolationCount, UnansweredDeployments int
}

func (e *ViolationsError) Error() string {
	return fmt.Sprintf("demonstrator: %d violations, %d deployments without an answer", e.ViolationCount, e.UnansweredDeployments)
}

// Run runs the deployments one after the other, prints a table of the results and ends all processes.
func Run(ctx context.Context, s Settings) error {
	results := make(map[string]driver.Result)
	names := []string{deployer.Ulaanbaatar, deployer.DarEsSalaam}
	for _, name := range names {
		_, _ = fmt.Fprintf(s.Output, "running %s for %s\n", name, s.Duration)
		result, err := runDeployment(ctx, s, name)
		if err != nil {
			return err
		}
		results[name] = result
	}
	return printReport(s.Output, names, results)
}

func runDeployment(ctx context.Context, s Settings, name string) (driver.Result, error) {
	plan, err := deployer.New(name, scaleDivisor, launcher.FreeAddress)
	if err != nil {
		return driver.Result{}, err
	}
	l, err := launcher.Start(ctx, launcher.Settings{
		Standin: s.Standin, Apricotflow: s.Apricotflow, Environment: s.Environment, Plan: plan, Instances: instanceCount,
		TargetFlags: func(encoder.Target) []string { return plan.TargetFlags() },
	})
	if err != nil {
		return driver.Result{}, err
	}
	defer l.Close()
	if err := l.WaitReady(ctx, readyTimeout); err != nil {
		return driver.Result{}, err
	}
	load := driver.Settings{
		Manifest: l.Manifest(), NewestManifest: l.Manifest, CallerAddresses: l.CallerAddresses(), TargetControlAddresses: l.TargetControlAddresses(), AdminAddresses: l.AdminAddresses(),
		Rate: s.Rate, Duration: s.Duration, Seed: s.Seed, ResendPercent: resendPercent, Latency: plan.ClientLatency,
	}
	if err := driver.AwaitComplete(ctx, load); err != nil {
		return driver.Result{}, err
	}
	return driver.New(load).Run(ctx), nil
}

func printReport(w io.Writer, names []string, results map[string]driver.Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "deployment\trate/s\tp50 ms\tp99 ms\tcoverage\textra load\tviolations")
	failure := &ViolationsError{}
	for _, name := range names {
		r := results[name]
		_, _ = fmt.Fprintf(table, "%s\t%.0f\t%.1f\t%.1f\t%.4f\t%.3f\t%d\n",
			name, r.Rate, r.P50Ms, r.P99Ms, r.CoverageMean, r.ExtraLoad, r.ViolationCount)
		failure.ViolationCount += r.ViolationCount
		if r.Rate == 0 {
			failure.UnansweredDeployments++
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
