package allotter_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/query/allotter"
)

// newLoneIssuer returns the issuer of a fleet with one instance, which holds all portions.
func newLoneIssuer(now time.Duration) *allotter.Issuer {
	return allotter.NewIssuer(bounds, allotter.NewTracker("self", "d", now))
}

func takeAll(i *allotter.Issuer, now time.Duration, limit allotter.Limit, version int) int {
	// Several calls with little time between do not count as a standstill.
	for at := now - time.Second; at < now; at += 100 * time.Millisecond {
		i.Take(at, allotter.Request{Tenant: tenant, Limit: limit, Version: version})
	}
	reply, _ := i.Take(now, allotter.Request{Tenant: tenant, Limit: limit, Version: version, Wanted: 1000})
	return reply.Granted
}

// Guards against tokens saved up under a limit that was lowered, against an older table that brings the old limit back, and
// against a bucket that is full again with each new limit.
func TestSavedTokensAreCutWhenLimitIsLowered(t *testing.T) {
	high, low := allotter.Limit{Rate: 100, Burst: 100}, allotter.Limit{Rate: 4, Burst: 10}
	now := time.Hour
	i := newLoneIssuer(now)
	now += 10 * time.Second
	assert.Equal(t, takeAll(i, now, high, 1), 100)
	assert.Assert(t, takeAll(i, now+time.Second, low, 2) <= 10)
	assert.Assert(t, takeAll(i, now+2*time.Second, high, 1) <= 5)
	assert.Assert(t, takeAll(i, now+3*time.Second, high, 3) <= 100)
}

// Guards against a new burst for a tenant whose state was dropped.
func TestDroppedTenantGetsNoNewBurstWhenItsBucketWasNotFull(t *testing.T) {
	limit := allotter.Limit{Rate: 0.01, Burst: 50}
	now := time.Hour
	i := newLoneIssuer(now)
	now += 3 * time.Hour
	i.Take(now, allotter.Request{Tenant: tenant, Limit: limit, Wanted: 1})
	now += 40 * time.Second
	i.Take(now, allotter.Request{Tenant: tenant, Limit: limit, Wanted: 1})
	for n := range allotter.MaxTenants {
		// The bucket of the tenant has not been full since its first request.
		now += time.Millisecond
		i.Take(now, allotter.Request{Tenant: fmt.Sprint(n), Limit: limit, Wanted: 1000})
	}
	reply, _ := i.Take(now, allotter.Request{Tenant: tenant, Limit: limit, Wanted: 1000})
	assert.Assert(t, reply.Granted <= 1, "granted %d", reply.Granted)
}

// Guards against a custodian without tokens whose refused askers all return at the same time, and against announced times at
// which there is no token.
func TestRefusedAskersReturnAtDifferentTimesWhenBucketIsEmpty(t *testing.T) {
	limit := allotter.Limit{Rate: 1}
	now := time.Hour
	i := newLoneIssuer(now)
	now += 10 * time.Second
	takeAll(i, now, limit, 1)
	times := make(map[time.Duration]bool)
	for range 5 {
		reply, _ := i.Take(now, allotter.Request{Tenant: tenant, Limit: limit, Version: 1, Wanted: 1})
		assert.Equal(t, reply.Granted, 0)
		times[reply.Next] = true
	}
	assert.Equal(t, len(times), 5)
	for next := range times {
		assert.Assert(t, next > 0 && next <= 1200*time.Millisecond, "%v", next)
	}
}

// Guards against shares of the bound that together exceed it, and against spares of large limits.
func TestPlanKeepsBoundForAllLimits(t *testing.T) {
	for _, rate := range []float64{0.1, 1, 9, 40, 200, 5000} {
		for _, burst := range []float64{0, 1, rate, 10 * rate} {
			limit := allotter.Limit{Rate: rate, Burst: burst}
			p := allotter.Divide(limit, bounds)
			total := rate*5 + burst
			portion := p.Rate*5 + p.Capacity
			used := float64(p.Portions+p.Spares)*portion + p.CutOff + 2*float64(p.Initial) + rate*allotter.TokenLifetime.Seconds()
			assert.Assert(t, used <= total*1.25+20+1e-9, "%v: %v of %v", limit, used, total*1.25+20)
			assert.Assert(t, p.Spares > 0, "%v has no spare", limit)
			assert.Equal(t, allotter.Divide(limit, allotter.Bounds{Window: 5 * time.Second}).Spares, 0)
		}
	}
}

// Guards against a lost custodian whose portion is missing for as long as it is in the list.
func TestSpareIssuesWhenCustodianIsLost(t *testing.T) {
	limit := allotter.Limit{Rate: 9}
	w := newWorld(1, 30, limit, true)
	w.runUntil(w.now + time.Minute)
	place := w.instances[0].tracker.Fleet().Place(tenant, allotter.Divide(limit, bounds), "d0")
	w.find(place.Custodians[0]).alive = false
	start := w.now
	asker := w.instances[0]
	for asker.name == place.Custodians[0] {
		asker = w.instances[1]
	}
	w.load(20, start+40*time.Second, func() *instance { return asker })
	w.runUntil(start + 40*time.Second)
	share := float64(w.admittedIn(start+10*time.Second, w.now)) / (limit.Rate * 30)
	assert.Assert(t, share > 0.9, "share of the limit %.3f", share)
}

// Guards against a failure domain that is cut off and gets nothing of a limit once it no longer issues its portions.
func TestDomainIssuesItsPartOfSlackWhenItIsCutOff(t *testing.T) {
	limit := allotter.Limit{Rate: 40, Burst: 40}
	w := newWorld(1, 30, limit, false)
	w.runUntil(w.now + time.Minute)
	for n, in := range w.instances {
		if n%3 == 0 {
			in.group = 1
		}
	}
	start := w.now
	w.load(60, start+40*time.Second, func() *instance { return w.instances[3*w.random.IntN(10)] })
	w.runUntil(start + 40*time.Second)
	late := w.admittedIn(start+20*time.Second, w.now)
	assert.Assert(t, late > 0 && late < 20*40/4, "%d admitted", late)
}
