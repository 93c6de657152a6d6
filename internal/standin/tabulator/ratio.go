package tabulator

import "slices"

// Spread is the median and the range over several rounds.
type Spread struct {
	Median  float64 `json:"median"`
	Minimum float64 `json:"minimum"`
	Maximum float64 `json:"maximum"`
}

// NewSpread returns the spread of the values; all 0 without a value.
func NewSpread(values []float64) Spread {
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

// ratios divides each round of a policy by the same round of a baseline.
func ratios(c column, policy, baseline []*Row) Spread {
	var values []float64
	for i := range min(len(policy), len(baseline)) {
		if a, b := *c.value(policy[i]), *c.value(baseline[i]); a > 0 && b > 0 {
			values = append(values, a/b)
		}
	}
	return NewSpread(values)
}

// Ratio compares a policy with a baseline, by column; below 1 the policy has the smaller value.
type Ratio struct {
	Deployment string            `json:"deployment"`
	Name       string            `json:"name"`
	Variant    string            `json:"variant"`
	Columns    map[string]Spread `json:"columns"`
}

// NewRatio compares the rounds of a policy with those of a baseline in pairs.
func NewRatio(policy, baseline []*Row) Ratio {
	a, b := policy[0], baseline[0]
	r := Ratio{Deployment: a.Deployment, Name: a.Name, Variant: a.Variant + " per " + b.Variant, Columns: make(map[string]Spread)}
	for _, c := range columns() {
		if c.compared {
			r.Columns[c.name] = ratios(c, policy, baseline)
		}
	}
	return r
}
