// Package bencher measures each policy against a simpler one, and the service while parts of a deployment change.
package bencher

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"apricotflow/internal/standin/deployer"
	"apricotflow/internal/standin/driver"
	"apricotflow/internal/standin/launcher"
	"apricotflow/internal/standin/tabulator"
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
	report     *tabulator.Report
	// extra is the extra-load-percent of the manifest.
	extra float64
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
	report := &tabulator.Report{DurationMs: int(s.Duration.Milliseconds()), Seed: s.Seed}
	var failures []error
	for _, deployment := range s.Deployments {
		b := &bench{settings: s, deployment: deployment, report: report}
		for _, p := range steps() {
			if s.Only != "" && p.name != s.Only || ctx.Err() != nil {
				continue
			}
			_, _ = fmt.Fprintf(s.Output, "running %s of %s\n", p.name, deployment)
			// A step that fails leaves the results of the others.
			if err := p.run(ctx, b); err != nil {
				failures = append(failures, fmt.Errorf("bencher: %s of %s: %w", p.name, deployment, err))
			}
		}
	}
	report.Print(s.Output)
	return errors.Join(append(failures, finish(s, report))...)
}

func finish(s Settings, r *tabulator.Report) error {
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

func (b *bench) plan() (deployer.Plan, error) {
	return deployer.New(b.deployment, scale, launcher.FreeAddress)
}

// label names a row.
func (b *bench) label(row *tabulator.Row, name, variant string) *tabulator.Row {
	row.Deployment, row.Name, row.Variant, row.Offered = b.deployment, name, variant, b.settings.Rate
	return row
}

// runRow returns the row of a run and keeps its violations.
func (b *bench) runRow(r driver.Recording, p driver.Phase) *tabulator.Row {
	for _, v := range r.Result.Violations {
		b.report.Violations = append(b.report.Violations, b.deployment+": "+v.Kind+": "+v.Detail)
	}
	return tabulator.RunRow(p, r.Result)
}

// phase adds a phase of a scenario to the report.
func (b *bench) phase(name, variant string, p driver.Phase) {
	b.report.Rows = append(b.report.Rows, b.label(tabulator.PhaseRow(p), name, variant))
}

// whole adds the whole run of a scenario to the report.
func (b *bench) whole(name string, r driver.Recording) {
	row := b.label(b.runRow(r, r.Phase(0, 0)), name, "all")
	b.report.Rows = append(b.report.Rows, row)
	b.guarantees(row, true)
}

// guarantees adds the figures with the same bounds everywhere. Without reachable, a shard may have lost its replicas.
func (b *bench) guarantees(r *tabulator.Row, reachable bool) {
	b.figure(r.Name, r.Variant, "cold overload", r.ColdOverload, atMost(0))
	b.figure(r.Name, r.Variant, "violations", r.Violations, atMost(0))
	if reachable {
		b.figure(r.Name, r.Variant, "least coverage", r.CoverageMinimum, tabulator.Figure.Complete)
	}
	if r.ExtraLoad == tabulator.Unknown {
		return
	}
	b.figure(r.Name, r.Variant, "extra load", r.ExtraLoad, atMost(1+b.extra/100))
	// The budget lets each instance save up a burst; this figure tells how much of it was used.
	beyond := float64(r.Counters["hedger-extra-sub-queries"]) - b.extra/100*float64(r.Counters["sub-queries-needed"])
	b.figure(r.Name, r.Variant, "hedges and retries above the percentage, since the start", beyond, nil)
}

// figure adds a figure; bound may be nil.
func (b *bench) figure(name, variant, measure string, value float64, bound bound) {
	f := tabulator.Figure{Deployment: b.deployment, Name: name, Variant: variant, Measure: measure, Value: value}
	if bound != nil {
		f = bound(f)
	}
	b.report.Figures = append(b.report.Figures, f)
}

// bound adds a bound to a figure.
type bound func(tabulator.Figure) tabulator.Figure

func atMost(value float64) bound {
	return func(f tabulator.Figure) tabulator.Figure { return f.AtMost(value) }
}
