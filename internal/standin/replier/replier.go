// Package replier holds the JSON over HTTP that the stand-ins share.
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

// bodyLimit is the largest body read, in bytes.
const bodyLimit = 4 << 20

// Handle decodes the body, calls f and writes its reply with status 200.
func Handle[Q, R any](f func(Q) R) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		query, ok := Read[Q](w, r)
		if !ok {
			return
		}
		Write(w, http.StatusOK, f(query))
	}
}

// Read decodes the body; on failure it replies with 400 and returns false.
func Read[Q any](w http.ResponseWriter, r *http.Request) (Q, bool) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimit))
	if err != nil {
		var none Q
		http.Error(w, err.Error(), http.StatusBadRequest)
		return none, false
	}
	query, err := encoder.Decode[Q](raw)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return query, false
	}
	return query, true
}

// Write encodes a reply.
func Write[R any](w http.ResponseWriter, status int, reply R) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoder.Encode(reply))
}

// StatusError is a reply with an unexpected status.
type StatusError struct {
	Status int
	Body   string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("replier: status %d: %s", e.Status, e.Body)
}

// client opens a new connection for each request, so that requests survive a restart of the other side.
var client = &http.Client{
	Transport: &http.Transport{DisableKeepAlives: true},
	Timeout:   10 * time.Second,
}

// Get reads a JSON reply.
func Get[R any](ctx context.Context, url string) (R, error) {
	return call[R](ctx, http.MethodGet, url, nil)
}

// Post sends a JSON body and reads a JSON reply.
func Post[R any](ctx context.Context, url string, body any) (R, error) {
	return call[R](ctx, http.MethodPost, url, encoder.Encode(body))
}

// Put sends a raw body; the reply has none.
func Put(ctx context.Context, url string, body []byte) error {
	_, err := call[json.RawMessage](ctx, http.MethodPut, url, body)
	return err
}

func call[R any](ctx context.Context, method, url string, body []byte) (R, error) {
	var reply R
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return reply, fmt.Errorf("replier: %w", err)
	}
	response, err := client.Do(request)
	if err != nil {
		return reply, fmt.Errorf("replier: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return reply, fmt.Errorf("replier: read %s: %w", url, err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return reply, &StatusError{Status: response.StatusCode, Body: string(raw)}
	}
	if len(raw) == 0 {
		return reply, nil
	}
	if err := json.Unmarshal(raw, &reply); err != nil {
		return reply, fmt.Errorf("replier: decode %s: %w", url, err)
	}
	return reply, nil
}

// Serve runs an HTTP server until Close of the returned server.
func Serve(l net.Listener, server *http.Server) *http.Server {
	go func() {
		if err := server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			panic("replier: serve: " + err.Error())
		}
	}()
	return server
}
