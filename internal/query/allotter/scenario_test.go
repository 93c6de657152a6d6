package allotter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/query/allotter"
)

var highLimit = allotter.Limit{Rate: 200, Burst: 50}

// checkScenario lets much more than the limit arrive at all instances, runs the fault after a minute, and checks the bound.
func checkScenario(t *testing.T, instances int, duration time.Duration, fault func(w *world)) {
	w := newWorld(1, instances, highLimit, false)
	w.runUntil(w.now + time.Minute)
	start := w.now
	end := start + 5*time.Second + duration
	w.load(8*highLimit.Rate, end, w.pickAny)
	w.runUntil(start + 5*time.Second)
	fault(w)
	w.runUntil(end)
	w.checkBound(t, highLimit, 0, end)
}

// Guards against portions that joined instances and those before them hold at the same time.
func TestBoundHoldsWhenFleetDoubles(t *testing.T) {
	checkScenario(t, 30, 12*time.Second, func(w *world) {
		w.lag = 6 * time.Second
		for n := range 30 {
			in := w.newInstance(30+n, highLimit)
			w.instances = append(w.instances, in)
			in.start()
		}
	})
}

// Guards against two sides of a partition that both take themselves for the majority, since all processes have started
// during it and know only their side.
func TestBoundHoldsWhenAllProcessesStartDuringPartition(t *testing.T) {
	checkScenario(t, 8, 20*time.Second, func(w *world) {
		for n := range 4 {
			w.instances = append(w.instances, w.newInstance(8+n, highLimit))
		}
		for n, in := range w.instances {
			// Six of twelve, of which four are seeds, on each side.
			in.group = n % 2
			in.start()
		}
	})
}

// Guards against new processes that know few others yet and take themselves for custodians.
func TestBoundHoldsWhenAllProcessesStartAnew(t *testing.T) {
	checkScenario(t, 40, 12*time.Second, func(w *world) {
		w.startLag = 5 * time.Second
		for _, in := range w.instances {
			in.start()
		}
	})
}

// Guards against custodians that go on where they were after a freeze in which others have taken over their portions.
func TestBoundHoldsWhenFailureDomainsResume(t *testing.T) {
	checkScenario(t, 60, 50*time.Second, func(w *world) {
		w.lag = time.Second
		for n, in := range w.instances {
			if n%5 < 2 {
				w.freeze(in, 40*time.Second)
				// What the frozen ones know of others stays, and the others learn only later that they are back.
				w.at(w.now+39*time.Second, func() { w.lag = 6 * time.Second })
			}
		}
	})
}

// Guards against a spare that issues tokens although it reaches the custodian that the asker does not, or half of the
// instances or fewer.
func TestSpareIssuesNothingWhenItReachesCustodianOrNoMajority(t *testing.T) {
	limit := allotter.Limit{Rate: 9}
	for _, c := range []struct {
		name     string
		minority bool
		answer   allotter.Answer
		issues   bool
	}{{"lost", false, allotter.Unreached, true}, {"reached", false, allotter.Agreed, false}, {"minority", true, allotter.Unreached, false}} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Hour
			members := []allotter.Member{}
			for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
				members = append(members, allotter.Member{Name: name, FailureDomain: "d"})
			}
			probe := allotter.NewTracker("a", "d", now)
			probe.Update(now, members, allotter.Seeds{})
			place := probe.Fleet().Place(tenant, allotter.Divide(limit, bounds), "d")
			tracker := allotter.NewTracker(place.Spares[0], "d", now)
			tracker.Update(now, members, allotter.Seeds{})
			for n := range members {
				members[n].Suspected = c.minority
			}
			issuer := allotter.NewIssuer(bounds, tracker)
			request := allotter.Request{Tenant: tenant, Limit: limit, Wanted: 1, Unreached: place.Custodians[:1]}
			granted := 0
			for range 100 {
				now += 100 * time.Millisecond
				tracker.Update(now, members, allotter.Seeds{})
				reply, inquiries := issuer.Take(now, request)
				granted += reply.Granted
				for _, q := range inquiries {
					issuer.Answered(now, q, c.answer)
				}
			}
			assert.Equal(t, granted > 0, c.issues)
		})
	}
}

// Guards against instances that join on the side of the majority during a partition and issue what custodians on the other
// side still issue.
func TestBoundHoldsWhenInstancesJoinDuringPartition(t *testing.T) {
	checkScenario(t, 12, 12*time.Second, func(w *world) {
		for n, in := range w.instances {
			if n%3 == 0 {
				in.group = 1
			}
		}
		for n := range 24 {
			in := w.newInstance(12+n, highLimit)
			w.instances = append(w.instances, in)
			in.start()
		}
	})
}
