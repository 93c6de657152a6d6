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

// errorKind holds the code, HTTP status and query outcome of one kind of error reply.
type errorKind struct {
	code    string
	status  int
	outcome encoder.QueryOutcome
}

// Kinds of error reply. Every response with a status of 400 or above uses one of them.
var (
	kindInvalidJSON          = errorKind{"invalid-json", http.StatusBadRequest, encoder.QueryOutcomeNotRun}
	kindInvalidRequest       = errorKind{"invalid-request", http.StatusBadRequest, encoder.QueryOutcomeNotRun}
	kindUnreadableBody       = errorKind{"unreadable-body", http.StatusBadRequest, encoder.QueryOutcomeNotRun}
	kindBodyTooLarge         = errorKind{"body-too-large", http.StatusRequestEntityTooLarge, encoder.QueryOutcomeNotRun}
	kindUnauthorized         = errorKind{"unauthorized", http.StatusUnauthorized, encoder.QueryOutcomeNotRun}
	kindOverLimit            = errorKind{"over-limit", http.StatusTooManyRequests, encoder.QueryOutcomeNotRun}
	kindNotFound             = errorKind{"not-found", http.StatusNotFound, encoder.QueryOutcomeNotRun}
	kindMethodNotAllowed     = errorKind{"method-not-allowed", http.StatusMethodNotAllowed, encoder.QueryOutcomeNotRun}
	kindUnknownClass         = errorKind{"unknown-query-class", http.StatusBadRequest, encoder.QueryOutcomeNotRun}
	kindTicketRequired       = errorKind{"ticket-required", http.StatusBadRequest, encoder.QueryOutcomeNotRun}
	kindMalformedTicket      = errorKind{"malformed-ticket", http.StatusBadRequest, encoder.QueryOutcomeNotRun}
	kindTicketConflict       = errorKind{"ticket-conflict", http.StatusConflict, encoder.QueryOutcomeNotRun}
	kindDeadlineTooShort     = errorKind{"deadline-too-short", http.StatusUnprocessableEntity, encoder.QueryOutcomeNotRun}
	kindCallerLeft           = errorKind{"caller-left", http.StatusRequestTimeout, encoder.QueryOutcomeNotRun}
	kindShed                 = errorKind{"shed", http.StatusServiceUnavailable, encoder.QueryOutcomeNotRun}
	kindNotReady             = errorKind{"not-ready", http.StatusServiceUnavailable, encoder.QueryOutcomeNotRun}
	kindTicketsFull          = errorKind{"tickets-full", http.StatusServiceUnavailable, encoder.QueryOutcomeNotRun}
	kindNotRun               = errorKind{"not-run", http.StatusServiceUnavailable, encoder.QueryOutcomeNotRun}
	kindTicketOutcomeUnknown = errorKind{"ticket-outcome-unknown", http.StatusBadGateway, encoder.QueryOutcomeUnknown}
	kindOutcomeUnknown       = errorKind{"outcome-unknown", http.StatusBadGateway, encoder.QueryOutcomeUnknown}
	kindDeadlineExceeded     = errorKind{"deadline-exceeded", http.StatusGatewayTimeout, encoder.QueryOutcomeUnknown}
	kindInternalError        = errorKind{"internal-error", http.StatusInternalServerError, encoder.QueryOutcomeUnknown}
)

// defaultRetryAfter is the Retry-After of a 503 response whose error does not give another time.
const defaultRetryAfter = time.Second

// response is an HTTP response to a caller.
type response struct {
	status int
	body   []byte
	// retryAfter is the value of the Retry-After header; zero omits the header.
	retryAfter time.Duration
}

// response returns the error response with the message and the JSON path of the rejected field. The path may be empty.
func (k errorKind) response(path, message string) response {
	reply := encoder.ErrorReply{Code: k.code, Message: message, Outcome: k.outcome}
	if path != "" {
		reply.Path = &path
	}
	resp := response{status: k.status, body: encoder.Encode(reply)}
	if k.status == http.StatusServiceUnavailable {
		resp.retryAfter = defaultRetryAfter
	}
	return resp
}

// responseForReply returns the response for a query of which the executor returned a reply. A query with an unknown
// outcome counts as deadline-exceeded if any shard is missing for that reason.
func responseForReply(reply encoder.QueryReply) response {
	switch reply.Outcome {
	case encoder.QueryOutcomeComplete, encoder.QueryOutcomePartial:
		return response{status: http.StatusOK, body: encoder.Encode(reply)}
	case encoder.QueryOutcomeNotRun:
		return kindNotRun.response("", noShardAnsweredMessage(reply))
	}
	for _, missing := range reply.Missing {
		if missing.Reason == encoder.ReasonDeadlineExceeded {
			return kindDeadlineExceeded.response("", noShardAnsweredMessage(reply))
		}
	}
	return kindOutcomeUnknown.response("", noShardAnsweredMessage(reply))
}

func noShardAnsweredMessage(reply encoder.QueryReply) string {
	message := fmt.Sprintf("query %s: no shard of %d answered", reply.Query, reply.Coverage.Shards)
	if len(reply.Missing) == 0 {
		return message
	}
	return fmt.Sprintf("%s, shard %s: %s", message, reply.Missing[0].Shard, reply.Missing[0].Reason)
}

// responseForExecuteError returns the response for an error of the executor. The executor returns an error only for a
// query of which it has run nothing.
func responseForExecuteError(err error) response {
	var invalid *executor.InvalidRequestError
	if errors.As(err, &invalid) {
		return kindInvalidRequest.response(invalid.Path, err.Error())
	}
	var shed *executor.ShedError
	if errors.As(err, &shed) {
		resp := kindShed.response("", err.Error())
		resp.retryAfter = shed.RetryAfter
		return resp
	}
	for _, row := range []struct {
		matches   bool
		errorKind errorKind
		path      string
	}{
		{isError[*executor.UnknownClassError](err), kindUnknownClass, "$.query-class"},
		{isError[*executor.TicketRequiredError](err), kindTicketRequired, "$.ticket"},
		{isError[*executor.DeadlineTooShortError](err), kindDeadlineTooShort, "$.deadline-ms"},
		{isError[*executor.NotReadyError](err), kindNotReady, ""},
		{isError[*executor.CallerLeftError](err), kindCallerLeft, ""},
	} {
		if row.matches {
			return row.errorKind.response(row.path, err.Error())
		}
	}
	return kindInternalError.response("", err.Error())
}

// responseForTicketError returns the response for an error of the ticketer.
func responseForTicketError(err error) response {
	switch {
	case isError[*ticketer.TableFullError](err):
		return kindTicketsFull.response("", err.Error())
	case isError[*ticketer.MalformedError](err):
		return kindMalformedTicket.response("$.ticket", err.Error())
	case isError[*ticketer.ConflictError](err):
		return kindTicketConflict.response("$.ticket", err.Error())
	case isError[*ticketer.OutcomeUnknownError](err):
		return kindTicketOutcomeUnknown.response("", err.Error())
	default:
		return kindInternalError.response("", err.Error())
	}
}

func isError[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
