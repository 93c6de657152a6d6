package tabulator

import "fmt"

// Figure is one measured value beside its bound.
type Figure struct {
	Deployment string  `json:"deployment"`
	Name       string  `json:"name"`
	Variant    string  `json:"variant"`
	Measure    string  `json:"measure"`
	Value      float64 `json:"value"`
	// Bound is empty without one.
	Bound  string `json:"bound"`
	Missed bool   `json:"missed"`
}

// AtMost gives a figure an upper bound.
func (f Figure) AtMost(bound float64) Figure {
	f.Bound, f.Missed = fmt.Sprintf("at most %g", bound), f.Value > bound
	return f
}

// Complete gives a figure the lower bound 1.
func (f Figure) Complete() Figure {
	f.Bound, f.Missed = "at least 1", f.Value < 1
	return f
}
