// Package quarantiner decides which requests are kept away from targets because targets end while they run them (a query
// of death), in relay mode. It knows requests by their fingerprints and collects which targets have ended under each. A
// single success of a target clears a request. Package relayer reports what it observes and asks for verdicts, and package
// sharer exchanges the observations of all instances. Nothing here does input or output.
package quarantiner

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"slices"
	"sync"
	"time"
)

const (
	// minEnds is the number of targets that must have ended under a request before it is quarantined. Two may be killed
	// under one request by chance.
	minEnds = 3
	// maxRecordedEnds is the maximum number of ended targets that are recorded for a request; more would not change the
	// verdict.
	maxRecordedEnds = 4
	// quarantineTime is how long a request is quarantined after the latest target ended under it or the latest one like it
	// was refused. It is then tried on one target.
	quarantineTime = 15 * time.Minute
	// holdTime is how long a request is held after the latest one of several targets has ended under it. The trial of a
	// request takes a fraction of that, unless its caller has left.
	holdTime = time.Second
	// retention is how long a request is known after the latest observation of it.
	retention = 6 * time.Hour
	// maxEntries is the maximum number of known requests. An entry takes less than 1 KB.
	maxEntries = 256
	// fingerprintBytes is the length of a fingerprint; callers cannot find two requests with the same one.
	fingerprintBytes = 16
)

// Fingerprint identifies requests that are the same to a target: it depends on the method, the host, the path with its
// query, the caller's credentials and the body.
type Fingerprint string

// NewFingerprint returns the fingerprint of a request with the given properties.
func NewFingerprint(properties ...[]byte) Fingerprint {
	h := sha256.New()
	for _, p := range properties {
		// A hash never fails to be written. The length keeps properties apart.
		_, _ = io.WriteString(h, lengthPrefix(p))
		_, _ = h.Write(p)
	}
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}

func lengthPrefix(p []byte) string {
	n := len(p)
	return string([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})
}

// Verdict is how a request has to be handled.
type Verdict int

// Verdicts, the strictest one last.
const (
	// Unsuspected requests are served as usual.
	Unsuspected Verdict = iota
	// Suspected requests are tried on a single target first.
	Suspected
	// Held requests are refused for a moment, because the request under which the targets ended is being tried.
	Held
	// Quarantined requests are refused.
	Quarantined
)

// Record is what is known of a request. Records of several instances can be merged in any order and repeatedly.
type Record struct {
	Fingerprint Fingerprint
	// Generation counts how often the suspicion began again after the request had been cleared.
	Generation int
	// Cleared reports whether a target has answered the request with a success in this generation.
	Cleared bool
	// Ended holds the ids of up to maxRecordedEnds targets that ended while they ran the request.
	Ended []string
	// Tried reports whether one of them ended in a trial: as the only target that ran the request, after others had ended
	// under it. What ended those at one time, such as a loss of power, does not explain that.
	Tried bool
	// At is the time of the latest observation.
	At time.Time
}

// verdict returns the verdict on the request.
func (r Record) verdict(now time.Time) Verdict {
	switch {
	case r.Cleared || len(r.Ended) == 0:
		return Unsuspected
	case len(r.Ended) >= minEnds && r.Tried && now.Sub(r.At) < quarantineTime:
		return Quarantined
	case len(r.Ended) >= minEnds && !r.Tried && now.Sub(r.At) < holdTime:
		return Held
	}
	return Suspected
}

// WithEnd returns the record after another target has ended under the request.
func (r Record) WithEnd(target string, tried bool, now time.Time) Record {
	if r.Cleared {
		r = Record{Fingerprint: r.Fingerprint, Generation: r.Generation + 1}
	}
	if !slices.Contains(r.Ended, target) && len(r.Ended) < maxRecordedEnds {
		r.Ended = append(slices.Clone(r.Ended), target)
	}
	r.Tried = r.Tried || tried
	r.At = now
	return r
}

// WithRecord returns the record merged with that of another instance about the same request.
func (r Record) WithRecord(other Record) Record {
	switch {
	case other.Generation > r.Generation:
		return other
	case other.Generation < r.Generation:
		return r
	}
	for _, target := range other.Ended {
		if !slices.Contains(r.Ended, target) && len(r.Ended) < maxRecordedEnds {
			r.Ended = append(slices.Clone(r.Ended), target)
		}
	}
	r.Tried, r.Cleared = r.Tried || other.Tried, r.Cleared || other.Cleared
	if other.At.After(r.At) {
		r.At = other.At
	}
	return r
}

// Change is a change of the verdict on a request.
type Change struct {
	Record        Record
	Before, After Verdict
}

// Option configures a Quarantiner.
type Option func(*Quarantiner)

// WithClock sets the clock.
func WithClock(now func() time.Time) Option {
	return func(q *Quarantiner) { q.now = now }
}

// Quarantiner holds the records of an instance.
type Quarantiner struct {
	now func() time.Time

	mu      sync.Mutex
	records map[Fingerprint]Record
	// trials holds the requests that are being tried on this instance.
	trials map[Fingerprint]bool
	// observed is called for each observation of this instance, changed for each change of a verdict.
	observed func(Record)
	changed  func(Change)
}

// New returns a Quarantiner without records.
func New(opts ...Option) *Quarantiner {
	q := &Quarantiner{
		now: time.Now, records: make(map[Fingerprint]Record), trials: make(map[Fingerprint]bool),
		observed: func(Record) {}, changed: func(Change) {},
	}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// Subscribe sets the functions that are called for each observation of this instance and for each change of a verdict.
// They must not block. It must be called before the first request.
func (q *Quarantiner) Subscribe(observed func(Record), changed func(Change)) {
	q.observed, q.changed = observed, changed
}

// IsEmpty reports whether nothing is known of any request, so that the verdict on all is Unsuspected.
func (q *Quarantiner) IsEmpty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.records) == 0
}

// Verdict returns the verdict on a request.
func (q *Quarantiner) Verdict(f Fingerprint) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.records[f].verdict(q.now())
}

// RecordRefusal prolongs the quarantine of a request and returns how long it lasts from now on.
func (q *Quarantiner) RecordRefusal(f Fingerprint) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if r, found := q.records[f]; found {
		r.At = q.now()
		q.records[f] = r
	}
	return quarantineTime
}

// BeginTrial begins a trial of a suspected request. It returns false while another one is under way; otherwise EndTrial
// must be called.
func (q *Quarantiner) BeginTrial(f Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.trials[f] {
		return false
	}
	q.trials[f] = true
	return true
}

// EndTrial ends a trial.
func (q *Quarantiner) EndTrial(f Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.trials, f)
}

// RecordEnd records that a target ended while it ran the request, and returns the verdict. The parameter tried tells
// whether that was a trial.
func (q *Quarantiner) RecordEnd(f Fingerprint, target string, tried bool) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	before := q.records[f]
	before.Fingerprint = f
	return q.observe(before, before.WithEnd(target, tried, now), now)
}

// RecordSuccess records that a target answered the request with a success. It has no effect on a request that nothing
// speaks against.
func (q *Quarantiner) RecordSuccess(f Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if r, found := q.records[f]; found && !r.Cleared {
		now := q.now()
		after := r
		after.Cleared, after.At = true, now
		q.observe(r, after, now)
	}
}

// observe stores a record of this instance and returns the verdict on the request. The lock must be held.
func (q *Quarantiner) observe(before, after Record, now time.Time) Verdict {
	q.store(before, after, now)
	q.observed(after)
	return after.verdict(now)
}

// Merge merges the records of another instance.
func (q *Quarantiner) Merge(records []Record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	for _, other := range records {
		if now.Sub(other.At) >= retention {
			continue
		}
		other.Ended = other.Ended[:min(len(other.Ended), maxRecordedEnds)]
		before, found := q.records[other.Fingerprint]
		if !found {
			before = Record{Fingerprint: other.Fingerprint, Generation: other.Generation}
		}
		q.store(before, before.WithRecord(other), now)
	}
}

// store stores a record, drops what has become too old or too much, and reports a change of the verdict. The lock must be
// held.
func (q *Quarantiner) store(before, after Record, now time.Time) {
	q.records[after.Fingerprint] = after
	if len(q.records) > maxEntries {
		q.evict(now)
	}
	if v, w := before.verdict(now), after.verdict(now); v != w {
		q.changed(Change{Record: after, Before: v, After: w})
	}
}

// evict drops a record: one that is too old, or else the oldest one of those with the mildest verdict.
func (q *Quarantiner) evict(now time.Time) {
	records := q.sorted(now)
	delete(q.records, records[len(records)-1].Fingerprint)
}

// sorted returns all records, those with the strictest verdict and among them the latest ones first.
func (q *Quarantiner) sorted(now time.Time) []Record {
	records := make([]Record, 0, len(q.records))
	for _, r := range q.records {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(cmp.Compare(b.verdict(now), a.verdict(now)), b.At.Compare(a.At))
	})
	return records
}

// Records returns up to n records, those with the strictest verdict first, and drops those that are too old.
func (q *Quarantiner) Records(n int) []Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	for f, r := range q.records {
		if now.Sub(r.At) >= retention {
			delete(q.records, f)
		}
	}
	if len(q.records) == 0 {
		return nil
	}
	records := q.sorted(now)
	return records[:min(len(records), n)]
}
