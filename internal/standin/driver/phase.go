package driver

import (
	"slices"
	"time"

	"apricotflow/internal/wire/encoder"
)

// Phase summarizes the answers that callers got during a period of a run.
type Phase struct {
	Queries int     `json:"queries"`
	P50Ms   float64 `json:"p50-ms"`
	P99Ms   float64 `json:"p99-ms"`
	P999Ms  float64 `json:"p999-ms"`
	// CoverageMean and CoverageMinimum include answers only, and are 1 without any answer.
	CoverageMean    float64 `json:"coverage-mean"`
	CoverageMinimum float64 `json:"coverage-minimum"`
	Partial         int     `json:"partial"`
	NotRun          int     `json:"not-run"`
	Unknown         int     `json:"unknown"`
	NoReply         int     `json:"no-reply"`
}

// NewPhase summarizes the queries whose intended time is at or after from and before to.
func NewPhase(observations []Observation, from, to time.Time) Phase {
	p := Phase{CoverageMean: 1, CoverageMinimum: 1}
	var latencies []time.Duration
	covered := 0.0
	for _, o := range observations {
		if o.At.Before(from) || !o.At.Before(to) {
			continue
		}
		p.Queries++
		switch o.Outcome {
		case encoder.QueryOutcomeNotRun:
			p.NotRun++
		case encoder.QueryOutcomeUnknown:
			p.Unknown++
		case OutcomeNoReply:
			p.NoReply++
		case encoder.QueryOutcomePartial:
			p.Partial++
		}
		if isAnswered(o) {
			latencies = append(latencies, o.Latency)
			covered += o.Coverage
			p.CoverageMinimum = min(p.CoverageMinimum, o.Coverage)
		}
	}
	if len(latencies) == 0 {
		return p
	}
	slices.Sort(latencies)
	p.P50Ms, p.P99Ms, p.P999Ms = quantileMs(latencies, 0.5), quantileMs(latencies, 0.99), quantileMs(latencies, 0.999)
	p.CoverageMean = covered / float64(len(latencies))
	return p
}

func isAnswered(o Observation) bool {
	return o.Outcome == encoder.QueryOutcomeComplete || o.Outcome == encoder.QueryOutcomePartial
}

// quantileMs returns the smallest of the sorted values such that at least the fraction q of them does not exceed it, in
// milliseconds.
func quantileMs(sorted []time.Duration, q float64) float64 {
	rank := int(q * float64(len(sorted)))
	if float64(rank) < q*float64(len(sorted)) {
		rank++
	}
	return float64(sorted[max(rank, 1)-1].Microseconds()) / 1000
}

// TimeUntilLast returns the time between from and the last reply with the given outcome to a query sent since. It
// returns 0 if there is none.
func TimeUntilLast(observations []Observation, from time.Time, outcome encoder.QueryOutcome) time.Duration {
	last := time.Duration(0)
	for _, o := range observations {
		if !o.At.Before(from) && o.Outcome == outcome {
			last = max(last, o.At.Add(o.Latency).Sub(from))
		}
	}
	return last
}
