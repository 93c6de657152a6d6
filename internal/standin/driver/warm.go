package driver

import (
	"context"
	"fmt"
	"time"

	"apricotflow/internal/wire/encoder"
)

const (
	// warmRun is the length of one run of a warm-up; warmRuns complete ones in a row end it.
	warmRun, warmRuns = 500 * time.Millisecond, 3
	// warmLimit is how long a warm-up may take.
	warmLimit = 40 * time.Second
)

// NotWarmError reports a deployment whose answers stay incomplete.
type NotWarmError struct {
	// Last holds the outcomes of the last run.
	Last map[encoder.QueryOutcome]int
}

func (e *NotWarmError) Error() string {
	return fmt.Sprintf("driver: answers are not complete after %s: %v", warmLimit, e.Last)
}

// WarmUp sends queries until all answers of some runs in a row are complete. It ignores the duration of the settings.
func WarmUp(ctx context.Context, s Settings) error {
	s.Duration = warmRun
	complete := 0
	var last Result
	for end := time.Now().Add(warmLimit); complete < warmRuns; complete++ {
		if time.Now().After(end) {
			return &NotWarmError{Last: last.Outcomes}
		}
		s.Seed++
		if last = New(s).Run(ctx); last.Outcomes[encoder.QueryOutcomeComplete] < last.Sent {
			complete = -1
		}
	}
	return ctx.Err()
}
