package server

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"apricotflow/internal/query/executor"
	"apricotflow/internal/query/ticketer"
	"apricotflow/internal/wire/encoder"
)

// fault is one row of the table of error replies.
type fault struct {
	code    string
	status  int
	outcome encoder.QueryOutcome
}

// The table of error replies: every status of 400 or above is chosen here.
var (
	faultInvalidJSON      = fault{"invalid-json", http.StatusBadRequest, encoder.QueryOutcomeNotRun}
	faultInvalidRequest   = fault{"invalid-request", http.StatusBadRequest, encoder.QueryOutcomeNotRun}
	faultUnreadableBody   = fault{"unreadable-body", http.StatusBadRequest, encoder.QueryOutcomeNotRun}
	faultBodyTooLarge     = fault{"body-too-large", http.StatusRequestEntityTooLarge, encoder.QueryOutcomeNotRun}
	faultNotFound         = fault{"not-found", http.StatusNotFound, encoder.QueryOutcomeNotRun}
	faultMethodNotAllowed = fault{"method-not-allowed", http.StatusMethodNotAllowed, encoder.QueryOutcomeNotRun}
	faultUnknownClass     = fault{"unknown-query-class", http.StatusBadRequest, encoder.QueryOutcomeNotRun}
	faultTicketRequired   = fault{"ticket-required", http.StatusBadRequest, encoder.QueryOutcomeNotRun}
	faultMalformedTicket  = fault{"malformed-ticket", http.StatusBadRequest, encoder.QueryOutcomeNotRun}
	faultTicketConflict   = fault{"ticket-conflict", http.StatusConflict, encoder.QueryOutcomeNotRun}
	faultDeadlineTooShort = fault{"deadline-too-short", http.StatusUnprocessableEntity, encoder.QueryOutcomeNotRun}
	faultCallerLeft       = fault{"caller-left", http.StatusRequestTimeout, encoder.QueryOutcomeNotRun}
	faultShed             = fault{"shed", http.StatusServiceUnavailable, encoder.QueryOutcomeNotRun}
	faultNotReady         = fault{"not-ready", http.StatusServiceUnavailable, encoder.QueryOutcomeNotRun}
	faultTicketsFull      = fault{"tickets-full", http.StatusServiceUnavailable, encoder.QueryOutcomeNotRun}
	faultNotRun           = fault{"not-run", http.StatusServiceUnavailable, encoder.QueryOutcomeNotRun}
	faultTicketUnknown    = fault{"ticket-outcome-unknown", http.StatusBadGateway, encoder.QueryOutcomeUnknown}
	faultUnknown          = fault{"outcome-unknown", http.StatusBadGateway, encoder.QueryOutcomeUnknown}
	faultDeadlineExceeded = fault{"deadline-exceeded", http.StatusGatewayTimeout, encoder.QueryOutcomeUnknown}
	faultInternal         = fault{"internal-error", http.StatusInternalServerError, encoder.QueryOutcomeUnknown}
)

// defaultRetryAfter is the advice with a status of 503 that names no other time.
const defaultRetryAfter = time.Second

// answer is a reply to a caller.
type answer struct {
	status int
	body   []byte
	// retryAfter is zero without advice.
	retryAfter time.Duration
}

// answer builds the error reply; path may be empty.
func (f fault) answer(path, message string) answer {
	reply := encoder.ErrorReply{Code: f.code, Message: message, Outcome: f.outcome}
	if path != "" {
		reply.Path = &path
	}
	a := answer{status: f.status, body: encoder.Encode(reply)}
	if f.status == http.StatusServiceUnavailable {
		a.retryAfter = defaultRetryAfter
	}
	return a
}

// replyAnswer returns the answer for a query that was executed.
func replyAnswer(reply encoder.QueryReply) answer {
	switch reply.Outcome {
	case encoder.QueryOutcomeComplete, encoder.QueryOutcomePartial:
		return answer{status: http.StatusOK, body: encoder.Encode(reply)}
	case encoder.QueryOutcomeNotRun:
		return faultNotRun.answer("", missingMessage(reply))
	}
	for _, missing := range reply.Missing {
		if missing.Reason == encoder.ReasonDeadlineExceeded {
			return faultDeadlineExceeded.answer("", missingMessage(reply))
		}
	}
	return faultUnknown.answer("", missingMessage(reply))
}

func missingMessage(reply encoder.QueryReply) string {
	message := fmt.Sprintf("query %s: no shard of %d answered", reply.Query, reply.Coverage.Shards)
	if len(reply.Missing) == 0 {
		return message
	}
	return fmt.Sprintf("%s, shard %s: %s", message, reply.Missing[0].Shard, reply.Missing[0].Reason)
}

// executeAnswer returns the answer for an error of the executor, none of which ran anything.
func executeAnswer(err error) answer {
	var invalid *executor.InvalidError
	if errors.As(err, &invalid) {
		return faultInvalidRequest.answer(invalid.Path, err.Error())
	}
	var shed *executor.ShedError
	if errors.As(err, &shed) {
		a := faultShed.answer("", err.Error())
		a.retryAfter = shed.RetryAfter
		return a
	}
	for _, row := range []struct {
		matches bool
		fault   fault
		path    string
	}{
		{isError[*executor.UnknownClassError](err), faultUnknownClass, "$.query-class"},
		{isError[*executor.TicketError](err), faultTicketRequired, "$.ticket"},
		{isError[*executor.DeadlineError](err), faultDeadlineTooShort, "$.deadline-ms"},
		{isError[*executor.NotReadyError](err), faultNotReady, ""},
		{isError[*executor.GoneError](err), faultCallerLeft, ""},
	} {
		if row.matches {
			return row.fault.answer(row.path, err.Error())
		}
	}
	return faultInternal.answer("", err.Error())
}

// ticketAnswer returns the answer for an error of the ticketer.
func ticketAnswer(err error) answer {
	switch {
	case isError[*ticketer.FullError](err):
		return faultTicketsFull.answer("", err.Error())
	case isError[*ticketer.MalformedError](err):
		return faultMalformedTicket.answer("$.ticket", err.Error())
	case isError[*ticketer.ConflictError](err):
		return faultTicketConflict.answer("$.ticket", err.Error())
	case isError[*ticketer.UnknownError](err):
		return faultTicketUnknown.answer("", err.Error())
	default:
		return faultInternal.answer("", err.Error())
	}
}

func isError[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
