package server_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
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

type fakeTotals struct{}

func (fakeTotals) Counters() map[string]int {
	return map[string]int{"queries-partial": 2, "hedges-sent": 5}
}

func (fakeTotals) Gauges() map[string]float64 {
	return map[string]float64{"queries-running": 1.5}
}

func newServer(t *testing.T, opts ...server.Option) (*server.Server, *recorder.Recorder) {
	t.Helper()
	clock := timekeeper.NewHybridClock(time.Now)
	r := recorder.New("a", clock, 10)
	identity := server.Identity{Instance: "a", Incarnation: "i1", FailureDomain: "d", Version: "v1"}
	return server.New(identity, r, fakeTotals{}, clock, opts...), r
}

func getPath(s *server.Server, target string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, target, http.NoBody))
	return w
}

// Guards against fields missing from the status, and against null instead of an empty list.
func TestStatusContainsEveryField(t *testing.T) {
	s, _ := newServer(t, server.WithReady(func() bool { return true }),
		server.WithConfiguration(func() server.Configuration {
			return server.Configuration{Generation: 3, Digest: "d3", Age: 2 * time.Second, PlatformAge: time.Millisecond}
		}),
		server.WithTargets(func() []encoder.TargetStatus { return []encoder.TargetStatus{{Target: "t1", State: "cold"}} }))
	status, err := encoder.Decode[encoder.StatusReply](getPath(s, "/v1/status").Body.Bytes())
	assert.NilError(t, err)
	assert.DeepEqual(t, status, encoder.StatusReply{
		Instance: "a", Incarnation: "i1", FailureDomain: "d", Version: "v1", Ready: true,
		Generation: 3, Digest: "d3", ConfigurationAgeMs: 2000, PlatformAgeMs: 1,
		Members: []encoder.MemberStatus{}, Targets: []encoder.TargetStatus{{Target: "t1", State: "cold"}},
		Counters: encoder.StatusReplyCounters{"queries-partial": 2, "hedges-sent": 5},
	})
}

// Guards against a filter that omits matching events or returns others.
func TestEventsAreFiltered(t *testing.T) {
	s, r := newServer(t)
	r.Record(recorder.KindTargetCold, "t1", "", "")
	r.Record(recorder.KindTargetWarm, "t1", "", "")
	r.Record(recorder.KindQueryPartial, "t2", "q1", "")
	all := getEvents(t, s, "/v1/events")
	assert.Equal(t, len(all.Events), 3)
	assert.Assert(t, all.Clock > all.Events[2].Clock)
	assert.Equal(t, len(getEvents(t, s, "/v1/events?kind=target-cold&kind=target-warm").Events), 2)
	assert.Equal(t, len(getEvents(t, s, "/v1/events?subject=t2").Events), 1)
	assert.Equal(t, len(getEvents(t, s, "/v1/events?query=q1&subject=t1").Events), 0)
	r.Record(recorder.KindTargetUp, "t3", "", "")
	later := getEvents(t, s, "/v1/events?after="+strconv.Itoa(all.Clock))
	assert.Equal(t, len(later.Events), 1)
	assert.Equal(t, later.Events[0].Subject, "t3")
}

// Guards against a misspelt filter that is ignored, so that the reply has all events, and against an API that accepts
// writes.
func TestInvalidFiltersPathsAndMethodsAreRefused(t *testing.T) {
	s, _ := newServer(t)
	for _, target := range []string{"/v1/events?kinds=x", "/v1/events?after=x", "/v1/events?after=-1", "/v1/events?after=1&after=2"} {
		w := getPath(s, target)
		assert.Equal(t, w.Code, http.StatusBadRequest, target)
		refusal, err := encoder.Decode[encoder.ErrorReply](w.Body.Bytes())
		assert.NilError(t, err)
		assert.Equal(t, refusal.Code, "invalid-filter")
	}
	assert.Equal(t, getPath(s, "/v1/other").Code, http.StatusNotFound)
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/status", http.NoBody))
	assert.Equal(t, w.Code, http.StatusMethodNotAllowed)
}

// Guards against a change of the metrics format: scrapers need one name and value per line in a stable order.
func TestMetricsHaveOneValuePerLineSortedByName(t *testing.T) {
	s, _ := newServer(t)
	assert.Equal(t, getPath(s, "/metrics").Body.String(), "hedges-sent 5\nqueries-partial 2\nqueries-running 1.5\n")
}

// Guards against a Serve that returns an error after Stop or leaks goroutines.
func TestServeReturnsNilAfterStop(t *testing.T) {
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

func getEvents(t *testing.T, s *server.Server, target string) encoder.EventsReply {
	t.Helper()
	reply, err := encoder.Decode[encoder.EventsReply](getPath(s, target).Body.Bytes())
	assert.NilError(t, err)
	return reply
}

// Guards against a misspelt or missing parameter that is ignored, against a value, which may be a key, that is repeated in
// an error, and against explanations in native mode.
func TestExplanationIsServedForValidParametersOnly(t *testing.T) {
	explain := server.WithExplain(func(host, path, tenant, id string) encoder.ExplainReply {
		return encoder.ExplainReply{Host: host, Path: path, Tenant: tenant, RequestId: id}
	})
	s, _ := newServer(t, explain)
	reply, err := encoder.Decode[encoder.ExplainReply](getPath(s, "/v1/explain?host=h&path=%2Fp&tenant=x&id=r").Body.Bytes())
	assert.NilError(t, err)
	assert.Equal(t, reply.Instance+reply.Host+reply.Path+reply.Tenant+reply.RequestId, "ah/pxr")
	for _, query := range []string{"host=h", "path=%2Fp", "host=h&path=p", "host=h&path=%2Fp&key=secret", "host=h&path=%2Fp&tenant=secret&tenant=x"} {
		w := getPath(s, "/v1/explain?"+query)
		assert.Equal(t, w.Code, http.StatusBadRequest, query)
		assert.Assert(t, !strings.Contains(w.Body.String(), "secret"), query)
	}
	native, _ := newServer(t)
	assert.Equal(t, getPath(native, "/v1/explain?host=h&path=%2Fp").Code, http.StatusNotFound)
}
