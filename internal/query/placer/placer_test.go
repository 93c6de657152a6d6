package placer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/cluster/enroller"
	"apricotflow/internal/query/placer"
)

// The capacities of the deployment that the placement is for, in thousandths of a core.
const (
	small = 134
	large = 800
)

var (
	start = time.Unix(1e9, 0)
	query = placer.Query{Route: "search", Parts: 90, Limit: 40 * time.Millisecond}
)

func instance(name, domain string, capacity int) enroller.Capacity {
	return enroller.Capacity{Instance: name, FailureDomain: domain, Thousandths: capacity}
}

func newPlacer(capacity int) *placer.Placer { return placer.New(instance("a", "east", capacity)) }

// Guards against changes to deployments without capacities, or whose instances are all large enough.
func TestPlacementIsActiveOnlyWhereAQueryIsTooWideForAnInstance(t *testing.T) {
	smallOther, largeOther, unknown := instance("b", "east", small), instance("c", "east", large), instance("d", "east", 0)
	assert.Assert(t, newPlacer(small).IsActive(query, nil))
	assert.Assert(t, newPlacer(large).IsActive(query, []enroller.Capacity{largeOther, smallOther}))
	assert.Assert(t, !newPlacer(large).IsActive(query, []enroller.Capacity{largeOther, unknown}))
	assert.Assert(t, !newPlacer(0).IsActive(query, []enroller.Capacity{smallOther}))
	assert.Assert(t, newPlacer(small).IsTooWide(query))
	assert.Assert(t, !newPlacer(large).IsTooWide(query))
	narrow := query
	narrow.Parts = 20
	assert.Assert(t, !newPlacer(small).IsTooWide(narrow))
	_, found := newPlacer(0).Choose(query, 0, []enroller.Capacity{largeOther}, nil, start)
	assert.Assert(t, !found)
}

// Guards against queries that go to instances that cannot serve them faster: those without a known capacity, suspected,
// suspended or tried ones, and those of equal capacity.
func TestQueryGoesToTheBestInstanceThatMayRunIt(t *testing.T) {
	p := newPlacer(small)
	suspected := instance("f", "east", large)
	suspected.Suspected = true
	others := []enroller.Capacity{instance("b", "east", small), instance("c", "west", large), instance("d", "east", large), instance("e", "east", 0), suspected}
	choose := func(now time.Time, tried ...string) string {
		chosen, _ := p.Choose(query, 0, others, tried, now)
		return chosen
	}
	assert.Equal(t, choose(start), "d")
	assert.Equal(t, choose(start, "d"), "c")
	assert.Equal(t, choose(start, "d", "c"), "")
	p.Suspend("d", start)
	assert.Equal(t, choose(start.Add(1900*time.Millisecond)), "c")
	assert.Equal(t, choose(start.Add(2100*time.Millisecond)), "d")
	// One that answers all the same is neither lost nor frozen.
	run := p.Begin(others[2], query, start)
	p.Suspend("d", start)
	assert.Equal(t, choose(start), "c")
	run.Answered(start.Add(20 * time.Millisecond))
	assert.Equal(t, choose(start.Add(20*time.Millisecond)), "d")
}

// Guards against instances that all send to the same one: equal ones must take turns by chance.
func TestEqualInstancesTakeTurns(t *testing.T) {
	p := newPlacer(small)
	others := []enroller.Capacity{instance("b", "east", large), instance("c", "east", large)}
	chosen := make(map[string]int)
	for range 200 {
		name, _ := p.Choose(query, 0, others, nil, start)
		chosen[name]++
	}
	assert.Assert(t, chosen["b"] > 50 && chosen["c"] > 50, chosen)
}

// Guards against queries that wait at busy instances, and against reports that count when they are stale.
func TestQueryStaysHereWhenOthersAreBusy(t *testing.T) {
	p := newPlacer(small)
	others := []enroller.Capacity{instance("b", "east", large)}
	choose := func(now time.Time) bool {
		_, found := p.Choose(query, 0, others, nil, now)
		return found
	}
	p.RecordWork("b", 300, start)
	assert.Assert(t, !choose(start))
	assert.Assert(t, choose(start.Add(1100*time.Millisecond)))
	// Work that this instance has handed over counts in addition to what was reported.
	p.RecordWork("b", 100, start)
	assert.Assert(t, choose(start))
	handedOver := p.Begin(others[0], query, start)
	assert.Assert(t, !choose(start))
	handedOver.End()
	// It counts without a report too, until it ends.
	first, second := p.Begin(others[0], query, start), p.Begin(others[0], query, start)
	third := p.Begin(others[0], query, start)
	later := start.Add(2 * time.Second)
	assert.Assert(t, !choose(later))
	first.End()
	second.End()
	assert.Assert(t, choose(later))
	third.End()
	assert.Assert(t, newPlacer(large).HasRoom(query, 100))
	assert.Assert(t, !newPlacer(large).HasRoom(query, 300))
	assert.Assert(t, newPlacer(0).HasRoom(query, 300))
}

// Guards against an instance that reports too little work, or is slow for another reason: it must lose its preference by
// what is measured, and get it back.
func TestSlowInstanceThatReportsNoWorkIsAvoided(t *testing.T) {
	p := newPlacer(small)
	liar, honest := instance("b", "east", large), instance("c", "west", large)
	others := []enroller.Capacity{liar, honest}
	now := start
	answer := func(c enroller.Capacity, took time.Duration) {
		run := p.Begin(c, query, now)
		now = now.Add(took)
		p.RecordWork(c.Instance, 0, now)
		run.Answered(now)
	}
	answer(honest, 18*time.Millisecond)
	chosen, _ := p.Choose(query, 0, others, nil, now)
	assert.Equal(t, chosen, "b")
	answer(liar, 30*time.Millisecond)
	chosen, _ = p.Choose(query, 0, others, nil, now)
	assert.Equal(t, chosen, "c")
	// A slow first answer must not pass for usual for long.
	for range 3 {
		answer(liar, 35*time.Millisecond)
		answer(honest, 18*time.Millisecond)
	}
	chosen, _ = p.Choose(query, 0, others, nil, now)
	assert.Equal(t, chosen, "c")
	chosen, _ = p.Choose(query, 0, others, nil, now.Add(20*time.Second))
	assert.Equal(t, chosen, "b")
}

// Guards against queries that are all started twice because a few targets are slow: what nearly all answers take is expected.
func TestExpectedTimeCoversAnswersThatWaitForSlowTargets(t *testing.T) {
	p, now, c := newPlacer(small), start, instance("b", "east", large)
	assert.Equal(t, p.Begin(c, query, now).Expected(), time.Duration(0))
	p = newPlacer(small)
	for i := range 100 {
		run := p.Begin(c, query, now)
		took := 16 * time.Millisecond
		if i%10 == 9 {
			took = 33 * time.Millisecond
		}
		now = now.Add(took)
		run.Answered(now)
	}
	run := p.Begin(c, query, now)
	assert.Assert(t, run.Expected() > 25*time.Millisecond && run.Expected() <= 33*time.Millisecond, run.Expected())
	run.End()
	for range 300 {
		run := p.Begin(c, query, now)
		now = now.Add(16 * time.Millisecond)
		run.Answered(now)
	}
	run = p.Begin(c, query, now)
	assert.Assert(t, run.Expected() < 18*time.Millisecond, run.Expected())
	// Queries that another instance has answered first count too.
	for range 5 {
		run := p.Begin(c, query, now)
		now = now.Add(33 * time.Millisecond)
		run.Canceled(now)
	}
	run = p.Begin(c, query, now)
	assert.Assert(t, run.Expected() > 25*time.Millisecond && run.Expected() <= 33*time.Millisecond, run.Expected())
}

// Guards against parts that an instance gets although it has too little capacity or is busy, and against instances that
// finish at different times.
func TestPartsAreDividedSoThatAllFinishTogether(t *testing.T) {
	p := newPlacer(large)
	available := []enroller.Capacity{instance("b", "east", large), instance("c", "east", small), instance("d", "east", 0), instance("e", "east", 2*large)}
	sharesOf := func(shares []placer.Share) string {
		text := ""
		for _, s := range shares {
			text += fmt.Sprintf("%s=%d ", s.Instance.Instance, s.Parts)
		}
		return text
	}
	// A batch costs both ends three parts: each has 48 parts to do.
	assert.Equal(t, sharesOf(p.Divide(90, 0, available[:3], start)), "b=45 ")
	p.RecordWork("b", 400, start)
	assert.Equal(t, sharesOf(p.Divide(90, 0, available[:3], start)), "")
	assert.Equal(t, sharesOf(p.Divide(90, 0, available, start)), "e=61 ")
	// A small instance divides a wide query among others when no large one takes it.
	p = newPlacer(small)
	var others []enroller.Capacity
	for i := range 48 {
		others = append(others, instance(fmt.Sprint("s", i), "east", small))
	}
	total, shares := 0, p.Divide(90, 0, others, start)
	for _, s := range shares {
		total += s.Parts
		assert.Assert(t, s.Parts >= 10 && s.Parts <= 20, s)
	}
	own := 90 - total + 3*len(shares)
	assert.Assert(t, len(shares) >= 4 && own <= 22, "%d batches, %d parts here", len(shares), own)
	assert.Equal(t, len(newPlacer(0).Divide(90, 0, others, start)), 0)
}

// Guards against parts for another failure domain that go to an instance that is too slow for them while a large one is
// available, or all to one when none is.
func TestPartsForAnotherDomainGoToAsFewInstancesAsHaveTime(t *testing.T) {
	p := newPlacer(large)
	own := query
	own.Parts = 30
	available := []enroller.Capacity{instance("c", "west", small), instance("d", "west", 0), instance("b", "west", large), instance("e", "west", small)}
	shares := p.Spread(own, available, start)
	assert.Equal(t, len(shares), 1)
	assert.Assert(t, shares[0].Instance.Instance == "b" && shares[0].Parts == 30, shares)
	p.Suspend("b", start)
	shares = p.Spread(own, available, start)
	assert.Equal(t, len(shares), 2)
	assert.Equal(t, shares[0].Parts+shares[1].Parts, 30)
	assert.Equal(t, shares[0].Parts, 15)
	p.RecordWork("c", 300, start)
	shares = p.Spread(own, available, start)
	assert.Assert(t, len(shares) == 1 && shares[0].Instance.Instance == "e", shares)
	own.Parts = 2
	assert.Equal(t, len(p.Spread(own, available, start)), 0)
}
