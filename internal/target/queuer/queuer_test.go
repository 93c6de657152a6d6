package queuer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"apricotflow/internal/target/queuer"
)

var start = time.Unix(1000, 0)

// rank returns a rank with times in milliseconds after start; a latest start of 0 stands for none.
func rank(priority, latestStart, deadline int) queuer.Rank {
	r := queuer.Rank{Priority: priority, Deadline: start.Add(time.Duration(deadline) * time.Millisecond)}
	if latestStart > 0 {
		r.LatestStart = start.Add(time.Duration(latestStart) * time.Millisecond)
	}
	return r
}

func withTenant(priority int, r queuer.Rank) queuer.Rank {
	r.TenantPriority = priority
	return r
}

// Guards against targets taken by requests that are late anyway, against a less urgent request before a more urgent one,
// and against overload in which every request is served just too late.
func TestRequestsInTimeGoFirstThenUrgentThenNewest(t *testing.T) {
	cases := []struct {
		name           string
		first, second  queuer.Rank
		atMilliseconds int
	}{
		{"in time before late, although less urgent", rank(2, 100, 600), rank(1, 40, 400), 50},
		{"urgent before less urgent", rank(1, 100, 600), rank(2, 120, 600), 50},
		{"urgent tenant before less urgent one, although on a less urgent route", withTenant(1, rank(2, 100, 600)), withTenant(2, rank(1, 120, 600)), 50},
		{"in time before late, although of a less urgent tenant", withTenant(2, rank(1, 100, 600)), withTenant(1, rank(1, 40, 400)), 50},
		{"urgent route before less urgent one for equal tenants", withTenant(1, rank(1, 100, 600)), withTenant(1, rank(2, 120, 600)), 50},
		{"newest of those in time", rank(1, 120, 600), rank(1, 100, 500), 50},
		{"oldest of the late ones", rank(1, 30, 500), rank(1, 40, 600), 50},
		{"with objective before those without", rank(1, 100, 600), rank(1, 0, 500), 50},
		{"earliest deadline without objective", rank(1, 0, 500), rank(1, 0, 600), 50},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := start.Add(time.Duration(c.atMilliseconds) * time.Millisecond)
			assert.Assert(t, c.first.Precedes(c.second, now))
			assert.Assert(t, !c.second.Precedes(c.first, now))
		})
	}
}

// Guards against ranks without a consistent order, in which requests would block each other.
func TestRanksAreOrdered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func() queuer.Rank {
			r := rank(rapid.IntRange(0, 2).Draw(t, "priority"), rapid.IntRange(0, 4).Draw(t, "latest start"), rapid.IntRange(3, 6).Draw(t, "deadline"))
			return withTenant(rapid.IntRange(0, 1).Draw(t, "tenant priority"), r)
		}
		a, b, c := draw(), draw(), draw()
		now := start.Add(2 * time.Millisecond)
		assert.Assert(t, !a.Precedes(b, now) || !b.Precedes(a, now))
		if a.Precedes(b, now) && b.Precedes(c, now) {
			assert.Assert(t, a.Precedes(c, now), "%v %v %v", a, b, c)
		}
	})
}

// Guards against a request that overtakes one that waits, against one that is not woken when its turn comes, and against
// a queue that blocks requests after all waiters have left.
func TestFirstWaiterIsWokenAndOthersWait(t *testing.T) {
	q := queuer.New()
	now := time.Now()
	in := func(ms time.Duration) time.Time { return now.Add(ms * time.Millisecond) }
	urgent := queuer.Rank{Priority: 1, LatestStart: in(1000), Deadline: in(5000)}
	other := queuer.Rank{Priority: 2, LatestStart: in(2000), Deadline: in(5000)}
	var woken []string
	assert.Assert(t, q.MayTake("s", other, nil, now))
	second := q.Enter("s", other, in(5000), func() { woken = append(woken, "other") })
	first := q.Enter("s", urgent, in(5000), func() { woken = append(woken, "urgent") })
	assert.Assert(t, q.MayTake("s", urgent, first, now))
	assert.Assert(t, !q.MayTake("s", other, second, now))
	assert.Assert(t, !q.MayTake("s", urgent, nil, now), "a request that has not waited goes after an equal one that has")
	assert.Assert(t, q.MayTake("t", other, nil, now), "other services are not affected")
	q.Wake("s", now)
	first.Leave()
	first.Leave()
	assert.DeepEqual(t, woken, []string{"urgent", "other"})
	assert.Assert(t, q.MayTake("s", other, second, now))
	second.Leave()
	assert.Assert(t, q.MayTake("s", other, nil, now))
}
