package collector_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"apricotflow/internal/operator/collector"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/operator/server"
	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/wire/encoder"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

type noTotals struct{}

func (noTotals) Counters() map[string]int   { return nil }
func (noTotals) Gauges() map[string]float64 { return nil }

// testInstance is the admin API of an instance with its clock and its recorder.
type testInstance struct {
	clock    *timekeeper.HybridClock
	recorder *recorder.Recorder
	address  string
}

// startInstance serves the admin API of an instance whose wall clock differs from the real time by skew.
func startInstance(t *testing.T, name string, skew time.Duration) *testInstance {
	t.Helper()
	clock := timekeeper.NewHybridClock(func() time.Time { return time.Now().Add(skew) })
	r := recorder.New(name, clock, 100)
	api := httptest.NewServer(server.New(server.Identity{Instance: name}, r, noTotals{}, clock).Handler())
	t.Cleanup(api.Close)
	return &testInstance{clock: clock, recorder: r, address: api.Listener.Addr().String()}
}

func (n *testInstance) asInstance() collector.Instance {
	return collector.Instance{AdminAddress: n.address}
}

// Guards against an event listed before its cause when the wall clocks of the machines differ, and against duplicate
// events of an instance that is listed twice.
func TestEventsAreMergedInCausalOrder(t *testing.T) {
	a, b := startInstance(t, "a", 0), startInstance(t, "b", -time.Hour)
	a.recorder.Record(recorder.KindManifestApplied, "first", "", "")
	b.clock.Observe(a.clock.Now())
	b.recorder.Record(recorder.KindManifestApplied, "second", "", "")
	a.clock.Observe(b.clock.Now())
	a.recorder.Record(recorder.KindManifestApplied, "third", "", "")
	timeline := collector.New().FetchEvents(context.Background(), []collector.Instance{b.asInstance(), a.asInstance(), b.asInstance()}, collector.Filter{})
	assert.Equal(t, len(timeline.Failures), 0)
	subjects := make([]string, 0, len(timeline.Events))
	for _, e := range timeline.Events {
		subjects = append(subjects, e.Subject)
	}
	assert.DeepEqual(t, subjects, []string{"first", "second", "third"})
}

// Guards against a part of the filter that is not sent to the instances, or sent without escaping.
func TestFetchEventsSendsFilterToInstances(t *testing.T) {
	a := startInstance(t, "a", 0)
	a.recorder.Record(recorder.KindTargetCold, "t 1&", "", "")
	after := a.clock.Now()
	a.recorder.Record(recorder.KindTargetCold, "t 1&", "q", "")
	a.recorder.Record(recorder.KindTargetWarm, "t 1&", "q", "")
	filter := collector.Filter{After: after, Kinds: []string{"target-cold"}, Subjects: []string{"t 1&"}, Query: "q"}
	timeline := collector.New().FetchEvents(context.Background(), []collector.Instance{a.asInstance()}, filter)
	assert.Equal(t, len(timeline.Events), 1)
	assert.Equal(t, timeline.Events[0].Kind, "target-cold")
}

// Guards against instances that hang, are gone or send invalid replies and are not reported as failures, or that delay
// or hide the answers of the others.
func TestFetchStatusesReportsInstancesWithoutReply(t *testing.T) {
	a := startInstance(t, "a", 0)
	hanging, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = hanging.Close() }()
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, gone.Close())
	wrong := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}x")) }))
	defer wrong.Close()
	instances := []collector.Instance{
		{Name: "hanging", AdminAddress: hanging.Addr().String()},
		{Name: "gone", AdminAddress: gone.Addr().String()},
		{Name: "wrong", AdminAddress: wrong.Listener.Addr().String()},
		a.asInstance(),
	}
	statuses := collector.New(collector.WithTimeout(300*time.Millisecond)).FetchStatuses(context.Background(), instances)
	assert.Equal(t, len(statuses.Replies), 1)
	assert.Equal(t, statuses.Replies[0].Instance, "a")
	names := make([]string, 0, len(statuses.Failures))
	for _, f := range statuses.Failures {
		names = append(names, f.Instance.Name)
		var unavailable *collector.UnavailableError
		assert.Assert(t, errors.As(f.Cause, &unavailable))
	}
	assert.DeepEqual(t, names, []string{"hanging", "gone", "wrong"})
}

// Guards against leaving instances that are not asked: they still have the events of their shutdown. Also guards
// against an invalid member list that is accepted.
func TestListInstancesIncludesLeavingInstances(t *testing.T) {
	list := encoder.MemberList{Revision: 1, Targets: []encoder.MemberTarget{}, Instances: []encoder.MemberInstance{
		{Name: "b", FailureDomain: "d", PeerAddress: "127.0.0.1:1", AdminAddress: "127.0.0.1:2", State: "leaving"},
		{Name: "a", FailureDomain: "d", PeerAddress: "127.0.0.1:3", AdminAddress: "127.0.0.1:4", State: "live"},
	}}
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/values/members" {
			http.NotFound(w, r)
			return
		}
		_, _ = w.Write(encoder.Encode(list))
	}))
	defer platform.Close()
	instances, err := collector.New().ListInstances(context.Background(), platform.Listener.Addr().String())
	assert.NilError(t, err)
	assert.DeepEqual(t, instances, []collector.Instance{{Name: "a", AdminAddress: "127.0.0.1:4"}, {Name: "b", AdminAddress: "127.0.0.1:2", Leaving: true}})
	list.Instances = slices.Repeat(list.Instances[:1], 2)
	_, err = collector.New().ListInstances(context.Background(), platform.Listener.Addr().String())
	assert.Assert(t, err != nil && strings.Contains(err.Error(), "$.instances[1].name"), "%v", err)
}
