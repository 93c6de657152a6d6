// Package bencher runs the benchmarks of "standin bench", on deployments in native mode. Comparisons measure each
// policy of the product against simpler ones; scenarios measure the service while processes or failure domains fail or
// change. Package launcher runs the processes, package driver the load, and package tabulator holds and prints the
// results; package commander calls it.
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

// Settings describes a benchmark.
type Settings struct {
	// Standin and Apricotflow are the paths of the two programs.
	Standin, Apricotflow string
	// Deployments are the names of the deployments to measure; empty means all.
	Deployments []string
	// Rounds is the number of measurements of each variant of a comparison.
	Rounds int
	// Duration is the duration of one measurement, and in a scenario that of the load before the change.
	Duration time.Duration
	// Rate is the rate of the load, in queries per second.
	Rate float64
	// Only is the name of the only comparison or scenario to run; all run when it is empty.
	Only string
	Seed uint64
	// JSON is the path of the file to which the report is written; empty means none.
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

// BoundsError reports the number of figures that missed their bounds.
type BoundsError struct {
	Missed int
}

func (e *BoundsError) Error() string {
	return fmt.Sprintf("bencher: %d figures missed their bounds", e.Missed)
}

// benchmark holds what all steps of one deployment share.
type benchmark struct {
	settings   Settings
	deployment string
	report     *tabulator.Report
	// extraLoadPercent is the limit on extra load in the manifest, as a percentage of the needed sub-queries.
	extraLoadPercent float64
}

// step is a comparison or a scenario.
type step struct {
	name string
	run  func(context.Context, *benchmark) error
}

func steps() []step {
	var all []step
	for _, c := range comparisons() {
		all = append(all, step{c.name, func(ctx context.Context, b *benchmark) error { return b.runComparison(ctx, c) }})
	}
	return append(
		all,
		step{"pull", runDomainClosure}, step{"change", runManifestChanges}, step{"stop", runStop}, step{"kill", runKill},
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

// Run runs the selected comparisons and scenarios one after the other and prints the report. It returns a BoundsError
// if a figure missed its bound.
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
		b := &benchmark{settings: s, deployment: deployment, report: report}
		for _, st := range steps() {
			if s.Only != "" && st.name != s.Only || ctx.Err() != nil {
				continue
			}
			_, _ = fmt.Fprintf(s.Output, "running %s of %s\n", st.name, deployment)
			// A failed step must not discard the results of the others.
			if err := st.run(ctx, b); err != nil {
				failures = append(failures, fmt.Errorf("bencher: %s of %s: %w", st.name, deployment, err))
			}
		}
	}
	report.Print(s.Output)
	return errors.Join(append(failures, writeReport(s, report))...)
}

// writeReport writes the JSON report and returns a BoundsError if a figure missed its bound.
func writeReport(s Settings, r *tabulator.Report) error {
	if s.JSON != "" {
		raw, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			return fmt.Errorf("bencher: encode report: %w", err)
		}
		if err := os.WriteFile(s.JSON, raw, 0o600); err != nil {
			return fmt.Errorf("bencher: write report: %w", err)
		}
	}
	if n := r.Missed(); n > 0 {
		return &BoundsError{Missed: n}
	}
	return nil
}

func (b *benchmark) plan() (deployer.Plan, error) {
	return deployer.New(b.deployment, scaleDivisor, launcher.FreeAddress)
}

// labelRow sets the deployment, the name, the variant and the rate of a row.
func (b *benchmark) labelRow(row *tabulator.Row, name, variant string) *tabulator.Row {
	row.Deployment, row.Name, row.Variant, row.Offered = b.deployment, name, variant, b.settings.Rate
	return row
}

// newRunRow returns the row of a phase with the counts of the whole run, and adds the run's violations to the report.
func (b *benchmark) newRunRow(r driver.Recording, p driver.Phase) *tabulator.Row {
	for _, v := range r.Result.Violations {
		b.report.Violations = append(b.report.Violations, b.deployment+": "+v.Kind+": "+v.Detail)
	}
	return tabulator.RunRow(p, r.Result)
}

// addPhase adds a phase of a scenario to the report.
func (b *benchmark) addPhase(name, variant string, p driver.Phase) {
	b.report.Rows = append(b.report.Rows, b.labelRow(tabulator.PhaseRow(p), name, variant))
}

// addRun adds the row and the guarantees of the whole run of a scenario to the report.
func (b *benchmark) addRun(name string, r driver.Recording) {
	row := b.labelRow(b.newRunRow(r, r.Phase(0, 0)), name, "all")
	b.report.Rows = append(b.report.Rows, row)
	b.addGuarantees(row, true)
}

// addGuarantees adds the figures whose bounds are the same in every step. shardsReachable reports whether every shard
// had a reachable replica all the time; otherwise the coverage has no bound.
func (b *benchmark) addGuarantees(r *tabulator.Row, shardsReachable bool) {
	b.addFigure(r.Name, r.Variant, "cold overload", r.ColdOverload, atMost(0))
	b.addFigure(r.Name, r.Variant, "violations", r.Violations, atMost(0))
	if shardsReachable {
		b.addFigure(r.Name, r.Variant, "least coverage", r.CoverageMinimum, tabulator.Figure.AtLeastOne)
	}
	if r.ExtraLoad == tabulator.NotMeasured {
		return
	}
	b.addFigure(r.Name, r.Variant, "extra load", r.ExtraLoad, atMost(1+b.extraLoadPercent/100))
	// Each instance can save up budget for extra requests and spend it in a burst. This figure is the number of extra
	// requests above the percentage, which shows how much of the saved-up budget was used.
	excess := float64(r.Counters["hedger-extra-sub-queries"]) - b.extraLoadPercent/100*float64(r.Counters["sub-queries-needed"])
	b.addFigure(r.Name, r.Variant, "hedges and retries above the percentage, since the start", excess, nil)
}

// addFigure adds a figure to the report. A nil bound means that the figure has none.
func (b *benchmark) addFigure(name, variant, measure string, value float64, bound bound) {
	f := tabulator.Figure{Deployment: b.deployment, Name: name, Variant: variant, Measure: measure, Value: value}
	if bound != nil {
		f = bound(f)
	}
	b.report.Figures = append(b.report.Figures, f)
}

// bound returns a figure with a bound.
type bound func(tabulator.Figure) tabulator.Figure

func atMost(value float64) bound {
	return func(f tabulator.Figure) tabulator.Figure { return f.AtMost(value) }
}
