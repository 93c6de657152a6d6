package collector

import "fmt"

// UnavailableError reports a server that could not be reached or gave no valid reply.
type UnavailableError struct {
	// Address is the IP address and port of the server.
	Address string
	// Cause is never nil.
	Cause error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("collector: request to %s: %v", e.Address, e.Cause)
}

func (e *UnavailableError) Unwrap() error {
	return e.Cause
}

// statusError reports a reply with an HTTP status other than 200.
type statusError struct {
	status  int
	message string
}

func (e *statusError) Error() string {
	return fmt.Sprintf("HTTP status %d: %s", e.status, e.message)
}
