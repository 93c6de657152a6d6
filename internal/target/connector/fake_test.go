package connector_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"apricotflow/internal/wire/encoder"
)

// connectionKey is the key of the number of a connection in the context of its requests.
type connectionKey struct{}

// fake is a target on loopback.
type fake struct {
	*httptest.Server
	ended chan struct{}

	mu          sync.Mutex
	incarnation string
	state       encoder.LoadState
	opened      int
	// silent is the number of the first connection that responds; earlier ones are silent.
	silent int
	// reports counts reports by connection, and executes lists the connections of sub-queries.
	reports  map[int]int
	executes []int
	// running holds the attempts that run, closed on cancellation.
	running map[string]chan struct{}
	// behave answers a sub-query; cancelled is closed on cancellation.
	behave func(w http.ResponseWriter, q encoder.SubQuery, cancelled <-chan struct{})
}

func newFake(t *testing.T) *fake {
	f := &fake{
		ended: make(chan struct{}), incarnation: "i1", state: encoder.LoadStateWarm,
		reports: make(map[int]int), running: make(map[string]chan struct{}),
	}
	f.behave = func(w http.ResponseWriter, q encoder.SubQuery, _ <-chan struct{}) { f.reply(w, f.answer(q)) }
	f.Server = httptest.NewUnstartedServer(http.HandlerFunc(f.serve))
	f.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.opened++
		return context.WithValue(ctx, connectionKey{}, f.opened)
	}
	f.Start()
	t.Cleanup(func() {
		close(f.ended)
		f.CloseClientConnections()
		f.Close()
	})
	return f
}

func (f *fake) address() string {
	return f.Listener.Addr().String()
}

func (f *fake) serve(w http.ResponseWriter, r *http.Request) {
	number := r.Context().Value(connectionKey{}).(int)
	f.mu.Lock()
	silent := number < f.silent
	f.mu.Unlock()
	if silent {
		<-f.ended
		return
	}
	switch r.URL.Path {
	case "/v1/report":
		f.mu.Lock()
		f.reports[number]++
		report := encoder.TargetReport{Target: "t", Incarnation: f.incarnation, State: f.state, Versions: []encoder.HeldVersion{}}
		f.mu.Unlock()
		_, _ = w.Write(encoder.Encode(report))
	case "/v1/cancel":
		f.cancel(r)
		_, _ = w.Write([]byte("{}"))
	case "/v1/execute":
		f.execute(w, r, number)
	}
}

func (f *fake) cancel(r *http.Request) {
	var request encoder.CancelRequest
	_ = json.NewDecoder(r.Body).Decode(&request)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, attempt := range request.Attempts {
		if c, found := f.running[attempt]; found {
			close(c)
			delete(f.running, attempt)
		}
	}
}

func (f *fake) execute(w http.ResponseWriter, r *http.Request, number int) {
	var q encoder.SubQuery
	_ = json.NewDecoder(r.Body).Decode(&q)
	cancelled := make(chan struct{})
	f.mu.Lock()
	f.executes = append(f.executes, number)
	f.running[q.Attempt] = cancelled
	behave := f.behave
	f.mu.Unlock()
	behave(w, q, cancelled)
}

// locked changes or reads the state of the fake.
func (f *fake) locked(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fake) reply(w http.ResponseWriter, r encoder.SubReply) {
	_, _ = w.Write(encoder.Encode(r))
}

func (f *fake) answer(q encoder.SubQuery) encoder.SubReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	return encoder.SubReply{
		Attempt: q.Attempt, Target: "t", Incarnation: f.incarnation, State: f.state, Index: q.Index, Version: q.Version,
		Shard: q.Shard, Outcome: encoder.OutcomeAnswered, Reason: encoder.ReasonNone, Hits: []encoder.Hit{},
	}
}

// until answers after done is closed, or with reason cancelled.
func (f *fake) until(done <-chan struct{}) func(http.ResponseWriter, encoder.SubQuery, <-chan struct{}) {
	return func(w http.ResponseWriter, q encoder.SubQuery, cancelled <-chan struct{}) {
		r := f.answer(q)
		select {
		case <-done:
		case <-f.ended:
		case <-cancelled:
			r.Outcome, r.Reason = encoder.OutcomeUnknown, encoder.ReasonCancelled
		}
		f.reply(w, r)
	}
}

// resetHalfway sends half of a reply and resets the connection.
func resetHalfway(w http.ResponseWriter, _ encoder.SubQuery, _ <-chan struct{}) {
	conn, buffer, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"attempt\":")
	_ = buffer.Flush()
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}
