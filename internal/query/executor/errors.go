package executor

import (
	"fmt"
	"time"
)

// InvalidRequestError reports an invalid request.
type InvalidRequestError struct {
	// Path is the JSON path of the invalid value.
	Path string
	// Cause is never nil.
	Cause error
}

func (e *InvalidRequestError) Error() string {
	return fmt.Sprintf("executor: execute: invalid request at %s: %v", e.Path, e.Cause)
}

func (e *InvalidRequestError) Unwrap() error {
	return e.Cause
}

// UnknownClassError reports a query class that the manifest in force does not define.
type UnknownClassError struct {
	Class string
}

func (e *UnknownClassError) Error() string {
	return fmt.Sprintf("executor: execute: unknown query class %q", e.Class)
}

// TicketRequiredError reports a non-idempotent query without a ticket.
type TicketRequiredError struct {
	Class string
}

func (e *TicketRequiredError) Error() string {
	return fmt.Sprintf("executor: execute: query class %q needs a ticket", e.Class)
}

// NotReadyError reports that the instance has no manifest yet.
type NotReadyError struct{}

func (e *NotReadyError) Error() string {
	return "executor: execute: no manifest"
}

// ShedError reports a query that was shed because too many queries are running.
type ShedError struct {
	// RetryAfter is when the caller may try again.
	RetryAfter time.Duration
}

func (e *ShedError) Error() string {
	return "executor: execute: shed"
}

// DeadlineTooShortError reports a query that was refused because its deadline cannot be met.
type DeadlineTooShortError struct {
	// Cause is never nil.
	Cause error
}

func (e *DeadlineTooShortError) Error() string {
	return fmt.Sprintf("executor: execute: deadline cannot be met: %v", e.Cause)
}

func (e *DeadlineTooShortError) Unwrap() error {
	return e.Cause
}

// CallerLeftError reports that the caller left before the query started.
type CallerLeftError struct {
	// Cause is never nil.
	Cause error
}

func (e *CallerLeftError) Error() string {
	return fmt.Sprintf("executor: execute: caller left: %v", e.Cause)
}

func (e *CallerLeftError) Unwrap() error {
	return e.Cause
}
