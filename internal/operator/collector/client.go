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
	// maxReplyBytes limits the size of a reply. A full ring of events needs about 2 MB.
	maxReplyBytes = 64 << 20
	// maxErrorTextBytes limits how much of an unexpected reply is quoted in an error.
	maxErrorTextBytes = 200
)

// newClient creates a client that uses no proxy, because all servers are given by IP address, and follows no redirects.
func newClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

func fetch[T any](ctx context.Context, c *Collector, address, path string, query url.Values) (T, error) {
	var zero T
	raw, err := c.get(ctx, address, path, query)
	if err != nil {
		return zero, err
	}
	reply, err := encoder.Decode[T](raw)
	if err != nil {
		return zero, &UnavailableError{Address: address, Cause: err}
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
		return nil, &UnavailableError{Address: address, Cause: withoutURL(err)}
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return nil, &UnavailableError{Address: address, Cause: err}
	}
	if response.StatusCode != http.StatusOK {
		return nil, &UnavailableError{Address: address, Cause: &statusError{status: response.StatusCode, message: errorText(raw)}}
	}
	return raw, nil
}

// withoutURL removes the method and URL that net/http adds to an error, because *UnavailableError already has the
// address.
func withoutURL(err error) error {
	var wrapped *url.Error
	if errors.As(err, &wrapped) {
		return wrapped.Err
	}
	return err
}

// errorText returns the message of an error reply, or the beginning of a reply in any other format.
func errorText(raw []byte) string {
	var reply encoder.ErrorReply
	if json.Unmarshal(raw, &reply) == nil && reply.Message != "" {
		return reply.Message
	}
	return strings.TrimSpace(string(raw[:min(len(raw), maxErrorTextBytes)]))
}
