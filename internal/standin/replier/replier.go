// Package replier reads and writes JSON over HTTP for the stand-ins. Their servers use Handle, ReadRequest, WriteReply
// and Serve; code that calls the stand-ins or the instances uses Get, Post and Put. Most of it concerns native mode;
// packages keeper and httpresponder, which relay mode uses, have servers of their own.
package replier

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"apricotflow/internal/wire/encoder"
)

// maxBodySize is the maximum size of a request body, in bytes.
const maxBodySize = 4 << 20

// Handle returns a handler that decodes the body of a request, calls f and writes its result with status 200.
func Handle[Q, R any](f func(Q) R) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		request, ok := ReadRequest[Q](w, r)
		if !ok {
			return
		}
		WriteReply(w, http.StatusOK, f(request))
	}
}

// ReadRequest decodes the body of a request. If that fails, it replies with status 400 and returns false.
func ReadRequest[Q any](w http.ResponseWriter, r *http.Request) (Q, bool) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodySize))
	if err != nil {
		var zero Q
		http.Error(w, err.Error(), http.StatusBadRequest)
		return zero, false
	}
	request, err := encoder.Decode[Q](raw)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return request, false
	}
	return request, true
}

// WriteReply writes a reply as JSON.
func WriteReply[R any](w http.ResponseWriter, status int, reply R) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoder.Encode(reply))
}

// StatusError reports a reply with a status of 400 or above.
type StatusError struct {
	Status int
	Body   string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("replier: status %d: %s", e.Status, e.Body)
}

// client opens a new connection for each request, because a kept connection would fail when the server restarts.
var client = &http.Client{
	Transport: &http.Transport{DisableKeepAlives: true},
	Timeout:   10 * time.Second,
}

// Get sends a GET request and decodes the JSON reply.
func Get[R any](ctx context.Context, url string) (R, error) {
	return doJSON[R](ctx, http.MethodGet, url, nil)
}

// Post sends a value as JSON and decodes the JSON reply.
func Post[R any](ctx context.Context, url string, body any) (R, error) {
	return doJSON[R](ctx, http.MethodPost, url, encoder.Encode(body))
}

// Put sends a raw body and ignores the body of the reply.
func Put(ctx context.Context, url string, body []byte) error {
	_, err := doJSON[json.RawMessage](ctx, http.MethodPut, url, body)
	return err
}

func doJSON[R any](ctx context.Context, method, url string, body []byte) (R, error) {
	var reply R
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return reply, fmt.Errorf("replier: create request: %w", err)
	}
	response, err := client.Do(request)
	if err != nil {
		return reply, fmt.Errorf("replier: send request: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return reply, fmt.Errorf("replier: read reply of %s: %w", url, err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return reply, &StatusError{Status: response.StatusCode, Body: string(raw)}
	}
	if len(raw) == 0 {
		return reply, nil
	}
	if err := json.Unmarshal(raw, &reply); err != nil {
		return reply, fmt.Errorf("replier: decode reply of %s: %w", url, err)
	}
	return reply, nil
}

// Serve runs server on l in the background, until the server is closed, and returns it. The process panics if serving
// fails.
func Serve(l net.Listener, server *http.Server) *http.Server {
	go func() {
		if err := server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			panic("replier: serve: " + err.Error())
		}
	}()
	return server
}
