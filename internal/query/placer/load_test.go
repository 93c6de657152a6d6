package placer_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/cluster/enroller"
	"apricotflow/internal/query/placer"
)

const (
	partTime = 100 * time.Microsecond
	// targetWait is the time that a query waits for its targets besides the processor time of instances.
	targetWait = 10 * time.Millisecond
	roundTrip  = time.Millisecond
	// batchParts is what a batch costs each end.
	batchParts = 3
	// delegationParts is what it costs to delegate a query.
	delegationParts = 5
)

// replay serves queries that arrive at random instances of a deployment, in virtual time. Each instance does its work in
// order.
type replay struct {
	instances []enroller.Capacity
	placers   []*placer.Placer
	freeAt    []time.Time
	events    events
	random    *rand.Rand
	// places reports whether queries are delegated and divided.
	places bool
	// inTime and total count the queries.
	inTime, total int
}

type event struct {
	at time.Time
	do func(now time.Time)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (r *replay) at(t time.Time, do func(now time.Time)) { heap.Push(&r.events, event{at: t, do: do}) }

// work adds parts to the work of an instance and returns when it has done them.
func (r *replay) work(i, parts int, now time.Time) time.Time {
	if r.freeAt[i].Before(now) {
		r.freeAt[i] = now
	}
	r.freeAt[i] = r.freeAt[i].Add(time.Duration(parts) * partTime * 1000 / time.Duration(r.instances[i].Thousandths))
	return r.freeAt[i]
}

// inProgress returns the number of parts that an instance has to do.
func (r *replay) inProgress(i int, now time.Time) int {
	return int(max(r.freeAt[i].Sub(now), 0) * time.Duration(r.instances[i].Thousandths) / 1000 / partTime)
}

func (r *replay) indexOf(instance string) int {
	for i, c := range r.instances {
		if c.Instance == instance {
			return i
		}
	}
	return -1
}

// run runs a query on an instance, which divides it, and returns when it has the answer.
func (r *replay) run(i int, now time.Time) time.Time {
	left, last := query.Parts, now
	if r.places {
		for _, s := range r.placers[i].Divide(query.Parts, r.inProgress(i, now), without(r.instances, i), now) {
			peer := r.indexOf(s.Instance.Instance)
			run := r.placers[i].Begin(s.Instance, placer.Query{Parts: s.Parts}, now)
			left -= s.Parts
			r.work(i, batchParts, now)
			done := r.work(peer, s.Parts+batchParts, now.Add(roundTrip/2)).Add(roundTrip / 2)
			r.at(done, func(now time.Time) {
				run.End()
				r.placers[i].RecordWork(s.Instance.Instance, r.inProgress(peer, now), now)
			})
			if done.After(last) {
				last = done
			}
		}
	}
	if done := r.work(i, left, now); done.After(last) {
		last = done
	}
	return last.Add(targetWait)
}

// serve serves a query at the instance where it arrived.
func (r *replay) serve(i int, arrived, now time.Time, tried []string) {
	p, others := r.placers[i], without(r.instances, i)
	name, found := p.Choose(query, r.inProgress(i, now), others, tried, now)
	if !r.places || !p.IsTooWide(query) || !found || len(tried) == 3 {
		r.at(r.run(i, now), func(now time.Time) { r.count(arrived, now) })
		return
	}
	helper := r.indexOf(name)
	run := p.Begin(r.instances[helper], query, now)
	r.at(r.work(i, delegationParts, now).Add(roundTrip/2), func(now time.Time) {
		if !r.placers[helper].HasRoom(query, r.inProgress(helper, now)) {
			r.at(now.Add(roundTrip/2), func(now time.Time) {
				run.End()
				p.RecordWork(name, r.inProgress(helper, now), now)
				r.serve(i, arrived, now, append(tried, name))
			})
			return
		}
		r.at(r.run(helper, now).Add(roundTrip/2), func(now time.Time) {
			p.RecordWork(name, r.inProgress(helper, now), now)
			run.Answered(now)
			r.count(arrived, now)
		})
	})
}

func (r *replay) count(arrived, now time.Time) {
	r.total++
	if now.Sub(arrived) <= query.Limit {
		r.inTime++
	}
}

// serveLoad serves queries at the given rate for 20 s and returns the fraction in time.
func serveLoad(instances []enroller.Capacity, perSecond float64, places bool) float64 {
	r := &replay{instances: instances, freeAt: make([]time.Time, len(instances)), random: rand.New(rand.NewPCG(1, 2)), places: places}
	for _, c := range instances {
		r.placers = append(r.placers, placer.New(c))
	}
	for at := start; at.Before(start.Add(20 * time.Second)); at = at.Add(time.Duration(r.random.ExpFloat64() * float64(time.Second) / perSecond)) {
		i := r.random.IntN(len(instances))
		r.at(at, func(now time.Time) { r.serve(i, now, now, nil) })
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		e.do(e.at)
	}
	return float64(r.inTime) / float64(r.total)
}

// Guards against large instances that get more queries than they can serve while small ones have capacity, in a burst and when
// most of the large ones are lost, and against any other number and size of instances for which the placement is of no use.
func TestQueriesAreInTimeOnAverageInBurstsAndWithFewLargeInstances(t *testing.T) {
	all := deployment()
	equal := make([]enroller.Capacity, 4)
	for i := range equal {
		equal[i] = instance(string(rune('a'+i)), "d0", 300)
	}
	for _, c := range []struct {
		name      string
		instances []enroller.Capacity
		perSecond float64
		least     float64
	}{
		{"average day", all, 42, 0.99},
		{"burst", all, 126, 0.97},
		{"one large instance in a burst", all[5:], 126, 0.75},
		{"no large instance", all[6:], 42, 0.95},
		{"four equal instances", equal, 10, 0.97},
	} {
		placed, unplaced := serveLoad(c.instances, c.perSecond, true), serveLoad(c.instances, c.perSecond, false)
		t.Logf("%s: %.3f in time, %.3f without placement", c.name, placed, unplaced)
		assert.Assert(t, placed >= c.least && placed > unplaced, "%s: %.3f", c.name, placed)
	}
}
