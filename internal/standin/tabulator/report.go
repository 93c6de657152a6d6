package tabulator

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Report is the result of a benchmark.
type Report struct {
	// DurationMs is the time of one measurement.
	DurationMs int    `json:"duration-ms"`
	Seed       uint64 `json:"seed"`
	// Rows hold one row for each variant or phase, Rounds the single measurements of the comparisons.
	Rows    []*Row   `json:"rows"`
	Rounds  []*Row   `json:"rounds"`
	Ratios  []Ratio  `json:"ratios"`
	Figures []Figure `json:"figures"`
	// Violations lists the first broken guarantees of each run.
	Violations []string `json:"violations"`
}

// Missed returns the number of figures that missed their bounds.
func (r *Report) Missed() int {
	missed := 0
	for _, f := range r.Figures {
		if f.Missed {
			missed++
		}
	}
	return missed
}

// Print writes the table, the figures and the violations.
func (r *Report) Print(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(cells ...string) { _, _ = fmt.Fprintln(table, strings.Join(cells, "\t")+"\t") }
	header := []string{"\ndeployment", "name", "variant"}
	for _, c := range columns() {
		header = append(header, c.name)
	}
	line(header...)
	for _, row := range r.Rows {
		cells := []string{row.Deployment, row.Name, row.Variant}
		for _, c := range columns() {
			cells = append(cells, cell(c.format, *c.value(row)))
		}
		line(cells...)
	}
	for _, a := range r.Ratios {
		cells := []string{a.Deployment, a.Name, a.Variant}
		for _, c := range columns() {
			text := ""
			if s := a.Columns[c.name]; s != (Spread{}) {
				text = fmt.Sprintf("%.2f (%.2f-%.2f)", s.Median, s.Minimum, s.Maximum)
			}
			cells = append(cells, text)
		}
		line(cells...)
	}
	_ = table.Flush()
	line("\ndeployment", "name", "variant", "figure", "value", "bound")
	for _, f := range r.Figures {
		verdict := ""
		if f.Missed {
			verdict = "MISSED"
		}
		line(f.Deployment, f.Name, f.Variant, f.Measure, fmt.Sprintf("%.4g", f.Value), f.Bound, verdict)
	}
	_ = table.Flush()
	for _, v := range r.Violations {
		_, _ = fmt.Fprintln(w, v)
	}
}

func cell(format string, value float64) string {
	if value == Unknown {
		return "-"
	}
	return fmt.Sprintf(format, value)
}
