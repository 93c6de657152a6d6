package picker_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/target/picker"
	"apricotflow/internal/target/transporter"
)

var medianLatency = picker.RequestKind{Route: "search", Median: 10 * time.Millisecond}

// fleet is a fake fleet of total instances, inEast of them in the failure domain east. In every rendezvous order,
// preceding of them rank before this instance.
type fleet struct{ total, inEast, preceding int }

func (f fleet) InstanceEstimate() int { return f.total }

func (f fleet) CountInstancesIn(domain string) int {
	if domain == "east" {
		return f.inEast
	}
	return f.total - f.inEast
}

func (f fleet) CountPreceding(string) int { return f.preceding }

func newPicker(cold picker.ColdLimits, f fleet) *picker.Picker { return picker.New(cold, f, "east") }

func instances(n int) fleet { return fleet{total: n, inEast: n} }

func targets(domains ...string) []registrar.Target {
	var all []registrar.Target
	for i, d := range domains {
		all = append(all, registrar.Target{ID: string(rune('a' + i)), FailureDomain: d, Slots: 2})
	}
	return all
}

func excludeNone(string) bool { return false }

// pickCounts returns how often each target is picked.
func pickCounts(p *picker.Picker, all []registrar.Target, service mapper.Service) map[string]int {
	counts := make(map[string]int)
	for range 200 {
		if t, found := p.Pick(all, service, medianLatency, "east", excludeNone); found {
			counts[t.ID]++
		}
	}
	return counts
}

// Guards against needless traffic between failure domains, which is expensive: without faults, only targets in the
// own domain are picked.
func TestPickPrefersOwnFailureDomain(t *testing.T) {
	p := newPicker(picker.ColdLimits{}, instances(1))
	all := targets("west", "east", "east")
	picked := pickCounts(p, all, mapper.Service{})
	assert.Equal(t, picked["a"], 0)
	assert.Assert(t, picked["b"] > 50 && picked["c"] > 50, picked)
}

// Guards against sending requests to a faulty target: failures, refusals, failed connections and overdue replies must
// each steer requests away from it.
func TestPickAvoidsTargetAfterFailures(t *testing.T) {
	all := targets("east", "east")
	faulty := all[0]
	cases := map[string]func(p *picker.Picker){
		"failures": func(p *picker.Picker) {
			for range 3 {
				p.Begin(faulty, medianLatency).End(transporter.Result{Outcome: transporter.Answered, Reply: &transporter.Reply{Status: 500}})
			}
		},
		"refusals": func(p *picker.Picker) {
			p.Begin(faulty, medianLatency).End(transporter.Result{Outcome: transporter.Refused})
		},
		"no connection": func(p *picker.Picker) {
			p.Begin(faulty, medianLatency).End(transporter.Result{Outcome: transporter.Unsent, Err: &transporter.DialError{Cause: errors.New("refused")}})
		},
		"overdue": func(p *picker.Picker) {
			p.Begin(faulty, picker.RequestKind{Median: time.Microsecond})
			time.Sleep(10 * time.Millisecond)
		},
	}
	for name, degrade := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPicker(picker.ColdLimits{}, instances(1))
			degrade(p)
			assert.Equal(t, pickCounts(p, all, mapper.Service{})[faulty.ID], 0)
		})
	}
}

// Guards against blaming a target for a lack of connections of this instance.
func TestPickKeepsTargetWhenOwnConnectionsAreInUse(t *testing.T) {
	p := newPicker(picker.ColdLimits{}, instances(1))
	all := targets("east", "east")
	p.Begin(all[0], medianLatency).End(transporter.Result{Outcome: transporter.Unsent, Err: &transporter.BusyError{}})
	assert.Assert(t, pickCounts(p, all, mapper.Service{})["a"] > 50)
}

// Guards against overloading a cold target: each instance may use only its share of the rate that ColdLimits allows.
func TestColdTargetIsLimitedToWarmupRate(t *testing.T) {
	p := newPicker(picker.ColdLimits{Factor: 1.5, Slack: 5}, instances(4))
	cold := targets("east")
	cold[0].ColdUntil = time.Now().Add(time.Minute)
	service := mapper.Service{WarmupRate: 10}
	sent := 0
	for range 50 {
		if target, found := p.Pick(cold, service, medianLatency, "east", excludeNone); found {
			p.Begin(target, medianLatency).End(transporter.Result{Outcome: transporter.Answered, Reply: &transporter.Reply{Status: 200}})
			sent++
		}
	}
	assert.Equal(t, sent, 5)
}

// Guards against queues at a target: the requests in flight must stay within its slots and connections, shared among
// all instances.
func TestLimitIsBoundedBySlotsAndConnections(t *testing.T) {
	// Each target has 2 slots, so all instances together may have 5 requests in flight, but each at least 2. Of 54
	// connections, 45 are usable, so 26 instances get one each; 300 instances also do, because no limit is lower.
	for _, c := range []struct{ instances, connections, limit int }{{1, 26, 5}, {5, 26, 2}, {26, 54, 1}, {300, 54, 1}, {1, 0, 5}} {
		p := newPicker(picker.ColdLimits{}, instances(c.instances))
		assert.Equal(t, p.RequestLimit(targets("east")[0], mapper.Service{MaxConnections: c.connections}), c.limit, c)
	}
	p := newPicker(picker.ColdLimits{}, instances(5))
	all := targets("east")
	p.Begin(all[0], medianLatency)
	p.Begin(all[0], medianLatency)
	_, found := p.Pick(all, mapper.Service{MaxConnections: 26}, medianLatency, "east", excludeNone)
	assert.Assert(t, !found)
}

// Guards against exceeding the connections of a target. If they are not enough for all instances, those in the domain
// of the target must get more, since they also send for the others.
func TestConnectionLimitFavorsInstancesInTheTargetsDomain(t *testing.T) {
	service := mapper.Service{MaxConnections: 54}
	all := targets("east", "west")
	// Of the 54 connections, 45 are usable: 9 for each of 5 instances. With more instances, those in west get one each,
	// and those in east divide the rest.
	for _, c := range []struct {
		fleet     fleet
		near, far int
	}{{fleet{total: 5, inEast: 2}, 9, 9}, {fleet{total: 26, inEast: 8}, 3, 1}, {fleet{total: 26, inEast: 6}, 4, 1}, {fleet{total: 29, inEast: 1}, 17, 1}} {
		p := newPicker(picker.ColdLimits{}, c.fleet)
		assert.Equal(t, p.ConnectionLimit(all[0], service), c.near, c.fleet)
		assert.Equal(t, p.ConnectionLimit(all[1], service), c.far, c.fleet)
		assert.Assert(t, c.near*c.fleet.inEast+c.far*(c.fleet.total-c.fleet.inEast) <= 54)
	}
}

// Guards against overloading a cold target that allows less than one request per second from each instance: only the
// first instances in the rendezvous order may send to it.
func TestColdTargetIsPickedByFewInstancesWhenRateIsLow(t *testing.T) {
	cold := targets("east")
	cold[0].ColdUntil = time.Now().Add(time.Minute)
	service := mapper.Service{WarmupRate: 10}
	sent := 0
	for i := range 40 {
		p := newPicker(picker.ColdLimits{Factor: 1.5, Slack: 5}, fleet{total: 40, inEast: 10, preceding: i})
		for range 3 {
			if target, found := p.Pick(cold, service, medianLatency, "east", excludeNone); found {
				p.Begin(target, medianLatency).End(transporter.Result{Outcome: transporter.Answered, Reply: &transporter.Reply{Status: 200}})
				sent++
			}
		}
	}
	assert.Equal(t, sent, 20)
}

// Guards against a target that gets no requests after a restart, because it asked for none before.
func TestPauseEndsWithRestartOfTarget(t *testing.T) {
	p := newPicker(picker.ColdLimits{}, instances(1))
	target := targets("east")[0]
	target.Started = 1000
	p.Begin(target, medianLatency).End(transporter.Result{Outcome: transporter.Refused, PausedFor: time.Hour})
	assert.Assert(t, p.PausedFor(target) > 0)
	_, found := p.Pick([]registrar.Target{target}, mapper.Service{}, medianLatency, "east", excludeNone)
	assert.Assert(t, !found)
	target.Started = 2000
	assert.Equal(t, p.PausedFor(target), time.Duration(0))
}

// Guards against limits that overflow with the largest values that an entry of a target may state.
func TestLimitsHoldForLargestValuesOfEntry(t *testing.T) {
	p := newPicker(picker.ColdLimits{Factor: 1.5, Slack: 5}, instances(4))
	target := registrar.Target{ID: "a", FailureDomain: "east", Slots: 1 << 16, Seq: 1 << 53, ColdUntil: time.Now().Add(time.Hour)}
	assert.NilError(t, withNames(target).Validate(time.Now()))
	service := mapper.Service{Name: "s", MaxConnections: 20, WarmupRate: 8}
	assert.Equal(t, p.RequestLimit(target, service), 4)
	assert.Equal(t, p.ConnectionLimit(target, service), 4)
	counts := pickCounts(p, []registrar.Target{target, {ID: "b", FailureDomain: "east", Slots: 2}}, service)
	assert.Equal(t, counts["a"]+counts["b"], 200)
}

func withNames(t registrar.Target) registrar.Target {
	t.Service = "s"
	return t
}

// fixedAssignment assigns the same connections and divisor for all targets.
type fixedAssignment struct{ connections, divisor, cold int }

func (a fixedAssignment) Connections(registrar.Target, int, int) (int, bool) {
	return a.connections, true
}

func (a fixedAssignment) Divisor(string, int) int { return a.divisor }

func (a fixedAssignment) ColdAllowance(registrar.Target, int, int) (int, bool) { return a.cold, true }

// Guards against connections beyond those assigned, and against targets that get nothing from an instance which has to reach
// them through others.
func TestAssignedConnectionsReplaceEqualShares(t *testing.T) {
	service, target := mapper.Service{MaxConnections: 108, WarmupRate: 10}, targets("east")[0]
	target.Slots = 8
	large := picker.New(picker.ColdLimits{Factor: 1}, instances(145), "east", picker.WithAssignment(fixedAssignment{connections: 13, divisor: 4, cold: 1}))
	assert.Equal(t, large.ConnectionLimit(target, service), 13)
	assert.Equal(t, large.RequestLimit(target, service), 5)
	small := picker.New(picker.ColdLimits{Factor: 1}, instances(145), "east", picker.WithAssignment(fixedAssignment{divisor: 278}))
	assert.Equal(t, small.ConnectionLimit(target, service), 0)
	_, found := small.Pick([]registrar.Target{target}, service, medianLatency, "east", excludeNone)
	assert.Assert(t, found)
	cold := target
	cold.ColdUntil = time.Now().Add(time.Minute)
	_, found = small.Pick([]registrar.Target{cold}, service, medianLatency, "east", excludeNone)
	assert.Assert(t, !found)
	_, found = large.Pick([]registrar.Target{cold}, service, medianLatency, "east", excludeNone)
	assert.Assert(t, found)
}
