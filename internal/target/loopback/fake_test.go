package loopback_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/poll"

	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/wire/encoder"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// events counts the recorded events by kind.
type events struct {
	mu    sync.Mutex
	kinds map[recorder.Kind]int
}

func (e *events) Record(kind recorder.Kind, _, _, _ string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kinds[kind]++
}

func (e *events) count(kind recorder.Kind) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.kinds[kind]
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(5*time.Second))
}

// connectionID identifies a connection to the fake target. Its zero value is the key under which it is stored in the
// context of a request.
type connectionID struct {
	number, restartCount int
}

// fakeTarget is a target on the loopback interface that counts the requests it receives.
type fakeTarget struct {
	*httptest.Server
	stopped chan struct{}

	mu          sync.Mutex
	incarnation string
	state       encoder.LoadState
	outcome     encoder.Outcome
	reason      encoder.Reason
	versions    []encoder.HeldVersion
	// delay is the duration of a sub-query that is not cancelled.
	delay time.Duration
	// changeReply modifies replies; resetReplies cuts them off by resetting the TCP connection.
	changeReply  func(*encoder.SubReply)
	resetReplies bool
	// restartCount is incremented by each restart. Requests on connections from before the latest restart are aborted.
	restartCount int
	// openedConnections is the number of connections so far. Those with a number below silentBelow get no replies.
	openedConnections, silentBelow int
	// warmAfter is the number of sub-queries after which a cold target is warm; 0 means never. started counts the
	// sub-queries since the latest restart.
	warmAfter, started int
	inFlight           int
	// maxInFlight is the maximum number of sub-queries running at the same time since the last call of update, and
	// maxColdInFlight the maximum while the target was cold.
	maxInFlight, maxColdInFlight int
	// reportCounts is the number of reports by connection; usedConnections lists the connections of sub-queries.
	reportCounts    map[int]int
	usedConnections []int
	// executed and deadlinesMs hold the attempts and deadlines of the sub-queries received.
	executed    []string
	deadlinesMs []int
	// attempts holds a channel for each running attempt, which is closed on cancellation.
	attempts map[string]chan struct{}
}

func newFakeTarget(t *testing.T) *fakeTarget {
	f := &fakeTarget{
		stopped: make(chan struct{}), incarnation: "i1", state: encoder.LoadStateWarm,
		outcome: encoder.OutcomeAnswered, reason: encoder.ReasonNone, versions: []encoder.HeldVersion{},
		changeReply: func(*encoder.SubReply) {}, reportCounts: make(map[int]int), attempts: make(map[string]chan struct{}),
	}
	f.Server = httptest.NewUnstartedServer(http.HandlerFunc(f.serve))
	f.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.openedConnections++
		return context.WithValue(ctx, connectionID{}, connectionID{number: f.openedConnections, restartCount: f.restartCount})
	}
	f.Start()
	t.Cleanup(func() {
		close(f.stopped)
		f.CloseClientConnections()
		f.Close()
	})
	return f
}

func (f *fakeTarget) address() string { return f.Listener.Addr().String() }

// update calls change with the mutex held, to change the behaviour or to inspect the target, and restarts the
// measurement of maxInFlight.
func (f *fakeTarget) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maxInFlight = f.inFlight
	change()
}

// restart aborts all connections and makes the target cold, as a new process would.
func (f *fakeTarget) restart(incarnation string) {
	f.update(func() {
		f.incarnation, f.state, f.inFlight, f.maxInFlight, f.started = incarnation, encoder.LoadStateCold, 0, 0, 0
		f.restartCount++
	})
	f.CloseClientConnections()
}

// withLock calls look with the mutex held, and leaves the measurement of maxInFlight alone.
func (f *fakeTarget) withLock(look func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	look()
}

func (f *fakeTarget) executedAttempts() (executed []string) {
	f.withLock(func() { executed = append(executed, f.executed...) })
	return executed
}

func (f *fakeTarget) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Context().Value(connectionID{}).(connectionID)
	f.mu.Lock()
	defer f.mu.Unlock()
	if id.number < f.silentBelow {
		f.unlocked(func() { <-f.stopped })
		return
	}
	f.abortIfRestarted(id)
	switch r.URL.Path {
	case "/v1/report":
		f.reportCounts[id.number]++
		_, _ = w.Write(encoder.Encode(encoder.TargetReport{Target: "t", Incarnation: f.incarnation, State: f.state, Versions: f.versions}))
	case "/v1/cancel":
		var request encoder.CancelRequest
		_ = json.NewDecoder(r.Body).Decode(&request)
		f.cancel(request.Attempts)
		_, _ = w.Write([]byte("{}"))
	case "/v1/execute":
		var q encoder.SubQuery
		_ = json.NewDecoder(r.Body).Decode(&q)
		f.execute(w, q, id)
	}
}

func (f *fakeTarget) unlocked(wait func()) {
	f.mu.Unlock()
	defer f.mu.Lock()
	wait()
}

// abortIfRestarted aborts the request if the target was restarted since its connection was opened.
func (f *fakeTarget) abortIfRestarted(id connectionID) {
	if id.restartCount != f.restartCount {
		panic(http.ErrAbortHandler)
	}
}

func (f *fakeTarget) cancel(attempts []string) {
	for _, attempt := range attempts {
		if c, found := f.attempts[attempt]; found {
			close(c)
			delete(f.attempts, attempt)
		}
	}
}

func (f *fakeTarget) execute(w http.ResponseWriter, q encoder.SubQuery, id connectionID) {
	f.started++
	if f.started == f.warmAfter {
		f.state = encoder.LoadStateWarm
	}
	f.executed = append(f.executed, q.Attempt)
	f.deadlinesMs = append(f.deadlinesMs, q.DeadlineMs)
	f.usedConnections = append(f.usedConnections, id.number)
	f.inFlight++
	f.maxInFlight = max(f.maxInFlight, f.inFlight)
	if f.state == encoder.LoadStateCold {
		f.maxColdInFlight = max(f.maxColdInFlight, f.inFlight)
	}
	cancelled := f.wait(q.Attempt)
	f.abortIfRestarted(id)
	f.inFlight--
	if f.resetReplies {
		resetHalfway(w)
		return
	}
	reply := encoder.SubReply{
		Attempt: q.Attempt, Target: "t", Incarnation: f.incarnation, State: f.state, Index: q.Index, Version: q.Version,
		Shard: q.Shard, Outcome: f.outcome, Reason: f.reason, Hits: []encoder.Hit{},
	}
	if cancelled {
		reply.Outcome, reply.Reason = encoder.OutcomeUnknown, encoder.ReasonCancelled
	}
	f.changeReply(&reply)
	_, _ = w.Write(encoder.Encode(reply))
}

// wait waits for the duration of a sub-query and reports whether it was cancelled.
func (f *fakeTarget) wait(attempt string) (cancelled bool) {
	c := make(chan struct{})
	f.attempts[attempt] = c
	delay := f.delay
	f.unlocked(func() {
		select {
		case <-time.After(delay):
		case <-f.stopped:
		case <-c:
			cancelled = true
		}
	})
	return cancelled
}

// resetHalfway sends the beginning of a reply and resets the TCP connection.
func resetHalfway(w http.ResponseWriter) {
	conn, buffer, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"attempt\":")
	_ = buffer.Flush()
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}
