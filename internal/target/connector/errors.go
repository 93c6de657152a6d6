package connector

import "fmt"

// DownError reports that no connection can be opened, so nothing was sent.
type DownError struct {
	// Target is the name of the target.
	Target string
	// Cause is the failure of the latest new connection; it may be nil.
	Cause error
}

func (e *DownError) Error() string {
	return fmt.Sprintf("connector: connect to %s: target is down: %v", e.Target, e.Cause)
}

func (e *DownError) Unwrap() error {
	return e.Cause
}

// ClosedError reports that the connector was closed.
type ClosedError struct {
	// Target is the name of the target.
	Target string
}

func (e *ClosedError) Error() string {
	return fmt.Sprintf("connector: connect to %s: closed", e.Target)
}

// ControlError reports that a report or cancellation failed.
type ControlError struct {
	// Target is the name of the target.
	Target string
	// Request names the request, such as report.
	Request string
	// Cause is never nil.
	Cause error
}

func (e *ControlError) Error() string {
	return fmt.Sprintf("connector: %s of %s: %v", e.Request, e.Target, e.Cause)
}

func (e *ControlError) Unwrap() error {
	return e.Cause
}
