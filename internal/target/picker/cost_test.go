package picker_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/target/appraiser"
	"apricotflow/internal/target/picker"
	"apricotflow/internal/target/transporter"
)

var (
	costly = picker.RequestKind{Route: "costly", Median: 8 * time.Millisecond}
	cheap  = picker.RequestKind{Route: "cheap", Median: 2 * time.Millisecond}
)

// newCostPicker returns a Picker that places requests by cost where targets report a work factor.
func newCostPicker() *picker.Picker {
	return picker.New(picker.ColdLimits{}, instances(1), "east", picker.WithCosts(appraiser.New()))
}

// serve sends a request of the kind to the target, which answers after its median latency with the work factor, and none
// if it is 0.
func serve(p *picker.Picker, target int, kind picker.RequestKind, factor float64) {
	r := p.Begin(targets("east", "east")[target], kind)
	time.Sleep(kind.Median)
	r.End(answered(kind.Median, &transporter.Load{Slots: 2, WorkFactor: factor}))
}

func answered(latency time.Duration, load *transporter.Load) transporter.Result {
	return transporter.Result{Outcome: transporter.Answered, Reply: &transporter.Reply{Status: 200}, Latency: latency, Load: load}
}

func learn(p *picker.Picker) {
	for range 50 {
		for target := range 2 {
			serve(p, target, costly, 1)
			serve(p, target, cheap, 1)
		}
	}
}

func explain(p *picker.Picker, kind picker.RequestKind, domains ...string) []picker.Candidate {
	return p.Explain(targets(domains...), mapper.Service{}, kind, "east", excludeNone)
}

// Guards against services whose targets report three figures that are placed in another way than before.
func TestScoresAreUnchangedWithoutWorkFactor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, p := range []*picker.Picker{newCostPicker(), newPicker(picker.ColdLimits{}, instances(1))} {
			all := targets("east", "west")
			serve(p, 0, costly, 0)
			p.Begin(all[0], costly)
			p.Begin(all[0], costly)
			p.Begin(all[1], costly).End(answered(2*costly.Median, &transporter.Load{Running: 2, Waiting: 2, Slots: 2}))
			time.Sleep(10 * time.Millisecond)
			candidates := explain(p, costly, "east", "west")
			// Two requests in flight on two slots: 8 ms x (1 + 1/2 + 0.1 x 2).
			assert.Equal(t, candidates[0].Score(), 13600*time.Microsecond)
			// Four reported requests, and a latency of 1.15 times the median that has decayed for 10 ms: 8 ms x 1.149 x
			// (1 + 3/2 + 0.1 x 4) + 3 ms.
			score := candidates[1].Score()
			assert.Assert(t, score > 29650*time.Microsecond && score < 29680*time.Microsecond, score)
			// The reports are too old, and both requests overdue.
			time.Sleep(200 * time.Millisecond)
			candidates = explain(p, costly, "east", "west")
			assert.Equal(t, candidates[0].Score(), 133600*time.Microsecond)
			assert.Assert(t, !candidates[0].ByCost && !candidates[1].ByCost)
		}
	})
}

// Guards against a choice by the number of requests: a target with one costly request has more to do than one with two
// cheap ones.
func TestTargetWithLessOutstandingWorkIsPicked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, all := newCostPicker(), targets("east", "east")
		learn(p)
		for range 2 {
			p.Begin(all[0], costly)
			p.Begin(all[1], cheap)
		}
		p.Begin(all[1], cheap)
		picked := pickCounts(p, all, mapper.Service{})
		assert.Equal(t, picked["b"], 200)
	})
}

// Guards against requests that go to a target with much under way as long as one of its slots is free.
func TestTargetWithoutRequestsIsPreferredToFreeSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, all := newCostPicker(), targets("east", "east")
		learn(p)
		p.Begin(all[0], costly)
		assert.Equal(t, pickCounts(p, all, mapper.Service{})["b"], 200)
	})
}

// Guards against a slow machine that still gets its share of requests.
func TestTargetOnSlowMachineIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newCostPicker()
		learn(p)
		serve(p, 0, cheap, 2.5)
		assert.Equal(t, pickCounts(p, targets("east", "east"), mapper.Service{})["a"], 0)
	})
}

// Guards against a costly request that makes its target seem paused although it answers others, and against a pause that is
// not seen.
func TestRequestIsOverdueOnlyWhileTargetIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newCostPicker()
		learn(p)
		p.Begin(targets("east")[0], costly)
		time.Sleep(50 * time.Millisecond)
		assert.Assert(t, explain(p, cheap, "east")[0].OverduePenalty > 100*time.Millisecond)
		assert.Assert(t, !p.Healthy("a"))
		serve(p, 0, cheap, 1)
		assert.Equal(t, explain(p, cheap, "east")[0].OverduePenalty, time.Duration(0))
		assert.Assert(t, p.Healthy("a"))
	})
}

// Guards against the way between failure domains that is taken for work, or is taken off latencies that do not hold it
// because an instance near the target has measured them.
func TestNetworkIsNoWork(t *testing.T) {
	for _, throughPeer := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			p, far := newCostPicker(), targets("west")[0]
			for range 50 {
				r := p.Begin(far, cheap)
				time.Sleep(5500 * time.Microsecond)
				result := answered(5500*time.Microsecond, &transporter.Load{Slots: 2, WorkFactor: 1})
				if result.ThroughPeer = throughPeer; throughPeer {
					result.Latency = 3 * time.Millisecond
				}
				r.End(result)
			}
			usual := explain(p, cheap, "west")[0].Expectation.Cost.Usual
			assert.Assert(t, usual > 2400*time.Microsecond && usual < 2600*time.Microsecond, usual)
		})
	}
}

// Guards against the reply of another target at the same address whose load counts for the expected one.
func TestLoadOfMisdirectedReplyIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newCostPicker()
		learn(p)
		load := &transporter.Load{Running: 8, Slots: 2, WorkFactor: 2.5}
		p.Begin(targets("east")[0], cheap).End(transporter.Result{Outcome: transporter.Misdirected, Load: load})
		assert.Equal(t, explain(p, cheap, "east")[0].Expectation.OtherRequests, 0.0)
	})
}

// Guards against an explanation that differs from the decision, and against targets that are left out without a reason.
func TestExplanationGivesReasonsAndScoreOfDecision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, all := newCostPicker(), targets("east", "east", "west", "east", "east")
		learn(p)
		p.Begin(all[3], cheap).End(transporter.Result{Outcome: transporter.Refused})
		for range 5 {
			p.Begin(all[4], cheap)
		}
		excluded := func(id string) bool { return id == "a" }
		candidates := p.Explain(all, mapper.Service{}, cheap, "east", excluded)
		reasons := []string{picker.ReasonExcluded, "", "", picker.ReasonFull, picker.ReasonInFlight}
		for i, c := range candidates {
			assert.Equal(t, c.LeftOut, reasons[i])
		}
		near, far := candidates[1], candidates[2]
		assert.Assert(t, near.ByCost && near.Expectation.Cost.Known && near.Score() >= near.Expectation.Completion)
		assert.Equal(t, far.DomainPenalty, 3*time.Millisecond)
		assert.Assert(t, near.Score() < far.Score())
		picked, found := p.Pick(all, mapper.Service{}, cheap, "east", excluded)
		assert.Assert(t, found && picked.ID == near.Target.ID)
	})
}

// BenchmarkPick measures a choice among four targets with two requests in flight each.
func BenchmarkPick(b *testing.B) {
	for name, factor := range map[string]float64{"by counts": 0, "by cost": 1} {
		b.Run(name, func(b *testing.B) {
			p, all := newCostPicker(), targets("east", "east", "east", "east")
			for _, t := range all {
				for range 20 {
					p.Begin(t, costly).End(answered(costly.Median, &transporter.Load{Slots: 2, WorkFactor: factor}))
				}
				p.Begin(t, costly)
				p.Begin(t, costly)
			}
			for b.Loop() {
				p.Pick(all, mapper.Service{}, costly, "east", excludeNone)
			}
		})
	}
}
