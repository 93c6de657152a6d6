package dispatcher_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"apricotflow/internal/wire/encoder"
)

// fake is a target on loopback that counts what reaches it.
type fake struct {
	*httptest.Server

	mu          sync.Mutex
	incarnation string
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
	f.Server = httptest.NewServer(http.HandlerFunc(f.serve))
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
	f.executed = append(f.executed, q.Attempt)
	f.deadlines = append(f.deadlines, q.DeadlineMs)
	f.cancelled[q.Attempt] = c
	f.running++
	f.highest = max(f.highest, f.running)
	delay := f.delay
	f.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-c:
	}
	f.mu.Lock()
	defer f.mu.Unlock()
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
	f.set(func() { f.incarnation, f.state, f.running, f.highest = incarnation, encoder.LoadStateCold, 0, 0 })
	f.CloseClientConnections()
}

func (f *fake) seen() (executed []string, highest int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.executed...), f.highest
}
