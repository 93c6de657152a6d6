// Package httpresponder is the stand-in for a target of the operators' platform, which serves relayed HTTP requests;
// package responder is the one for targets that run sub-queries. It serves the requests that carry its id and simulates
// the failures of targets, such as resets, truncated responses and missing framing. Tests of the target and query
// packages and the rehearser start it in their own process.
package httpresponder

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"apricotflow/platform"
)

// Behaviour is the way in which a target handles a request.
type Behaviour int

// Values of Behaviour.
const (
	// Answer runs the request and responds with status 200.
	Answer Behaviour = iota
	// Shed refuses the request without running it.
	Shed
	// Fail runs the request and responds with status 500.
	Fail
	// Garble runs the request and writes bytes that are not an HTTP response.
	Garble
	// Truncate runs the request and closes the connection in the middle of the response.
	Truncate
	// Reset runs the request and resets the connection without a response.
	Reset
	// Hang runs the request without a response and closes the connection after a minute.
	Hang
	// ReplyTwice runs the request and sends the response two times.
	ReplyTwice
	// ReplyToAnotherFirst runs the request and sends a response with another request id before its own.
	ReplyToAnotherFirst
	// Unframed runs the request, responds without a Content-Length and closes the connection.
	Unframed
	// The following run the request and send bytes without end, until the caller closes the connection.

	// EndlessLine sends a header line without end.
	EndlessLine
	// EndlessHead sends header lines without end.
	EndlessHead
	// EndlessInformation sends informational responses without end.
	EndlessInformation
	// EndlessTail sends bytes after the complete response.
	EndlessTail
	// EndlessChunks sends a chunked body without end.
	EndlessChunks
	// EndlessBody sends a body without a stated length and without end.
	EndlessBody
)

// LastBehaviour is the highest value of Behaviour after which the target goes on.
const LastBehaviour = EndlessBody

// Values of Behaviour that no soak draws.
const (
	// End closes the listener and all connections, as a process does that ends.
	End Behaviour = LastBehaviour + 1 + iota
	// EndlessTrailer sends a chunked body with a trailer line without end.
	EndlessTrailer
	// EndlessExtension sends a chunk with an extension without end.
	EndlessExtension
	// Large sends a complete response with a body of largeBodyBytes.
	Large
	// InvalidStatus runs the request and responds with status 000.
	InvalidStatus
)

// largeBodyBytes is the size of a large body, below the limit for one reply.
const largeBodyBytes = 8<<20 - 1

// EndlessBehaviours returns the behaviours that send bytes without end, by what has no end.
func EndlessBehaviours() map[string]Behaviour {
	return map[string]Behaviour{
		"line": EndlessLine, "head": EndlessHead, "informational replies": EndlessInformation, "bytes after the reply": EndlessTail,
		"chunks": EndlessChunks, "body": EndlessBody, "trailer": EndlessTrailer, "chunk extension": EndlessExtension,
	}
}

// ReceivedRequest is a request that reached the target.
type ReceivedRequest struct {
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ReadAt is the time at which the request was completely read.
	ReadAt time.Time
	// Ran reports whether the target started to run the request.
	Ran bool
	// ClosedAt is the time at which the caller closed the connection before the response, or at which the target ended
	// a request that hung for a minute. It is zero otherwise.
	ClosedAt time.Time
}

// Target is a running target.
type Target struct {
	id       string
	listener net.Listener
	// endlessBytes is the number of bytes written in responses without end.
	endlessBytes atomic.Int64
	// requestLimit is the limit that the responses state, in requests per second; nil for none.
	requestLimit atomic.Pointer[float64]
	// load is the load that the responses report; nil for none.
	load atomic.Pointer[string]
	// leaving reports whether the responses state that the target leaves.
	leaving atomic.Bool
	// pause is the time in nanoseconds for which responses with status 503 ask to be spared; 0 for none.
	pause atomic.Int64

	mu            sync.Mutex
	behaviour     func(r *http.Request) (Behaviour, time.Duration)
	body          []byte
	received      []*ReceivedRequest
	conns         map[net.Conn]bool
	acceptedCount int
	// mostConns is the largest number of connections at the same time since ResetMostConnections.
	mostConns int
	hasEnded  bool
}

// Option configures a Target.
type Option func(*Target)

// WithListener makes the target accept connections from the listener instead of on a loopback address.
func WithListener(l net.Listener) Option {
	return func(t *Target) { t.listener = l }
}

// New starts a target with an id on a loopback address. Until SetBehaviour or SetFixedBehaviour is called, it responds
// to every request at once with the body.
func New(id string, body []byte, opts ...Option) *Target {
	t := &Target{id: id, body: body, conns: make(map[net.Conn]bool)}
	for _, opt := range opts {
		opt(t)
	}
	if t.listener == nil {
		var err error
		if t.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			panic("httpresponder: listen: " + err.Error())
		}
	}
	t.SetBehaviour(func(*http.Request) (Behaviour, time.Duration) { return Answer, 0 })
	go t.accept()
	return t
}

// ID returns the id of the target.
func (t *Target) ID() string { return t.id }

// Address returns the address that the target listens on.
func (t *Target) Address() string { return t.listener.Addr().String() }

// SetBehaviour sets the function that chooses, for each request, the behaviour of the target and the time before it
// responds.
func (t *Target) SetBehaviour(behaviour func(r *http.Request) (Behaviour, time.Duration)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behaviour = behaviour
}

// SetFixedBehaviour makes the target handle all requests with the same behaviour, responding after the same time.
func (t *Target) SetFixedBehaviour(behaviour Behaviour, delay time.Duration) {
	t.SetBehaviour(func(*http.Request) (Behaviour, time.Duration) { return behaviour, delay })
}

// SetRequestLimit makes all responses state a limit in requests per second, or none if it is nil. The target itself does
// not enforce it.
func (t *Target) SetRequestLimit(perSecond *float64) { t.requestLimit.Store(perSecond) }

// SetLoad makes all responses report a load, as the value of the header.
func (t *Target) SetLoad(load string) { t.load.Store(&load) }

// Leave makes all further responses state that the target leaves. It goes on serving.
func (t *Target) Leave() { t.leaving.Store(true) }

// Pause makes responses with status 503 ask for no requests for a time. The target itself does not enforce it.
func (t *Target) Pause(d time.Duration) { t.pause.Store(int64(d)) }

// Received returns copies of the requests received so far.
func (t *Target) Received() []ReceivedRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]ReceivedRequest, 0, len(t.received))
	for _, r := range t.received {
		all = append(all, *r)
	}
	return all
}

// RunCount returns the number of requests that the target started to run.
func (t *Target) RunCount() int {
	n := 0
	for _, r := range t.Received() {
		if r.Ran {
			n++
		}
	}
	return n
}

// AcceptedCount returns the number of connections accepted so far.
func (t *Target) AcceptedCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.acceptedCount
}

// Close stops the target and closes its connections.
func (t *Target) Close() {
	// An error means that the listener is already closed.
	_ = t.listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hasEnded = true
	for conn := range t.conns {
		_ = conn.Close()
	}
}

// HasEnded reports whether the target was closed or has ended.
func (t *Target) HasEnded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hasEnded
}

// MostConnections returns the largest number of connections at the same time since ResetMostConnections.
func (t *Target) MostConnections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mostConns
}

// ResetMostConnections counts anew from the connections that are open now.
func (t *Target) ResetMostConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mostConns = len(t.conns)
}

func (t *Target) accept() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.conns[conn] = true
		t.acceptedCount++
		t.mostConns = max(t.mostConns, len(t.conns))
		t.mu.Unlock()
		go t.serve(conn)
	}
}

func (t *Target) serve(conn net.Conn) {
	defer func() {
		t.mu.Lock()
		delete(t.conns, conn)
		t.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil || !t.handle(conn, reader, request, body) {
			return
		}
	}
}

// handle handles one request and reports whether the connection can be used for another one.
func (t *Target) handle(conn net.Conn, reader *bufio.Reader, request *http.Request, body []byte) bool {
	r := &ReceivedRequest{Method: request.Method, URI: request.RequestURI, Host: request.Host, Header: request.Header, Body: body, ReadAt: time.Now()}
	t.mu.Lock()
	t.received = append(t.received, r)
	chooseBehaviour := t.behaviour
	t.mu.Unlock()
	if request.Header.Get(platform.HeaderExpectedTarget) != t.id {
		return t.writeResponse(conn, request, http.StatusMisdirectedRequest, nil, false)
	}
	behaviour, delay := chooseBehaviour(request)
	if behaviour == Shed {
		return t.writeResponse(conn, request, http.StatusServiceUnavailable, nil, true)
	}
	t.mu.Lock()
	r.Ran = true
	t.mu.Unlock()
	if behaviour == Hang || t.waitOrClosed(conn, reader, delay) {
		if behaviour == Hang {
			t.waitOrClosed(conn, reader, time.Minute)
		}
		t.mu.Lock()
		r.ClosedAt = time.Now()
		t.mu.Unlock()
		return false
	}
	return t.respond(conn, request, behaviour)
}

// waitOrClosed waits for a time and reports whether the caller closed the connection meanwhile.
func (t *Target) waitOrClosed(conn net.Conn, reader *bufio.Reader, duration time.Duration) bool {
	if duration <= 0 {
		return false
	}
	if conn.SetReadDeadline(time.Now().Add(duration)) != nil {
		return true
	}
	_, err := reader.Peek(1)
	if conn.SetReadDeadline(time.Time{}) != nil {
		return true
	}
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// respond writes the response, or what the behaviour sends in its place, and reports whether the connection can be used
// for another request.
func (t *Target) respond(conn net.Conn, request *http.Request, behaviour Behaviour) bool {
	switch behaviour {
	case Fail:
		return t.writeResponse(conn, request, http.StatusInternalServerError, []byte("failed"), false)
	case Garble:
		_, _ = conn.Write([]byte("\x00\x01 this is no reply\r\n\r\n"))
		return false
	case Truncate:
		complete := t.encodeResponse(request.Header.Get(platform.HeaderRequestID), http.StatusOK, t.body, false, true)
		_, _ = conn.Write(complete[:len(complete)-len(t.body)/2-1])
		return false
	case Reset:
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return false
	case End:
		t.Close()
		return false
	case ReplyTwice:
		t.writeResponse(conn, request, http.StatusOK, t.body, false)
	case ReplyToAnotherFirst:
		if _, err := conn.Write(t.encodeResponse("another", http.StatusOK, []byte("another"), false, true)); err != nil {
			return false
		}
	case EndlessLine, EndlessHead, EndlessInformation, EndlessTail, EndlessChunks, EndlessBody, EndlessTrailer, EndlessExtension:
		t.writeEndlessly(conn, request, behaviour)
		return false
	case InvalidStatus:
		return t.writeResponse(conn, request, 0, nil, false)
	case Large:
		return t.writeResponse(conn, request, http.StatusOK, make([]byte, largeBodyBytes), false)
	case Unframed:
		_, _ = conn.Write(t.encodeResponse(request.Header.Get(platform.HeaderRequestID), http.StatusOK, t.body, false, false))
		return false
	}
	return t.writeResponse(conn, request, http.StatusOK, t.body, false)
}

// endlessParts holds the start of each endless response and what is repeated after it.
var endlessParts = map[Behaviour]struct{ start, repeated string }{
	EndlessLine:        {"HTTP/1.1 200 OK\r\nX-Line: ", strings.Repeat("x", 1024)},
	EndlessHead:        {"HTTP/1.1 200 OK\r\n", "X-Line: " + strings.Repeat("x", 1000) + "\r\n"},
	EndlessInformation: {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	EndlessChunks:      {"Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
	EndlessBody:        {"Connection: close\r\n\r\n", strings.Repeat("x", 1024)},
	EndlessTrailer:     {"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Trailer: ", strings.Repeat("x", 1024)},
	EndlessExtension:   {"Transfer-Encoding: chunked\r\n\r\n400;", strings.Repeat("x", 1024)},
}

// writeEndlessly writes until the caller closes the connection.
func (t *Target) writeEndlessly(conn net.Conn, request *http.Request, behaviour Behaviour) {
	id := request.Header.Get(platform.HeaderRequestID)
	parts := endlessParts[behaviour]
	switch behaviour {
	case EndlessTail:
		parts.start, parts.repeated = string(t.encodeResponse(id, http.StatusOK, t.body, false, true)), strings.Repeat("x", 1024)
	case EndlessChunks, EndlessBody, EndlessTrailer, EndlessExtension:
		parts.start = fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n", platform.HeaderRequestID, id, platform.HeaderSignature, t.Signature(id)) + parts.start
	}
	if _, err := io.WriteString(conn, parts.start); err != nil {
		return
	}
	for {
		n, err := io.WriteString(conn, parts.repeated)
		t.endlessBytes.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// EndlessBytes returns the number of bytes written in responses without end.
func (t *Target) EndlessBytes() int64 { return t.endlessBytes.Load() }

// writeResponse writes a response and reports whether that succeeded. notRun marks the response as that to a request
// that did not run.
func (t *Target) writeResponse(conn net.Conn, request *http.Request, status int, body []byte, notRun bool) bool {
	raw := t.encodeResponse(request.Header.Get(platform.HeaderRequestID), status, body, notRun, true)
	if request.Method == http.MethodHead {
		raw = raw[:len(raw)-len(body)]
	}
	_, err := conn.Write(raw)
	return err == nil
}

// Signature returns the signature with which the target proves that it ran a request.
func (t *Target) Signature(requestID string) string { return t.id + "." + requestID }

// encodeResponse encodes a response. If framed is false, the response has no Content-Length and announces that the
// connection closes.
func (t *Target) encodeResponse(requestID string, status int, body []byte, notRun, framed bool) []byte {
	var raw bytes.Buffer
	fmt.Fprintf(&raw, "HTTP/1.1 %03d %s\r\n%s: %s\r\n", status, http.StatusText(status), platform.HeaderRequestID, requestID)
	switch {
	case notRun:
		fmt.Fprintf(&raw, "%s: 1\r\n", platform.HeaderNotRun)
	case status != http.StatusMisdirectedRequest:
		fmt.Fprintf(&raw, "%s: %s\r\n", platform.HeaderSignature, t.Signature(requestID))
	}
	if limit := t.requestLimit.Load(); limit != nil {
		fmt.Fprintf(&raw, "%s: %g\r\n", platform.HeaderRequestLimit, *limit)
	}
	if load := t.load.Load(); load != nil {
		fmt.Fprintf(&raw, "%s: %s\r\n", platform.HeaderLoad, *load)
	}
	if pause := time.Duration(t.pause.Load()); pause > 0 && status == http.StatusServiceUnavailable {
		fmt.Fprintf(&raw, "Retry-After: %g\r\n", pause.Seconds())
	}
	if t.leaving.Load() {
		fmt.Fprintf(&raw, "%s: 1\r\n", platform.HeaderLeaving)
	}
	if framed {
		raw.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	} else {
		raw.WriteString("Connection: close\r\n")
	}
	raw.WriteString("\r\n")
	return append(raw.Bytes(), body...)
}
