package collector

import "fmt"

// UnavailableError reports a server that did not answer as agreed.
type UnavailableError struct {
	// Address is the IP address and port that was asked.
	Address string
	// Cause is never nil.
	Cause error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("collector: ask %s: %v", e.Address, e.Cause)
}

func (e *UnavailableError) Unwrap() error {
	return e.Cause
}

// statusError is a reply with another HTTP status than 200.
type statusError struct {
	status  int
	message string
}

func (e *statusError) Error() string {
	return fmt.Sprintf("HTTP status %d: %s", e.status, e.message)
}
