// Package reader reads HTTP replies from a connection within limits: a target in trouble may send a head or a body
// without end, and must not fill the memory of the instance. The transporter and the connector use it for connections to
// targets; they close a connection on which a reply could not be read.
package reader

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

const (
	// MaxHeadBytes limits the status line and the headers of a reply, and the framing of a chunked body beyond its
	// content.
	MaxHeadBytes = 64 << 10
	// maxInformationalReplies limits the informational replies (1xx) before a final one.
	maxInformationalReplies = 8
	// bufferBytes is the size of the read buffer. A typical reply fits and is read at once.
	bufferBytes = 4 << 10
	// smallBodyBytes is the size up to which a body is read without taking from the budget.
	smallBodyBytes = 64 << 10
)

// LimitError reports a reply that exceeds a limit. Its connection cannot be used any more.
type LimitError struct {
	Limit int
	// Unit names what Limit counts.
	Unit string
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("reader: reply exceeds the limit of %d %s", e.Limit, e.Unit)
}

// StatusError reports a reply whose status is no HTTP status. Its connection cannot be used any more.
type StatusError struct {
	Status int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("reader: reply has the status %03d, which is below %d", e.Status, http.StatusContinue)
}

// Budget limits the memory for large bodies that are being read at the same time on several connections.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget in bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// take takes bytes from the budget and reports whether there were enough.
func (b *Budget) take(n int) bool {
	if b.used.Add(int64(n)) > b.limit {
		b.used.Add(int64(-n))
		return false
	}
	return true
}

func (b *Budget) putBack(n int) { b.used.Add(int64(-n)) }

// Reply is a complete reply.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Closes reports whether the sender closes the connection after the reply.
	Closes bool
}

// Reader reads replies from one connection. It is used by one goroutine.
type Reader struct {
	source  limitedSource
	buffer  *bufio.Reader
	maxBody int
	budget  *Budget
}

// New returns a Reader that accepts bodies up to a size in bytes.
func New(conn net.Conn, maxBody int, budget *Budget) *Reader {
	r := &Reader{source: limitedSource{conn: conn, left: MaxHeadBytes}, maxBody: maxBody, budget: budget}
	r.buffer = bufio.NewReaderSize(&r.source, bufferBytes)
	return r
}

// limitedSource reads from a connection until the allowance is used.
type limitedSource struct {
	conn net.Conn
	// left is the number of bytes that may still be read.
	left int
}

var errAllowanceUsed = errors.New("reader: allowance used")

// Read reads at most the bytes that are left of the allowance.
func (s *limitedSource) Read(p []byte) (int, error) {
	if s.left <= 0 {
		return 0, errAllowanceUsed
	}
	n, err := s.conn.Read(p[:min(len(p), s.left)])
	s.left -= n
	return n, err
}

// Await waits for the first byte of a reply.
func (r *Reader) Await() error {
	r.source.left = MaxHeadBytes
	_, err := r.buffer.Peek(1)
	return err
}

// HasUnread reports whether bytes were received that belong to no reply read so far.
func (r *Reader) HasUnread() bool { return r.buffer.Buffered() > 0 }

// Read reads the next final reply to a request with the method, and skips informational ones (1xx). A status below 100 is
// an error at once.
func (r *Reader) Read(method string) (Reply, error) {
	for range maxInformationalReplies + 1 {
		reply, err := r.readOne(method)
		if err != nil || reply.Status >= http.StatusOK {
			return reply, err
		}
	}
	return Reply{}, &LimitError{Limit: maxInformationalReplies, Unit: "informational replies"}
}

func (r *Reader) readOne(method string) (Reply, error) {
	r.source.left = MaxHeadBytes
	if reply, found, err := r.readUsual(method); found {
		return reply, err
	}
	response, err := http.ReadResponse(r.buffer, &http.Request{Method: method}) //nolint:bodyclose // Close would read a body without end.
	if err != nil {
		if r.source.left <= 0 {
			return Reply{}, &LimitError{Limit: MaxHeadBytes, Unit: "bytes of head"}
		}
		return Reply{}, fmt.Errorf("reader: read head: %w", err)
	}
	if response.StatusCode < http.StatusContinue {
		// A target in trouble may send the status 000. It is no informational reply, so no other one follows, and its body may
		// be without end.
		return Reply{}, &StatusError{Status: response.StatusCode}
	}
	r.source.left = r.maxBody + MaxHeadBytes
	body, err := r.readBody(response)
	var limit *LimitError
	switch {
	case errors.As(err, &limit):
		return Reply{}, limit
	case err != nil && r.source.left <= 0:
		return Reply{}, &LimitError{Limit: r.maxBody + MaxHeadBytes, Unit: "bytes of chunked body"}
	case err != nil:
		return Reply{}, fmt.Errorf("reader: read body: %w", err)
	}
	return Reply{Status: response.StatusCode, Header: response.Header, Body: body, Closes: response.Close}, nil
}

// readUsual reads a reply of the usual form with a small body. It returns false, and has read nothing, if the next reply is not
// of that form or its head has not arrived as a whole.
func (r *Reader) readUsual(method string) (reply Reply, found bool, err error) {
	if method == http.MethodHead {
		return Reply{}, false, nil
	}
	// Waits for the first byte. After a failure, the buffer is empty and the next read fails again.
	_, _ = r.buffer.Peek(1)
	raw, _ := r.buffer.Peek(r.buffer.Buffered())
	head, found := parseHead(raw)
	if !found || head.length > smallBodyBytes || head.length > int64(r.maxBody) {
		return Reply{}, false, nil
	}
	_, _ = r.buffer.Discard(head.size)
	r.source.left = r.maxBody + MaxHeadBytes
	body := make([]byte, head.length)
	if _, err := io.ReadFull(r.buffer, body); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return Reply{}, true, fmt.Errorf("reader: read body: %w", err)
	}
	return Reply{Status: head.status, Header: head.header, Body: body}, true, nil
}

func (r *Reader) readBody(response *http.Response) ([]byte, error) {
	switch {
	case response.Body == http.NoBody:
		// The reply to a HEAD request announces the length of a body that is not sent.
		return nil, nil
	case response.ContentLength > int64(r.maxBody):
		return nil, &LimitError{Limit: r.maxBody, Unit: "bytes of body"}
	case response.ContentLength >= 0 && response.ContentLength <= smallBodyBytes:
		body := make([]byte, response.ContentLength)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	return r.readLargeBody(response.Body)
}

// readLargeBody reads a body that is large or of unknown length. Memory is taken as bytes arrive, not as announced, and
// from the budget beyond smallBodyBytes.
func (r *Reader) readLargeBody(source io.Reader) ([]byte, error) {
	body, taken := make([]byte, 0, bufferBytes), 0
	defer func() { r.budget.putBack(taken) }()
	for {
		if len(body) == cap(body) {
			grown := min(2*cap(body), r.maxBody+1)
			if grown > smallBodyBytes {
				if !r.budget.take(grown - taken) {
					return nil, &LimitError{Limit: int(r.budget.limit), Unit: "bytes of large bodies on all connections"}
				}
				taken = grown
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > r.maxBody:
			return nil, &LimitError{Limit: r.maxBody, Unit: "bytes of body"}
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}
