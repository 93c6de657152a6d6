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
	// maxValueBytes is the maximum size of a value: 1 MB, which is parser.MaxBytes, and a margin.
	maxValueBytes = 1<<20 + 64<<10
	// maxHeadBytes is the maximum size of the status line and the headers of a response.
	maxHeadBytes = 64 << 10
	// responseTimeout limits the time for a response in addition to the time that the platform may wait for a change.
	responseTimeout = 1500 * time.Millisecond
	// dialTimeout limits the time to connect to the platform.
	dialTimeout = time.Second
)

// client reads values from the platform.
type client struct {
	address string
	http    *http.Client
}

func newClient(address string) *client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes}
	return &client{address: address, http: &http.Client{Transport: transport}}
}

// value is the result of a read.
type value struct {
	// raw is nil if the value has not changed.
	raw  []byte
	etag string
}

// read reads a value. With an ETag and a wait, the platform responds when the value changes or the wait is over.
func (c *client) read(ctx context.Context, key, etag string, wait time.Duration) (value, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+responseTimeout)
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
		// Idle connections to a failed platform may be dead too.
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
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxValueBytes+1))
	if err != nil {
		return value{}, &PlatformError{Key: key, Status: response.StatusCode, Cause: err}
	}
	if len(raw) > maxValueBytes {
		return value{}, &PlatformError{Key: key, Status: response.StatusCode, Cause: &SizeError{Limit: maxValueBytes}}
	}
	return value{raw: raw, etag: response.Header.Get("ETag")}, nil
}

func (c *client) close() {
	c.http.CloseIdleConnections()
}
