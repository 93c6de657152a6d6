package server_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/operator/server"
	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/wire/encoder"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

type totals struct{}

func (totals) Counters() map[string]int {
	return map[string]int{"queries-partial": 2, "hedges-sent": 5}
}

func (totals) Gauges() map[string]float64 {
	return map[string]float64{"queries-running": 1.5}
}

func newServer(t *testing.T, opts ...server.Option) (*server.Server, *recorder.Recorder) {
	t.Helper()
	clock := timekeeper.NewHybridClock(time.Now)
	r := recorder.New("a", clock, 10)
	identity := server.Identity{Instance: "a", Incarnation: "i1", FailureDomain: "d", Version: "v1"}
	return server.New(identity, r, totals{}, clock, opts...), r
}

func get(s *server.Server, target string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, target, http.NoBody))
	return w
}

// Readers decode the status strictly, so that every part must be there, with lists where nothing is known.
func TestStatusHoldsEveryPart(t *testing.T) {
	s, _ := newServer(t, server.WithReady(func() bool { return true }),
		server.WithConfiguration(func() server.Configuration {
			return server.Configuration{Generation: 3, Digest: "d3", Age: 2 * time.Second, PlatformAge: time.Millisecond}
		}),
		server.WithTargets(func() []encoder.TargetStatus { return []encoder.TargetStatus{{Target: "t1", State: "cold"}} }))
	status, err := encoder.Decode[encoder.StatusReply](get(s, "/v1/status").Body.Bytes())
	assert.NilError(t, err)
	assert.DeepEqual(t, status, encoder.StatusReply{
		Instance: "a", Incarnation: "i1", FailureDomain: "d", Version: "v1", Ready: true,
		Generation: 3, Digest: "d3", ConfigurationAgeMs: 2000, PlatformAgeMs: 1,
		Members: []encoder.MemberStatus{}, Targets: []encoder.TargetStatus{{Target: "t1", State: "cold"}},
		Counters: encoder.StatusReplyCounters{"queries-partial": 2, "hedges-sent": 5},
	})
}

// A filter that does not work would hide the events an operator looks for, or bury them.
func TestEventsAreFiltered(t *testing.T) {
	s, r := newServer(t)
	r.Record(recorder.KindTargetCold, "t1", "", "")
	r.Record(recorder.KindTargetWarm, "t1", "", "")
	r.Record(recorder.KindQueryPartial, "t2", "q1", "")
	all := events(t, s, "/v1/events")
	assert.Equal(t, len(all.Events), 3)
	assert.Assert(t, all.Clock > all.Events[2].Clock)
	assert.Equal(t, len(events(t, s, "/v1/events?kind=target-cold&kind=target-warm").Events), 2)
	assert.Equal(t, len(events(t, s, "/v1/events?subject=t2").Events), 1)
	assert.Equal(t, len(events(t, s, "/v1/events?query=q1&subject=t1").Events), 0)
	r.Record(recorder.KindTargetUp, "t3", "", "")
	later := events(t, s, "/v1/events?after="+strconv.Itoa(all.Clock))
	assert.Equal(t, len(later.Events), 1)
	assert.Equal(t, later.Events[0].Subject, "t3")
}

// A misspelt filter must not be taken for no filter, and nothing may be written through this API.
func TestWrongRequestsAreRefused(t *testing.T) {
	s, _ := newServer(t)
	for _, target := range []string{"/v1/events?kinds=x", "/v1/events?after=x", "/v1/events?after=-1", "/v1/events?after=1&after=2"} {
		w := get(s, target)
		assert.Equal(t, w.Code, http.StatusBadRequest, target)
		refusal, err := encoder.Decode[encoder.ErrorReply](w.Body.Bytes())
		assert.NilError(t, err)
		assert.Equal(t, refusal.Code, "invalid-filter")
	}
	assert.Equal(t, get(s, "/v1/other").Code, http.StatusNotFound)
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/status", http.NoBody))
	assert.Equal(t, w.Code, http.StatusMethodNotAllowed)
}

// Scrapers depend on one name and value a line in a stable order.
func TestMetricsHaveOneValueALine(t *testing.T) {
	s, _ := newServer(t)
	assert.Equal(t, get(s, "/metrics").Body.String(), "hedges-sent 5\nqueries-partial 2\nqueries-running 1.5\n")
}

// A stop must end Serve without an error and without goroutines left behind.
func TestServeUntilStop(t *testing.T) {
	s, _ := newServer(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- s.Serve(listener) }()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + listener.Addr().String() + "/metrics")
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.NilError(t, s.Stop(context.Background()))
	assert.NilError(t, <-served)
}

func events(t *testing.T, s *server.Server, target string) encoder.EventsReply {
	t.Helper()
	reply, err := encoder.Decode[encoder.EventsReply](get(s, target).Body.Bytes())
	assert.NilError(t, err)
	return reply
}
