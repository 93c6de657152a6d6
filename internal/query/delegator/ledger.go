package delegator

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// maxAbilityAge is the maximum age of an instance's statement that it can relay requests for others.
	maxAbilityAge = time.Second
	// retainedAbilityAge is the age up to which such a statement makes an instance one of the first to be asked again.
	retainedAbilityAge = 10 * time.Second
	// suspensionTime is how long an instance gets no requests after it could not be reached or its answer was overdue.
	suspensionTime = 2 * time.Second
	// minAskedInstances is the number of instances that are asked in a round. It doubles with each round in a row that has
	// found no able instance, up to maxAskedInstances.
	minAskedInstances = 8
	maxAskedInstances = 64
	// retainedFraction is the fraction of them that were able lately. The others are drawn at random, so that over time the
	// requests of all stranded instances spread over all able ones.
	retainedFraction = 0.25
)

// Ledger holds what this instance knows of the ability of others to relay requests for it, and how many requests each of
// them has in hand for it. It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	entries map[string]*ledgerEntry
}

// ledgerEntry is what is known of one instance.
type ledgerEntry struct {
	// able is the latest statement, made at statedAt; statedAt is zero if there was none.
	able     bool
	statedAt time.Time
	// suspendedUntil is the time until which the instance is neither asked nor chosen.
	suspendedUntil time.Time
	// inHand is the number of requests that were handed over and are not answered yet.
	inHand int
}

// NewLedger returns a Ledger without entries.
func NewLedger() *Ledger { return &Ledger{entries: make(map[string]*ledgerEntry)} }

// entry returns the entry of an instance and creates it if there is none. The lock must be held.
func (l *Ledger) entry(instance string) *ledgerEntry {
	e := l.entries[instance]
	if e == nil {
		e = &ledgerEntry{}
		l.entries[instance] = e
	}
	return e
}

// RecordAbility records the statement of an instance on whether it can relay requests for others.
func (l *Ledger) RecordAbility(instance string, able bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(instance)
	e.able, e.statedAt = able, now
}

// Suspend records that an instance could not be reached or has not answered in time.
func (l *Ledger) Suspend(instance string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(instance)
	e.able, e.suspendedUntil = false, now.Add(suspensionTime)
}

// Begin records a request that is handed over to an instance. The returned function records its end.
func (l *Ledger) Begin(instance string) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(instance)
	e.inHand++
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		e.inHand--
	}
}

// Choose returns the instance with the fewest requests in hand among those that have recently stated that they are able,
// without those that were tried. Slow instances have more in hand and so get less.
func (l *Ledger) Choose(now time.Time, tried []string) (instance string, found bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best []string
	fewest := 0
	for name, e := range l.entries {
		if !e.able || now.Sub(e.statedAt) > maxAbilityAge || now.Before(e.suspendedUntil) || slices.Contains(tried, name) {
			continue
		}
		if len(best) == 0 || e.inHand < fewest {
			best, fewest = best[:0], e.inHand
		}
		if e.inHand == fewest {
			best = append(best, name)
		}
	}
	if len(best) == 0 {
		return "", false
	}
	return best[rand.IntN(len(best))], true
}

// Candidates returns the instances to ask next, of those given: some that were able lately, and others at random. The
// parameter failedRounds is the number of rounds in a row that have found no able instance. Entries of instances that are
// not given are dropped.
func (l *Ledger) Candidates(instances []string, failedRounds int, now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	given := make(map[string]bool, len(instances))
	var able, others []string
	for _, name := range instances {
		given[name] = true
		e := l.entries[name]
		switch {
		case e != nil && now.Before(e.suspendedUntil):
		case e != nil && e.able && now.Sub(e.statedAt) < retainedAbilityAge:
			able = append(able, name)
		default:
			others = append(others, name)
		}
	}
	for name := range l.entries {
		if !given[name] {
			delete(l.entries, name)
		}
	}
	for _, names := range [][]string{able, others} {
		rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	}
	limit := min(minAskedInstances<<min(failedRounds, maxAskedInstances), maxAskedInstances)
	retained := able[:min(len(able), max(int(retainedFraction*float64(limit)), limit-len(others)))]
	return append(retained, others[:min(len(others), limit-len(retained))]...)
}
