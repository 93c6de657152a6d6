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

type executeFunc func(ctx context.Context, request encoder.QueryRequest) (encoder.QueryReply, error)

// fakes implements the executor, the peer that runs forwarded tickets, and the logger.
type fakes struct {
	execute              executeFunc
	executions, logLines atomic.Int64
	check                *checker.Checker
	classesRemoved       atomic.Bool // whether the query classes were removed from the manifest
	// forwardReply is the reply to forwarded queries; a success if it has no status.
	forwardReply encoder.RunTicketReply
}

func (f *fakes) Class(name string) (encoder.QueryClass, error) {
	if name == "none" || f.classesRemoved.Load() {
		return encoder.QueryClass{}, &executor.UnknownClassError{Class: name}
	}
	anonymous := name == "open"
	return encoder.QueryClass{Name: name, DeadlineMs: 5000, Idempotent: name != "order", AllowAnonymous: &anonymous}, nil
}

func (f *fakes) Execute(ctx context.Context, request encoder.QueryRequest) (encoder.QueryReply, error) {
	f.executions.Add(1)
	return f.execute(ctx, request)
}

func (f *fakes) RunTicket(context.Context, string, encoder.RunTicketRequest) (encoder.RunTicketReply, error) {
	if f.forwardReply.Status != 0 {
		return f.forwardReply, nil
	}
	return encoder.RunTicketReply{Status: 200, Body: `"forwarded"`}, nil
}

func (f *fakes) Info(any, ...any) { f.logLines.Add(1) }

func executeReturning(reply encoder.QueryReply, err error) executeFunc {
	return func(context.Context, encoder.QueryRequest) (encoder.QueryReply, error) { return reply, err }
}

func executeWithOutcome(o encoder.QueryOutcome) executeFunc {
	return executeReturning(encoder.QueryReply{Outcome: o}, nil)
}

func executeFailing(err error) executeFunc { return executeReturning(encoder.QueryReply{}, err) }

// instance is a running server with its URL.
type instance struct {
	*server.Server
	url string
}

// startServer serves on a free port and stops the server after the test.
func startServer(t *testing.T, f *fakes, opts ...server.Option) instance {
	t.Helper()
	events := recorder.New("i", timekeeper.NewHybridClock(time.Now), 100)
	f.check = checker.New(events, tally.NoopScope.Counter(""), false)
	tickets := ticketer.New("i", "1", func() time.Duration { return time.Minute }, f, events, f.check, tally.NoopScope)
	srv := server.New(f, tickets, f.check, f, tally.NoopScope, append([]server.Option{server.WithBalancerDelay(0)}, opts...)...)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv.SetReady(true)
	served := make(chan error, 1)
	go func() { served <- srv.Serve(listener) }()
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		assert.Check(t, srv.Stop(context.Background()))
		assert.Check(t, <-served)
	})
	return instance{srv, "http://" + listener.Addr().String()}
}

func (i instance) post(t *testing.T, path, body string) (int, string, http.Header) {
	t.Helper()
	response, err := http.Post(i.url+path, "application/json", strings.NewReader(body))
	if err != nil {
		return 0, err.Error(), http.Header{}
	}
	raw, err := io.ReadAll(response.Body)
	assert.Check(t, errors.Join(err, response.Body.Close()))
	// The server sends no header of this name; it passes response.Close to the test.
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

// Guards against invalid input that is accepted in part: it would run a query that the caller did not intend.
func TestInvalidInputIsRefusedAsNotRun(t *testing.T) {
	f := &fakes{execute: executeWithOutcome(encoder.QueryOutcomeComplete)}
	i := startServer(t, f)
	for _, c := range []struct {
		path, body     string
		status         int
		code, jsonPath string
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
		jsonPath := ""
		if reply.Path != nil {
			jsonPath = *reply.Path
		}
		assert.Equal(t, fmt.Sprint(status, reply.Code, jsonPath, reply.Outcome), fmt.Sprint(c.status, c.code, c.jsonPath, encoder.QueryOutcomeNotRun), c.body)
	}
	assert.Equal(t, f.executions.Load(), int64(0))
}

// Guards against a status that disagrees with the outcome: a caller would resend an order that may have run.
func TestStatusMatchesOutcome(t *testing.T) {
	f := &fakes{}
	i := startServer(t, f)
	deadlineExceeded := encoder.QueryReply{Outcome: "unknown", Missing: []encoder.MissingShard{{Reason: encoder.ReasonDeadlineExceeded}}}
	for _, c := range []struct {
		execute executeFunc
		status  int
		outcome string
		retry   string
	}{
		{executeWithOutcome("complete"), 200, "complete", ""},
		{executeWithOutcome("partial"), 200, "partial", ""},
		{executeWithOutcome("not-run"), 503, "not-run", "1"},
		{executeWithOutcome("unknown"), 502, "unknown", ""},
		{executeReturning(deadlineExceeded, nil), 504, "unknown", ""},
		{executeFailing(&executor.ShedError{RetryAfter: 1500 * time.Millisecond}), 503, "not-run", "2"},
		{executeFailing(&executor.NotReadyError{}), 503, "not-run", "1"},
		{executeFailing(&executor.TicketRequiredError{}), 400, "not-run", ""},
		{executeFailing(&executor.InvalidRequestError{Path: "$.key", Cause: io.EOF}), 400, "not-run", ""},
		{executeFailing(&executor.DeadlineTooShortError{Cause: io.EOF}), 422, "not-run", ""},
		{executeFailing(io.EOF), 500, "unknown", ""},
	} {
		f.execute = c.execute
		status, body, header := i.post(t, "/v1/queries", `{"query-class":"q"}`)
		assert.Equal(t, status, c.status, body)
		assert.Assert(t, strings.Contains(body, `"outcome":"`+c.outcome+`"`), body)
		assert.Equal(t, header.Get("Retry-After"), c.retry)
	}
}

// Guards against a shed query with a ticket whose caller is told another time to try again than the one without a
// ticket, at the instance that issued the ticket and at one that forwards the query to it.
func TestRetryAfterIsKeptWhenTicketedQueryIsShed(t *testing.T) {
	f := &fakes{execute: executeFailing(&executor.ShedError{RetryAfter: 1500 * time.Millisecond})}
	i := startServer(t, f)
	_, ticketBody, _ := i.post(t, "/v1/tickets", `{"query-class":"order"}`)
	reply, err := encoder.Decode[encoder.TicketReply]([]byte(ticketBody))
	assert.NilError(t, err, ticketBody)
	status, _, header := i.post(t, "/v1/queries", fmt.Sprintf(`{"query-class":"order","ticket":%q}`, reply.Ticket))
	assert.Equal(t, status, 503)
	assert.Equal(t, header.Get("Retry-After"), "2")
	forwarded := i.RunForwardedTicket(t.Context(), encoder.RunTicketRequest{Request: encoder.QueryRequest{QueryClass: "order", Ticket: &reply.Ticket}, DeadlineMs: 100})
	assert.Equal(t, *forwarded.RetryAfterMs, 1500)
	f.forwardReply = forwarded
	_, _, header = i.post(t, "/v1/queries", `{"query-class":"order","ticket":"j.1.x"}`)
	assert.Equal(t, header.Get("Retry-After"), "2")
}

// Guards against a panic in one request that ends another one.
func TestPanicDoesNotAffectOtherRequests(t *testing.T) {
	entered, leave := make(chan struct{}), make(chan struct{})
	f := &fakes{execute: func(ctx context.Context, request encoder.QueryRequest) (encoder.QueryReply, error) {
		if request.Text != nil {
			panic("test")
		}
		close(entered)
		<-leave
		return executeWithOutcome("complete")(ctx, request)
	}}
	i := startServer(t, f)
	var others sync.WaitGroup
	others.Go(func() {
		status, body, _ := i.post(t, "/v1/queries", `{"query-class":"q"}`)
		assert.Check(t, status == 200, body)
	})
	<-entered
	status, body, _ := i.post(t, "/v1/queries", `{"query-class":"q","text":"x"}`)
	assert.Assert(t, status == 500 && strings.Contains(body, `"outcome":"unknown"`))
	close(leave)
	others.Wait()
}

// Guards against a planned stop that cuts off a request, or that refuses what the load balancer still sends after the
// instance has become not ready.
func TestGracefulStopAnswersEveryAcceptedRequest(t *testing.T) {
	f := &fakes{execute: func(ctx context.Context, request encoder.QueryRequest) (encoder.QueryReply, error) {
		time.Sleep(300 * time.Millisecond)
		return executeWithOutcome("complete")(ctx, request)
	}}
	i := startServer(t, f, server.WithBalancerDelay(time.Second))
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
	assert.Assert(t, f.executions.Load() == 20 && f.check.Violations() == 0)
	assert.Equal(t, f.logLines.Load(), int64(2), "one line for each change of readiness")
}

// Guards against a request that is cut off at the shutdown timeout without an error and an invariant violation.
func TestStopErrorWhenRequestIsCutOff(t *testing.T) {
	entered := make(chan struct{})
	f := &fakes{execute: func(ctx context.Context, _ encoder.QueryRequest) (encoder.QueryReply, error) {
		close(entered)
		<-ctx.Done()
		return encoder.QueryReply{}, ctx.Err()
	}}
	i := startServer(t, f, server.WithShutdownTimeout(20*time.Millisecond))
	var cut sync.WaitGroup
	cut.Go(func() { i.post(t, "/v1/queries", `{"query-class":"q"}`) })
	<-entered
	assert.ErrorType(t, i.Stop(context.Background()), &server.StopError{})
	cut.Wait()
	assert.Equal(t, f.check.Violations(), int64(1))
}

// Guards against a query that goes on after its caller has disconnected, and against a read timeout that is taken for a
// disconnect.
func TestQueryIsCancelledOnlyWhenCallerDisconnects(t *testing.T) {
	ended := make(chan error, 1)
	f := &fakes{execute: func(ctx context.Context, request encoder.QueryRequest) (encoder.QueryReply, error) {
		select {
		case <-ctx.Done():
			ended <- ctx.Err()
		case <-time.After(400 * time.Millisecond):
			ended <- nil
		}
		return executeWithOutcome("complete")(ctx, request)
	}}
	i := startServer(t, f, server.WithReadTimeout(100*time.Millisecond))
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

// Guards against a second run of an order that is sent repeatedly or through another instance, and against a resend
// that is answered with not-run because its query class has been removed since.
func TestTicketedQueryRunsOnceWhenResentOrForwarded(t *testing.T) {
	f := &fakes{execute: executeWithOutcome("complete")}
	i := startServer(t, f)
	_, ticketBody, _ := i.post(t, "/v1/tickets", `{"query-class":"order"}`)
	reply, err := encoder.Decode[encoder.TicketReply]([]byte(ticketBody))
	assert.NilError(t, err, ticketBody)
	ticket := reply.Ticket
	body := fmt.Sprintf(`{"query-class":"order","ticket":%q}`, ticket)
	firstStatus, answer, _ := i.post(t, "/v1/queries", body)
	assert.Equal(t, firstStatus, 200)
	_, repeated, _ := i.post(t, "/v1/queries", body)
	assert.Equal(t, repeated, answer)
	request := encoder.QueryRequest{QueryClass: "order", Ticket: &ticket}
	forwarded := i.RunForwardedTicket(t.Context(), encoder.RunTicketRequest{Request: request, DeadlineMs: 100})
	assert.Equal(t, forwarded.Body, answer)
	f.classesRemoved.Store(true)
	_, repeated, _ = i.post(t, "/v1/queries", body)
	assert.Equal(t, repeated, answer)
	f.classesRemoved.Store(false)
	conflictStatus, _, _ := i.post(t, "/v1/queries", fmt.Sprintf(`{"query-class":"order","ticket":%q,"limit":3}`, ticket))
	assert.Equal(t, conflictStatus, 409)
	status, body, _ := i.post(t, "/v1/queries", `{"query-class":"order","ticket":"i.0.x"}`)
	assert.Assert(t, status == 502 && strings.Contains(body, `"outcome":"unknown"`))
	_, body, _ = i.post(t, "/v1/queries", `{"query-class":"order","ticket":"j.1.x"}`)
	assert.Equal(t, body, `"forwarded"`)
	assert.Equal(t, f.executions.Load(), int64(1))
}
