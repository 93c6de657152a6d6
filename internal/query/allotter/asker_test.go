package allotter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/query/allotter"
)

// Guards against more than about one call per request at low rates, and against refusals below the limit, when the requests
// of a tenant arrive at all instances.
func TestRequestTakesOneCallWhenDemandIsSpreadAndBelowLimit(t *testing.T) {
	w := newWorld(1, 30, allotter.Limit{Rate: 40, Burst: 40}, true)
	w.runUntil(w.now + time.Minute)
	w.load(20, w.now+time.Minute, w.pickAny)
	w.runUntil(w.now + time.Minute)
	perRequest := float64(w.calls) / float64(len(w.admitted))
	t.Logf("%.2f calls per request, %d of %d refused", perRequest, w.refused, w.refused+len(w.admitted))
	assert.Equal(t, w.refused, 0)
	assert.Assert(t, perRequest < 1.2)
}

// Guards against a round trip for each request of a tenant with a steady demand at one instance, and against more calls than
// requests.
func TestSteadyDemandSeldomWaitsWhenTokensAreFetchedInAdvance(t *testing.T) {
	w := newWorld(1, 30, allotter.Limit{Rate: 200, Burst: 50}, true)
	w.runUntil(w.now + time.Minute)
	w.load(100, w.now+time.Minute, func() *instance { return w.instances[0] })
	w.runUntil(w.now + time.Minute)
	waited := 0
	for _, wait := range w.waits {
		if wait > 0 {
			waited++
		}
	}
	share := float64(waited) / float64(len(w.waits))
	t.Logf("%.3f of the requests waited, %.2f calls per request, %d refused", share, float64(w.calls)/float64(len(w.waits)), w.refused)
	assert.Equal(t, w.refused, 0)
	assert.Assert(t, share < 0.1)
	assert.Assert(t, w.calls < len(w.waits)/2)
}

// Guards against a refusal of the first request of a quiet tenant, whose custodian creates its bucket only then: of one that
// has run for long, and of one that has started 10 s ago together with all others.
func TestFirstRequestIsAdmittedWhenTenantWasQuiet(t *testing.T) {
	for _, quiet := range []time.Duration{10 * time.Second, time.Hour} {
		for _, limit := range limits {
			w := newWorld(1, 30, limit, true)
			w.runUntil(w.now + quiet)
			w.instances[3].request()
			w.runUntil(w.now + time.Second)
			assert.Equal(t, len(w.admitted), 1)
		}
	}
}

// Guards against requests that wait for long, or forever, when no instance answers.
func TestRequestIsDecidedInTimeWhenNoInstanceAnswers(t *testing.T) {
	w := newWorld(1, 30, allotter.Limit{Rate: 40}, true)
	w.runUntil(w.now + time.Minute)
	for _, other := range w.instances[1:] {
		other.group = 1
	}
	w.instances[0].request()
	w.runUntil(w.now + 70*time.Millisecond)
	assert.Equal(t, w.refused+len(w.admitted), 1)
}

// newLoneAsker returns an asker whose tenant's only custodian is another instance.
func newLoneAsker(now time.Duration, limit allotter.Limit) *allotter.Asker {
	tracker := allotter.NewTracker("self", "d", now)
	for _, name := range []string{"a", "b", "c"} {
		tracker.Update(now, []allotter.Member{{Name: "self", FailureDomain: "d", Ignorant: true}, {Name: name, FailureDomain: "d"}}, allotter.Seeds{})
	}
	asker := allotter.NewAsker("self", tenant, bounds, allotter.NewPeers())
	asker.Configure(limit, 1, tracker.Fleet(), "d")
	return asker
}

// Guards against waiting requests that overtake each other, and tokens that go to later ones.
func TestWaitersAreAdmittedInOrderOfArrivalWhenTokensAreScarce(t *testing.T) {
	now := time.Hour
	asker := newLoneAsker(now, allotter.Limit{Rate: 1})
	var order []int
	refused := 0
	var call *allotter.Call
	for i := range 4 {
		assert.Assert(t, !asker.Admit(now))
		asker.Wait(now, func(admitted bool, retryAfter time.Duration) {
			if admitted {
				order = append(order, i)
				return
			}
			refused++
			assert.Equal(t, retryAfter, 700*time.Millisecond)
		})
		if calls := asker.Advance(now); len(calls) > 0 {
			assert.Assert(t, call == nil, "only one call may be in flight")
			call = calls[0]
		}
	}
	asker.Replied(now, call, allotter.Reply{Granted: 1})
	calls := asker.Advance(now)
	assert.Equal(t, len(calls), 1)
	assert.Assert(t, calls[0].Request.Wanted >= 3)
	asker.Replied(now, calls[0], allotter.Reply{Granted: 2, Next: 700 * time.Millisecond})
	asker.Advance(now)
	assert.DeepEqual(t, order, []int{0, 1, 2})
	assert.Equal(t, refused, 1)
	assert.Assert(t, !asker.Admit(now))
	asker.Wait(now, func(bool, time.Duration) { refused++ })
	assert.Equal(t, len(asker.Advance(now)), 0, "an instance that has announced its next token is asked before")
	assert.Equal(t, refused, 2)
}

// Guards against tokens that are used after a freeze of the asker, when their custodian has issued others.
func TestTokensAreNotUsedWhenTheyHaveExpired(t *testing.T) {
	for _, age := range []time.Duration{allotter.TokenLifetime - time.Millisecond, allotter.TokenLifetime} {
		now := time.Hour
		asker := newLoneAsker(now, allotter.Limit{Rate: 1})
		asker.Admit(now)
		w := asker.Wait(now, func(bool, time.Duration) { t.Error("decided") })
		call := asker.Advance(now)[0]
		asker.Leave(w)
		asker.Replied(now+300*time.Millisecond, call, allotter.Reply{Granted: 1})
		assert.Equal(t, asker.Admit(now+age), age < allotter.TokenLifetime)
	}
}
