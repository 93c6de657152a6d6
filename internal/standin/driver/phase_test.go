package driver_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/standin/driver"
	"apricotflow/internal/wire/encoder"
)

func testObservations(began time.Time) []driver.Observation {
	at := func(ms, latency int, outcome encoder.QueryOutcome, coverage float64) driver.Observation {
		return driver.Observation{
			At: began.Add(time.Duration(ms) * time.Millisecond), Latency: time.Duration(latency) * time.Millisecond,
			Outcome: outcome, Coverage: coverage,
		}
	}
	return []driver.Observation{
		at(0, 900, encoder.QueryOutcomeComplete, 1),
		at(100, 10, encoder.QueryOutcomeComplete, 1),
		at(110, 20, encoder.QueryOutcomePartial, 0.5),
		at(120, 5000, encoder.QueryOutcomeNotRun, 0),
		at(130, 3, driver.OutcomeNoReply, 0),
		at(200, 800, encoder.QueryOutcomePartial, 0.1),
	}
}

// Guards against including queries of other phases, and against refusals that lower the coverage or the latency.
func TestPhaseSummarizesOnlyItsQueries(t *testing.T) {
	r := driver.Recording{Began: time.Now()}
	r.Observations = testObservations(r.Began)
	p := r.Phase(100*time.Millisecond, 200*time.Millisecond)
	assert.Equal(t, p, driver.Phase{
		Queries: 4, P50Ms: 10, P99Ms: 20, P999Ms: 20, CoverageMean: 0.75, CoverageMinimum: 0.5, Partial: 1, NotRun: 1, NoReply: 1,
	})
	r.Result.ElapsedMs = 250
	assert.Equal(t, r.Phase(0, 0).Queries, 6)
	assert.Equal(t, r.Phase(time.Hour, 0).CoverageMinimum, 1.0)
}

// Guards against a time of the last failure that ignores the latency of its query, or that includes queries from before
// the interval.
func TestLastIncludesLatencyOfFinalReply(t *testing.T) {
	began := time.Now()
	all, from := testObservations(began), began.Add(110*time.Millisecond)
	assert.Equal(t, driver.TimeUntilLast(all, from, encoder.QueryOutcomePartial), 890*time.Millisecond)
	assert.Equal(t, driver.TimeUntilLast(all, from, encoder.QueryOutcomeNotRun), 5010*time.Millisecond)
	assert.Equal(t, driver.TimeUntilLast(all, from, encoder.QueryOutcomeComplete), time.Duration(0))
}

// Guards against a short burst that counts as a recovery, and against reporting the end of the window instead of its
// start.
func TestRecoveryIgnoresShortBurst(t *testing.T) {
	var samples []driver.ExecutedSample
	executed := 0
	for i := range 50 {
		samples = append(samples, driver.ExecutedSample{At: time.Duration(i) * 100 * time.Millisecond, Executed: executed})
		switch {
		case i == 5:
			executed += 40
		case i >= 20:
			executed += 10
		}
	}
	at, ok := driver.FindRecovery(samples, 95, time.Second)
	assert.Assert(t, ok)
	assert.Equal(t, at, 2*time.Second)
	_, ok = driver.FindRecovery(samples, 101, time.Second)
	assert.Assert(t, !ok)
}
