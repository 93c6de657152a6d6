package observer_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/operator/observer"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/target/picker"
	"apricotflow/internal/wire/encoder"
)

// fakeTargets holds the report of each target by its ID.
type fakeTargets map[string]picker.TargetUsage

func (r fakeTargets) TargetUsage(t registrar.Target, _ mapper.Service) picker.TargetUsage {
	return r[t.ID]
}

type fakeMembers struct{}

func (fakeMembers) Statuses() []encoder.MemberStatus {
	return []encoder.MemberStatus{{Instance: "b", Reachable: true}}
}

type fakePlatformState struct{}

func (fakePlatformState) Age() time.Duration { return 2 * time.Second }

func newTarget(id, domain string) registrar.Target {
	return registrar.Target{ID: id, Service: "s", Address: "127.0.0.1:1", FailureDomain: domain}
}

// Guards against a target whose status does not show the state that keeps requests away for the longest time.
func TestTargetsReportsStateThatExcludesWorkLongest(t *testing.T) {
	r := registrar.New()
	draining, withdrawn := newTarget("b", "east"), newTarget("c", "east")
	draining.Draining, withdrawn.Withdrawn = true, true
	r.Apply(registrar.Change{Position: registrar.Position{Revision: 1}, Closed: []string{"west"}, Put: []registrar.Target{
		newTarget("a", "west"), draining, withdrawn, newTarget("d", "east"), newTarget("e", "east"), newTarget("f", "east"),
	}}, true)
	reports := fakeTargets{"d": {Limit: 2, InFlight: 1, IsDown: true}, "e": {IsCold: true}}
	o := observer.New(r, reports, fakeMembers{}, fakePlatformState{}, recorder.New("a", timekeeper.NewHybridClock(time.Now), 10))
	var states []string
	for _, s := range o.Targets() {
		states = append(states, s.Target+" "+s.State)
	}
	assert.DeepEqual(t, states, []string{"a closed", "b draining", "c leaving", "d down", "e cold", "f serving"})
	assert.Equal(t, o.Targets()[3].InFlight, 1)
	assert.Equal(t, o.Configuration().PlatformAge, 2*time.Second)
	assert.Equal(t, len(o.Members()), 1)
}

// Guards against changes of routing table, failure domains and targets that are missing from the timeline or recorded
// twice.
func TestRunRecordsEachChangeOnce(t *testing.T) {
	r := registrar.New()
	events := recorder.New("a", timekeeper.NewHybridClock(time.Now), 100)
	o := observer.New(r, fakeTargets{}, fakeMembers{}, fakePlatformState{}, events)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); o.Run(ctx) }()
	table, problems := mapper.New(encoder.RoutingTable{Version: 4})
	assert.Equal(t, len(problems), 0)
	waitForEvents := func(n int) []string {
		var kinds []string
		for start := time.Now(); len(kinds) < n; time.Sleep(time.Millisecond) {
			assert.Assert(t, time.Since(start) < 5*time.Second, "only %v", kinds)
			kinds = nil
			all, _ := events.Events(0)
			for _, e := range all {
				kinds = append(kinds, e.Kind+" "+e.Subject)
			}
		}
		return kinds
	}
	r.Apply(registrar.Change{Position: registrar.Position{Revision: 1}, Table: table, Put: []registrar.Target{newTarget("a", "east")}}, true)
	waitForEvents(1)
	leaving := newTarget("a", "east")
	leaving.Draining = true
	r.Apply(registrar.Change{Position: registrar.Position{Revision: 2}, Put: []registrar.Target{leaving, newTarget("b", "east")}, Closed: []string{"west"}}, true)
	waitForEvents(4)
	r.Apply(registrar.Change{Position: registrar.Position{Revision: 3}, Removed: []string{"a"}, Opened: []string{"west"}}, true)
	assert.DeepEqual(t, waitForEvents(6), []string{
		"manifest-applied platform", "failure-domain-closed west", "target-draining a", "target-up b", "failure-domain-open west", "target-down a",
	})
	assert.Equal(t, o.Configuration().Generation, 4)
	cancel()
	<-done
}
