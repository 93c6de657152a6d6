package driver

import (
	"context"
	"fmt"

	"apricotflow/internal/standin/replier"
	"apricotflow/internal/standin/responder"
	"apricotflow/internal/wire/encoder"
)

// maxListedViolations is the maximum number of violations that a result lists with their details.
const maxListedViolations = 100

// Violation is a broken guarantee that a caller or a target observed.
type Violation struct {
	Kind   string `json:"kind"`
	Detail string `json:"detail"`
}

// ClassResult holds the latency of one query class.
type ClassResult struct {
	Answers int     `json:"answers"`
	P50Ms   float64 `json:"p50-ms"`
	P99Ms   float64 `json:"p99-ms"`
	P999Ms  float64 `json:"p999-ms"`
}

// Result holds the measurements of one run. Latency includes answers only and counts from the intended time of the
// query.
type Result struct {
	Sent      int `json:"sent"`
	ElapsedMs int `json:"elapsed-ms"`
	// Rate is in answers per second.
	Rate   float64 `json:"rate"`
	P50Ms  float64 `json:"p50-ms"`
	P99Ms  float64 `json:"p99-ms"`
	P999Ms float64 `json:"p999-ms"`
	MaxMs  float64 `json:"max-ms"`
	// CoverageMean and CoverageMinimum include answers only, and are 0 without any answer, unlike those of a Phase.
	CoverageMean    float64                      `json:"coverage-mean"`
	CoverageMinimum float64                      `json:"coverage-minimum"`
	Outcomes        map[encoder.QueryOutcome]int `json:"outcomes"`
	// Late counts query requests without a reply within the deadline of their query class.
	Late int `json:"late"`
	// Codes counts error replies by code, requests without a reply as "no-reply", and refused tickets as "no-ticket".
	Codes   map[string]int         `json:"codes"`
	Classes map[string]ClassResult `json:"classes"`
	// Needed is the number of sub-queries that the queries need, TargetReceived the number that the targets
	// received.
	Needed         int `json:"needed"`
	TargetReceived int `json:"target-sent"`
	// ExtraLoad is the ratio of TargetReceived to Needed: 1 means no extra load. It is 0 if it is unknown.
	ExtraLoad float64 `json:"extra-load"`
	// Sheds, OverSlots and ColdOverload are counted by the targets. For a target that restarted, they count from its
	// start.
	Sheds        int `json:"sheds"`
	OverSlots    int `json:"over-slots"`
	ColdOverload int `json:"cold-overload"`
	// TargetsRead is the number of targets whose counters cover the whole run.
	TargetsRead int `json:"targets-read"`
	// Counters holds the counters of all instances, summed up.
	Counters       map[string]int `json:"counters"`
	ViolationCount int            `json:"violation-count"`
	// Violations lists the first violations, at most maxListedViolations.
	Violations []Violation `json:"violations"`
}

// targetCounts holds the state of a target and its counters since its start.
type targetCounts = responder.Statistics

func (d *Driver) readTargetStatistics(ctx context.Context) map[string]targetCounts {
	counts := make(map[string]targetCounts)
	for _, address := range d.settings.TargetControlAddresses {
		if s, err := replier.Get[targetCounts](ctx, "http://"+address+"/v1/statistics"); err == nil {
			counts[s.Name] = s
		}
	}
	return counts
}

func (d *Driver) readCounters(ctx context.Context) map[string]int {
	sum := make(map[string]int)
	for _, address := range d.settings.AdminAddresses {
		s, err := replier.Get[encoder.StatusReply](ctx, "http://"+address+"/v1/status")
		if err != nil {
			continue
		}
		for name, n := range s.Counters {
			sum[name] += n
		}
	}
	return sum
}

// checkTargetCounters computes the extra load and checks the counters of the targets. d.mu must be held.
func (d *Driver) checkTargetCounters(before, after map[string]targetCounts) {
	runs := make(map[string]int)
	for name, a := range after {
		b := before[name]
		if b.Incarnation == a.Incarnation {
			d.result.TargetsRead++
			d.result.TargetReceived += receivedSubQueries(a) - receivedSubQueries(b)
		} else {
			b = targetCounts{}
		}
		d.result.Sheds += a.Shed - b.Shed
		d.result.OverSlots += a.OverSlots - b.OverSlots
		for text, n := range a.NonIdempotentRuns {
			runs[text] += n
		}
		if n := a.ColdOverload - b.ColdOverload; n > 0 {
			d.result.ColdOverload += n
			d.recordViolationLocked("cold-overload", fmt.Sprintf("%s: %d sub-queries above the cold limit", name, n))
		}
		for attempt, n := range a.RepeatedAttempts {
			d.recordViolationLocked("attempt-repeated", fmt.Sprintf("%s: %s ran %d times", name, attempt, n))
		}
	}
	complete := d.result.TargetsRead > 0 && d.result.TargetsRead == len(d.settings.TargetControlAddresses)
	if complete && d.result.Needed > 0 {
		d.result.ExtraLoad = float64(d.result.TargetReceived) / float64(d.result.Needed)
	}
	for text, t := range d.tickets {
		d.checkRuns(text, t, runs[text], complete)
	}
}

// checkRuns compares the outcomes that callers got for a non-idempotent query with the number of its runs. Missing runs
// are a violation only if complete is set, that is, if the counters of all targets cover the whole run. d.mu must be
// held.
func (d *Driver) checkRuns(text string, t *ticketRecord, runs int, complete bool) {
	detail := fmt.Sprintf("%q ran %d times, outcomes %v", text, runs, t.outcomes)
	if runs > 1 {
		d.recordViolationLocked("ran-more-than-once", detail)
	}
	allNotRun := true
	for _, o := range t.outcomes {
		allNotRun = allNotRun && o == encoder.QueryOutcomeNotRun
		if o == encoder.QueryOutcomeComplete && runs == 0 && complete {
			d.recordViolationLocked("answered-without-run", detail)
		}
	}
	if allNotRun && runs > 0 {
		d.recordViolationLocked("not-run-but-ran", detail)
	}
}

// receivedSubQueries returns the number of sub-queries that reached a target: those that started to run and those that
// it refused.
func receivedSubQueries(s targetCounts) int {
	n := s.Executed
	for _, refused := range s.NotRun {
		n += refused
	}
	return n
}
