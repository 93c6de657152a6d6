package receiver_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"apricotflow/internal/caller/receiver"
	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/query/relayer"
	"apricotflow/internal/target/transporter"
	"apricotflow/internal/wire/encoder"
	"apricotflow/platform"
)

// relay answers every request in the same way and keeps the last one.
type relay struct {
	answer relayer.Answer
	last   relayer.Request
	// cut tells that too few targets are in reach.
	cut bool
	// left is closed after the caller has left, if it is set.
	left chan struct{}
	// hold delays the answers until it is closed, if it is set.
	hold chan struct{}
}

func (r *relay) Serviceable() bool { return !r.cut }

func (r *relay) Relay(ctx context.Context, request relayer.Request) relayer.Answer {
	if r.hold != nil {
		<-r.hold
		return r.answer
	}
	r.last = request
	if r.left != nil {
		<-ctx.Done()
		close(r.left)
	}
	return r.answer
}

func table(t *testing.T) *mapper.Table {
	t.Helper()
	wire := encoder.RoutingTable{Version: 1, Limits: encoder.RouteLimits{BodyBytes: 10}, Routes: []encoder.Route{
		{Name: "outer", Host: "a.example", Prefix: "/", Idempotent: true, TimeoutMs: 2000, MaxTargets: 1, Destinations: []encoder.RouteDestination{{Service: "s", Weight: 1}}},
		{Name: "inner", Host: "a.example", Prefix: "/in/", TimeoutMs: 500, ObjectiveMs: 200, MaxTargets: 1, Destinations: []encoder.RouteDestination{{Service: "s", Weight: 1}}},
	}}
	result, problems := mapper.New(wire)
	assert.Equal(t, len(problems), 0)
	return result
}

func serve(t *testing.T, r *relay, configured bool) (*receiver.Receiver, *httptest.Server) {
	t.Helper()
	state := registrar.New()
	if configured {
		state.Apply(registrar.Change{Revision: 1, Table: table(t)}, true)
	}
	s := receiver.New(platform.Callers{}, state, r, 2, log.New(io.Discard), tally.NoopScope)
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return s, server
}

// reply is a response with its whole body.
type reply struct {
	*http.Response
	body string
}

func get(t *testing.T, server *httptest.Server, host, path string, body string) reply {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	request.Host = host
	request.Header.Set(platform.HeaderRequestID, "r1")
	request.Header.Set(platform.HeaderDeadline, "1000")
	request.Header.Set(platform.HeaderExpected, "forged")
	request.Header.Set("X-Other", "kept")
	request.Header.Set("Connection", "X-Local")
	request.Header.Set("X-Local", "dropped")
	response, err := http.DefaultTransport.RoundTrip(request)
	assert.NilError(t, err)
	raw, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return reply{Response: response, body: string(raw)}
}

var relayed = relayer.Answer{Outcome: relayer.Relayed, Reply: &transporter.Reply{
	Status: http.StatusTeapot, Body: []byte("body"), Header: http.Header{platform.HeaderSignature: {"sig"}, "Connection": {"close, X-Gone"}, "X-Gone": {"1"}, "Keep-Alive": {"timeout=1"}},
}}

// The reply of a target reaches the caller with status, body and signature unchanged, without the headers of its
// connection.
func TestReplyIsPassedOn(t *testing.T) {
	r := &relay{answer: relayed}
	_, server := serve(t, r, true)
	response := get(t, server, "a.example", "/in/%2f//x?q=1", "body")
	assert.Equal(t, response.StatusCode, http.StatusTeapot)
	assert.Equal(t, response.body, "body")
	assert.Equal(t, response.Header.Get(platform.HeaderSignature), "sig")
	assert.Equal(t, response.Header.Get("X-Gone")+response.Header.Get("Keep-Alive")+response.Header.Get("Content-Type"), "")
	assert.Equal(t, r.last.Route.Name, "inner")
	assert.Equal(t, r.last.Wire.ID, "r1")
	assert.Assert(t, r.last.Wire.Fresh)
	assert.Assert(t, r.last.Deadline.Sub(r.last.Arrived) == 500*time.Millisecond)
}

// Before a configuration is known nothing says that a route does not exist.
func TestUnconfiguredInstanceAsksToComeBack(t *testing.T) {
	s, server := serve(t, &relay{}, false)
	assert.Assert(t, !s.Ready())
	response := get(t, server, "a.example", "/", "")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, response.Header.Get("Retry-After") != "")
}

// Each outcome has its status; only a request that has not run gets 503.
func TestStatuses(t *testing.T) {
	for outcome, status := range map[relayer.Outcome]int{
		relayer.NotRun: http.StatusServiceUnavailable, relayer.Failed: http.StatusBadGateway, relayer.TimedOut: http.StatusGatewayTimeout,
	} {
		_, server := serve(t, &relay{answer: relayer.Answer{Outcome: outcome}}, true)
		assert.Equal(t, get(t, server, "a.example", "/", "").StatusCode, status)
	}
	_, server := serve(t, &relay{}, true)
	assert.Equal(t, get(t, server, "b.example", "/", "").StatusCode, http.StatusNotFound)
	assert.Equal(t, get(t, server, "a.example", "/", "more than ten bytes").StatusCode, http.StatusRequestEntityTooLarge)
}

// A merged answer names its parts and those that are missing.
func TestMergedAnswer(t *testing.T) {
	answer := relayer.Answer{Outcome: relayer.Merged, Records: []byte("0123456789abcdef"), Signatures: []string{"a", "b"}, Missing: 3}
	_, server := serve(t, &relay{answer: answer}, true)
	response := get(t, server, "A.example:80", "/", "")
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, response.Header.Get(platform.HeaderSignatures), "a, b")
	assert.Equal(t, response.Header.Get(platform.HeaderMissing), "3")
	assert.Equal(t, response.ContentLength, int64(16))
}

// A draining instance serves, and tells callers to use another connection.
func TestDrainingInstanceServes(t *testing.T) {
	s, server := serve(t, &relay{answer: relayed}, true)
	assert.Assert(t, s.Ready())
	s.Drain()
	assert.Assert(t, !s.Ready())
	response := get(t, server, "a.example", "/", "")
	assert.Equal(t, response.StatusCode, http.StatusTeapot)
	assert.Assert(t, response.Close)
}

// An instance that cannot reach its targets sends callers elsewhere, and is ready again when it can.
func TestInstanceOutOfReachIsNotReady(t *testing.T) {
	r := &relay{answer: relayed, cut: true}
	s, server := serve(t, r, true)
	assert.Assert(t, !s.Ready())
	assert.Assert(t, get(t, server, "a.example", "/", "").Close)
	r.cut = false
	assert.Assert(t, s.Ready())
	assert.Assert(t, !get(t, server, "a.example", "/", "").Close)
}

// The relay must hear of a caller that has left, so that the work for it ends.
func TestRelayHearsThatTheCallerLeft(t *testing.T) {
	r := &relay{left: make(chan struct{})}
	_, server := serve(t, r, true)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"))
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	assert.NilError(t, conn.Close())
	select {
	case <-r.left:
	case <-time.After(time.Second):
		t.Fatal("the relay did not hear of it")
	}
}

// Requests above the limit are refused at once instead of delaying all others.
func TestConcurrencyIsBounded(t *testing.T) {
	r := &relay{hold: make(chan struct{})}
	_, server := serve(t, r, true)
	for range 2 {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"))
		assert.NilError(t, err)
	}
	time.Sleep(50 * time.Millisecond)
	response := get(t, server, "a.example", "/", "")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, response.Header.Get("Retry-After") != "")
	close(r.hold)
}

// Paths must reach the route and the target as the caller wrote them, without redirects.
func TestPathsAreNotCleaned(t *testing.T) {
	r := &relay{answer: relayed}
	_, server := serve(t, r, true)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	for _, path := range []string{"//a/../b", "/./", "/%2e%2e/", "/a//b/?x=//"} {
		_, err = conn.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: a.example\r\n\r\n"))
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusTeapot, path)
		assert.NilError(t, response.Body.Close())
	}
}

// The objective counts from when the caller begins: its way here, the way back and, on a new connection, the handshake
// are not left to the targets.
func TestObjectiveCountsFromTheCaller(t *testing.T) {
	r := &relay{answer: relayed}
	state := registrar.New()
	state.Apply(registrar.Change{Revision: 1, Table: table(t)}, true)
	s := receiver.New(platform.Callers{}, state, r, 2, log.New(io.Discard), tally.NoopScope)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- s.Serve(listener) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	reader := bufio.NewReader(conn)
	for _, left := range []time.Duration{188 * time.Millisecond, 194 * time.Millisecond} {
		_, err = conn.Write([]byte("GET /in/ HTTP/1.1\r\nHost: a.example\r\n\r\n"))
		assert.NilError(t, err)
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		due := r.last.Due.Sub(r.last.Arrived)
		assert.Assert(t, due <= left && due > left-5*time.Millisecond, "%s of %s", due, left)
	}
	assert.NilError(t, conn.Close())
	assert.NilError(t, s.Stop(t.Context()))
	assert.NilError(t, <-served)
}
