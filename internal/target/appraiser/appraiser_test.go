package appraiser_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"apricotflow/internal/target/appraiser"
)

const (
	costlyWork = 8 * time.Millisecond
	cheapWork  = 2 * time.Millisecond
)

// bench is an Appraiser with a clock that the test moves.
type bench struct {
	*appraiser.Appraiser
	now time.Time
}

// newBench returns an Appraiser for which the service of placement is active.
func newBench() *bench {
	b := &bench{Appraiser: appraiser.New(), now: time.Unix(1_000_000, 0)}
	b.report("a", 0, 1)
	return b
}

// report has the target report a load outside of any request.
func (b *bench) report(target string, running int, factor float64) {
	b.Observe(b.now, "s", target, 2, appraiser.Report{Running: running, Slots: 2, WorkFactor: factor})
}

func placement(route, target string) appraiser.Placement {
	return appraiser.Placement{Route: route, Service: "s", Target: target, Slots: 2, UsualLatency: 20 * time.Millisecond}
}

// serve sends a request that the target answers after the latency, and reports the work factor.
func (b *bench) serve(p appraiser.Placement, latency time.Duration, factor float64) {
	r, _ := b.Begin(b.now, p)
	b.now = b.now.Add(latency)
	r.End(b.now, appraiser.Outcome{Latency: latency, Succeeded: true, Report: &appraiser.Report{Slots: 2, WorkFactor: factor}})
	b.now = b.now.Add(10 * time.Millisecond)
}

func (b *bench) serveTimes(n int, p appraiser.Placement, latency time.Duration) {
	for range n {
		b.serve(p, latency, 1)
	}
}

// learned returns a bench that has learned the costs of two routes.
func learned() *bench {
	b := newBench()
	for range 50 {
		b.serve(placement("costly", "a"), costlyWork, 1)
		b.serve(placement("cheap", "a"), cheapWork, 1)
	}
	return b
}

func (b *bench) expect(t *testing.T, p appraiser.Placement) appraiser.Expectation {
	t.Helper()
	e, active := b.Expect(b.now, p)
	assert.Assert(t, active)
	return e
}

// assertNear fails unless the duration is within a tenth of the expected one.
func assertNear(t *testing.T, got, want time.Duration) {
	t.Helper()
	assert.Assert(t, math.Abs(float64(got-want)) <= 0.1*float64(want), "%s instead of %s", got, want)
}

// Guards against one cost for all routes: a target with one costly request has more to do than one with two cheap ones,
// and the work of requests that are nearly done counts little.
func TestOutstandingWorkDependsOnRouteAndElapsedTime(t *testing.T) {
	b := learned()
	assertNear(t, b.expect(t, placement("costly", "a")).Work, costlyWork)
	b.Begin(b.now, placement("costly", "a"))
	b.Begin(b.now, placement("cheap", "b"))
	b.Begin(b.now, placement("cheap", "b"))
	costly, cheap := b.expect(t, placement("cheap", "a")), b.expect(t, placement("cheap", "b"))
	assertNear(t, costly.OwnWork, costlyWork)
	assertNear(t, cheap.OwnWork, 2*cheapWork)
	// The other slot of the first target is free.
	assert.Equal(t, costly.Wait, time.Duration(0))
	assertNear(t, cheap.Wait, cheapWork)
	b.now = b.now.Add(6 * time.Millisecond)
	assertNear(t, b.expect(t, placement("cheap", "a")).OwnWork, 2300*time.Microsecond)
	b.now = b.now.Add(time.Second)
	late := b.expect(t, placement("cheap", "a")).OwnWork
	assert.Assert(t, late > costlyWork/10 && late < costlyWork, late)
}

// Guards against requests behind the slots that count as running, so that a long queue seems to be done at once.
func TestQueuedRequestsMakeNoProgress(t *testing.T) {
	b := learned()
	for range 4 {
		b.Begin(b.now, placement("costly", "a"))
	}
	b.now = b.now.Add(costlyWork)
	assert.Assert(t, b.expect(t, placement("cheap", "a")).OwnWork > 2*costlyWork)
}

// Guards against a request that has taken far longer than usual and still counts as nearly done: it is one of the few that
// take several times as long.
func TestRequestFarBeyondItsCostIsOneOfTheTail(t *testing.T) {
	b := learned()
	b.Begin(b.now, placement("costly", "a"))
	b.now = b.now.Add(2 * costlyWork)
	left := b.expect(t, placement("cheap", "a")).OwnWork
	assert.Assert(t, left > 2*costlyWork && left < 4*costlyWork, left)
}

// Guards against a usual cost that follows rare requests of five times the work or pauses of a target, and against one that
// never follows a route which has become more costly for good.
func TestCostFollowsLastingChangesOnly(t *testing.T) {
	b := newBench()
	for i := range 500 {
		latency := costlyWork
		if i%100 == 50 {
			latency *= 5
		}
		if i%100 == 90 {
			latency = 130 * time.Millisecond
		}
		b.serve(placement("costly", "a"), latency, 1)
	}
	cost := b.expect(t, placement("costly", "a")).Cost
	assertNear(t, cost.Usual, costlyWork)
	assert.Assert(t, cost.TailShare > 0.003 && cost.TailShare < 0.05, cost.TailShare)
	b.serveTimes(200, placement("costly", "a"), 5*costlyWork)
	assertNear(t, b.expect(t, placement("costly", "a")).Cost.Usual, 5*costlyWork)
}

// Guards against cold targets, which take longer, that raise the cost on warm ones, and against their own cost that is not
// used.
func TestColdRequestsHaveCostOfTheirOwn(t *testing.T) {
	b := learned()
	cold := placement("costly", "a")
	cold.IsCold = true
	assertNear(t, b.expect(t, cold).Work, costlyWork*16/10)
	b.serveTimes(50, cold, 3*costlyWork)
	assertNear(t, b.expect(t, cold).Work, 3*costlyWork)
	assertNear(t, b.expect(t, placement("costly", "a")).Work, costlyWork)
}

// Guards against a slow target that seems as fast as the others, and one that is never tried again after it was slow.
func TestRelativeSpeedOfTargetIsLearnedAndForgotten(t *testing.T) {
	b := learned()
	for range 100 {
		b.serve(placement("costly", "fast"), costlyWork*8/10, 1)
		b.serve(placement("costly", "slow"), costlyWork*13/10, 1)
	}
	fast, slow := b.expect(t, placement("cheap", "fast")), b.expect(t, placement("cheap", "slow"))
	assert.Assert(t, fast.RelativeDuration < 0.85 && slow.RelativeDuration > 1.2, "%g, %g", fast.RelativeDuration, slow.RelativeDuration)
	b.now = b.now.Add(time.Minute)
	assert.Assert(t, b.expect(t, placement("cheap", "slow")).RelativeDuration < 1.02)
}

// Guards against the wait for a slot that counts as work, and failures that do.
func TestWaitForSlotIsNotLearnedAsCost(t *testing.T) {
	b := learned()
	for range 100 {
		first, _ := b.Begin(b.now, placement("costly", "a"))
		second, _ := b.Begin(b.now, placement("costly", "a"))
		third, _ := b.Begin(b.now, placement("costly", "a"))
		b.now = b.now.Add(costlyWork)
		report := &appraiser.Report{Slots: 2, WorkFactor: 1}
		failed, _ := b.Begin(b.now, placement("costly", "b"))
		failed.End(b.now, appraiser.Outcome{Latency: time.Millisecond, Report: report})
		first.End(b.now, appraiser.Outcome{Latency: costlyWork, Report: report})
		second.End(b.now, appraiser.Outcome{Latency: costlyWork, Report: report})
		b.now = b.now.Add(costlyWork)
		third.End(b.now, appraiser.Outcome{Latency: 2 * costlyWork, Succeeded: true, Report: report})
		b.now = b.now.Add(time.Second)
	}
	assertNear(t, b.expect(t, placement("costly", "a")).Cost.Usual, costlyWork)
}

// Guards against a slow machine that is not avoided, a report that still counts when the machine has changed several times
// since, and a spell that is learned as cost.
func TestWorkFactorCountsWhileItIsFresh(t *testing.T) {
	b := learned()
	b.report("a", 0, 2.5)
	assertNear(t, b.expect(t, placement("costly", "a")).Work, costlyWork*25/10)
	b.now = b.now.Add(300 * time.Millisecond)
	assertNear(t, b.expect(t, placement("costly", "a")).Work, costlyWork*11/10)
	for range 100 {
		b.serve(placement("costly", "a"), costlyWork*25/10, 2.5)
	}
	assertNear(t, b.expect(t, placement("costly", "a")).Cost.Usual, costlyWork)
}

// Guards against requests of other instances that are not seen, own ones that count twice, and a report that came through
// another instance and counts as new, or replaces a newer one.
func TestReportShowsRequestsOfOthersWhenItWasSent(t *testing.T) {
	b := learned()
	b.Begin(b.now, placement("costly", "a"))
	r, _ := b.Begin(b.now, placement("costly", "a"))
	b.now = b.now.Add(costlyWork)
	r.End(b.now, appraiser.Outcome{Latency: costlyWork, Succeeded: true, Report: &appraiser.Report{Running: 2, Waiting: 3, Slots: 2, WorkFactor: 1}})
	e := b.expect(t, placement("cheap", "a"))
	assert.Equal(t, e.OtherRequests, 4.0)
	assert.Assert(t, e.Wait > costlyWork, e.Wait)

	late, _ := b.Begin(b.now, placement("costly", "b"))
	b.now = b.now.Add(time.Second)
	b.report("c", 4, 1)
	late.End(b.now, appraiser.Outcome{Delay: 100 * time.Millisecond, Latency: costlyWork, Succeeded: true, Report: &appraiser.Report{Running: 4, Slots: 2, WorkFactor: 2.5}})
	stale := b.expect(t, placement("cheap", "b"))
	assert.Equal(t, stale.ReportAge, 900*time.Millisecond-costlyWork)
	assert.Assert(t, stale.OtherRequests < 1 && b.expect(t, placement("cheap", "c")).OtherRequests == 4)

	old, _ := b.Begin(b.now, placement("costly", "c"))
	b.now = b.now.Add(time.Second)
	b.report("c", 0, 1)
	old.End(b.now, appraiser.Outcome{Latency: costlyWork, Succeeded: true, Report: &appraiser.Report{Running: 4, Slots: 2, WorkFactor: 1}})
	assert.Equal(t, b.expect(t, placement("cheap", "c")).ReportAge, time.Duration(0))
}

// Guards against a target that is avoided, or gets everything, because it reports figures that cannot be true: what was
// measured has to outweigh them.
func TestImplausibleReportsAreBounded(t *testing.T) {
	b := learned()
	b.Observe(b.now, "s", "b", 0, appraiser.Report{Running: 1 << 20, Waiting: 1 << 20, Slots: 1 << 20, WorkFactor: 1})
	unlisted := placement("cheap", "b")
	unlisted.Slots = 0
	assert.Assert(t, b.expect(t, unlisted).OtherRequests <= 4096 && b.expect(t, unlisted).Slots <= 1024)
	b.report("c", 1<<20, 1)
	assert.Assert(t, b.expect(t, placement("cheap", "c")).OtherRequests <= 8)
	// It always reports 400 %, but takes as long as the others.
	for range 100 {
		b.serve(placement("costly", "d"), costlyWork, 4)
		b.serve(placement("costly", "a"), costlyWork, 1)
		b.serve(placement("costly", "e"), costlyWork, 1)
	}
	truth, liar := b.expect(t, placement("costly", "a")).Work, b.expect(t, placement("costly", "d")).Work
	assert.Assert(t, float64(liar) < 1.5*float64(truth), "%s instead of %s", liar, truth)
}

// Guards against requests that are placed by cost although the targets no longer report the speed of their machines or
// never did, and against state that is kept for targets, services and routes that no longer exist.
func TestServiceIsActiveWhileItsTargetsReportWorkFactor(t *testing.T) {
	b := &bench{Appraiser: appraiser.New(), now: time.Unix(1_000_000, 0)}
	b.report("a", 3, 0)
	request, _ := b.Begin(b.now, placement("costly", "a"))
	_, active := b.Expect(b.now, placement("costly", "a"))
	assert.Assert(t, request == nil && !active)
	b.report("a", 3, 1)
	assert.Equal(t, b.expect(t, placement("costly", "a")).OtherRequests, 3.0)
	b.Retain(b.now, func(target string) bool { return target != "a" })
	assert.Equal(t, b.expect(t, placement("costly", "a")).ReportAge, time.Duration(-1))
	for i := range 2000 {
		b.serve(placement(fmt.Sprint(i), "b"), cheapWork, 1)
	}
	for range 50 {
		b.serve(placement("used", "b"), cheapWork, 1)
	}
	assert.Assert(t, b.expect(t, placement("used", "b")).Cost.Known && b.RouteCount() <= 512)
	b.now = b.now.Add(3 * time.Minute)
	_, active = b.Expect(b.now, placement("costly", "b"))
	assert.Assert(t, !active)
	b.Retain(b.now, func(string) bool { return true })
	_, active = b.Expect(b.now.Add(-3*time.Minute), placement("costly", "b"))
	assert.Assert(t, !active)
}

// Guards against expectations that are negative, infinite or no numbers, in any order of requests, replies and reports.
func TestExpectationsStayFinite(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newBench()
		var open []*appraiser.Request
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			p := placement(rapid.SampledFrom([]string{"x", "y"}).Draw(rt, "route"), rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "target"))
			p.IsCold, p.Slots = rapid.Bool().Draw(rt, "cold"), rapid.IntRange(0, 40).Draw(rt, "slots")
			p.UsualLatency, p.Network = time.Duration(rapid.Int64Range(0, 1e10).Draw(rt, "usual")), time.Duration(rapid.Int64Range(0, 1e7).Draw(rt, "network"))
			b.now = b.now.Add(time.Duration(rapid.Int64Range(-1e6, 1e9).Draw(rt, "passed")))
			report := appraiser.Report{Running: rapid.IntRange(0, 1<<20).Draw(rt, "running"), Slots: rapid.IntRange(0, 1<<20).Draw(rt, "reported"), WorkFactor: rapid.SampledFrom([]float64{0, 0.1, 1, 10}).Draw(rt, "factor")}
			if len(open) == 0 || rapid.Bool().Draw(rt, "begins") {
				if r, _ := b.Begin(b.now, p); r != nil {
					open = append(open, r)
				}
			} else {
				latency := time.Duration(rapid.Int64Range(0, 1e10).Draw(rt, "latency"))
				open[0].End(b.now, appraiser.Outcome{Latency: latency, Succeeded: rapid.Bool().Draw(rt, "succeeded"), Report: &report})
				open = open[1:]
			}
			e, _ := b.Expect(b.now, p)
			for _, d := range []time.Duration{e.Work, e.OwnWork, e.OtherWork, e.Backlog, e.Wait, e.Completion} {
				assert.Assert(rt, d >= 0 && d < 1000*time.Hour, "%+v", e)
			}
			assert.Assert(rt, e.WorkFactor >= 0 && e.WorkFactor <= 10 && e.RelativeDuration >= 0 && e.RelativeDuration <= 4 && e.OtherRequests >= 0, "%+v", e)
		}
	})
}
