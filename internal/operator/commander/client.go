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
	// replyMargin is the time for the network round trip to the instance, in addition to the deadline of the query.
	replyMargin = 2 * time.Second
	// maxDeadline is the maximum deadline of a query class in a manifest. It limits the wait for a query without a
	// deadline of its own.
	maxDeadline = 600 * time.Second
	// maxReplyBytes limits the size of a reply. 1,000 hits and up to 100,000 missing shards need less.
	maxReplyBytes = 64 << 20
	// maxErrorTextBytes limits how much of an unexpected reply is quoted in an error.
	maxErrorTextBytes = 200
)

// codeTicketRequired is the error code of an instance for a non-idempotent query without a ticket.
const codeTicketRequired = "ticket-required"

// refusedError reports that the instance replied with an error.
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

// noReplyError reports a request without a usable reply.
type noReplyError struct {
	address string
	// maybeSent reports whether any byte of the request may have been sent, so that the query may have run.
	maybeSent bool
	cause     error
}

func (e *noReplyError) Error() string {
	return fmt.Sprintf("request to %s: %v", e.address, e.cause)
}

func (e *noReplyError) Unwrap() error {
	return e.cause
}

// callerClient sends requests to the caller API of one instance.
type callerClient struct {
	address string
	http    *http.Client
}

// newCallerClient creates a client that opens a new connection for each request. On a reused connection, net/http could
// retry the request.
func newCallerClient(address string) *callerClient {
	return &callerClient{address: address, http: &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// query sends the query. If the instance requires a ticket, it requests one and sends the query again with the ticket.
// It returns the reply with the request that was sent last.
func (c *callerClient) query(ctx context.Context, request encoder.QueryRequest) (encoder.QueryReply, encoder.QueryRequest, error) {
	reply, err := post[encoder.QueryReply](ctx, c, "/v1/queries", request)
	var refusedErr *refusedError
	if request.Ticket != nil || !errors.As(err, &refusedErr) || refusedErr.reply.Code != codeTicketRequired {
		return reply, request, err
	}
	ticket, err := post[encoder.TicketReply](ctx, c, "/v1/tickets", encoder.TicketRequest{QueryClass: request.QueryClass})
	if err != nil {
		return reply, request, asUnsentQuery(err)
	}
	request.Ticket = &ticket.Ticket
	reply, err = post[encoder.QueryReply](ctx, c, "/v1/queries", request)
	return reply, request, err
}

// asUnsentQuery converts a *noReplyError of the ticket request to one that reports the query as not sent: the instance
// refused the query without a ticket, and it was not sent again. It returns other errors unchanged.
func asUnsentQuery(err error) error {
	var noReply *noReplyError
	if errors.As(err, &noReply) {
		return &noReplyError{address: noReply.address, cause: noReply.cause}
	}
	return err
}

func post[R, Q any](ctx context.Context, c *callerClient, path string, body Q) (R, error) {
	var zero R
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+path, bytes.NewReader(encoder.Encode(body)))
	if err != nil {
		return zero, &noReplyError{address: c.address, cause: err}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return zero, &noReplyError{address: c.address, maybeSent: !isDialError(err), cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return zero, &noReplyError{address: c.address, maybeSent: true, cause: err}
	}
	return decodeReply[R](c.address, response.StatusCode, raw)
}

func decodeReply[R any](address string, status int, raw []byte) (R, error) {
	var zero R
	if status >= http.StatusBadRequest {
		refused, err := encoder.Decode[encoder.ErrorReply](raw)
		if err != nil {
			shown := strings.TrimSpace(string(raw[:min(len(raw), maxErrorTextBytes)]))
			return zero, &noReplyError{address: address, maybeSent: true, cause: fmt.Errorf("HTTP status %d: %s", status, quoteUnprintable(shown))}
		}
		return zero, &refusedError{reply: refused}
	}
	reply, err := encoder.Decode[R](raw)
	if err != nil {
		return zero, &noReplyError{address: address, maybeSent: true, cause: err}
	}
	return reply, nil
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
