// Package tabulator holds the results of a benchmark: it merges the rounds of a measurement, compares the product's
// default policy with the alternatives and prints the report. Package bencher adds rows and figures to it; taking the
// measurements is left to package driver.
package tabulator

import (
	"slices"

	"apricotflow/internal/standin/driver"
)

// NotMeasured is the value of a measure that a row doesn't have.
const NotMeasured = -1

// Row is one measurement, or the merged result of several rounds.
type Row struct {
	Deployment string `json:"deployment"`
	// Name is the name of the comparison or the scenario, Variant that of the variant or the phase.
	Name    string `json:"name"`
	Variant string `json:"variant"`
	// Offered is the rate of the load, in queries per second.
	Offered         float64 `json:"offered"`
	P50Ms           float64 `json:"p50-ms"`
	P99Ms           float64 `json:"p99-ms"`
	P999Ms          float64 `json:"p999-ms"`
	CoverageMean    float64 `json:"coverage-mean"`
	CoverageMinimum float64 `json:"coverage-minimum"`
	Partial         float64 `json:"partial"`
	NotRun          float64 `json:"not-run"`
	Unknown         float64 `json:"unknown"`
	NoReply         float64 `json:"no-reply"`
	// The following measures cover a whole run; in the row of a phase they are NotMeasured.
	ExtraLoad    float64 `json:"extra-load"`
	Sheds        float64 `json:"sheds"`
	OverSlots    float64 `json:"over-slots"`
	ColdOverload float64 `json:"cold-overload"`
	Violations   float64 `json:"violations"`
	// RecoveryMs is the time until a restarted target has recovered, or the observation time if it has not, in
	// milliseconds. It is NotMeasured if none was restarted.
	RecoveryMs float64 `json:"recovery-ms"`
	// Counters holds the sums of the instances' counters since their start.
	Counters map[string]int `json:"counters,omitempty"`
}

// PhaseRow returns the row of one phase of a run.
func PhaseRow(p driver.Phase) *Row {
	return &Row{
		P50Ms: p.P50Ms, P99Ms: p.P99Ms, P999Ms: p.P999Ms, CoverageMean: p.CoverageMean, CoverageMinimum: p.CoverageMinimum,
		Partial: float64(p.Partial), NotRun: float64(p.NotRun), Unknown: float64(p.Unknown), NoReply: float64(p.NoReply),
		ExtraLoad: NotMeasured, Sheds: NotMeasured, OverSlots: NotMeasured, ColdOverload: NotMeasured, Violations: NotMeasured, RecoveryMs: NotMeasured,
	}
}

// RunRow returns the row of a phase with the counts of the whole run.
func RunRow(p driver.Phase, r driver.Result) *Row {
	row := PhaseRow(p)
	if r.ExtraLoad > 0 {
		row.ExtraLoad = r.ExtraLoad
	}
	row.Sheds, row.OverSlots, row.ColdOverload = float64(r.Sheds), float64(r.OverSlots), float64(r.ColdOverload)
	row.Violations, row.Counters = float64(r.ViolationCount), r.Counters
	return row
}

// column is one measure of a row, as a column of the table.
type column struct {
	name, format string
	value        func(*Row) *float64
	// combine returns the value of a merged row from those of its rounds.
	combine func([]float64) float64
	// compared reports whether the report has the ratio of the product's policy to an alternative.
	compared bool
}

func columns() []column {
	median := func(values []float64) float64 { return NewSummary(values).Median }
	return []column{
		{"offered/s", "%.0f", func(r *Row) *float64 { return &r.Offered }, median, false},
		{"p50 ms", "%.1f", func(r *Row) *float64 { return &r.P50Ms }, median, true},
		{"p99 ms", "%.1f", func(r *Row) *float64 { return &r.P99Ms }, median, true},
		{"p99.9 ms", "%.1f", func(r *Row) *float64 { return &r.P999Ms }, median, true},
		{"coverage", "%.4f", func(r *Row) *float64 { return &r.CoverageMean }, median, false},
		{"minimum", "%.4f", func(r *Row) *float64 { return &r.CoverageMinimum }, slices.Min[[]float64], false},
		{"extra load", "%.3f", func(r *Row) *float64 { return &r.ExtraLoad }, median, true},
		{"sheds", "%.0f", func(r *Row) *float64 { return &r.Sheds }, sum, false},
		{"over slots", "%.0f", func(r *Row) *float64 { return &r.OverSlots }, sum, false},
		{"cold overload", "%.0f", func(r *Row) *float64 { return &r.ColdOverload }, sum, false},
		{"partial", "%.0f", func(r *Row) *float64 { return &r.Partial }, sum, false},
		{"not run", "%.0f", func(r *Row) *float64 { return &r.NotRun }, sum, false},
		{"unknown", "%.0f", func(r *Row) *float64 { return &r.Unknown }, sum, false},
		{"no reply", "%.0f", func(r *Row) *float64 { return &r.NoReply }, sum, false},
		{"violations", "%.0f", func(r *Row) *float64 { return &r.Violations }, sum, false},
		{"recovery ms", "%.0f", func(r *Row) *float64 { return &r.RecoveryMs }, median, true},
	}
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

// Merge returns one row for several rounds: the medians of latencies, mean coverage, extra load and recovery time, the
// minimum of the minimum coverage, the sums of counts, and the counters of the last round. Values that were not
// measured are left out.
func Merge(rounds []*Row) *Row {
	merged := &Row{
		Deployment: rounds[0].Deployment, Name: rounds[0].Name, Variant: rounds[0].Variant,
		Counters: rounds[len(rounds)-1].Counters,
	}
	for _, c := range columns() {
		var values []float64
		for _, r := range rounds {
			if v := *c.value(r); v != NotMeasured {
				values = append(values, v)
			}
		}
		*c.value(merged) = NotMeasured
		if len(values) > 0 {
			*c.value(merged) = c.combine(values)
		}
	}
	return merged
}
