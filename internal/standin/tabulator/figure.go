package tabulator

import "fmt"

// Figure is one measured value with an optional bound.
type Figure struct {
	Deployment string `json:"deployment"`
	// Name is the name of the comparison or scenario.
	Name    string  `json:"name"`
	Variant string  `json:"variant"`
	Measure string  `json:"measure"`
	Value   float64 `json:"value"`
	// Bound describes the bound; it is empty if there is none.
	Bound  string `json:"bound"`
	Missed bool   `json:"missed"`
}

// AtMost returns the figure with an upper bound.
func (f Figure) AtMost(bound float64) Figure {
	f.Bound, f.Missed = fmt.Sprintf("at most %g", bound), f.Value > bound
	return f
}

// AtLeastOne returns the figure with a lower bound of 1.
func (f Figure) AtLeastOne() Figure {
	f.Bound, f.Missed = "at least 1", f.Value < 1
	return f
}
