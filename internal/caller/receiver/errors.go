package receiver

import "fmt"

// ServeError reports that serving a listener ended with an error.
type ServeError struct {
	Address string
	// Cause is never nil.
	Cause error
}

func (e *ServeError) Error() string {
	return fmt.Sprintf("receiver: serve on %s: %v", e.Address, e.Cause)
}

func (e *ServeError) Unwrap() error { return e.Cause }

// StopError reports that requests were still in flight when the time of a stop ended.
type StopError struct {
	// Cause is never nil.
	Cause error
}

func (e *StopError) Error() string {
	return fmt.Sprintf("receiver: stop: %v", e.Cause)
}

func (e *StopError) Unwrap() error { return e.Cause }
