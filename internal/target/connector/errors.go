package connector

import "fmt"

// DownError is returned for a target that is down, because no new connection could be opened. Nothing was sent.
type DownError struct {
	// Target is the name of the target.
	Target string
	// Cause is the error with which the target was marked as down.
	Cause error
}

func (e *DownError) Error() string {
	return fmt.Sprintf("connector: connect to %s: target is down: %v", e.Target, e.Cause)
}

func (e *DownError) Unwrap() error {
	return e.Cause
}

// ClosedError is returned when the connector is closed.
type ClosedError struct {
	// Target is the name of the target.
	Target string
}

func (e *ClosedError) Error() string {
	return fmt.Sprintf("connector: connect to %s: connector is closed", e.Target)
}

// ControlError is returned when a report request or a cancellation failed.
type ControlError struct {
	// Target is the name of the target.
	Target string
	// Request is the kind of request, such as "report".
	Request string
	// Cause is never nil.
	Cause error
}

func (e *ControlError) Error() string {
	return fmt.Sprintf("connector: %s request to %s: %v", e.Request, e.Target, e.Cause)
}

func (e *ControlError) Unwrap() error {
	return e.Cause
}
