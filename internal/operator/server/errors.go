package server

import (
	"fmt"
	"net/http"

	"apricotflow/internal/wire/encoder"
)

// ServeError reports that the admin API failed before it was stopped.
type ServeError struct {
	Address string
	// Cause is never nil.
	Cause error
}

func (e *ServeError) Error() string {
	return fmt.Sprintf("server: serve the admin API on %s: %v", e.Address, e.Cause)
}

func (e *ServeError) Unwrap() error {
	return e.Cause
}

// StopError reports that requests were still in flight when the context of Stop ended.
type StopError struct {
	// Cause is never nil.
	Cause error
}

func (e *StopError) Error() string {
	return fmt.Sprintf("server: stop the admin API: %v", e.Cause)
}

func (e *StopError) Unwrap() error {
	return e.Cause
}

// errorCode is the machine-readable code of an error reply.
type errorCode string

const (
	codeInvalidFilter errorCode = "invalid-filter"
	// codeInvalidParameter is the code for the parameters of an explanation.
	codeInvalidParameter errorCode = "invalid-parameter"
	codeNotFound         errorCode = "not-found"
	codeReadOnly         errorCode = "read-only"
)

// status returns the HTTP status code for the error code. It is the only place that chooses the status of an error
// response.
func (c errorCode) status() int {
	switch c {
	case codeInvalidFilter, codeInvalidParameter:
		return http.StatusBadRequest
	case codeReadOnly:
		return http.StatusMethodNotAllowed
	default:
		return http.StatusNotFound
	}
}

// errorHandler returns a handler that sends an error reply.
func errorHandler(c errorCode, message string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if c == codeReadOnly {
			w.Header().Set("Allow", http.MethodGet)
		}
		// The type is shared with the caller API, which requires an outcome.
		writeReply(w, c.status(), encoder.ErrorReply{Code: string(c), Message: message, Outcome: encoder.QueryOutcomeNotRun})
	})
}

func writeReply[T any](w http.ResponseWriter, status int, body T) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the client has closed the connection, so that there is no one to report the error to.
	_, _ = w.Write(encoder.Encode(body))
}
