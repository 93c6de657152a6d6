package bencher

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"apricotflow/internal/standin/driver"
)

// Row is one measurement, or the median of several. Sheds, OverSlots and ColdOverload are counted by the targets.
type Row struct {
	Deployment string `json:"deployment"`
	Name       string `json:"name"`
	Variant    string `json:"variant"`
	// Offered is in queries per second.
	Offered float64 `json:"offered"`
	Phase
	// ExtraLoad is 0 when it is unknown.
	ExtraLoad    float64 `json:"extra-load"`
	Sheds        int     `json:"sheds"`
	OverSlots    int     `json:"over-slots"`
	ColdOverload int     `json:"cold-overload"`
	Violations   int     `json:"violations"`
	// RecoveryMs is the time until a restarted target serves at full rate; 0 when none was restarted.
	RecoveryMs float64 `json:"recovery-ms"`
}

func newRow(offered float64, r driver.Result, p Phase) *Row {
	return &Row{
		Offered: offered, Phase: p, ExtraLoad: r.ExtraLoad, Sheds: r.Sheds, OverSlots: r.OverSlots,
		ColdOverload: r.ColdOverload, Violations: r.ViolationCount,
	}
}

// Spread is the median and the range over several rounds.
type Spread struct {
	Median  float64 `json:"median"`
	Minimum float64 `json:"minimum"`
	Maximum float64 `json:"maximum"`
}

// newSpread returns the spread of the values; all 0 without a value.
func newSpread(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	s := Spread{Median: sorted[middle], Minimum: sorted[0], Maximum: sorted[len(sorted)-1]}
	if len(sorted)%2 == 0 {
		s.Median = (sorted[middle-1] + sorted[middle]) / 2
	}
	return s
}

func (s Spread) String() string {
	if s == (Spread{}) {
		return "-"
	}
	return fmt.Sprintf("%.2f (%.2f-%.2f)", s.Median, s.Minimum, s.Maximum)
}

// Ratio compares a policy with a baseline: below 1, the policy is faster.
type Ratio struct {
	Deployment string `json:"deployment"`
	Name       string `json:"name"`
	Policy     string `json:"policy"`
	Baseline   string `json:"baseline"`
	P50        Spread `json:"p50"`
	P99        Spread `json:"p99"`
	P999       Spread `json:"p999"`
	ExtraLoad  Spread `json:"extra-load"`
	Recovery   Spread `json:"recovery"`
}

// newRatio compares the rounds of a policy with those of a baseline in pairs.
func newRatio(policy, baseline []*Row) Ratio {
	of := func(field func(*Row) float64) Spread {
		var values []float64
		for i := range min(len(policy), len(baseline)) {
			if a, b := field(policy[i]), field(baseline[i]); a > 0 && b > 0 {
				values = append(values, a/b)
			}
		}
		return newSpread(values)
	}
	return Ratio{
		P50: of(func(r *Row) float64 { return r.P50Ms }), P99: of(func(r *Row) float64 { return r.P99Ms }),
		P999:      of(func(r *Row) float64 { return r.P999Ms }),
		ExtraLoad: of(func(r *Row) float64 { return r.ExtraLoad }),
		Recovery:  of(func(r *Row) float64 { return r.RecoveryMs }),
	}
}

// Bound is the largest or smallest value that a figure may have.
type Bound struct {
	Value float64 `json:"value"`
	// Least makes Value the smallest one.
	Least bool `json:"least"`
	// None means that there is no bound.
	None bool `json:"none"`
}

func atMost(v float64) Bound { return Bound{Value: v} }
func atLeastOne() Bound      { return Bound{Value: 1, Least: true} }
func noBound() Bound         { return Bound{None: true} }

// Met reports whether a value keeps the bound.
func (b Bound) Met(v float64) bool {
	switch {
	case b.None:
		return true
	case b.Least:
		return v >= b.Value
	default:
		return v <= b.Value
	}
}

func (b Bound) String() string {
	switch {
	case b.None:
		return "-"
	case b.Least:
		return fmt.Sprintf("at least %g", b.Value)
	default:
		return fmt.Sprintf("at most %g", b.Value)
	}
}

// Figure is one measured value beside its bound.
type Figure struct {
	Deployment string  `json:"deployment"`
	Name       string  `json:"name"`
	Variant    string  `json:"variant"`
	Measure    string  `json:"measure"`
	Value      float64 `json:"value"`
	Unit       string  `json:"unit"`
	Bound      Bound   `json:"bound"`
}

// Report is the result of a benchmark.
type Report struct {
	Rounds  int     `json:"rounds"`
	Seconds float64 `json:"seconds"`
	// Rate is in queries per second.
	Rate    float64  `json:"rate"`
	Seed    uint64   `json:"seed"`
	Rows    []*Row   `json:"rows"`
	Ratios  []Ratio  `json:"ratios"`
	Figures []Figure `json:"figures"`
	// Violations lists the first broken guarantees of each variant.
	Violations []string `json:"violations"`
}

// Missed returns the number of figures that missed their bounds.
func (r *Report) Missed() int {
	missed := 0
	for _, f := range r.Figures {
		if !f.Bound.Met(f.Value) {
			missed++
		}
	}
	return missed
}

// Print writes the table, the figures and the violations.
func (r *Report) Print(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "\ndeployment\tname\tvariant\toffered/s\tp50 ms\tp99 ms\tp99.9 ms\tcoverage\tminimum\textra load\t"+
		"sheds\tover slots\tcold overload\tpartial\tnot run\tunknown\tno reply\tviolations\trecovery ms")
	for _, row := range r.Rows {
		row.print(table)
	}
	for _, a := range r.Ratios {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s per %s\t\t%s\t%s\t%s\t\t\t%s\t\t\t\t\t\t\t\t\t%s\n",
			a.Deployment, a.Name, a.Policy, a.Baseline, a.P50, a.P99, a.P999, a.ExtraLoad, a.Recovery)
	}
	_ = table.Flush()
	_, _ = fmt.Fprintln(table, "\ndeployment\tname\tvariant\tfigure\tvalue\tbound\t")
	for _, f := range r.Figures {
		verdict := ""
		if !f.Bound.Met(f.Value) {
			verdict = "MISSED"
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%.4g %s\t%s\t%s\n",
			f.Deployment, f.Name, f.Variant, f.Measure, f.Value, f.Unit, f.Bound, verdict)
	}
	_ = table.Flush()
	for _, v := range r.Violations {
		_, _ = fmt.Fprintln(w, v)
	}
}

func (r *Row) print(w io.Writer) {
	optional := func(v float64, format string) string {
		if v == 0 {
			return "-"
		}
		return fmt.Sprintf(format, v)
	}
	_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%.0f\t%.1f\t%.1f\t%.1f\t%.4f\t%.4f\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n",
		r.Deployment, r.Name, r.Variant, r.Offered, r.P50Ms, r.P99Ms, r.P999Ms, r.CoverageMean, r.CoverageMinimum,
		optional(r.ExtraLoad, "%.3f"), r.Sheds, r.OverSlots, r.ColdOverload, r.Partial, r.NotRun, r.Unknown, r.NoReply,
		r.Violations, optional(r.RecoveryMs, "%.0f"))
}

// median merges rounds: the latencies, the mean coverage, the extra load and the recovery are medians, the minimum is
// the least, and the counts are sums.
func median(rows []*Row) *Row {
	of := func(field func(*Row) float64) float64 {
		var values []float64
		for _, r := range rows {
			values = append(values, field(r))
		}
		return newSpread(values).Median
	}
	m := &Row{
		Deployment: rows[0].Deployment, Name: rows[0].Name, Variant: rows[0].Variant, Offered: rows[0].Offered,
		ExtraLoad:  of(func(r *Row) float64 { return r.ExtraLoad }),
		RecoveryMs: of(func(r *Row) float64 { return r.RecoveryMs }),
	}
	m.P50Ms, m.P99Ms = of(func(r *Row) float64 { return r.P50Ms }), of(func(r *Row) float64 { return r.P99Ms })
	m.P999Ms = of(func(r *Row) float64 { return r.P999Ms })
	m.CoverageMean = of(func(r *Row) float64 { return r.CoverageMean })
	m.CoverageMinimum = slices.MinFunc(rows, func(a, b *Row) int { return cmp.Compare(a.CoverageMinimum, b.CoverageMinimum) }).CoverageMinimum
	for _, r := range rows {
		m.Queries += r.Queries
		m.Partial += r.Partial
		m.NotRun += r.NotRun
		m.Unknown += r.Unknown
		m.NoReply += r.NoReply
		m.Sheds += r.Sheds
		m.OverSlots += r.OverSlots
		m.ColdOverload += r.ColdOverload
		m.Violations += r.Violations
	}
	return m
}
