package receiver

import "fmt"

// ServeError reports a listener that ended.
type ServeError struct {
	Address string
	// Cause is never nil.
	Cause error
}

func (e *ServeError) Error() string {
	return fmt.Sprintf("receiver: serve on %s: %v", e.Address, e.Cause)
}

func (e *ServeError) Unwrap() error { return e.Cause }

// StopError reports requests that were cut off by a stop.
type StopError struct {
	// Cause is never nil.
	Cause error
}

func (e *StopError) Error() string {
	return fmt.Sprintf("receiver: stop: %v", e.Cause)
}

func (e *StopError) Unwrap() error { return e.Cause }
