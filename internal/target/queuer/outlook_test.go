package queuer_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"apricotflow/internal/target/queuer"
)

// recordTakes counts targets that tenants have taken during the second before the given time, at rates per second.
func recordTakes(q *queuer.Queue, now time.Time, rates map[string]int) {
	for ms := range 1001 {
		for tenant, perSecond := range rates {
			if ms*perSecond/1000 > (ms-1)*perSecond/1000 || ms == 0 {
				q.Record("s", tenant, now.Add(time.Duration(ms-1000)*time.Millisecond))
			}
		}
	}
}

// Guards against refusing a request of a tenant that the others are about to catch up with: after that its requests go
// first again.
func TestRequestIsNotHopelessWhenTenantsBeforeCatchUp(t *testing.T) {
	for gotByB, hopeless := range map[int]bool{100: false, 10: true} {
		q, wait := queuer.New(), 100*time.Millisecond
		recordTakes(q, start, map[string]int{"a": 110, "b": gotByB})
		for range 60 {
			q.Enter("s", tenantRank("b", start), start.Add(wait), func() {})
		}
		o := q.Outlook("s", tenantRank("a", start), nil, start.Add(wait), 4, start)
		assert.Equal(t, o.Ahead, 60)
		assert.Equal(t, o.Hopeless, hopeless, "b has got %d", gotByB)
	}
}

// Guards against refusing a request that would be served: whenever a request is called hopeless, a replay with targets
// that become free at any time within the limits must not serve it.
func TestHopelessRequestIsNeverServedInReplay(t *testing.T) {
	refused := 0
	rapid.Check(t, func(t *rapid.T) {
		const gotByA, capacity, served = 100, 3, -2
		q, now := queuer.New(), start
		gotByB := rapid.IntRange(80, 110).Draw(t, "got by b")
		recordTakes(q, now, map[string]int{"a": gotByA, "b": gotByB})
		tenant := rapid.SampledFrom([]string{"a", "b"})
		draw := func(label string) queuer.Rank {
			r := tenantRank(tenant.Draw(t, label+" tenant"), now)
			r.Priority = rapid.IntRange(0, 2).Draw(t, label+" priority")
			return r
		}
		woken := -1
		type waiting struct {
			*queuer.Waiter
			until  time.Time
			tenant string
		}
		waiters := make(map[int]waiting)
		for i := range rapid.IntRange(10, 60).Draw(t, "waiters") {
			r, until := draw("waiter"), now.Add(time.Duration(rapid.IntRange(20, 120).Draw(t, "until"))*time.Millisecond)
			waiters[i] = waiting{q.Enter("s", r, until, func() { woken = i }), until, r.Tenant}
		}
		wait := time.Duration(rapid.IntRange(20, 60).Draw(t, "wait")) * time.Millisecond
		r := draw("new")
		if !q.Outlook("s", r, nil, now.Add(wait), capacity, now).Hopeless {
			return
		}
		refused++
		q.Enter("s", r, now.Add(wait), func() { woken = served })
		releases := make([]int, 0, capacity)
		for range capacity {
			releases = append(releases, rapid.IntRange(0, int(wait/time.Millisecond)).Draw(t, "at once"))
		}
		perSecond := gotByA + gotByB
		for at := 1; at*1000 <= perSecond*int(wait/time.Millisecond); at++ {
			releases = append(releases, at*1000/perSecond)
		}
		slices.Sort(releases)
		for _, ms := range releases {
			at := now.Add(time.Duration(ms) * time.Millisecond)
			for i, w := range waiters {
				if w.until.Before(at) {
					delete(waiters, i)
					woken = -1
					w.Leave()
				}
			}
			q.Wake("s", at)
			assert.Assert(t, woken != served, "served after %s", at.Sub(now))
			w := waiters[woken]
			q.Record("s", w.tenant, at)
			delete(waiters, woken)
			w.Leave()
		}
	})
	assert.Assert(t, refused > 0)
}
