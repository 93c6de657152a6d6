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

// fakeRelay gives every request the same answer and records the last request.
type fakeRelay struct {
	answer      relayer.Answer
	lastRequest relayer.Request
	// cannotServe makes CanServe return false.
	cannotServe bool
	// hasNoRoom makes HasRoomFor return false.
	hasNoRoom bool
	// callerLeft, if set, makes Relay wait for the end of its context, and is then closed.
	callerLeft chan struct{}
	// untilDeadline makes Relay wait until the deadline and answer that the request has timed out.
	untilDeadline bool
	// release, if set, delays the answers until it is closed.
	release chan struct{}
}

func (r *fakeRelay) CanServe() bool { return !r.cannotServe }

func (r *fakeRelay) CanServeRoute(*mapper.Route, string) bool { return !r.cannotServe }

func (r *fakeRelay) HasRoomFor(*mapper.Route) bool { return !r.hasNoRoom }

func (r *fakeRelay) VerifyReach(context.Context) {}

func (r *fakeRelay) Relay(ctx context.Context, request relayer.Request) relayer.Answer {
	if r.release != nil {
		<-r.release
		return r.answer
	}
	r.lastRequest = request
	if r.untilDeadline {
		time.Sleep(time.Until(request.Deadline))
		return relayer.Answer{Outcome: relayer.TimedOut}
	}
	if r.callerLeft != nil {
		<-ctx.Done()
		close(r.callerLeft)
	}
	return r.answer
}

func newTable(t *testing.T) *mapper.Table {
	t.Helper()
	routingTable := encoder.RoutingTable{Version: 1, Limits: encoder.RouteLimits{BodyBytes: 10}, Routes: []encoder.Route{
		{Name: "outer", Host: "a.example", Prefix: "/", Idempotent: true, TimeoutMs: 2000, MaxTargets: 1, Destinations: []encoder.RouteDestination{{Service: "s", Weight: 1}}},
		{Name: "inner", Host: "a.example", Prefix: "/in/", TimeoutMs: 500, ObjectiveMs: 200, MaxTargets: 1, Destinations: []encoder.RouteDestination{{Service: "s", Weight: 1}}},
	}}
	table, problems := mapper.New(routingTable)
	assert.Equal(t, len(problems), 0)
	return table
}

func startReceiver(t *testing.T, r *fakeRelay, configured bool) (*receiver.Receiver, *httptest.Server) {
	t.Helper()
	state := registrar.New()
	if configured {
		state.Apply(registrar.Change{Position: registrar.Position{Revision: 1}, Table: newTable(t)}, true)
	}
	s := receiver.New(platform.CallerHeaders{}, state, r, 2, log.New(io.Discard), tally.NoopScope)
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return s, server
}

// fullResponse is a response with its whole body.
type fullResponse struct {
	*http.Response
	body string
}

func post(t *testing.T, server *httptest.Server, host, path string, body string) fullResponse {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	request.Host = host
	request.Header.Set(platform.HeaderRequestID, "r1")
	request.Header.Set(platform.HeaderTimeLeft, "1000")
	request.Header.Set(platform.HeaderExpectedTarget, "forged")
	request.Header.Set("X-Other", "kept")
	request.Header.Set("Connection", "X-Local")
	request.Header.Set("X-Local", "dropped")
	response, err := http.DefaultTransport.RoundTrip(request)
	assert.NilError(t, err)
	raw, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return fullResponse{Response: response, body: string(raw)}
}

var relayedAnswer = relayer.Answer{Outcome: relayer.Relayed, Reply: &transporter.Reply{
	Status: http.StatusTeapot, Body: []byte("body"), Header: http.Header{platform.HeaderSignature: {"sig"}, "Connection": {"close, X-Gone"}, "X-Gone": {"1"}, "Keep-Alive": {"timeout=1"}},
}}

// Guards against a changed status, body or signature of a target's reply, against a changed request line, and against
// hop-by-hop headers, or those that the instance sets itself, that reach the other connection.
func TestReplyIsForwardedWithoutHopByHopHeaders(t *testing.T) {
	r := &fakeRelay{answer: relayedAnswer}
	_, server := startReceiver(t, r, true)
	response := post(t, server, "a.example", "/in/%2f//x?q=1", "body")
	assert.Equal(t, response.StatusCode, http.StatusTeapot)
	assert.Equal(t, response.body, "body")
	assert.Equal(t, response.Header.Get(platform.HeaderSignature), "sig")
	assert.Equal(t, response.Header.Get("X-Gone")+response.Header.Get("Keep-Alive")+response.Header.Get("Content-Type"), "")
	assert.Equal(t, r.lastRequest.Route.Name, "inner")
	assert.Equal(t, r.lastRequest.Outbound.ID, "r1")
	head := string(r.lastRequest.Outbound.Head())
	assert.Assert(t, strings.HasPrefix(head, "POST /in/%2f//x?q=1 HTTP/1.1\r\nHost: a.example\r\n"), head)
	assert.Assert(t, strings.Contains(head, "\r\nX-Other: kept\r\n"), head)
	for _, dropped := range []string{"X-Local", "Connection:", platform.HeaderExpectedTarget, platform.HeaderTimeLeft} {
		assert.Assert(t, !strings.Contains(head, dropped), head)
	}
	assert.Assert(t, r.lastRequest.Outbound.RequireFreshConnection)
	assert.Assert(t, r.lastRequest.Deadline.Sub(r.lastRequest.Arrived) == 500*time.Millisecond)
}

// Guards against a 404 from an instance without a configuration, which cannot know whether the route exists.
func TestServiceUnavailableWhenUnconfigured(t *testing.T) {
	s, server := startReceiver(t, &fakeRelay{}, false)
	assert.Assert(t, !s.Ready())
	response := post(t, server, "a.example", "/", "")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, response.Header.Get("Retry-After") != "")
}

// Guards against a wrong status for an outcome: only a request that has not run may get 503. A request without a route
// gets 404, one with a body above the limit 413.
func TestStatusPerOutcome(t *testing.T) {
	for outcome, status := range map[relayer.Outcome]int{
		relayer.NotRun: http.StatusServiceUnavailable, relayer.Failed: http.StatusBadGateway, relayer.TimedOut: http.StatusGatewayTimeout,
	} {
		_, server := startReceiver(t, &fakeRelay{answer: relayer.Answer{Outcome: outcome}}, true)
		assert.Equal(t, post(t, server, "a.example", "/", "").StatusCode, status)
	}
	_, server := startReceiver(t, &fakeRelay{}, true)
	assert.Equal(t, post(t, server, "b.example", "/", "").StatusCode, http.StatusNotFound)
	assert.Equal(t, post(t, server, "a.example", "/", "more than ten bytes").StatusCode, http.StatusRequestEntityTooLarge)
}

// Guards against a merged response without the signatures of its parts or the number of missing parts.
func TestMergedResponseCarriesSignaturesAndMissingCount(t *testing.T) {
	answer := relayer.Answer{Outcome: relayer.Merged, Records: []byte("0123456789abcdef"), Signatures: []string{"a", "b"}, Missing: 3}
	_, server := startReceiver(t, &fakeRelay{answer: answer}, true)
	response := post(t, server, "A.example:80", "/", "")
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, response.Header.Get(platform.HeaderPartSignatures), "a, b")
	assert.Equal(t, response.Header.Get(platform.HeaderMissingParts), "3")
	assert.Equal(t, response.ContentLength, int64(16))
}

// Guards against a caller that sends its body without end and keeps a request in flight after its deadline.
func TestRequestIsRefusedWhenBodyIsIncompleteAtDeadline(t *testing.T) {
	r := &fakeRelay{answer: relayedAnswer}
	_, server := startReceiver(t, r, true)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	start := time.Now()
	_, err = conn.Write([]byte("POST /in/ HTTP/1.1\r\nHost: a.example\r\n" + platform.HeaderTimeLeft + ": 150\r\nContent-Length: 5\r\n\r\nabc"))
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
	assert.Assert(t, time.Since(start) < 500*time.Millisecond, time.Since(start))
	assert.Assert(t, r.lastRequest.Route == nil, "the request was relayed")
}

// Guards against a draining instance that refuses requests, or that keeps its callers' connections open.
func TestDrainingInstanceServesAndClosesConnections(t *testing.T) {
	s, server := startReceiver(t, &fakeRelay{answer: relayedAnswer}, true)
	assert.Assert(t, s.Ready())
	s.Drain(time.Now().Add(time.Minute))
	assert.Assert(t, !s.Ready())
	response := post(t, server, "a.example", "/", "")
	assert.Equal(t, response.StatusCode, http.StatusTeapot)
	assert.Assert(t, response.Close)
}

// Guards against a planned stop that passes on late requests and ends their connections without an answer, when the targets
// are not done by then: each one must get an answer, and what arrives after the stop must not run.
func TestRequestsDuringStopGetAnswers(t *testing.T) {
	r := &fakeRelay{untilDeadline: true}
	s, server := startReceiver(t, r, true)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { assert.NilError(t, conn.Close()) }()
	end := time.Now().Add(500 * time.Millisecond)
	s.Drain(end)
	response := post(t, server, "a.example", "/", "")
	assert.Equal(t, response.StatusCode, http.StatusGatewayTimeout)
	assert.Assert(t, time.Now().Before(end), "answered %s after the end of the service", time.Since(end))
	stopCtx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	go func() { _ = s.Stop(stopCtx) }()
	time.Sleep(50 * time.Millisecond)
	r.lastRequest = relayer.Request{}
	_, err = conn.Write([]byte("POST /in/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n"))
	assert.NilError(t, err)
	late, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.NilError(t, late.Body.Close())
	assert.Equal(t, late.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, late.Header.Get("Retry-After") != "")
	assert.Assert(t, late.Close)
	assert.Assert(t, r.lastRequest.Route == nil, "the request was relayed")
}

// Guards against an instance that stays ready without reaching its targets, or not ready after it reaches them again.
func TestNotReadyWhenTargetsUnreachable(t *testing.T) {
	r := &fakeRelay{answer: relayedAnswer, cannotServe: true}
	s, server := startReceiver(t, r, true)
	assert.Assert(t, !s.Ready())
	assert.Assert(t, post(t, server, "a.example", "/", "").Close)
	r.cannotServe = false
	assert.Assert(t, s.Ready())
	assert.Assert(t, !post(t, server, "a.example", "/", "").Close)
}

// Guards against work that goes on for a caller that has disconnected: the context of the relay must end.
func TestRelayContextEndsWhenCallerDisconnects(t *testing.T) {
	r := &fakeRelay{callerLeft: make(chan struct{})}
	_, server := startReceiver(t, r, true)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"))
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	assert.NilError(t, conn.Close())
	select {
	case <-r.callerLeft:
	case <-time.After(time.Second):
		t.Fatal("context of the relay did not end within 1 s of the caller's disconnect")
	}
}

// Guards against requests above the concurrency limit that wait and delay all others instead of being refused at once.
func TestServiceUnavailableAboveConcurrencyLimit(t *testing.T) {
	r := &fakeRelay{release: make(chan struct{})}
	_, server := startReceiver(t, r, true)
	for range 2 {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"))
		assert.NilError(t, err)
	}
	time.Sleep(50 * time.Millisecond)
	response := post(t, server, "a.example", "/", "")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, response.Header.Get("Retry-After") != "")
	close(r.release)
}

// Guards against a router that cleans paths or redirects: paths must reach the target as the caller sent them.
func TestPathsAreNotCleaned(t *testing.T) {
	r := &fakeRelay{answer: relayedAnswer}
	_, server := startReceiver(t, r, true)
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

// Guards against an objective that counts only from the arrival of the request: the network latency in both directions
// and, on a new connection, the handshake must be taken off the time that the targets get.
func TestObjectiveIncludesNetworkLatency(t *testing.T) {
	r := &fakeRelay{answer: relayedAnswer}
	state := registrar.New()
	state.Apply(registrar.Change{Position: registrar.Position{Revision: 1}, Table: newTable(t)}, true)
	s := receiver.New(platform.CallerHeaders{}, state, r, 2, log.New(io.Discard), tally.NoopScope)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- s.Serve(listener) }()
	dialed := time.Now()
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	reader := bufio.NewReader(conn)
	// The objective of 200 ms without the trip of the response, and without the three trips of the handshake and the first
	// request, or the one trip of a later request. A trip takes 3 ms. The time from the acceptance of the connection to the
	// first request counts too.
	for i, remaining := range []time.Duration{188 * time.Millisecond, 194 * time.Millisecond} {
		_, err = conn.Write([]byte("GET /in/ HTTP/1.1\r\nHost: a.example\r\n\r\n"))
		assert.NilError(t, err)
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		due := r.lastRequest.Due.Sub(r.lastRequest.Arrived)
		if i == 0 {
			assert.Assert(t, due <= remaining && due >= remaining-r.lastRequest.Arrived.Sub(dialed), "%s of %s", due, remaining)
		} else {
			assert.Equal(t, due, remaining)
		}
	}
	assert.NilError(t, conn.Close())
	assert.NilError(t, s.Stop(t.Context()))
	assert.NilError(t, <-served)
}
