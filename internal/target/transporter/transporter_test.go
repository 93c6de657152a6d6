package transporter_test

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/standin/worker"
	"apricotflow/internal/target/transporter"
	"apricotflow/platform"
)

const left = 2 * time.Second

func request(id string) *transporter.Request {
	return transporter.NewRequest(id, http.MethodGet, "/a/b?c=%20d", "shop.example", http.Header{platform.HeaderRequestID: {id}}, nil)
}

func send(t *testing.T, tr *transporter.Transporter, target *worker.Target, r *transporter.Request, limit int) transporter.Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), left)
	defer cancel()
	return tr.Send(ctx, target.ID(), target.Address(), limit, r, left)
}

func start(t *testing.T) (*transporter.Transporter, *worker.Target) {
	t.Helper()
	target := worker.New("t1", []byte("0123456789abcdef"))
	t.Cleanup(target.Close)
	return transporter.New(platform.Targets{}), target
}

// The outcome decides whether a request may be sent again, so it must never claim more than is known.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		name      string
		behaviour worker.Behaviour
		outcome   transporter.Outcome
	}{
		{"answer", worker.Answer, transporter.Answered},
		{"shed", worker.Shed, transporter.Refused},
		{"failure of the target", worker.Fail, transporter.Answered},
		{"bytes that are no reply", worker.Garble, transporter.Lost},
		{"truncated reply", worker.Truncate, transporter.Lost},
		{"reset", worker.Reset, transporter.Lost},
		{"reply that ends with its connection", worker.Unframed, transporter.Answered},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tr, target := start(t)
			target.Always(c.behaviour, 0)
			result := send(t, tr, target, request("r1"), 4)
			assert.Equal(t, result.Outcome, c.outcome, "%v", result.Err)
			assert.Equal(t, len(target.Received()), 1)
		})
	}
}

// A client that repeats a request by itself on a kept connection runs it twice.
func TestNothingIsRepeatedOnAKeptConnection(t *testing.T) {
	tr, target := start(t)
	assert.Equal(t, send(t, tr, target, request("r1"), 4).Outcome, transporter.Answered)
	target.Always(worker.Reset, 0)
	assert.Equal(t, send(t, tr, target, request("r2"), 4).Outcome, transporter.Lost)
	assert.Equal(t, len(target.Received()), 2)
	assert.Equal(t, target.Connections(), 1)
}

// Targets see the request as the caller sent it, with their own id and the time left.
func TestRequestIsPassedOnUnchanged(t *testing.T) {
	tr, target := start(t)
	header := http.Header{platform.HeaderRequestID: {"r1"}, "X-Other": {"one", "two"}}
	r := transporter.NewRequest("r1", http.MethodPost, "/a//b/%2e?x", "shop.example:80", header, []byte("body"))
	assert.Equal(t, send(t, tr, target, r, 4).Outcome, transporter.Answered)
	got := target.Received()[0]
	assert.Equal(t, got.Method+" "+got.URI+" "+got.Host+" "+string(got.Body), "POST /a//b/%2e?x shop.example:80 body")
	assert.DeepEqual(t, got.Header["X-Other"], []string{"one", "two"})
	assert.Equal(t, got.Header.Get(platform.HeaderExpected), "t1")
	assert.Assert(t, got.Header.Get(platform.HeaderDeadline) <= "2000", got.Header)
}

// A target that has another id than expected refuses the request; nothing of the reply is used.
func TestAnotherTargetAtTheAddress(t *testing.T) {
	tr, target := start(t)
	result := tr.Send(t.Context(), "t0", target.Address(), 4, request("r1"), left)
	assert.Equal(t, result.Outcome, transporter.Misdirected)
	assert.Equal(t, target.Runs(), 0)
}

// Bytes after a whole reply belong to no request: the connection is not used again.
func TestSecondReplyEndsTheConnection(t *testing.T) {
	tr, target := start(t)
	target.Always(worker.Twice, 0)
	assert.Equal(t, send(t, tr, target, request("r1"), 4).Outcome, transporter.Answered)
	time.Sleep(50 * time.Millisecond)
	target.Always(worker.Answer, 0)
	result := send(t, tr, target, request("r2"), 4)
	assert.Equal(t, result.Reply.Signature, target.Signature("r2"))
	assert.Equal(t, target.Connections(), 2)
}

// A late reply to another request is skipped, and the connection is not used again.
func TestReplyToAnotherRequestIsSkipped(t *testing.T) {
	tr, target := start(t)
	target.Always(worker.AnotherFirst, 0)
	result := send(t, tr, target, request("r1"), 4)
	assert.Equal(t, result.Outcome, transporter.Answered)
	assert.Equal(t, result.Reply.Signature, target.Signature("r1"))
	send(t, tr, target, request("r2"), 4)
	assert.Equal(t, target.Connections(), 2)
}

// Giving up a request must end the target's work: the connection is closed.
func TestGivenUpRequestEndsTheConnection(t *testing.T) {
	tr, target := start(t)
	target.Always(worker.Hang, 0)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	result := tr.Send(ctx, target.ID(), target.Address(), 4, request("r1"), left)
	assert.Equal(t, result.Outcome, transporter.Lost)
	assert.Assert(t, errors.Is(result.Err, context.DeadlineExceeded))
	deadline := time.Now().Add(500 * time.Millisecond)
	for target.Received()[0].Cut.IsZero() && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	assert.Assert(t, !target.Received()[0].Cut.IsZero())
}

// The connections of a target are shared by all instances: no instance opens more than its part.
func TestConnectionLimit(t *testing.T) {
	tr, target := start(t)
	target.Always(worker.Answer, 200*time.Millisecond)
	results := make(chan transporter.Result, 3)
	for _, id := range []string{"r1", "r2", "r3"} {
		go func() { results <- tr.Send(t.Context(), target.ID(), target.Address(), 2, request(id), left) }()
	}
	unsent := 0
	for range 3 {
		if r := <-results; r.Outcome == transporter.Unsent {
			var busy *transporter.BusyError
			assert.Assert(t, errors.As(r.Err, &busy))
			unsent++
		}
	}
	assert.Equal(t, unsent, 1)
	assert.Equal(t, target.Connections(), 2)
}

// A request that cannot be repeated must not meet a connection that went dead while idle.
func TestFreshRequestUsesNoOldConnection(t *testing.T) {
	tr, target := start(t)
	assert.Equal(t, send(t, tr, target, request("r1"), 1).Outcome, transporter.Answered)
	time.Sleep(600 * time.Millisecond)
	r := request("r2")
	r.Fresh = true
	assert.Equal(t, send(t, tr, target, r, 1).Outcome, transporter.Answered)
	assert.Equal(t, target.Connections(), 2)
}

// A reply that is read before the writer goes on does not end the connection.
func TestFastRepliesKeepTheConnection(t *testing.T) {
	tr, target := start(t)
	for i := range 1000 {
		assert.Equal(t, send(t, tr, target, request("r"+strconv.Itoa(i)), 4).Outcome, transporter.Answered)
	}
	assert.Equal(t, target.Connections(), 1)
}

// A reply to HEAD tells the length of a body that does not follow.
func TestHead(t *testing.T) {
	tr, target := start(t)
	for _, id := range []string{"r1", "r2"} {
		r := transporter.NewRequest(id, http.MethodHead, "/", "shop.example", http.Header{platform.HeaderRequestID: {id}}, nil)
		result := send(t, tr, target, r, 4)
		assert.Equal(t, result.Outcome, transporter.Answered, "%v", result.Err)
		assert.Equal(t, result.Reply.Header.Get("Content-Length"), "16")
	}
	assert.Equal(t, target.Connections(), 1)
}

// A target that cannot be connected to has not run the request.
func TestRefusedConnectionIsUnsent(t *testing.T) {
	tr, target := start(t)
	target.Close()
	result := send(t, tr, target, request("r1"), 4)
	assert.Equal(t, result.Outcome, transporter.Unsent)
	var dial *transporter.DialError
	assert.Assert(t, errors.As(result.Err, &dial))
	assert.Assert(t, strings.Contains(dial.Error(), "t1"))
}

// Connections to targets that have left are closed, also after a request in flight.
func TestRetainClosesConnections(t *testing.T) {
	tr, target := start(t)
	send(t, tr, target, request("r1"), 4)
	assert.Equal(t, tr.Connections(), 1)
	tr.Retain(func(string) bool { return false })
	assert.Equal(t, tr.Connections(), 0)
}
