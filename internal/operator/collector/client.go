package collector

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"

	"apricotflow/internal/wire/encoder"
)

const (
	// maxReplyBytes bounds a reply; a full ring of events needs about 2 MB.
	maxReplyBytes = 64 << 20
	// maxErrorBytes bounds the part of an unexpected reply that is shown.
	maxErrorBytes = 200
)

// newClient creates a client without proxies, because all servers are given by IP address.
func newClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

func ask[T any](ctx context.Context, c *Collector, address, path string, query url.Values) (T, error) {
	var none T
	raw, err := c.get(ctx, address, path, query)
	if err != nil {
		return none, err
	}
	reply, err := encoder.Decode[T](raw)
	if err != nil {
		return none, &UnavailableError{Address: address, Cause: err}
	}
	return reply, nil
}

func (c *Collector) get(ctx context.Context, address, path string, query url.Values) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), http.NoBody)
	if err != nil {
		return nil, &UnavailableError{Address: address, Cause: err}
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, &UnavailableError{Address: address, Cause: rootCause(err)}
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return nil, &UnavailableError{Address: address, Cause: err}
	}
	if response.StatusCode != http.StatusOK {
		return nil, &UnavailableError{Address: address, Cause: &statusError{status: response.StatusCode, message: explanation(raw)}}
	}
	return raw, nil
}

// rootCause removes the method and URL that net/http adds, since the address is already named.
func rootCause(err error) error {
	var wrapped *url.Error
	if errors.As(err, &wrapped) {
		return wrapped.Err
	}
	return err
}

func explanation(raw []byte) string {
	var reply encoder.ErrorReply
	if json.Unmarshal(raw, &reply) == nil && reply.Message != "" {
		return reply.Message
	}
	return strings.TrimSpace(string(raw[:min(len(raw), maxErrorBytes)]))
}
