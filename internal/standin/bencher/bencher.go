// Package bencher measures each policy against a simpler one, and the service while parts of a deployment change.
package bencher

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"apricotflow/internal/standin/deployer"
	"apricotflow/internal/standin/launcher"
)

// Settings describe a benchmark.
type Settings struct {
	// Standin and Apricotflow are the paths of the two programs.
	Standin, Apricotflow string
	// Deployments are all by default.
	Deployments []string
	// Rounds is the number of measurements of each variant.
	Rounds int
	// Duration is the time of one measurement, and of each phase of a scenario before the change.
	Duration time.Duration
	// Rate is in queries per second.
	Rate float64
	// Only selects a comparison or scenario; all run when it is empty.
	Only string
	Seed uint64
	// JSON is the path of the file that receives the report; it may be empty.
	JSON   string
	Output io.Writer
}

// UnknownNameError reports a name that is neither a comparison nor a scenario.
type UnknownNameError struct {
	Name  string
	Known []string
}

func (e *UnknownNameError) Error() string {
	return fmt.Sprintf("bencher: unknown name %q, known are %s", e.Name, strings.Join(e.Known, ", "))
}

// BoundsError reports figures that missed their bounds.
type BoundsError struct {
	Missed int
}

func (e *BoundsError) Error() string {
	return fmt.Sprintf("bencher: %d figures missed their bounds", e.Missed)
}

// bench is one benchmark of one deployment.
type bench struct {
	settings   Settings
	deployment string
	report     *Report
}

// step is a comparison or a scenario.
type step struct {
	name string
	run  func(context.Context, *bench) error
}

func steps() []step {
	var all []step
	for _, c := range comparisons() {
		all = append(all, step{c.name, func(ctx context.Context, b *bench) error { return b.compare(ctx, c) }})
	}
	return append(
		all,
		step{"pull", runPull}, step{"change", runChange}, step{"stop", runStop}, step{"kill", runKill},
	)
}

// Names returns the names of the comparisons and scenarios.
func Names() []string {
	var names []string
	for _, s := range steps() {
		names = append(names, s.name)
	}
	return names
}

// Run runs all steps one after the other, prints a table and the figures, and stops everything it started.
func Run(ctx context.Context, s Settings) error {
	if s.Only != "" && !slices.Contains(Names(), s.Only) {
		return &UnknownNameError{Name: s.Only, Known: Names()}
	}
	if len(s.Deployments) == 0 {
		s.Deployments = []string{deployer.Ulaanbaatar, deployer.DarEsSalaam}
	}
	report := &Report{Rounds: s.Rounds, Seconds: s.Duration.Seconds(), Rate: s.Rate, Seed: s.Seed}
	for _, deployment := range s.Deployments {
		b := &bench{settings: s, deployment: deployment, report: report}
		for _, p := range steps() {
			if s.Only != "" && p.name != s.Only {
				continue
			}
			_, _ = fmt.Fprintf(s.Output, "running %s of %s\n", p.name, deployment)
			if err := p.run(ctx, b); err != nil {
				return fmt.Errorf("bencher: %s of %s: %w", p.name, deployment, err)
			}
		}
	}
	report.Print(s.Output)
	return finish(s, report)
}

func finish(s Settings, r *Report) error {
	if s.JSON != "" {
		raw, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			return fmt.Errorf("bencher: %w", err)
		}
		if err := os.WriteFile(s.JSON, raw, 0o600); err != nil {
			return fmt.Errorf("bencher: %w", err)
		}
	}
	if n := r.Missed(); n > 0 {
		return &BoundsError{Missed: n}
	}
	return nil
}

// newRow returns the measurement of a recording and keeps its violations.
func (b *bench) newRow(r recording, p Phase) *Row {
	for _, v := range r.result.Violations {
		b.report.Violations = append(b.report.Violations, b.deployment+": "+v.Kind+": "+v.Detail)
	}
	return newRow(b.settings.Rate, r.result, p)
}

// row adds the measurement of a phase of a scenario to the report.
func (b *bench) row(name, variant string, r recording, p Phase) *Row {
	row := newRow(b.settings.Rate, r.result, p)
	row.Deployment, row.Name, row.Variant = b.deployment, name, variant
	b.report.Rows = append(b.report.Rows, row)
	return row
}

func (b *bench) figure(name, variant, measure string, value float64, unit string, bound Bound) {
	b.report.Figures = append(b.report.Figures, Figure{
		Deployment: b.deployment, Name: name, Variant: variant, Measure: measure, Value: value, Unit: unit, Bound: bound,
	})
}

func (b *bench) plan() (deployer.Plan, error) {
	return deployer.New(b.deployment, scale, launcher.FreeAddress)
}
