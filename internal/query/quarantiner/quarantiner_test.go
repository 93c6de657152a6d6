package quarantiner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/query/quarantiner"
)

const (
	// noticeTime is the time from the third end on after which at most maxLateRuns of the request may reach targets.
	noticeTime  = 4 * time.Second
	maxLateRuns = 3
	// exchangeInterval is the time between two exchanges of an instance with another one, and delay that of a message.
	exchangeInterval = 2 * time.Second
	delay            = 5 * time.Millisecond
	// endTime is the time that a target runs the request before it ends.
	endTime = 40 * time.Millisecond
)

// replay sends requests that end their targets through instances that share what they know, in virtual time.
type replay struct {
	now       time.Time
	random    *rand.Rand
	instances []*quarantiner.Quarantiner
	// lossy drops all notifications, so that only the exchanges spread what is known.
	lossy  bool
	shards int
	// events are functions to run at a time.
	events []event
	// ends holds the times at which targets ended.
	ends []time.Time
	seen int
}

type event struct {
	at  time.Time
	run func()
}

func newReplay(seed uint64, instances, shards int) *replay {
	r := &replay{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 2)), shards: shards}
	for i := range instances {
		r.instances = append(r.instances, nil)
		r.restart(i)
	}
	return r
}

// restart replaces an instance by one that knows nothing. It exchanges with another one soon after.
func (r *replay) restart(i int) {
	q := quarantiner.New(quarantiner.WithClock(func() time.Time { return r.now }))
	q.Subscribe(func(record quarantiner.Record) {
		if r.lossy {
			return
		}
		for k, other := range r.instances {
			if k != i && other != nil {
				r.after(delay, func() { other.Merge([]quarantiner.Record{record}) })
			}
		}
	}, func(quarantiner.Change) {})
	r.instances[i] = q
	r.exchange(i, q, exchangeInterval/4)
}

// exchange lets the instance exchange with a random one after a time, and regularly from then on.
func (r *replay) exchange(i int, q *quarantiner.Quarantiner, wait time.Duration) {
	r.after(wait, func() {
		if r.instances[i] != q {
			return
		}
		other := r.instances[r.random.IntN(len(r.instances))]
		own := q.Records(64)
		q.Merge(other.Records(64))
		other.Merge(own)
		r.exchange(i, q, exchangeInterval)
	})
}

func (r *replay) after(wait time.Duration, run func()) {
	r.events = append(r.events, event{at: r.now.Add(wait), run: run})
}

// runUntil runs the events until a time after the start.
func (r *replay) runUntil(end time.Duration) {
	for until := time.Unix(1000, 0).Add(end); r.now.Before(until); r.now = r.now.Add(time.Millisecond) {
		due := r.events
		r.events = nil
		for _, e := range due {
			if e.at.After(r.now) {
				r.events = append(r.events, e)
				continue
			}
			e.run()
		}
	}
}

// send lets an instance serve the request as the relayer would: to all shards, or to one target if it is suspected.
func (r *replay) send(i int, f quarantiner.Fingerprint) {
	q := r.instances[i]
	switch q.Verdict(f) {
	case quarantiner.Quarantined:
		q.RecordRefusal(f)
	case quarantiner.Held:
	case quarantiner.Suspected:
		if q.BeginTrial(f) {
			r.after(endTime, func() { r.end(q, f, true); q.EndTrial(f) })
		}
	default:
		r.after(endTime, func() {
			for range r.shards {
				r.end(q, f, false)
			}
			if r.shards > 1 {
				r.after(endTime, func() { r.end(q, f, true) })
			}
		})
	}
}

func (r *replay) end(q *quarantiner.Quarantiner, f quarantiner.Fingerprint, tried bool) {
	r.seen++
	r.ends = append(r.ends, r.now)
	q.RecordEnd(f, fmt.Sprintf("target-%d", r.seen), tried)
}

// lateRuns returns how many runs ended targets after noticeTime from the third end on.
func (r *replay) lateRuns() int {
	n := 0
	for _, at := range r.ends {
		if len(r.ends) >= 3 && at.Sub(r.ends[2]) > noticeTime {
			n++
		}
	}
	return n
}

// Guards against requests that end one target after the other, because each of many instances has to see it for itself.
func TestRequestThatEndsTargetsIsRefusedByAllInstancesInTime(t *testing.T) {
	cases := map[string]struct {
		instances, shards int
		lossy             bool
		// restartEvery is the time between two restarts of random instances; 0 for none.
		restartEvery time.Duration
		// gap is the time between two requests.
		gap time.Duration
	}{
		"few instances":                        {5, 20, false, 0, 500 * time.Millisecond},
		"few instances, one target a request":  {5, 1, false, 0, 500 * time.Millisecond},
		"many instances":                       {118, 90, false, 0, 100 * time.Millisecond},
		"many instances, one target a request": {118, 1, false, 0, 100 * time.Millisecond},
		"restarts":                             {12, 20, false, 700 * time.Millisecond, 1200 * time.Millisecond},
		"notifications are lost":               {5, 20, true, 0, 2 * time.Second},
		"seldom":                               {29, 20, false, 0, 20 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(max(200/c.instances, 2)) {
				r := newReplay(seed, c.instances, c.shards)
				r.lossy = c.lossy
				var next func()
				next = func() {
					r.send(r.random.IntN(len(r.instances)), "fatal")
					r.after(c.gap, next)
				}
				r.after(0, next)
				if c.restartEvery > 0 {
					var restart func()
					restart = func() { r.restart(r.random.IntN(len(r.instances))); r.after(c.restartEvery, restart) }
					r.after(c.restartEvery, restart)
				}
				r.runUntil(30 * time.Second)
				// An instance that has just restarted may be asked before its first exchange.
				if c.restartEvery == 0 {
					assert.Assert(t, r.lateRuns() <= maxLateRuns, "seed %d: %d late runs", seed, r.lateRuns())
				}
				assert.Assert(t, len(r.ends) <= 6*(c.shards+1), "seed %d: %d targets ended", seed, len(r.ends))
			}
		})
	}
}

// Guards against the refusal of requests under which many targets were killed for another reason: one success clears
// them, on all instances, whatever order the messages come in.
func TestSuccessClearsRequestOnAllInstances(t *testing.T) {
	ended := quarantiner.Record{Fingerprint: "f"}
	now := time.Unix(1000, 0)
	for i := range 10 {
		ended = ended.WithEnd(fmt.Sprintf("target-%d", i), true, now)
	}
	for name, order := range map[string][]int{"in order": {0, 1}, "late end": {1, 0}, "repeated": {0, 1, 0, 0}} {
		t.Run(name, func(t *testing.T) {
			q := quarantiner.New(quarantiner.WithClock(func() time.Time { return now }))
			cleared := ended
			cleared.Cleared = true
			records := []quarantiner.Record{ended, cleared}
			for _, i := range order {
				q.Merge(records[i : i+1])
			}
			assert.Equal(t, q.Verdict("f"), quarantiner.Unsuspected)
			// Ends after the success begin a new suspicion.
			assert.Equal(t, q.RecordEnd("f", "target-x", true), quarantiner.Suspected)
			q.Merge(records)
			assert.Equal(t, q.Verdict("f"), quarantiner.Suspected)
		})
	}
}

// Guards against a quarantine by ends that have another explanation: fewer than three targets, or all of them at once.
func TestRequestIsOnlySuspectedWithoutSufficientEvidence(t *testing.T) {
	now := time.Unix(1000, 0)
	q := quarantiner.New(quarantiner.WithClock(func() time.Time { return now }))
	for i := range 20 {
		verdict := q.RecordEnd("together", fmt.Sprintf("target-%d", i), false)
		assert.Assert(t, verdict == quarantiner.Suspected || verdict == quarantiner.Held, verdict)
	}
	now = now.Add(time.Second)
	assert.Equal(t, q.Verdict("together"), quarantiner.Suspected)
	assert.Equal(t, q.RecordEnd("twice", "target-0", true), quarantiner.Suspected)
	assert.Equal(t, q.RecordEnd("twice", "target-0", true), quarantiner.Suspected)
	assert.Equal(t, q.RecordEnd("twice", "target-1", true), quarantiner.Suspected)
	assert.Equal(t, q.RecordEnd("twice", "target-2", true), quarantiner.Quarantined)
}

// Guards against a request that is refused for good after the targets have been mended: it is tried again, on one target.
func TestQuarantinedRequestIsTriedAgainAfterQuietTime(t *testing.T) {
	now := time.Unix(1000, 0)
	q := quarantiner.New(quarantiner.WithClock(func() time.Time { return now }))
	for i := range 3 {
		q.RecordEnd("f", fmt.Sprintf("target-%d", i), true)
	}
	now = now.Add(14 * time.Minute)
	assert.Equal(t, q.Verdict("f"), quarantiner.Quarantined)
	now = now.Add(q.RecordRefusal("f") + time.Second)
	assert.Equal(t, q.Verdict("f"), quarantiner.Suspected)
	assert.Equal(t, q.RecordEnd("f", "target-9", true), quarantiner.Quarantined)
	q.RecordSuccess("f")
	assert.Equal(t, q.Verdict("f"), quarantiner.Unsuspected)
}

// Guards against memory that grows with the number of requests under which targets end, and against a flood of
// suspicions that pushes out a quarantine.
func TestRecordsAreBounded(t *testing.T) {
	q := quarantiner.New()
	for i := range 3 {
		q.RecordEnd("fatal", fmt.Sprintf("target-%d", i), true)
	}
	for i := range 5000 {
		q.RecordEnd(quarantiner.Fingerprint(fmt.Sprintf("f%d", i)), "target", true)
	}
	assert.Assert(t, len(q.Records(10000)) <= 256)
	assert.Equal(t, q.Verdict("fatal"), quarantiner.Quarantined)
	assert.Equal(t, q.Records(1)[0].Fingerprint, quarantiner.Fingerprint("fatal"))
}

// Guards against two requests that are taken for the same one because their properties join to the same text.
func TestFingerprintsKeepPropertiesApart(t *testing.T) {
	a := quarantiner.NewFingerprint([]byte("GET"), []byte("shop.example"), []byte("/a"))
	assert.Assert(t, a != quarantiner.NewFingerprint([]byte("GET"), []byte("shop.example/"), []byte("a")))
	assert.Assert(t, a != quarantiner.NewFingerprint([]byte("GET"), []byte("shop.example"), []byte("/a"), nil))
	assert.Equal(t, a, quarantiner.NewFingerprint([]byte("GET"), []byte("shop.example"), []byte("/a")))
}
