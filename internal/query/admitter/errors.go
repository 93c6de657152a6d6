package admitter

import (
	"fmt"
	"time"

	"apricotflow/internal/wire/encoder"
)

// ShedError reports a query that was shed because too many queries are running.
type ShedError struct {
	Priority encoder.QueryClassPriority
	// RetryAfter is when the caller may try again.
	RetryAfter time.Duration
}

func (e *ShedError) Error() string {
	return fmt.Sprintf("admitter: admit: shed at priority %s", e.Priority)
}

// DeadlineTooShortError reports a deadline that is shorter than the latency of every recent complete query.
type DeadlineTooShortError struct {
	Deadline time.Duration
	// Minimum is the shortest recent latency.
	Minimum time.Duration
}

func (e *DeadlineTooShortError) Error() string {
	return fmt.Sprintf("admitter: admit: deadline %v is below the recent minimum service time %v", e.Deadline, e.Minimum)
}
