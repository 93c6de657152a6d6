package placer_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"apricotflow/internal/cluster/enroller"
	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/query/placer"
	"apricotflow/internal/wire/encoder"
)

func init() {
	_ = flag.Set("rapid.seed", "20261206")
	_ = flag.Set("rapid.nofailfile", "true")
}

const usable = 91

// deployment returns the instances of the deployment that the placement is for: 139 small ones and 6 large ones in 3 domains.
func deployment() []enroller.Capacity {
	var all []enroller.Capacity
	for i := range 145 {
		c := instance(fmt.Sprintf("n%03d", i), fmt.Sprintf("d%d", i%3), small)
		if i < 6 {
			c.Thousandths = large
		}
		all = append(all, c)
	}
	return all
}

func without[T any](all []T, i int) []T {
	return slices.Delete(slices.Clone(all), i, i+1)
}

// assign returns the connections of each instance to the target "target" in the domain d0.
func assign(all []enroller.Capacity, usable int) []int {
	connections := make([]int, len(all))
	for i := range all {
		connections[i] = placer.Assign(all[i], without(all, i), "target", "d0", usable)
	}
	return connections
}

// Guards against a target that has to reset connections, whatever the sizes of the instances and their number, and against a
// target that some instances of each size reach through no other.
func TestInstancesTogetherStayWithinUsableConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacities := rapid.SliceOfN(rapid.SampledFrom([]int{0, small, small, small, 400, large, 2 * large}), 1, 60).Draw(t, "capacities")
		usable := rapid.IntRange(1, 70).Draw(t, "usable")
		var all []enroller.Capacity
		for i, c := range capacities {
			all = append(all, instance(fmt.Sprint("n", i), fmt.Sprint("d", rapid.IntRange(0, 2).Draw(t, "domain")), c))
		}
		total := 0
		for _, n := range assign(all, usable) {
			assert.Assert(t, n >= 0)
			total += n
		}
		assert.Assert(t, total <= usable && total > 0, "%d connections of %d", total, usable)
	})
}

// Guards against small instances that hold the connections which the large ones need, and against connections that move when
// one instance leaves.
func TestLargeInstancesHoldMostConnectionsAndAssignmentIsStable(t *testing.T) {
	all := deployment()
	before := assign(all, usable)
	// The first six are the large ones, of which n000 and n003 are in the domain of the target.
	assert.DeepEqual(t, before[:6], []int{13, 5, 5, 13, 5, 5})
	inDomain, elsewhere := 0, 0
	for i, n := range before[6:] {
		assert.Assert(t, n <= 1)
		if (i+6)%3 == 0 {
			inDomain += n
		} else {
			elsewhere += n
		}
	}
	assert.Assert(t, inDomain == 45 && elsewhere == 0, "%d in the domain, %d elsewhere", inDomain, elsewhere)
	for gone := 6; gone < 30; gone++ {
		moved := 0
		for i, n := range assign(without(all, gone), usable) {
			if n != without(before, gone)[i] {
				moved++
			}
		}
		assert.Assert(t, moved <= 1, "%d instances change when one leaves", moved)
	}
}

// newAssigners returns the assigners of all instances under a table with a query over the given number of shards and a route
// to the service "single".
func newAssigners(t testing.TB, all []enroller.Capacity, shards int, opts ...placer.Option) []*placer.Assigner {
	t.Helper()
	share, top, list := 0.9, 50, []string{}
	for i := range shards {
		list = append(list, fmt.Sprint("s", i))
	}
	table, problems := mapper.New(encoder.RoutingTable{Version: 1, Routes: []encoder.Route{
		{Name: "search", Host: "h", Prefix: "/s/", Idempotent: true, ObjectiveMs: 40, TimeoutMs: 250, MaxTargets: 2, Shards: list, LeastShare: &share, TopRecords: &top},
		{Name: "single", Host: "h", Prefix: "/x/", TimeoutMs: 250, MaxTargets: 2, Destinations: []encoder.RouteDestination{{Service: "single", Weight: 1}}},
	}})
	assert.Equal(t, len(problems), 0, "%v", problems)
	var assigners []*placer.Assigner
	for i, c := range all {
		others := without(all, i)
		assigners = append(assigners, placer.NewAssigner(c, capacities(others), func() *mapper.Table { return table }, opts...))
	}
	return assigners
}

type capacities []enroller.Capacity

func (c capacities) Capacities() []enroller.Capacity { return c }

// Guards against changes where no query is too wide, where each instance may have a connection, and for targets that run
// whole requests.
func TestNothingIsAssignedWhereQueriesAreNotPlaced(t *testing.T) {
	all := deployment()
	shard, single := registrar.Target{ID: "t", Service: "s0", FailureDomain: "d0"}, registrar.Target{ID: "t", Service: "single", FailureDomain: "d0"}
	expect := func(a *placer.Assigner, target registrar.Target, usable int, want bool) {
		t.Helper()
		_, assigned := a.Connections(target, usable, len(all))
		assert.Equal(t, assigned, want)
	}
	active := newAssigners(t, all, 90)[0]
	expect(active, shard, usable, true)
	expect(active, single, usable, false)
	expect(active, shard, 145, false)
	expect(newAssigners(t, all, 20)[0], shard, usable, false)
	expect(placer.NewAssigner(all[0], capacities(all[1:]), func() *mapper.Table { return nil }), shard, usable, false)
	unknown := slices.Clone(all)
	unknown[0].Thousandths = 0
	expect(newAssigners(t, unknown, 90)[0], shard, usable, false)
	assert.Equal(t, newAssigners(t, unknown, 90)[0].Divisor("s0", 145), 145)
	assert.Equal(t, active.Divisor("single", 145), 145)
	assert.Equal(t, newAssigners(t, all, 20)[0].Divisor("s0", 145), 145)
	_, assigned := active.ColdAllowance(single, 10, 145)
	assert.Assert(t, !assigned)
}

// Guards against limits of targets that all instances together exceed, also beside instances of the earlier version that take
// equal shares, and against large instances that get too little for the queries of all.
func TestSharesOfLimitsAddUpToNoMoreThanTheWhole(t *testing.T) {
	for _, unknown := range []int{0, 100} {
		all := deployment()
		for i := range unknown {
			all[len(all)-1-i].Thousandths = 0
		}
		target := registrar.Target{ID: "t", Service: "s0", FailureDomain: "d0"}
		assigners := newAssigners(t, all, 90)[:len(all)-unknown]
		sum := float64(unknown) / float64(len(all))
		for _, a := range assigners {
			sum += 1 / float64(a.Divisor("s0", len(all)))
		}
		assert.Assert(t, sum <= 1 && sum > 0.9, sum)
		assert.Assert(t, assigners[0].Divisor("s0", len(all)) <= 12*len(all)/len(assigners)+1)
		for _, total := range []int{1, 4, 8, 20, 100, 1000} {
			cold := 0
			for i, a := range assigners {
				n, assigned := a.ColdAllowance(target, total, len(all))
				assert.Assert(t, assigned)
				cold += n
				if i == 5 && unknown == 0 {
					assert.Assert(t, cold >= min(total, 6), "large instances send %d of %d", cold, total)
				}
			}
			assert.Assert(t, cold <= total, "%d of %d", cold, total)
		}
	}
}

// Guards against requests through an instance that holds no connection either.
func TestHoldersAreThoseWithConnections(t *testing.T) {
	all := deployment()
	a := newAssigners(t, all, 90)[0]
	target := registrar.Target{ID: "target", Service: "s0", FailureDomain: "d0"}
	var want []enroller.Capacity
	for i, n := range assign(all, usable) {
		if n > 0 && i > 0 {
			want = append(want, all[i])
		}
	}
	assert.DeepEqual(t, a.Holders(target, usable, all[1:]), want)
	assert.Assert(t, a.IsLarge(all[1]) && !a.IsLarge(all[10]))
}

// Guards against instances that start together and each take the connections of a target that all should share.
func TestSmallInstanceHoldsOneConnectionWhileItJoins(t *testing.T) {
	joining := true
	alone := []enroller.Capacity{instance("n", "d0", small)}
	a := newAssigners(t, alone, 90, placer.WithJoining(func() bool { return joining }))[0]
	target := registrar.Target{ID: "t", Service: "s0", FailureDomain: "d0"}
	connections, assigned := a.Connections(target, usable, 3)
	assert.Assert(t, assigned)
	assert.Equal(t, connections, 1)
	joining = false
	_, assigned = a.Connections(target, usable, 3)
	assert.Assert(t, !assigned)
}
