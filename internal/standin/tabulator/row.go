// Package tabulator merges, compares and prints the measurements of a benchmark.
package tabulator

import (
	"slices"

	"apricotflow/internal/standin/driver"
)

// Unknown is the value of a measure that a row does not have.
const Unknown = -1

// Row is one measurement, or several in one.
type Row struct {
	Deployment string `json:"deployment"`
	Name       string `json:"name"`
	Variant    string `json:"variant"`
	// Offered is in queries per second.
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
	// The measures from here on cover a whole run; Unknown for a phase of one.
	ExtraLoad    float64 `json:"extra-load"`
	Sheds        float64 `json:"sheds"`
	OverSlots    float64 `json:"over-slots"`
	ColdOverload float64 `json:"cold-overload"`
	Violations   float64 `json:"violations"`
	// RecoveryMs is the time until a restarted target serves at full rate; Unknown when none was restarted.
	RecoveryMs float64 `json:"recovery-ms"`
	// Counters are those of the instances since their start.
	Counters map[string]int `json:"counters,omitempty"`
}

// PhaseRow returns the row of a phase.
func PhaseRow(p driver.Phase) *Row {
	return &Row{
		P50Ms: p.P50Ms, P99Ms: p.P99Ms, P999Ms: p.P999Ms, CoverageMean: p.CoverageMean, CoverageMinimum: p.CoverageMinimum,
		Partial: float64(p.Partial), NotRun: float64(p.NotRun), Unknown: float64(p.Unknown), NoReply: float64(p.NoReply),
		ExtraLoad: Unknown, Sheds: Unknown, OverSlots: Unknown, ColdOverload: Unknown, Violations: Unknown, RecoveryMs: Unknown,
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

// column is a measure of a row.
type column struct {
	name, format string
	value        func(*Row) *float64
	// merge makes one value of several rounds.
	merge func([]float64) float64
	// compared tells that the report has the ratio of a policy to its baseline.
	compared bool
}

func columns() []column {
	middle := func(values []float64) float64 { return NewSpread(values).Median }
	return []column{
		{"offered/s", "%.0f", func(r *Row) *float64 { return &r.Offered }, middle, false},
		{"p50 ms", "%.1f", func(r *Row) *float64 { return &r.P50Ms }, middle, true},
		{"p99 ms", "%.1f", func(r *Row) *float64 { return &r.P99Ms }, middle, true},
		{"p99.9 ms", "%.1f", func(r *Row) *float64 { return &r.P999Ms }, middle, true},
		{"coverage", "%.4f", func(r *Row) *float64 { return &r.CoverageMean }, middle, false},
		{"minimum", "%.4f", func(r *Row) *float64 { return &r.CoverageMinimum }, slices.Min[[]float64], false},
		{"extra load", "%.3f", func(r *Row) *float64 { return &r.ExtraLoad }, middle, true},
		{"sheds", "%.0f", func(r *Row) *float64 { return &r.Sheds }, sum, false},
		{"over slots", "%.0f", func(r *Row) *float64 { return &r.OverSlots }, sum, false},
		{"cold overload", "%.0f", func(r *Row) *float64 { return &r.ColdOverload }, sum, false},
		{"partial", "%.0f", func(r *Row) *float64 { return &r.Partial }, sum, false},
		{"not run", "%.0f", func(r *Row) *float64 { return &r.NotRun }, sum, false},
		{"unknown", "%.0f", func(r *Row) *float64 { return &r.Unknown }, sum, false},
		{"no reply", "%.0f", func(r *Row) *float64 { return &r.NoReply }, sum, false},
		{"violations", "%.0f", func(r *Row) *float64 { return &r.Violations }, sum, false},
		{"recovery ms", "%.0f", func(r *Row) *float64 { return &r.RecoveryMs }, middle, true},
	}
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

// Merge makes one row of several rounds: medians of latencies, mean coverage, extra load and recovery, the least
// coverage, sums of counts, and the last counters.
func Merge(rounds []*Row) *Row {
	merged := &Row{
		Deployment: rounds[0].Deployment, Name: rounds[0].Name, Variant: rounds[0].Variant,
		Counters: rounds[len(rounds)-1].Counters,
	}
	for _, c := range columns() {
		var values []float64
		for _, r := range rounds {
			if v := *c.value(r); v != Unknown {
				values = append(values, v)
			}
		}
		*c.value(merged) = Unknown
		if len(values) > 0 {
			*c.value(merged) = c.merge(values)
		}
	}
	return merged
}
