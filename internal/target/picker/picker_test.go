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

func instances(n int) func() int { return func() int { return n } }

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
	p := picker.New(picker.ColdLimits{}, instances(1))
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
			p := picker.New(picker.ColdLimits{}, instances(1))
			spoil(p)
			assert.Equal(t, shares(p, all, mapper.Service{})[bad.ID], 0)
		})
	}
}

// A target that lacks connections for this instance is not at fault.
func TestLackOfConnectionsSpeaksAgainstNoTarget(t *testing.T) {
	p := picker.New(picker.ColdLimits{}, instances(1))
	all := targets("east", "east")
	p.Begin(all[0], usual).End(transporter.Result{Outcome: transporter.Unsent, Err: &transporter.BusyError{}})
	assert.Assert(t, shares(p, all, mapper.Service{})["a"] > 50)
}

// All instances together stay within what a cold target bears.
func TestColdTargetGetsItsRate(t *testing.T) {
	p := picker.New(picker.ColdLimits{Factor: 1.5, Slack: 5}, instances(4))
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
		p := picker.New(picker.ColdLimits{}, instances(c.instances))
		assert.Equal(t, p.Limit(targets("east")[0], mapper.Service{MaxConnections: c.connections}), c.limit, c)
	}
	p := picker.New(picker.ColdLimits{}, instances(5))
	all := targets("east")
	p.Begin(all[0], usual)
	p.Begin(all[0], usual)
	_, found := p.Pick(all, mapper.Service{MaxConnections: 26}, usual, "east", none)
	assert.Assert(t, !found)
}
