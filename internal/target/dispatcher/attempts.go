package dispatcher

import (
	"sync"
	"time"
)

// attemptMargin is how long a non-idempotent attempt is remembered after its deadline.
const attemptMargin = 2 * time.Minute

// attempts remembers the non-idempotent attempts of this instance, so that each is written at most once.
type attempts struct {
	mu sync.Mutex
	// claimed holds the expiry time of each attempt. An attempt can be claimed once.
	claimed map[string]time.Time
	// written holds the attempts that were written to a target.
	written map[string]bool
}

func newAttempts() *attempts {
	return &attempts{claimed: make(map[string]time.Time), written: make(map[string]bool)}
}

// claim reports whether the attempt is new, and remembers it until attemptMargin after the given deadline.
func (a *attempts) claim(attempt string, deadline time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, found := a.claimed[attempt]; found {
		return false
	}
	a.claimed[attempt] = time.Now().Add(deadline + attemptMargin)
	return true
}

// markWritten marks the attempt as written and reports whether it had not been written before.
func (a *attempts) markWritten(attempt string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.written[attempt] {
		return false
	}
	a.written[attempt] = true
	return true
}

// unmarkWritten removes the mark of an attempt of which no byte was sent.
func (a *attempts) unmarkWritten(attempt string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.written, attempt)
}

func (a *attempts) sweep() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	for attempt, until := range a.claimed {
		if now.After(until) {
			delete(a.claimed, attempt)
			delete(a.written, attempt)
		}
	}
}
