package admitter

import (
	"fmt"
	"time"

	"apricotflow/internal/wire/encoder"
)

// ShedError reports a query that was refused because too many are running.
type ShedError struct {
	Priority encoder.QueryClassPriority
	// RetryAfter is when the caller may try again.
	RetryAfter time.Duration
}

func (e *ShedError) Error() string {
	return fmt.Sprintf("admitter: admit: shed at priority %s", e.Priority)
}

// DeadlineError reports a deadline that no recent query would have met.
type DeadlineError struct {
	Deadline time.Duration
	// Minimum is the shortest recent service time.
	Minimum time.Duration
}

func (e *DeadlineError) Error() string {
	return fmt.Sprintf("admitter: admit: deadline %v is below the recent minimum service time %v", e.Deadline, e.Minimum)
}
