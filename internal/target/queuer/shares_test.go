package queuer_test

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"apricotflow/internal/target/queuer"
)

// tenantRank returns the rank of a request that is in time, with equal times for all tenants.
func tenantRank(tenant string, now time.Time) queuer.Rank {
	return queuer.Rank{Priority: 1, Tenant: tenant, LatestStart: now.Add(time.Minute), Deadline: now.Add(time.Hour)}
}

// contend lets the tenants wait for one service without end while a target becomes free every 10 ms, from a time on that
// differs by tenant, and returns how many targets each has got after the last of these times.
func contend(q *queuer.Queue, duration time.Duration, from map[string]time.Duration) map[string]int {
	got := make(map[string]int)
	last := time.Duration(0)
	for _, at := range from {
		last = max(last, at)
	}
	waiters := make(map[string]*queuer.Waiter)
	woken := ""
	for at := time.Duration(0); at < duration; at += 10 * time.Millisecond {
		now := start.Add(at)
		for tenant, since := range from {
			if at >= since && waiters[tenant] == nil {
				waiters[tenant] = q.Enter("s", tenantRank(tenant, now), now.Add(time.Hour), func() { woken = tenant })
			}
		}
		q.Wake("s", now)
		taker := woken
		q.Record("s", taker, now)
		waiters[taker].Leave()
		delete(waiters, taker)
		if at >= last {
			got[taker]++
		}
	}
	for _, w := range waiters {
		w.Leave()
	}
	return got
}

// Guards against a tenant that gets the targets of the others by sending more or newer requests: the order by times alone
// would let the newest go first, whoever sends it.
func TestRequestOfTenantThatHasGotLeastGoesFirst(t *testing.T) {
	q := queuer.New()
	for range 10 {
		q.Record("s", "flood", start)
	}
	q.Record("s", "other", start)
	now := start.Add(time.Second)
	newest := tenantRank("flood", now)
	newest.LatestStart = newest.LatestStart.Add(time.Second)
	waiting := q.Enter("s", newest, now, func() {})
	assert.Assert(t, q.MayTake("s", tenantRank("other", now), nil, now), "goes first although the other one is newer and waits")
	late := tenantRank("other", now)
	late.LatestStart = now
	assert.Assert(t, !q.MayTake("s", late, nil, now), "a late request does not")
	lessUrgent := tenantRank("other", now)
	lessUrgent.Priority = 2
	assert.Assert(t, !q.MayTake("s", lessUrgent, nil, now), "nor a less urgent one")
	assert.Assert(t, q.MayTake("t", newest, nil, now), "other services are not affected")
	waiting.Leave()
}

// Guards against shares of targets that follow the number of waiting requests, and against a tenant that was idle and then
// gets everything until it has got as much as the others, while they get nothing for a second.
func TestTenantsShareTargetsEvenlyWhenOneReturns(t *testing.T) {
	q := queuer.New()
	got := contend(q, 5*time.Second, map[string]time.Duration{"a": 0, "b": 0, "c": 4 * time.Second})
	assert.Assert(t, got["a"] >= 25 && got["b"] >= 25 && got["c"] >= 33, "%v", got)
}

// Guards against an order that changes for instances without tenants.
func TestOrderIsThatOfRanksWithoutTenants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now := queuer.New(), start.Add(2*time.Millisecond)
		var ranks []queuer.Rank
		woken := -1
		for i := range rapid.IntRange(1, 8).Draw(t, "waiters") {
			r := rank(rapid.IntRange(0, 2).Draw(t, "priority"), rapid.IntRange(0, 4).Draw(t, "latest start"), rapid.IntRange(3, 6).Draw(t, "deadline"))
			ranks = append(ranks, r)
			q.Record("s", "", now)
			q.Enter("s", r, now, func() { woken = i })
		}
		first := 0
		for i, r := range ranks {
			if r.Precedes(ranks[first], now) {
				first = i
			}
		}
		q.Wake("s", now)
		assert.Equal(t, woken, first)
		assert.Equal(t, q.CountedTenants(), 0)
	})
}

// Guards against state that grows with the number of tenants or stays when they are idle, and against counts that
// overflow after a long time.
func TestCountsAreBoundedAndDroppedWhenIdle(t *testing.T) {
	q, now := queuer.New(), start
	for i := range 5000 {
		q.Record("s", strconv.Itoa(i), now)
	}
	assert.Assert(t, q.CountedTenants() <= 1024, q.CountedTenants())
	for range 100 {
		now = now.Add(time.Hour)
		q.Record("t", "a", now)
	}
	assert.Equal(t, q.CountedTenants(), 1)
	for range 20 {
		q.Record("t", "b", now)
	}
	later := tenantRank("b", now)
	later.LatestStart = later.LatestStart.Add(time.Second)
	q.Enter("t", tenantRank("a", now), now, func() {})
	assert.Assert(t, !q.MayTake("t", later, nil, now))
	q.Record("s", "c", now.Add(time.Minute))
	assert.Assert(t, q.MayTake("t", later, nil, now.Add(time.Minute-time.Second)), "after a minute nothing counts any more")
}
