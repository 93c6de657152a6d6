package server_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"apricotflow/internal/caller/server"
	"apricotflow/internal/operator/checker"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/query/executor"
	"apricotflow/internal/query/ticketer"
	"apricotflow/internal/wire/encoder"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type execute func(ctx context.Context, request encoder.QueryRequest) (encoder.QueryReply, error)

// world is the fake executor, peer and logger.
type world struct {
	execute     execute
	runs, lines atomic.Int64
	check       *checker.Checker
	removed     atomic.Bool // whether the manifest has lost its query classes
}

func (w *world) Class(name string) (encoder.QueryClass, error) {
	if name == "none" || w.removed.Load() {
		return encoder.QueryClass{}, &executor.UnknownClassError{Class: name}
	}
	return encoder.QueryClass{Name: name, DeadlineMs: 5000, Idempotent: name != "order"}, nil
}

func (w *world) Execute(ctx context.Context, request encoder.QueryRequest) (encoder.QueryReply, error) {
	w.runs.Add(1)
	return w.execute(ctx, request)
}

func (w *world) RunTicket(context.Context, string, encoder.RunTicketRequest) (encoder.RunTicketReply, error) {
	return encoder.RunTicketReply{Status: 200, Body: `"forwarded"`}, nil
}

func (w *world) Info(any, ...any) { w.lines.Add(1) }

func returns(reply encoder.QueryReply, err error) execute {
	return func(context.Context, encoder.QueryRequest) (encoder.QueryReply, error) { return reply, err }
}

func outcome(o encoder.QueryOutcome) execute { return returns(encoder.QueryReply{Outcome: o}, nil) }
func fails(err error) execute                { return returns(encoder.QueryReply{}, err) }

type instance struct {
	*server.Server
	url string
}

// start serves on a free port; the server is stopped after the test.
func start(t *testing.T, w *world, opts ...server.Option) instance {
	t.Helper()
	events := recorder.New("i", timekeeper.NewHybridClock(time.Now), 100)
	w.check = checker.New(events, tally.NoopScope.Counter(""), false)
	tickets := ticketer.New("i", "1", func() time.Duration { return time.Minute }, w, events, w.check, tally.NoopScope)
	s := server.New(w, tickets, w.check, w, tally.NoopScope, append([]server.Option{server.WithBalancerWait(0)}, opts...)...)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.SetReady(true)
	served := make(chan error, 1)
	go func() { served <- s.Serve(listener) }()
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		assert.Check(t, s.Stop(context.Background()))
		assert.Check(t, <-served)
	})
	return instance{s, "http://" + listener.Addr().String()}
}

func (i instance) post(t *testing.T, path, body string) (int, string, http.Header) {
	t.Helper()
	response, err := http.Post(i.url+path, "application/json", strings.NewReader(body))
	if err != nil {
		return 0, err.Error(), http.Header{}
	}
	raw, err := io.ReadAll(response.Body)
	assert.Check(t, errors.Join(err, response.Body.Close()))
	response.Header.Set("Close", fmt.Sprint(response.Close))
	return response.StatusCode, string(raw), response.Header
}

func (i instance) ready(t *testing.T) int {
	t.Helper()
	response, err := http.Get(i.url + "/v1/ready")
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return response.StatusCode
}

// Input that is accepted in part would run a query that the caller did not mean.
func TestInvalidInputIsRefusedAsNotRun(t *testing.T) {
	w := &world{execute: outcome(encoder.QueryOutcomeComplete)}
	i := start(t, w)
	for _, c := range []struct {
		path, body string
		status     int
		code, at   string
	}{
		{"/v1/queries", `{`, 400, "invalid-json", "$"},
		{"/v1/queries", `{"query-class":"q"} {}`, 400, "invalid-json", "$"},
		{"/v1/queries", "{\"query-class\":\"\xff\"}", 400, "invalid-json", "$"},
		{"/v1/queries", `[]`, 400, "invalid-request", "$"},
		{"/v1/queries", `{}`, 400, "invalid-request", "$.query-class"},
		{"/v1/queries", `{"query-class":"q","extra":1}`, 400, "invalid-request", "$.extra"},
		{"/v1/queries", `{"query-class":"q","Limit":1}`, 400, "invalid-request", "$.Limit"},
		{"/v1/queries", `{"query-class":"q","limit":null}`, 400, "invalid-request", "$.limit"},
		{"/v1/queries", `{"query-class":"q","limit":1001}`, 400, "invalid-request", "$.limit"},
		{"/v1/queries", `{"query-class":"q","deadline-ms":0}`, 400, "invalid-request", "$.deadline-ms"},
		{"/v1/queries", `{"query-class":"q","text":"` + strings.Repeat("x", 4097) + `"}`, 400, "invalid-request", "$.text"},
		{"/v1/queries", `{"query-class":"q","text":"` + strings.Repeat("x", 65536) + `"}`, 413, "body-too-large", ""},
		{"/v1/queries", `{"query-class":"order","ticket":"x"}`, 400, "malformed-ticket", "$.ticket"},
		{"/v1/tickets", `{"query-class":"none"}`, 400, "unknown-query-class", "$.query-class"},
		{"/v1/tickets", `{"query-class":1}`, 400, "invalid-request", "$.query-class"},
		{"/v1/ready", `{}`, 405, "method-not-allowed", ""},
		{"/v2/queries", `{}`, 404, "not-found", ""},
	} {
		status, body, _ := i.post(t, c.path, c.body)
		reply, err := encoder.Decode[encoder.ErrorReply]([]byte(body))
		assert.NilError(t, err, "%s", body)
		at := ""
		if reply.Path != nil {
			at = *reply.Path
		}
		assert.Equal(t, fmt.Sprint(status, reply.Code, at, reply.Outcome), fmt.Sprint(c.status, c.code, c.at, encoder.QueryOutcomeNotRun), c.body)
	}
	assert.Equal(t, w.runs.Load(), int64(0))
}

// The status and the outcome must agree, or a caller resends an order that may have run.
func TestEveryOutcomeHasItsStatus(t *testing.T) {
	w := &world{}
	i := start(t, w)
	late := encoder.QueryReply{Outcome: "unknown", Missing: []encoder.MissingShard{{Reason: encoder.ReasonDeadlineExceeded}}}
	for _, c := range []struct {
		execute execute
		status  int
		outcome string
		retry   string
	}{
		{outcome("complete"), 200, "complete", ""},
		{outcome("partial"), 200, "partial", ""},
		{outcome("not-run"), 503, "not-run", "1"},
		{outcome("unknown"), 502, "unknown", ""},
		{returns(late, nil), 504, "unknown", ""},
		{fails(&executor.ShedError{RetryAfter: 1500 * time.Millisecond}), 503, "not-run", "2"},
		{fails(&executor.NotReadyError{}), 503, "not-run", "1"},
		{fails(&executor.TicketError{}), 400, "not-run", ""},
		{fails(&executor.InvalidError{Path: "$.key", Cause: io.EOF}), 400, "not-run", ""},
		{fails(&executor.DeadlineError{Cause: io.EOF}), 422, "not-run", ""},
		{fails(io.EOF), 500, "unknown", ""},
	} {
		w.execute = c.execute
		status, body, header := i.post(t, "/v1/queries", `{"query-class":"q"}`)
		assert.Equal(t, status, c.status, body)
		assert.Assert(t, strings.Contains(body, `"outcome":"`+c.outcome+`"`), body)
		assert.Equal(t, header.Get("Retry-After"), c.retry)
	}
}

// A fault in one request must not end another one.
func TestPanicHurtsNoOtherRequest(t *testing.T) {
	entered, leave := make(chan struct{}), make(chan struct{})
	w := &world{execute: func(ctx context.Context, request encoder.QueryRequest) (encoder.QueryReply, error) {
		if request.Text != nil {
			panic("test")
		}
		close(entered)
		<-leave
		return outcome("complete")(ctx, request)
	}}
	i := start(t, w)
	var other sync.WaitGroup
	other.Go(func() {
		status, body, _ := i.post(t, "/v1/queries", `{"query-class":"q"}`)
		assert.Check(t, status == 200, body)
	})
	<-entered
	status, body, _ := i.post(t, "/v1/queries", `{"query-class":"q","text":"x"}`)
	assert.Assert(t, status == 500 && strings.Contains(body, `"outcome":"unknown"`))
	close(leave)
	other.Wait()
}

// A planned stop must cut off no request, and must accept what the balancer still sends after readiness is off.
func TestGracefulStopAnswersEveryAcceptedRequest(t *testing.T) {
	w := &world{execute: func(ctx context.Context, request encoder.QueryRequest) (encoder.QueryReply, error) {
		time.Sleep(300 * time.Millisecond)
		return outcome("complete")(ctx, request)
	}}
	i := start(t, w, server.WithBalancerWait(time.Second))
	assert.Equal(t, i.ready(t), 200)
	var all sync.WaitGroup
	all.Go(func() { assert.Check(t, i.Stop(context.Background())) })
	for i.ready(t) == 200 {
		time.Sleep(time.Millisecond)
	}
	for range 20 {
		all.Go(func() {
			status, body, header := i.post(t, "/v1/queries", `{"query-class":"q"}`)
			assert.Check(t, status == 200, body)
			assert.Check(t, header.Get("Close") == "true")
		})
	}
	all.Wait()
	assert.Assert(t, w.runs.Load() == 20 && w.check.Violations() == 0)
	assert.Equal(t, w.lines.Load(), int64(2), "one line for each change of readiness")
}

// A request that is cut off because the stop took too long must be reported, not hidden.
func TestStopThatCutsARequestIsReported(t *testing.T) {
	entered := make(chan struct{})
	w := &world{execute: func(ctx context.Context, _ encoder.QueryRequest) (encoder.QueryReply, error) {
		close(entered)
		<-ctx.Done()
		return encoder.QueryReply{}, ctx.Err()
	}}
	i := start(t, w, server.WithShutdownTime(20*time.Millisecond))
	var cut sync.WaitGroup
	cut.Go(func() { i.post(t, "/v1/queries", `{"query-class":"q"}`) })
	<-entered
	assert.ErrorType(t, i.Stop(context.Background()), &server.StopError{})
	cut.Wait()
	assert.Equal(t, w.check.Violations(), int64(1))
}

// The work of a caller that has left must end; the read timeout must not look like a caller that left.
func TestOnlyACallerThatLeavesCancelsItsQuery(t *testing.T) {
	ended := make(chan error, 1)
	w := &world{execute: func(ctx context.Context, request encoder.QueryRequest) (encoder.QueryReply, error) {
		select {
		case <-ctx.Done():
			ended <- ctx.Err()
		case <-time.After(400 * time.Millisecond):
			ended <- nil
		}
		return outcome("complete")(ctx, request)
	}}
	i := start(t, w, server.WithReadTimeout(100*time.Millisecond))
	status, _, _ := i.post(t, "/v1/queries", `{"query-class":"q"}`)
	assert.Equal(t, status, 200)
	assert.NilError(t, <-ended)
	caller, err := net.Dial("tcp", strings.TrimPrefix(i.url, "http://"))
	assert.NilError(t, err)
	_, err = io.WriteString(caller, "POST /v1/queries HTTP/1.1\r\nHost: i\r\nContent-Length: 19\r\n\r\n{\"query-class\":\"q\"}")
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	assert.NilError(t, caller.Close())
	assert.ErrorIs(t, <-ended, context.Canceled)
}

// An order must run once however often and through whichever path it is sent, and a resend must not be told not-run
// because its query class was removed since.
func TestTicketedQueryRunsOnce(t *testing.T) {
	w := &world{execute: outcome("complete")}
	i := start(t, w)
	_, issued, _ := i.post(t, "/v1/tickets", `{"query-class":"order"}`)
	reply, err := encoder.Decode[encoder.TicketReply]([]byte(issued))
	assert.NilError(t, err, issued)
	ticket := reply.Ticket
	body := fmt.Sprintf(`{"query-class":"order","ticket":%q}`, ticket)
	first, answer, _ := i.post(t, "/v1/queries", body)
	assert.Equal(t, first, 200)
	_, again, _ := i.post(t, "/v1/queries", body)
	assert.Equal(t, again, answer)
	request := encoder.QueryRequest{QueryClass: "order", Ticket: &ticket}
	forwarded := i.RunTicket(t.Context(), encoder.RunTicketRequest{Request: request, DeadlineMs: 100})
	assert.Equal(t, forwarded.Body, answer)
	w.removed.Store(true)
	_, again, _ = i.post(t, "/v1/queries", body)
	assert.Equal(t, again, answer)
	w.removed.Store(false)
	conflict, _, _ := i.post(t, "/v1/queries", fmt.Sprintf(`{"query-class":"order","ticket":%q,"limit":3}`, ticket))
	assert.Equal(t, conflict, 409)
	status, body, _ := i.post(t, "/v1/queries", `{"query-class":"order","ticket":"i.0.x"}`)
	assert.Assert(t, status == 502 && strings.Contains(body, `"outcome":"unknown"`))
	_, body, _ = i.post(t, "/v1/queries", `{"query-class":"order","ticket":"j.1.x"}`)
	assert.Equal(t, body, `"forwarded"`)
	assert.Equal(t, w.runs.Load(), int64(1))
}
