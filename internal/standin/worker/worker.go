// Package worker is a stand-in for a target of the operators' platform: it answers requests that expect its id, and
// misbehaves in the ways in which targets do.
package worker

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
	"sync"
	"time"

	"apricotflow/platform"
)

// Behaviour is what a target does with a request.
type Behaviour int

// Behaviours of a target.
const (
	// Answer runs the request and answers it.
	Answer Behaviour = iota
	// Shed refuses the request before it runs.
	Shed
	// Fail runs the request and answers 500.
	Fail
	// Garble runs the request and answers bytes that are no reply.
	Garble
	// Truncate runs the request and ends the connection in the middle of the reply.
	Truncate
	// Reset runs the request and resets the connection without a reply.
	Reset
	// Hang runs the request and never answers.
	Hang
	// Twice answers the request twice.
	Twice
	// AnotherFirst sends the reply to another request before the reply.
	AnotherFirst
	// Unframed answers without a length and ends the connection.
	Unframed
)

// Received is a request that reached the target.
type Received struct {
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// At is when the request was read.
	At time.Time
	// Ran tells that the target began to work on it.
	Ran bool
	// Cut is when the caller ended the connection before the reply, or zero.
	Cut time.Time
}

// Target is a stand-in for a target.
type Target struct {
	id       string
	listener net.Listener

	mu        sync.Mutex
	behaviour func(r *http.Request) (Behaviour, time.Duration)
	body      []byte
	received  []*Received
	conns     map[net.Conn]bool
	opened    int
}

// New starts a target with an id on a loopback address. It answers every request at once with the body.
func New(id string, body []byte) *Target {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic("worker: listen: " + err.Error())
	}
	t := &Target{id: id, listener: listener, body: body, conns: make(map[net.Conn]bool)}
	t.Behave(func(*http.Request) (Behaviour, time.Duration) { return Answer, 0 })
	go t.accept()
	return t
}

// ID returns the id of the target.
func (t *Target) ID() string { return t.id }

// Address returns the address that the target listens on.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Behave sets what the target does with each request, after how much time.
func (t *Target) Behave(behaviour func(r *http.Request) (Behaviour, time.Duration)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behaviour = behaviour
}

// Always lets the target do the same with all requests.
func (t *Target) Always(behaviour Behaviour, after time.Duration) {
	t.Behave(func(*http.Request) (Behaviour, time.Duration) { return behaviour, after })
}

// Received returns the requests so far.
func (t *Target) Received() []Received {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Received, 0, len(t.received))
	for _, r := range t.received {
		all = append(all, *r)
	}
	return all
}

// Runs returns the number of requests that the target began to work on.
func (t *Target) Runs() int {
	n := 0
	for _, r := range t.Received() {
		if r.Ran {
			n++
		}
	}
	return n
}

// Connections returns the number of connections accepted so far.
func (t *Target) Connections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.opened
}

// Close stops the target and ends its connections.
func (t *Target) Close() {
	// A listener that cannot be closed is already gone.
	_ = t.listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.conns {
		_ = conn.Close()
	}
}

func (t *Target) accept() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.conns[conn] = true
		t.opened++
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

// handle deals with one request and reports whether the connection goes on.
func (t *Target) handle(conn net.Conn, reader *bufio.Reader, request *http.Request, body []byte) bool {
	r := &Received{Method: request.Method, URI: request.RequestURI, Host: request.Host, Header: request.Header, Body: body, At: time.Now()}
	t.mu.Lock()
	t.received = append(t.received, r)
	behave := t.behaviour
	t.mu.Unlock()
	if request.Header.Get(platform.HeaderExpected) != t.id {
		return t.write(conn, request, http.StatusMisdirectedRequest, nil, false)
	}
	behaviour, after := behave(request)
	if behaviour == Shed {
		return t.write(conn, request, http.StatusServiceUnavailable, nil, true)
	}
	t.mu.Lock()
	r.Ran = true
	t.mu.Unlock()
	if behaviour == Hang || t.wait(conn, reader, after) {
		if behaviour == Hang {
			t.wait(conn, reader, time.Minute)
		}
		t.mu.Lock()
		r.Cut = time.Now()
		t.mu.Unlock()
		return false
	}
	return t.reply(conn, request, behaviour)
}

// wait lets time pass and reports whether the caller ended the connection meanwhile.
func (t *Target) wait(conn net.Conn, reader *bufio.Reader, after time.Duration) bool {
	if after <= 0 {
		return false
	}
	if conn.SetReadDeadline(time.Now().Add(after)) != nil {
		return true
	}
	_, err := reader.Peek(1)
	if conn.SetReadDeadline(time.Time{}) != nil {
		return true
	}
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

func (t *Target) reply(conn net.Conn, request *http.Request, behaviour Behaviour) bool {
	switch behaviour {
	case Fail:
		return t.write(conn, request, http.StatusInternalServerError, []byte("failed"), false)
	case Garble:
		_, _ = conn.Write([]byte("\x00\x01 this is no reply\r\n\r\n"))
		return false
	case Truncate:
		whole := t.render(request.Header.Get(platform.HeaderRequestID), http.StatusOK, t.body, false, true)
		_, _ = conn.Write(whole[:len(whole)-len(t.body)/2-1])
		return false
	case Reset:
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return false
	case Twice:
		t.write(conn, request, http.StatusOK, t.body, false)
	case AnotherFirst:
		if _, err := conn.Write(t.render("another", http.StatusOK, []byte("another"), false, true)); err != nil {
			return false
		}
	case Unframed:
		_, _ = conn.Write(t.render(request.Header.Get(platform.HeaderRequestID), http.StatusOK, t.body, false, false))
		return false
	}
	return t.write(conn, request, http.StatusOK, t.body, false)
}

func (t *Target) write(conn net.Conn, request *http.Request, status int, body []byte, notRun bool) bool {
	raw := t.render(request.Header.Get(platform.HeaderRequestID), status, body, notRun, true)
	if request.Method == http.MethodHead {
		raw = raw[:len(raw)-len(body)]
	}
	_, err := conn.Write(raw)
	return err == nil
}

// Signature returns the signature of the target for a request.
func (t *Target) Signature(requestID string) string { return t.id + "." + requestID }

func (t *Target) render(requestID string, status int, body []byte, notRun, framed bool) []byte {
	var raw bytes.Buffer
	fmt.Fprintf(&raw, "HTTP/1.1 %d %s\r\n%s: %s\r\n", status, http.StatusText(status), platform.HeaderRequestID, requestID)
	switch {
	case notRun:
		fmt.Fprintf(&raw, "%s: 1\r\n", platform.HeaderNotRun)
	case status != http.StatusMisdirectedRequest:
		fmt.Fprintf(&raw, "%s: %s\r\n", platform.HeaderSignature, t.Signature(requestID))
	}
	if framed {
		raw.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	} else {
		raw.WriteString("Connection: close\r\n")
	}
	raw.WriteString("\r\n")
	return append(raw.Bytes(), body...)
}
