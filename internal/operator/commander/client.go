package commander

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"apricotflow/internal/wire/encoder"
)

const (
	// replyMargin is the time for the way to the instance and back, beyond the deadline of the query.
	replyMargin = 2 * time.Second
	// longestDeadline is the longest deadline of a query class, which holds when the query has none.
	longestDeadline = 600 * time.Second
	// maxReplyBytes bounds a reply: 1,000 hits and up to 100,000 missing shards need less.
	maxReplyBytes = 64 << 20
	// maxShownBytes bounds the part of an unexpected reply that is shown.
	maxShownBytes = 200
)

// codeTicketRequired is the code with which an instance refuses a non-idempotent query without a ticket.
const codeTicketRequired = "ticket-required"

// refusedError is an error reply of the instance.
type refusedError struct {
	reply encoder.ErrorReply
}

func (e *refusedError) Error() string {
	text := e.reply.Code + ": " + e.reply.Message
	if e.reply.Path != nil {
		text += " (at " + *e.reply.Path + ")"
	}
	return text
}

// lostError reports a request without a usable reply.
type lostError struct {
	address string
	// sent is false if no byte of the request was sent.
	sent  bool
	cause error
}

func (e *lostError) Error() string {
	return fmt.Sprintf("ask %s: %v", e.address, e.cause)
}

func (e *lostError) Unwrap() error {
	return e.cause
}

// callerClient sends requests to the caller API of one instance.
type callerClient struct {
	address string
	http    *http.Client
}

// newCallerClient creates a client that opens a connection for each request, so that net/http never repeats one.
func newCallerClient(address string) *callerClient {
	return &callerClient{address: address, http: &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// query sends the query and, if the instance asks for a ticket, takes one and sends the query with it. It returns
// the request as it was sent last.
func (c *callerClient) query(ctx context.Context, request encoder.QueryRequest) (encoder.QueryReply, encoder.QueryRequest, error) {
	reply, err := post[encoder.QueryReply](ctx, c, "/v1/queries", request)
	var refused *refusedError
	if request.Ticket != nil || !errors.As(err, &refused) || refused.reply.Code != codeTicketRequired {
		return reply, request, err
	}
	ticket, err := post[encoder.TicketReply](ctx, c, "/v1/tickets", encoder.TicketRequest{QueryClass: request.QueryClass})
	if err != nil {
		return reply, request, ticketFailure(err)
	}
	request.Ticket = &ticket.Ticket
	reply, err = post[encoder.QueryReply](ctx, c, "/v1/queries", request)
	return reply, request, err
}

// ticketFailure marks a lost ticket request as harmless: the query itself was not sent.
func ticketFailure(err error) error {
	var lost *lostError
	if errors.As(err, &lost) {
		return &lostError{address: lost.address, cause: lost.cause}
	}
	return err
}

func post[R, Q any](ctx context.Context, c *callerClient, path string, body Q) (R, error) {
	var none R
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+path, bytes.NewReader(encoder.Encode(body)))
	if err != nil {
		return none, &lostError{address: c.address, cause: err}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return none, &lostError{address: c.address, sent: !dialFailed(err), cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return none, &lostError{address: c.address, sent: true, cause: err}
	}
	return decodeReply[R](c.address, response.StatusCode, raw)
}

func decodeReply[R any](address string, status int, raw []byte) (R, error) {
	var none R
	if status >= http.StatusBadRequest {
		refused, err := encoder.Decode[encoder.ErrorReply](raw)
		if err != nil {
			shown := strings.TrimSpace(string(raw[:min(len(raw), maxShownBytes)]))
			return none, &lostError{address: address, sent: true, cause: fmt.Errorf("HTTP status %d: %s", status, printable(shown))}
		}
		return none, &refusedError{reply: refused}
	}
	reply, err := encoder.Decode[R](raw)
	if err != nil {
		return none, &lostError{address: address, sent: true, cause: err}
	}
	return reply, nil
}

func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
