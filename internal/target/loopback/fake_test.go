// Package loopback_test holds the tests of connector and dispatcher against a target on loopback, which they share.
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

// events counts events by kind.
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

// link identifies a connection to the fake; it is the value of its own type in the context of requests.
type link struct {
	number, generation int
}

// fake is a target on loopback that counts what reaches it.
type fake struct {
	*httptest.Server
	ended chan struct{}

	mu          sync.Mutex
	incarnation string
	state       encoder.LoadState
	outcome     encoder.Outcome
	reason      encoder.Reason
	versions    []encoder.HeldVersion
	// delay is how long a sub-query takes unless it is cancelled.
	delay time.Duration
	// change alters replies; reset cuts them off by a reset of the connection.
	change func(*encoder.SubReply)
	reset  bool
	// generation rises with each restart; connections of an earlier one are dead.
	generation int
	// opened counts connections; those with a number below silent don't respond.
	opened, silent int
	// warmAfter is the number of sub-queries after which a restarted target is warm; 0 is never. started counts them.
	warmAfter, started int
	running            int
	// highest is the most sub-queries that ran at the same time since the last call of set, and coldHighest while
	// the target was cold.
	highest, coldHighest int
	// reports counts reports by connection; used lists the connections of sub-queries.
	reports map[int]int
	used    []int
	// executed and deadlines are those of the sub-queries received.
	executed  []string
	deadlines []int
	// attempts holds the running attempts, closed on cancellation.
	attempts map[string]chan struct{}
}

func newFake(t *testing.T) *fake {
	f := &fake{
		ended: make(chan struct{}), incarnation: "i1", state: encoder.LoadStateWarm,
		outcome: encoder.OutcomeAnswered, reason: encoder.ReasonNone, versions: []encoder.HeldVersion{},
		change: func(*encoder.SubReply) {}, reports: make(map[int]int), attempts: make(map[string]chan struct{}),
	}
	f.Server = httptest.NewUnstartedServer(http.HandlerFunc(f.serve))
	f.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.opened++
		return context.WithValue(ctx, link{}, link{number: f.opened, generation: f.generation})
	}
	f.Start()
	t.Cleanup(func() {
		close(f.ended)
		f.CloseClientConnections()
		f.Close()
	})
	return f
}

func (f *fake) address() string { return f.Listener.Addr().String() }

// set changes the behaviour and starts a new measurement of the highest number in flight.
func (f *fake) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.highest = f.running
	change()
}

// restart ends all connections, as a new process does, and is cold afterwards.
func (f *fake) restart(incarnation string) {
	f.set(func() {
		f.incarnation, f.state, f.running, f.highest, f.started = incarnation, encoder.LoadStateCold, 0, 0, 0
		f.generation++
	})
	f.CloseClientConnections()
}

// read reads the state.
func (f *fake) read(look func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	look()
}

func (f *fake) seen() (executed []string) {
	f.read(func() { executed = append(executed, f.executed...) })
	return executed
}

func (f *fake) serve(w http.ResponseWriter, r *http.Request) {
	l := r.Context().Value(link{}).(link)
	f.mu.Lock()
	defer f.mu.Unlock()
	if l.number < f.silent {
		f.unlocked(func() { <-f.ended })
		return
	}
	f.requireAlive(l)
	switch r.URL.Path {
	case "/v1/report":
		f.reports[l.number]++
		_, _ = w.Write(encoder.Encode(encoder.TargetReport{Target: "t", Incarnation: f.incarnation, State: f.state, Versions: f.versions}))
	case "/v1/cancel":
		var request encoder.CancelRequest
		_ = json.NewDecoder(r.Body).Decode(&request)
		f.cancel(request.Attempts)
		_, _ = w.Write([]byte("{}"))
	case "/v1/execute":
		var q encoder.SubQuery
		_ = json.NewDecoder(r.Body).Decode(&q)
		f.execute(w, q, l)
	}
}

func (f *fake) unlocked(wait func()) {
	f.mu.Unlock()
	defer f.mu.Lock()
	wait()
}

// requireAlive aborts a connection of a process that was restarted.
func (f *fake) requireAlive(l link) {
	if l.generation != f.generation {
		panic(http.ErrAbortHandler)
	}
}

func (f *fake) cancel(attempts []string) {
	for _, attempt := range attempts {
		if c, found := f.attempts[attempt]; found {
			close(c)
			delete(f.attempts, attempt)
		}
	}
}

func (f *fake) execute(w http.ResponseWriter, q encoder.SubQuery, l link) {
	f.started++
	if f.started == f.warmAfter {
		f.state = encoder.LoadStateWarm
	}
	f.executed = append(f.executed, q.Attempt)
	f.deadlines = append(f.deadlines, q.DeadlineMs)
	f.used = append(f.used, l.number)
	f.running++
	f.highest = max(f.highest, f.running)
	if f.state == encoder.LoadStateCold {
		f.coldHighest = max(f.coldHighest, f.running)
	}
	cancelled := f.wait(q.Attempt)
	f.requireAlive(l)
	f.running--
	if f.reset {
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
	f.change(&reply)
	_, _ = w.Write(encoder.Encode(reply))
}

// wait takes the time of a sub-query and reports whether it was cancelled.
func (f *fake) wait(attempt string) (cancelled bool) {
	c := make(chan struct{})
	f.attempts[attempt] = c
	delay := f.delay
	f.unlocked(func() {
		select {
		case <-time.After(delay):
		case <-f.ended:
		case <-c:
			cancelled = true
		}
	})
	return cancelled
}

// resetHalfway sends half of a reply and resets the connection.
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
