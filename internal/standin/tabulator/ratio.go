package tabulator

import "slices"

// Summary holds the median and the range of the values of several rounds.
type Summary struct {
	Median  float64 `json:"median"`
	Minimum float64 `json:"minimum"`
	Maximum float64 `json:"maximum"`
}

// NewSummary summarizes the values; it returns zeros if there are none.
func NewSummary(values []float64) Summary {
	if len(values) == 0 {
		return Summary{}
	}
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	s := Summary{Median: sorted[middle], Minimum: sorted[0], Maximum: sorted[len(sorted)-1]}
	if len(sorted)%2 == 0 {
		s.Median = (sorted[middle-1] + sorted[middle]) / 2
	}
	return s
}

// summarizeRatios divides the value of each round of the product's default policy by that of the same round of an
// alternative and summarizes the quotients. Rounds without a positive value on either side are left out.
func summarizeRatios(c column, product, alternative []*Row) Summary {
	var values []float64
	for i := range min(len(product), len(alternative)) {
		if a, b := *c.value(product[i]), *c.value(alternative[i]); a > 0 && b > 0 {
			values = append(values, a/b)
		}
	}
	return NewSummary(values)
}

// Ratio compares the product's default policy with an alternative, column by column. Below 1, the value of the product
// is the smaller one.
type Ratio struct {
	Deployment string             `json:"deployment"`
	Name       string             `json:"name"`
	Variant    string             `json:"variant"`
	Columns    map[string]Summary `json:"columns"`
}

// NewRatio compares each round of the product's default policy with the same round of an alternative.
func NewRatio(product, alternative []*Row) Ratio {
	a, b := product[0], alternative[0]
	r := Ratio{Deployment: a.Deployment, Name: a.Name, Variant: a.Variant + " per " + b.Variant, Columns: make(map[string]Summary)}
	for _, c := range columns() {
		if c.compared {
			r.Columns[c.name] = summarizeRatios(c, product, alternative)
		}
	}
	return r
}
