package server

import (
	"fmt"
	"net/http"

	"apricotflow/internal/wire/encoder"
)

// ServeError reports that the admin API ended before it was stopped.
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

// StopError reports requests that were still in flight when the time to stop ended.
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

// code is the machine-readable reason of a refusal.
type code string

const (
	codeInvalidFilter code = "invalid-filter"
	codeNotFound      code = "not-found"
	codeReadOnly      code = "read-only"
)

// status is the only place where HTTP status codes of refusals are chosen.
func (c code) status() int {
	switch c {
	case codeInvalidFilter:
		return http.StatusBadRequest
	case codeReadOnly:
		return http.StatusMethodNotAllowed
	default:
		return http.StatusNotFound
	}
}

func fail(c code, message string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if c == codeReadOnly {
			w.Header().Set("Allow", http.MethodGet)
		}
		reply(w, c.status(), encoder.ErrorReply{Code: string(c), Message: message, Outcome: encoder.QueryOutcomeNotRun})
	})
}

func reply[T any](w http.ResponseWriter, status int, body T) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the operator has gone; there is nobody to tell.
	_, _ = w.Write(encoder.Encode(body))
}
