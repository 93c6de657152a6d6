package dispatcher_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"apricotflow/internal/wire/encoder"
)

// generationKey is the key of the generation in the context of requests.
type generationKey struct{}

// fake is a target on loopback that counts what reaches it.
type fake struct {
	*httptest.Server

	mu          sync.Mutex
	incarnation string
	// generation rises with each restart; connections of an earlier one are dead.
	generation int
	// warmAfter is the number of sub-queries after which a restarted target is warm; 0 is never. started counts them.
	warmAfter, started int
	// coldHighest is the most sub-queries that ran at the same time while the target was cold.
	coldHighest int
	state       encoder.LoadState
	outcome     encoder.Outcome
	reason      encoder.Reason
	versions    []encoder.HeldVersion
	delay       time.Duration
	running     int
	// highest is the most sub-queries that ran at the same time since mark was called.
	highest  int
	executed []string
	// deadlines holds the deadlines received.
	deadlines []int
	cancelled map[string]chan struct{}
}

func newFake(t *testing.T) *fake {
	f := &fake{
		incarnation: "i1", state: encoder.LoadStateWarm, outcome: encoder.OutcomeAnswered, reason: encoder.ReasonNone,
		versions: []encoder.HeldVersion{}, cancelled: make(map[string]chan struct{}),
	}
	f.Server = httptest.NewUnstartedServer(http.HandlerFunc(f.serve))
	f.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		f.mu.Lock()
		defer f.mu.Unlock()
		return context.WithValue(ctx, generationKey{}, f.generation)
	}
	f.Start()
	t.Cleanup(func() {
		f.CloseClientConnections()
		f.Close()
	})
	return f
}

func (f *fake) address() string {
	return f.Listener.Addr().String()
}

func (f *fake) serve(w http.ResponseWriter, r *http.Request) {
	f.requireAlive(r)
	switch r.URL.Path {
	case "/v1/report":
		f.mu.Lock()
		report := encoder.TargetReport{Target: "t", Incarnation: f.incarnation, State: f.state, Versions: f.versions}
		f.mu.Unlock()
		_, _ = w.Write(encoder.Encode(report))
	case "/v1/cancel":
		var request encoder.CancelRequest
		_ = json.NewDecoder(r.Body).Decode(&request)
		f.cancel(request.Attempts)
		_, _ = w.Write([]byte("{}"))
	case "/v1/execute":
		f.execute(w, r)
	}
}

// requireAlive aborts the connection of a process that was restarted.
func (f *fake) requireAlive(r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.Context().Value(generationKey{}) != f.generation {
		panic(http.ErrAbortHandler)
	}
}

func (f *fake) cancel(attempts []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, attempt := range attempts {
		if c, found := f.cancelled[attempt]; found {
			close(c)
			delete(f.cancelled, attempt)
		}
	}
}

func (f *fake) execute(w http.ResponseWriter, r *http.Request) {
	var q encoder.SubQuery
	_ = json.NewDecoder(r.Body).Decode(&q)
	c := make(chan struct{})
	f.mu.Lock()
	generation := f.generation
	if r.Context().Value(generationKey{}) != generation {
		f.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	f.started++
	if f.started == f.warmAfter {
		f.state = encoder.LoadStateWarm
	}
	f.executed = append(f.executed, q.Attempt)
	f.deadlines = append(f.deadlines, q.DeadlineMs)
	f.cancelled[q.Attempt] = c
	f.running++
	f.highest = max(f.highest, f.running)
	if f.state == encoder.LoadStateCold {
		f.coldHighest = max(f.coldHighest, f.running)
	}
	delay := f.delay
	f.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-c:
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.generation != generation {
		panic(http.ErrAbortHandler)
	}
	f.running--
	_, _ = w.Write(encoder.Encode(encoder.SubReply{
		Attempt: q.Attempt, Target: "t", Incarnation: f.incarnation, State: f.state, Index: q.Index, Version: q.Version,
		Shard: q.Shard, Outcome: f.outcome, Reason: f.reason, Hits: []encoder.Hit{},
	}))
}

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

func (f *fake) seen() (executed []string, highest int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.executed...), f.highest
}
