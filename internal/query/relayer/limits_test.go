package relayer_test

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/query/relayer"
	"apricotflow/internal/standin/httpresponder"
)

const (
	// A target may get limitTolerance times its limit plus limitSlack requests in any limitWindow.
	limitTolerance = 1.5
	limitSlack     = 5
	limitWindow    = 4 * time.Second
	// limitNoticeTime is the time from a target's first reply with a limit until the limit binds.
	limitNoticeTime = 4 * time.Second
)

// setRequestLimit makes all targets of the services state a limit, in requests per second.
func (f *fixture) setRequestLimit(perSecond float64, services ...string) {
	for _, service := range services {
		for _, target := range f.targets[service] {
			target.SetRequestLimit(&perSecond)
			target.SetFixedBehaviour(httpresponder.Answer, 5*time.Millisecond)
		}
	}
}

// assertWithinLimit checks the requests that each target of a service has received since the start.
func (f *fixture) assertWithinLimit(start time.Time, perSecond float64, service string) {
	f.t.Helper()
	allowed := int(limitTolerance*perSecond*limitWindow.Seconds()) + limitSlack
	for _, target := range f.targets[service] {
		var counted []time.Time
		for _, r := range target.Received() {
			if r.ReadAt.Sub(start) >= limitNoticeTime {
				counted = append(counted, r.ReadAt)
			}
		}
		for i, first := range counted {
			n := 0
			for _, at := range counted[i:] {
				if at.Sub(first) < limitWindow {
					n++
				}
			}
			assert.Assert(f.t, n <= allowed, "%s got %d requests in 4 s, %d are allowed", target.ID(), n, allowed)
		}
	}
}

// Load pattern: all targets of all shards take half of what comes. Guards against targets that get more than they state,
// against queries that use up the limits of some shards and then fail, and against refusals that come late.
func TestTargetsGetNoMoreThanTheirRequestLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		services := []string{"s0", "s1", "s2", "s3"}
		f := newFixture(t, 2, services...)
		const perSecond = 20.0
		f.setRequestLimit(perSecond, services...)
		search := shardedRoute(1, services...)
		start := time.Now()
		const duration = 12 * time.Second
		result := *f.replay(duration, map[*mapper.Route]float64{search: 80})[search.Name]
		t.Logf("%+v", result)
		for _, service := range services {
			f.assertWithinLimit(start, perSecond, service)
		}
		assert.Equal(t, result.failed, 0)
		served := float64(result.inTime + result.late)
		assert.Assert(t, served >= 0.9*2*perSecond*duration.Seconds(), "%.0f queries served", served)
	})
}

// Guards against a request without a chance that is kept waiting, or told to come back at once or after a long time.
func TestRequestIsRefusedAtOnceWhenRequestLimitIsUsedUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, "s0", "s1")
		f.setRequestLimit(2, "s0")
		for name, route := range map[string]*mapper.Route{"search": shardedRoute(1, "s0", "s1"), "lookup": singleRoute(false)} {
			for f.requestUntilRefused(route) {
			}
			before := f.targets["s1"][0].RunCount()
			answer, took := f.relay(route, "refused-"+name)
			assert.Equal(t, answer.Outcome, relayer.NotRun)
			assert.Equal(t, took, time.Duration(0))
			assert.Assert(t, answer.RetryAfter >= 50*time.Millisecond && answer.RetryAfter <= 300*time.Millisecond, answer.RetryAfter)
			assert.Equal(t, f.targets["s1"][0].RunCount(), before)
		}
	})
}

// requestUntilRefused sends one request and reports whether it was served.
func (f *fixture) requestUntilRefused(route *mapper.Route) bool {
	answer, _ := f.relay(route, "r")
	return answer.Outcome != relayer.NotRun
}

// Load pattern: three of ten shards take half of what comes, and an answer needs eight. Guards against queries that use
// up the limits for parts which they can do without, so that others cannot be answered.
func TestScarcePartsAreLeftOutWhenOthersNeedThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		services := make([]string, 10)
		for i := range services {
			services[i] = "s" + strconv.Itoa(i)
		}
		f := newFixture(t, 2, services...)
		f.setRequestLimit(10, "s0", "s1", "s2")
		search := shardedRoute(0.8, services...)
		result := *f.replay(10*time.Second, map[*mapper.Route]float64{search: 40})[search.Name]
		t.Logf("%+v", result)
		assert.Equal(t, result.inTime, result.sent)
	})
}

// Load pattern: half of the shards take about half of what comes, and the less urgent kind of query needs fewer parts.
// Guards against less urgent queries that are served more often than urgent ones.
func TestUrgentQueriesAreServedAsOftenWhenRequestLimitsAreUsedUp(t *testing.T) {
	for _, limited := range []int{10, 20} {
		synctest.Test(t, func(t *testing.T) {
			services := make([]string, 20)
			for i := range services {
				services[i] = "s" + strconv.Itoa(i)
			}
			f := newFixture(t, 2, services...)
			for i := range limited {
				f.setRequestLimit(15+float64(i*7%20), services[i])
			}
			search, peek := shardedRoute(0.89, services...), shardedRoute(0.75, services...)
			search.Priority = 1
			peek.Name, peek.Priority = "peek", 2
			results := f.replay(10*time.Second, map[*mapper.Route]float64{search: 67, peek: 22})
			urgent, other := *results["search"], *results["peek"]
			t.Logf("search %+v, peek %+v", urgent, other)
			urgentShare, otherShare := float64(urgent.inTime)/float64(urgent.sent), float64(other.inTime)/float64(other.sent)
			assert.Assert(t, otherShare <= urgentShare+0.05, "in time: %.2f of the urgent queries, %.2f of the others", urgentShare, otherShare)
		})
	}
}

// Guards against hedges that use up the request limit of a target, which later first requests need.
func TestHedgeSparesTargetWhoseRequestLimitIsUsedUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, "s0")
		slow, limited := f.targets["s0"][0], f.targets["s0"][1]
		perSecond := 2.0
		limited.SetRequestLimit(&perSecond)
		for _, target := range f.targets["s0"] {
			target.SetFixedBehaviour(httpresponder.Answer, 20*time.Millisecond)
		}
		f.replay(100*time.Millisecond, map[*mapper.Route]float64{singleRoute(true): 400})
		before := limited.RunCount()
		assert.Assert(t, before > 0)
		// One request may be sent by now.
		time.Sleep(600 * time.Millisecond)
		slow.SetFixedBehaviour(httpresponder.Answer, 100*time.Millisecond)
		answer, _ := f.relay(singleRoute(true), "hedged")
		assert.Equal(t, answer.Outcome, relayer.Relayed)
		assert.Equal(t, limited.RunCount(), before)
	})
}
