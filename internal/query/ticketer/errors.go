package ticketer

import "fmt"

// FullError reports that no further ticket can be issued for now.
type FullError struct{}

func (e *FullError) Error() string {
	return "ticketer: issue: ticket table is full"
}

// MalformedError reports a ticket that no instance has issued.
type MalformedError struct{}

func (e *MalformedError) Error() string {
	return "ticketer: run: malformed ticket"
}

// ConflictError reports a ticket that belongs to another request; the request of this resend did not run.
type ConflictError struct {
	// Detail names the difference.
	Detail string
}

func (e *ConflictError) Error() string {
	return "ticketer: run: ticket belongs to another request: " + e.Detail
}

// UnknownError reports that the request of the ticket may have run.
type UnknownError struct {
	// Detail tells why the answer is not known.
	Detail string
	// Cause may be nil.
	Cause error
}

func (e *UnknownError) Error() string {
	if e.Cause == nil {
		return "ticketer: run: outcome unknown: " + e.Detail
	}
	return fmt.Sprintf("ticketer: run: outcome unknown: %s: %v", e.Detail, e.Cause)
}

func (e *UnknownError) Unwrap() error {
	return e.Cause
}
