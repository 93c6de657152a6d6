package watcher

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	// sizeLimit is the size of the largest value in bytes: 1 MB and a margin.
	sizeLimit = 1<<20 + 64<<10
	// answerTimeout bounds a response beyond the time that the platform may wait for a change.
	answerTimeout = 3 * time.Second
	// dialTimeout bounds connecting to the platform.
	dialTimeout = time.Second
)

// client reads values from the platform.
type client struct {
	address string
	http    *http.Client
}

func newClient(address string) *client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, DisableCompression: true}
	return &client{address: address, http: &http.Client{Transport: transport}}
}

// value is the answer to a read.
type value struct {
	// raw is nil when nothing has changed.
	raw  []byte
	etag string
}

// read gets a value. With an ETag and a wait time the platform answers when the value changes or the time is over.
func (c *client) read(ctx context.Context, key, etag string, wait time.Duration) (value, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+"/v1/values/"+key, http.NoBody)
	if err != nil {
		return value{}, &PlatformError{Key: key, Cause: err}
	}
	if etag != "" {
		request.Header.Set("If-None-Match", etag)
	}
	if wait > 0 {
		request.Header.Set("Prefer", "wait="+strconv.Itoa(int(wait/time.Second)))
	}
	response, err := c.http.Do(request)
	if err != nil {
		// An idle connection to a failed platform may be silent too.
		c.http.CloseIdleConnections()
		return value{}, &PlatformError{Key: key, Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusNotModified:
		return value{etag: etag}, nil
	case http.StatusOK:
	default:
		return value{}, &PlatformError{Key: key, Status: response.StatusCode}
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, sizeLimit+1))
	if err != nil {
		return value{}, &PlatformError{Key: key, Status: response.StatusCode, Cause: err}
	}
	if len(raw) > sizeLimit {
		return value{}, &PlatformError{Key: key, Status: response.StatusCode, Cause: &SizeError{Limit: sizeLimit}}
	}
	return value{raw: raw, etag: response.Header.Get("ETag")}, nil
}

func (c *client) close() {
	c.http.CloseIdleConnections()
}
