package tabulator_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"apricotflow/internal/standin/driver"
	"apricotflow/internal/standin/tabulator"
)

func row(p99, coverage, recovery float64, sheds int) *tabulator.Row {
	r := tabulator.RunRow(driver.Phase{P50Ms: 1, P99Ms: p99, CoverageMinimum: coverage}, driver.Result{Sheds: sheds})
	r.Deployment, r.Name, r.Variant, r.RecoveryMs = "d", "n", "a", recovery
	return r
}

// Guards against a median that isn't the middle of the values, and against a change of the input slice.
func TestNewSummaryReturnsMedianAndRange(t *testing.T) {
	values := []float64{3, 1, 2, 10}
	assert.Equal(t, tabulator.NewSummary(values), tabulator.Summary{Median: 2.5, Minimum: 1, Maximum: 10})
	assert.Equal(t, tabulator.NewSummary(values[:3]), tabulator.Summary{Median: 2, Minimum: 1, Maximum: 3})
	assert.Equal(t, tabulator.NewSummary(nil), tabulator.Summary{})
	assert.DeepEqual(t, values, []float64{3, 1, 2, 10})
}

// Guards against a merged row that hides the minimum coverage or the counts of single rounds, or that averages in
// values that were not measured.
func TestMergeKeepsMinimumCoverageAndSumsCounts(t *testing.T) {
	m := tabulator.Merge([]*tabulator.Row{row(30, 1, 500, 1), row(10, 0.9, tabulator.NotMeasured, 0), row(20, 1, 300, 2)})
	assert.Equal(t, m.P99Ms, 20.0)
	assert.Equal(t, m.CoverageMinimum, 0.9)
	assert.Equal(t, m.RecoveryMs, 400.0)
	assert.Equal(t, m.Sheds, 3.0)
	assert.Equal(t, m.ExtraLoad, float64(tabulator.NotMeasured))
}

// Guards against ratios between different rounds, and of rounds in which a value was not measured.
func TestNewRatioComparesRoundsInPairs(t *testing.T) {
	a := []*tabulator.Row{row(10, 1, 100, 0), row(40, 1, tabulator.NotMeasured, 0)}
	b := []*tabulator.Row{row(20, 1, 400, 0), row(20, 1, 200, 0)}
	r := tabulator.NewRatio(a, b)
	assert.Equal(t, r.Columns["p99 ms"], tabulator.Summary{Median: 1.25, Minimum: 0.5, Maximum: 2})
	assert.Equal(t, r.Columns["recovery ms"], tabulator.Summary{Median: 0.25, Minimum: 0.25, Maximum: 0.25})
	assert.Equal(t, r.Columns["extra load"], tabulator.Summary{})
}

// Guards against counting a value that is equal to its bound as missed, and against a report that doesn't show a missed
// bound.
func TestReportPrintsMissedBounds(t *testing.T) {
	f := tabulator.Figure{Deployment: "d", Name: "n", Variant: "a", Measure: "m", Value: 3}
	assert.Assert(t, !f.AtMost(3).Missed && f.AtMost(2.9).Missed)
	f.Value = 1
	assert.Assert(t, !f.AtLeastOne().Missed)
	f.Value = 0.99
	assert.Assert(t, f.AtLeastOne().Missed)
	a, b := []*tabulator.Row{row(10, 1, 100, 0)}, []*tabulator.Row{row(20, 1, 400, 0)}
	report := tabulator.Report{
		Rows: append(a, b...), Ratios: []tabulator.Ratio{tabulator.NewRatio(a, b)},
		Figures: []tabulator.Figure{f, f.AtLeastOne()}, Violations: []string{"d: false-hits: q"},
	}
	assert.Equal(t, report.Missed(), 1)
	var out strings.Builder
	report.Print(&out)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 9, out.String())
	assert.Assert(t, strings.Contains(lines[3], "0.50 (0.50-0.50)"), lines[3])
	assert.Assert(t, strings.HasSuffix(strings.TrimSpace(lines[7]), "at least 1  MISSED"), lines[7])
	assert.Equal(t, lines[8], "d: false-hits: q")
}
