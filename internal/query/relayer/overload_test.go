package relayer_test

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/query/relayer"
	"apricotflow/internal/standin/httpresponder"
)

// limitSlots makes a target run as many requests at a time as it has slots, each for the service time of its route, and
// refuse those that would wait for longer than the given number of service times of a search.
func limitSlots(target *httpresponder.Target, slots, maxQueue int, serviceTime map[string]time.Duration) {
	var mu sync.Mutex
	freeAt := make([]time.Time, slots)
	target.SetBehaviour(func(r *http.Request) (httpresponder.Behaviour, time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		now, next := time.Now(), 0
		for i := range freeAt {
			if freeAt[i].Before(freeAt[next]) {
				next = i
			}
		}
		begin := now
		if freeAt[next].After(now) {
			begin = freeAt[next]
		}
		if begin.Sub(now) > time.Duration(maxQueue)*serviceTime["/search"] {
			return httpresponder.Shed, 0
		}
		freeAt[next] = begin.Add(serviceTime[r.URL.Path])
		return httpresponder.Answer, freeAt[next].Sub(now)
	})
}

// counts holds how the queries of one route ended.
type counts struct{ sent, inTime, late, failed, notRun int }

// replay sends queries of the routes at their rates for a while, and returns how they ended, by route.
func (f *fixture) replay(duration time.Duration, rates map[*mapper.Route]float64) map[string]*counts {
	var mu sync.Mutex
	var running sync.WaitGroup
	results := make(map[string]*counts)
	for route, rate := range rates {
		results[route.Name] = &counts{}
		running.Go(func() {
			for n := range int(rate * duration.Seconds()) {
				running.Go(func() {
					request := f.request(route, route.Name+strconv.Itoa(n))
					answer := f.relayer.Relay(f.t.Context(), request)
					mu.Lock()
					defer mu.Unlock()
					results[route.Name].add(request, answer)
				})
				time.Sleep(time.Duration(float64(time.Second) / rate))
			}
		})
	}
	running.Wait()
	return results
}

func (c *counts) add(request relayer.Request, answer relayer.Answer) {
	c.sent++
	switch {
	case answer.Outcome == relayer.NotRun:
		c.notRun++
	case answer.Outcome != relayer.Merged && (answer.Outcome != relayer.Relayed || !answer.Reply.Success()):
		c.failed++
	case time.Now().After(request.Due):
		c.late++
	default:
		c.inTime++
	}
}

// Load pattern: a burst of 2 s in which three of twelve shards have one slow target. These shards have 2.25 slots' worth
// of targets for 2.77 slots' worth of parts. Every query can be served by its deadline of 2.5 s, since it may miss one
// part. None may fail, and the less urgent kind, which needs the same targets, must not be served in time more often than
// the urgent one.
func TestOverloadedShardsDelayQueriesInsteadOfFailingThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		services := make([]string, 12)
		for i := range services {
			services[i] = "s" + strconv.Itoa(i)
		}
		f := newFixture(t, 2, services...)
		const serviceTime = 20 * time.Millisecond
		for i, service := range services {
			for n, target := range f.targets[service] {
				slowdown := time.Duration(1)
				if i < 3 && n == 0 {
					slowdown = 8
				}
				limitSlots(target, 2, 6, map[string]time.Duration{"/search": slowdown * serviceTime, "/peek": slowdown * serviceTime / 3})
			}
		}
		search, peek := shardedRoute(0.89, services...), shardedRoute(0.89, services...)
		search.Timeout, search.Priority = 2500*time.Millisecond, 1
		peek.Name, peek.Timeout, peek.Priority = "peek", 2500*time.Millisecond, 2
		results := f.replay(2*time.Second, map[*mapper.Route]float64{search: 125, peek: 40})
		urgent, other := *results["search"], *results["peek"]
		t.Logf("search %+v, peek %+v", urgent, other)
		assert.Equal(t, urgent.failed+other.failed, 0)
		assert.Equal(t, urgent.notRun+other.notRun, 0)
		urgentShare, otherShare := float64(urgent.inTime)/float64(urgent.sent), float64(other.inTime)/float64(other.sent)
		assert.Assert(t, otherShare <= urgentShare+0.05, "in time: %.2f of the urgent queries, %.2f of the others", urgentShare, otherShare)
	})
}

// Load pattern: an urgent query that lost a part has no budget for a retry left, while a less urgent one waits for the
// same service. The first one must not keep its place in the queue.
func TestRequestWithoutBudgetBlocksNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, "s0")
		f.limits.Slack, f.limits.Ratio = 0, 0
		f.buildRelayer()
		for _, target := range f.targets["s0"] {
			target.SetBehaviour(func(r *http.Request) (httpresponder.Behaviour, time.Duration) {
				if r.URL.Path == "/urgent" {
					return httpresponder.Fail, 20 * time.Millisecond
				}
				return httpresponder.Answer, 60 * time.Millisecond
			})
		}
		urgent, other := shardedRoute(1, "s0"), shardedRoute(1, "s0")
		urgent.Name, urgent.Priority, other.Priority = "urgent", 1, 2
		var running sync.WaitGroup
		running.Go(func() { f.relay(urgent, "urgent") })
		time.Sleep(time.Millisecond)
		// These fill both targets, also after the failure of the urgent query, so that its retry has to wait.
		for i := range 20 {
			if i == 19 {
				time.Sleep(24 * time.Millisecond)
			}
			running.Go(func() { f.relay(other, "r"+strconv.Itoa(i)) })
		}
		time.Sleep(70 * time.Millisecond)
		_, took := f.relay(other, "last")
		assert.Assert(t, took <= 60*time.Millisecond, took)
		running.Wait()
	})
}
