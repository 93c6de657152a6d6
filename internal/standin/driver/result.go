package driver

import (
	"context"
	"fmt"

	"apricotflow/internal/standin/replier"
	"apricotflow/internal/standin/responder"
	"apricotflow/internal/wire/encoder"
)

// violationsListed bounds the violations with their details in a result.
const violationsListed = 100

// Violation is a broken guarantee that a caller or a target saw.
type Violation struct {
	Kind   string `json:"kind"`
	Detail string `json:"detail"`
}

// ClassResult is the latency of one query class.
type ClassResult struct {
	Answers int     `json:"answers"`
	P50Ms   float64 `json:"p50-ms"`
	P99Ms   float64 `json:"p99-ms"`
	P999Ms  float64 `json:"p999-ms"`
}

// Result is what one run measured. Latency covers answers only, from the intended time of the query.
type Result struct {
	Sent      int `json:"sent"`
	ElapsedMs int `json:"elapsed-ms"`
	// Rate is in answers per second.
	Rate            float64                      `json:"rate"`
	P50Ms           float64                      `json:"p50-ms"`
	P99Ms           float64                      `json:"p99-ms"`
	P999Ms          float64                      `json:"p999-ms"`
	MaxMs           float64                      `json:"max-ms"`
	CoverageMean    float64                      `json:"coverage-mean"`
	CoverageMinimum float64                      `json:"coverage-minimum"`
	Outcomes        map[encoder.QueryOutcome]int `json:"outcomes"`
	// Late counts queries without a reply within the deadline of their class.
	Late int `json:"late"`
	// Codes counts error replies by code, and requests without a reply.
	Codes   map[string]int         `json:"codes"`
	Classes map[string]ClassResult `json:"classes"`
	// Needed is the number of sub-queries that the queries need, TargetSent the number that reached the targets.
	Needed     int `json:"needed"`
	TargetSent int `json:"target-sent"`
	// ExtraLoad is TargetSent per Needed; 0 when it is unknown.
	ExtraLoad float64 `json:"extra-load"`
	// Sheds, OverSlots and ColdOverload are counted by the targets; a target that restarted counts from its start.
	Sheds        int `json:"sheds"`
	OverSlots    int `json:"over-slots"`
	ColdOverload int `json:"cold-overload"`
	// TargetsRead is the number of targets whose counters cover the whole run.
	TargetsRead int `json:"targets-read"`
	// Counters are the counters of the instances, summed up.
	Counters       map[string]int `json:"counters"`
	ViolationCount int            `json:"violation-count"`
	// Violations lists the first ones.
	Violations []Violation `json:"violations"`
}

// targetCounts are the counters of one incarnation of a target.
type targetCounts = responder.Statistics

func (d *Driver) readTargets(ctx context.Context) map[string]targetCounts {
	counts := make(map[string]targetCounts)
	for _, address := range d.settings.Targets {
		if s, err := replier.Get[targetCounts](ctx, "http://"+address+"/v1/statistics"); err == nil {
			counts[s.Name] = s
		}
	}
	return counts
}

func (d *Driver) readCounters(ctx context.Context) map[string]int {
	sum := make(map[string]int)
	for _, address := range d.settings.Admins {
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

// compare computes the extra load and checks the targets' counters; d.mu is held.
func (d *Driver) compare(before, after map[string]targetCounts) {
	runs := make(map[string]int)
	for name, a := range after {
		b := before[name]
		if b.Incarnation == a.Incarnation {
			d.result.TargetsRead++
			d.result.TargetSent += received(a) - received(b)
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
			d.violateLocked("cold-overload", fmt.Sprintf("%s: %d times", name, n))
		}
		for attempt, n := range a.RepeatedAttempts {
			d.violateLocked("attempt-repeated", fmt.Sprintf("%s: %s ran %d times", name, attempt, n))
		}
	}
	complete := d.result.TargetsRead > 0 && d.result.TargetsRead == len(d.settings.Targets)
	if complete && d.result.Needed > 0 {
		d.result.ExtraLoad = float64(d.result.TargetSent) / float64(d.result.Needed)
	}
	for text, t := range d.tickets {
		d.checkRuns(text, t, runs[text], complete)
	}
}

// checkRuns compares what callers were told about a non-idempotent query with its runs. Missing runs count only
// when the counters of all targets are complete. d.mu is held.
func (d *Driver) checkRuns(text string, t *ticketRecord, runs int, complete bool) {
	detail := fmt.Sprintf("%q ran %d times, outcomes %v", text, runs, t.outcomes)
	if runs > 1 {
		d.violateLocked("ran-more-than-once", detail)
	}
	notRun := true
	for _, o := range t.outcomes {
		notRun = notRun && o == encoder.QueryOutcomeNotRun
		if o == encoder.QueryOutcomeComplete && runs == 0 && complete {
			d.violateLocked("answered-without-run", detail)
		}
	}
	if notRun && runs > 0 {
		d.violateLocked("not-run-but-ran", detail)
	}
}

// received is the number of sub-queries that reached a target.
func received(s targetCounts) int {
	n := s.Executed
	for _, refused := range s.NotRun {
		n += refused
	}
	return n
}
