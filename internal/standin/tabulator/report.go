package tabulator

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Report is the result of a benchmark.
type Report struct {
	// DurationMs is the duration of one measurement, in milliseconds.
	DurationMs int    `json:"duration-ms"`
	Seed       uint64 `json:"seed"`
	// Rows holds one row for each variant or phase. Rounds holds the single measurements of the comparisons.
	Rows    []*Row   `json:"rows"`
	Rounds  []*Row   `json:"rounds"`
	Ratios  []Ratio  `json:"ratios"`
	Figures []Figure `json:"figures"`
	// Violations lists the first violated guarantees of each run.
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

// Print writes the table of rows and ratios, the figures and the violations.
func (r *Report) Print(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeLine := func(cells ...string) { _, _ = fmt.Fprintln(table, strings.Join(cells, "\t")+"\t") }
	header := []string{"\ndeployment", "name", "variant"}
	for _, c := range columns() {
		header = append(header, c.name)
	}
	writeLine(header...)
	for _, row := range r.Rows {
		cells := []string{row.Deployment, row.Name, row.Variant}
		for _, c := range columns() {
			cells = append(cells, formatCell(c.format, *c.value(row)))
		}
		writeLine(cells...)
	}
	for _, a := range r.Ratios {
		cells := []string{a.Deployment, a.Name, a.Variant}
		for _, c := range columns() {
			text := ""
			if s := a.Columns[c.name]; s != (Summary{}) {
				text = fmt.Sprintf("%.2f (%.2f-%.2f)", s.Median, s.Minimum, s.Maximum)
			}
			cells = append(cells, text)
		}
		writeLine(cells...)
	}
	_ = table.Flush()
	writeLine("\ndeployment", "name", "variant", "figure", "value", "bound")
	for _, f := range r.Figures {
		verdict := ""
		if f.Missed {
			verdict = "MISSED"
		}
		writeLine(f.Deployment, f.Name, f.Variant, f.Measure, fmt.Sprintf("%.4g", f.Value), f.Bound, verdict)
	}
	_ = table.Flush()
	for _, v := range r.Violations {
		_, _ = fmt.Fprintln(w, v)
	}
}

func formatCell(format string, value float64) string {
	if value == NotMeasured {
		return "-"
	}
	return fmt.Sprintf(format, value)
}
