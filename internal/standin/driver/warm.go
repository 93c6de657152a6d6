package driver

import (
	"context"
	"fmt"
	"time"

	"apricotflow/internal/wire/encoder"
)

const (
	// awaitRunDuration is the duration of one run of AwaitComplete, requiredCompleteRuns the number of complete runs in
	// a row that end it.
	awaitRunDuration, requiredCompleteRuns = 500 * time.Millisecond, 3
	// awaitTimeout limits the time until the answers are complete.
	awaitTimeout = 40 * time.Second
)

// IncompleteError reports a deployment whose answers are still incomplete after awaitTimeout.
type IncompleteError struct {
	// LastOutcomes holds the outcomes of the last run.
	LastOutcomes map[encoder.QueryOutcome]int
}

func (e *IncompleteError) Error() string {
	return fmt.Sprintf("driver: answers are still incomplete after %s: outcomes %v", awaitTimeout, e.LastOutcomes)
}

// AwaitComplete sends queries until all answers of requiredCompleteRuns runs in a row are complete. It ignores the
// duration of the settings.
func AwaitComplete(ctx context.Context, s Settings) error {
	s.Duration = awaitRunDuration
	completeRuns := 0
	var last Result
	for end := time.Now().Add(awaitTimeout); completeRuns < requiredCompleteRuns; completeRuns++ {
		if time.Now().After(end) {
			return &IncompleteError{LastOutcomes: last.Outcomes}
		}
		s.Seed++
		if last = New(s).Run(ctx); last.Outcomes[encoder.QueryOutcomeComplete] < last.Sent {
			completeRuns = -1
		}
	}
	return ctx.Err()
}
