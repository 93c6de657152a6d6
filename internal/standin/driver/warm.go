package driver

import (
	"context"
	"fmt"
	"time"

	"apricotflow/internal/wire/encoder"
)

const (
	// warmUpRunDuration is the duration of one run of a warm-up, warmUpRuns the number of complete runs in a row that
	// end it.
	warmUpRunDuration, warmUpRuns = 500 * time.Millisecond, 3
	// warmUpTimeout limits a warm-up.
	warmUpTimeout = 40 * time.Second
)

// NotWarmError reports a deployment whose answers are still incomplete at the end of the warm-up.
type NotWarmError struct {
	// LastOutcomes holds the outcomes of the last run.
	LastOutcomes map[encoder.QueryOutcome]int
}

func (e *NotWarmError) Error() string {
	return fmt.Sprintf("driver: answers are still incomplete after warming up for %s: outcomes %v", warmUpTimeout, e.LastOutcomes)
}

// WarmUp sends queries until all answers of warmUpRuns runs in a row are complete. It ignores the duration of the
// settings.
func WarmUp(ctx context.Context, s Settings) error {
	s.Duration = warmUpRunDuration
	completeRuns := 0
	var last Result
	for end := time.Now().Add(warmUpTimeout); completeRuns < warmUpRuns; completeRuns++ {
		if time.Now().After(end) {
			return &NotWarmError{LastOutcomes: last.Outcomes}
		}
		s.Seed++
		if last = New(s).Run(ctx); last.Outcomes[encoder.QueryOutcomeComplete] < last.Sent {
			completeRuns = -1
		}
	}
	return ctx.Err()
}
