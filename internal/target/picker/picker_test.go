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

const usual = 10 * time.Millisecond

// fleet is a number of instances, of which near are in the failure domain east.
type fleet struct{ all, near, preceding int }

func (f fleet) Instances() int { return f.all }

func (f fleet) InstancesIn(domain string) int {
	if domain == "east" {
		return f.near
	}
	return f.all - f.near
}

func (f fleet) Preceding(string) int { return f.preceding }

func newPicker(cold picker.ColdLimits, f fleet) *picker.Picker { return picker.New(cold, f, "east") }

func instances(n int) fleet { return fleet{all: n, near: n} }

func targets(domains ...string) []registrar.Target {
	var all []registrar.Target
	for i, d := range domains {
		all = append(all, registrar.Target{ID: string(rune('a' + i)), FailureDomain: d, Slots: 2})
	}
	return all
}

func none(string) bool { return false }

// shares returns how often each target is picked.
func shares(p *picker.Picker, all []registrar.Target, service mapper.Service) map[string]int {
	picked := make(map[string]int)
	for range 200 {
		if t, found := p.Pick(all, service, usual, "east", none); found {
			picked[t.ID]++
		}
	}
	return picked
}

// Bytes between failure domains are dear: a target of the own one is preferred unless something speaks against it.
func TestOwnFailureDomainIsPreferred(t *testing.T) {
	p := newPicker(picker.ColdLimits{}, instances(1))
	all := targets("west", "east", "east")
	picked := shares(p, all, mapper.Service{})
	assert.Equal(t, picked["a"], 0)
	assert.Assert(t, picked["b"] > 50 && picked["c"] > 50, picked)
}

// Failures, failed connections and overdue answers each turn requests away, and are forgotten.
func TestWhatSpeaksAgainstATarget(t *testing.T) {
	all := targets("east", "east")
	bad := all[0]
	cases := map[string]func(p *picker.Picker){
		"failures": func(p *picker.Picker) {
			for range 3 {
				p.Begin(bad, usual).End(transporter.Result{Outcome: transporter.Answered, Reply: &transporter.Reply{Status: 500}})
			}
		},
		"refusals": func(p *picker.Picker) { p.Begin(bad, usual).End(transporter.Result{Outcome: transporter.Refused}) },
		"no connection": func(p *picker.Picker) {
			p.Begin(bad, usual).End(transporter.Result{Outcome: transporter.Unsent, Err: &transporter.DialError{Cause: errors.New("refused")}})
		},
		"overdue": func(p *picker.Picker) { p.Begin(bad, time.Microsecond); time.Sleep(10 * time.Millisecond) },
	}
	for name, spoil := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPicker(picker.ColdLimits{}, instances(1))
			spoil(p)
			assert.Equal(t, shares(p, all, mapper.Service{})[bad.ID], 0)
		})
	}
}

// A target that lacks connections for this instance is not at fault.
func TestLackOfConnectionsSpeaksAgainstNoTarget(t *testing.T) {
	p := newPicker(picker.ColdLimits{}, instances(1))
	all := targets("east", "east")
	p.Begin(all[0], usual).End(transporter.Result{Outcome: transporter.Unsent, Err: &transporter.BusyError{}})
	assert.Assert(t, shares(p, all, mapper.Service{})["a"] > 50)
}

// All instances together stay within what a cold target bears.
func TestColdTargetGetsItsRate(t *testing.T) {
	p := newPicker(picker.ColdLimits{Factor: 1.5, Slack: 5}, instances(4))
	cold := targets("east")
	cold[0].ColdUntil = time.Now().Add(time.Minute)
	service := mapper.Service{WarmupRate: 10}
	sent := 0
	for range 50 {
		if target, found := p.Pick(cold, service, usual, "east", none); found {
			p.Begin(target, usual).End(transporter.Result{Outcome: transporter.Answered, Reply: &transporter.Reply{Status: 200}})
			sent++
		}
	}
	assert.Equal(t, sent, 5)
}

// The requests in flight to one target are bounded by its slots and connections over all instances.
func TestRequestsInFlightAreBounded(t *testing.T) {
	for _, c := range []struct{ instances, connections, limit int }{{1, 26, 5}, {5, 26, 2}, {26, 54, 1}, {300, 54, 1}, {1, 0, 5}} {
		p := newPicker(picker.ColdLimits{}, instances(c.instances))
		assert.Equal(t, p.Limit(targets("east")[0], mapper.Service{MaxConnections: c.connections}), c.limit, c)
	}
	p := newPicker(picker.ColdLimits{}, instances(5))
	all := targets("east")
	p.Begin(all[0], usual)
	p.Begin(all[0], usual)
	_, found := p.Pick(all, mapper.Service{MaxConnections: 26}, usual, "east", none)
	assert.Assert(t, !found)
}

// All instances together stay within the connections of a target. Where they do not suffice for all, those near the
// targets get more, since they send for the others too.
func TestConnectionsAreSharedByDistance(t *testing.T) {
	service := mapper.Service{MaxConnections: 54}
	all := targets("east", "west")
	for _, c := range []struct {
		fleet     fleet
		near, far int
	}{{fleet{all: 5, near: 2}, 9, 9}, {fleet{all: 26, near: 8}, 3, 1}, {fleet{all: 26, near: 6}, 4, 1}, {fleet{all: 29, near: 1}, 17, 1}} {
		p := newPicker(picker.ColdLimits{}, c.fleet)
		assert.Equal(t, p.ConnectionLimit(all[0], service), c.near, c.fleet)
		assert.Equal(t, p.ConnectionLimit(all[1], service), c.far, c.fleet)
		assert.Assert(t, c.near*c.fleet.near+c.far*(c.fleet.all-c.fleet.near) <= 54)
	}
}

// A cold target that bears less than one request a second from each instance gets them from the first in its order.
func TestColdTargetIsLeftToAFewInstances(t *testing.T) {
	cold := targets("east")
	cold[0].ColdUntil = time.Now().Add(time.Minute)
	service := mapper.Service{WarmupRate: 10}
	sent := 0
	for i := range 40 {
		p := newPicker(picker.ColdLimits{Factor: 1.5, Slack: 5}, fleet{all: 40, near: 10, preceding: i})
		for range 3 {
			if target, found := p.Pick(cold, service, usual, "east", none); found {
				p.Begin(target, usual).End(transporter.Result{Outcome: transporter.Answered, Reply: &transporter.Reply{Status: 200}})
				sent++
			}
		}
	}
	assert.Equal(t, sent, 20)
}
