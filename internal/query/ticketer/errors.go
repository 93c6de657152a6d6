package ticketer

import "fmt"

// TableFullError reports that no ticket can be issued because the table is full.
type TableFullError struct{}

func (e *TableFullError) Error() string {
	return "ticketer: issue: ticket table is full"
}

// MalformedError reports a ticket that no instance can have issued.
type MalformedError struct{}

func (e *MalformedError) Error() string {
	return "ticketer: run: malformed ticket"
}

// ConflictError reports a ticket that was issued for or used with another request. The request of this resend did not
// run.
type ConflictError struct {
	// Detail describes the difference.
	Detail string
}

func (e *ConflictError) Error() string {
	return "ticketer: run: ticket belongs to another request: " + e.Detail
}

// OutcomeUnknownError reports that the request of the ticket may have run.
type OutcomeUnknownError struct {
	// Detail is why the answer is unknown.
	Detail string
	// Cause may be nil.
	Cause error
}

func (e *OutcomeUnknownError) Error() string {
	if e.Cause == nil {
		return "ticketer: run: outcome unknown: " + e.Detail
	}
	return fmt.Sprintf("ticketer: run: outcome unknown: %s: %v", e.Detail, e.Cause)
}

func (e *OutcomeUnknownError) Unwrap() error {
	return e.Cause
}
