// Package worker models the machine of a target: requests take its slots in the order of their arrival, and their work
// takes longer while the machine is slow or pauses. It sleeps until a request is done, so that tests which replay a load
// use it in virtual time (testing/synctest). It knows nothing of the network; tests join it with the code under test.
package worker

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"apricotflow/internal/target/transporter"
)

const (
	// spellPeriod, spellTime and spellFactor describe how a machine slows down: once in each period, at a random time, so
	// for 15 % of the time.
	spellPeriod = 600 * time.Millisecond
	spellTime   = 90 * time.Millisecond
	spellFactor = 2.5
	// pauseTime is how long a paused machine does nothing, which pauseFactor stands for. Pauses begin minPauseInterval to
	// twice that after each other.
	pauseTime        = 125 * time.Millisecond
	pauseFactor      = 1e9
	minPauseInterval = 2 * time.Second
)

// MeanWorkFactor is the mean duration of work on a machine without pauses, relative to the usual one.
const MeanWorkFactor = 1 + (spellFactor-1)*float64(spellTime)/float64(spellPeriod)

// Worker runs requests.
type Worker struct {
	// slowness is the duration of work relative to other machines.
	slowness float64
	start    time.Time
	// spells holds when the spell of each period begins, and pauses when the pauses do, both as times since start.
	spells, pauses []time.Duration

	mu sync.Mutex
	// freeAt holds when each slot is free.
	freeAt []time.Time
	// runs holds the requests that have not ended.
	runs []run
}

// run is a request with the times that it takes or ends its slot.
type run struct{ begin, end time.Time }

// New returns a Worker that is used for at most the lifetime.
func New(slots int, slowness float64, lifetime time.Duration, pauses bool, random *rand.Rand) *Worker {
	w := &Worker{slowness: slowness, start: time.Now(), freeAt: make([]time.Time, slots)}
	for begin := time.Duration(0); begin <= lifetime; begin += spellPeriod {
		w.spells = append(w.spells, begin+time.Duration(random.Int64N(int64(spellPeriod-spellTime))))
	}
	for begin := minPauseInterval; pauses && begin <= lifetime; begin += minPauseInterval + time.Duration(random.Int64N(int64(minPauseInterval))) {
		w.pauses = append(w.pauses, begin)
	}
	return w
}

// Run runs a request until its work is done and returns the load of the machine then.
func (w *Worker) Run(work time.Duration) transporter.Load {
	end := w.enter(work)
	time.Sleep(time.Until(end))
	return w.loadAt(end)
}

// enter puts a request on the slot that is free first and returns when its work will be done.
func (w *Worker) enter(work time.Duration) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	slot := 0
	for i := range w.freeAt {
		if w.freeAt[i].Before(w.freeAt[slot]) {
			slot = i
		}
	}
	r := run{begin: time.Now()}
	if w.freeAt[slot].After(r.begin) {
		r.begin = w.freeAt[slot]
	}
	r.end = r.begin
	for left := float64(work) * w.slowness; left >= 1; {
		factor, until := w.factor(r.end)
		took := min(time.Duration(left*factor)+1, until.Sub(r.end))
		left -= float64(took) / factor
		r.end = r.end.Add(took)
	}
	w.freeAt[slot] = r.end
	w.runs = append(w.runs, r)
	return r.end
}

// loadAt returns the load at the given time, and forgets the requests that have ended by then.
func (w *Worker) loadAt(at time.Time) transporter.Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = slices.DeleteFunc(w.runs, func(r run) bool { return !r.end.After(at) })
	factor, _ := w.factor(at)
	load := transporter.Load{Slots: len(w.freeAt), WorkFactor: factor}
	for _, r := range w.runs {
		if r.begin.After(at) {
			load.Waiting++
		} else {
			load.Running++
		}
	}
	return load
}

// factor returns the duration of work relative to the usual one at the given time, and until when it stays.
func (w *Worker) factor(at time.Time) (factor float64, until time.Time) {
	elapsed := at.Sub(w.start)
	period := min(int(elapsed/spellPeriod), len(w.spells)-1)
	factor, end := 1.0, time.Duration(period+1)*spellPeriod
	switch begin := w.spells[period]; {
	case elapsed < begin:
		end = begin
	case elapsed < begin+spellTime:
		factor, end = spellFactor, begin+spellTime
	}
	end = max(end, elapsed+1)
	next, _ := slices.BinarySearch(w.pauses, elapsed+1)
	if next > 0 && elapsed < w.pauses[next-1]+pauseTime {
		return pauseFactor, w.start.Add(w.pauses[next-1] + pauseTime)
	}
	if next < len(w.pauses) {
		end = min(end, w.pauses[next])
	}
	return factor, w.start.Add(end)
}
