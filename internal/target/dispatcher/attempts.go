package dispatcher

import (
	"sync"
	"time"
)

// attemptMargin is how long the id of a non-idempotent attempt is remembered after its deadline.
const attemptMargin = 2 * time.Minute

// attempts remembers the non-idempotent attempts of this instance.
type attempts struct {
	mu sync.Mutex
	// claimed holds the time until which an attempt is remembered; an attempt is claimed once.
	claimed map[string]time.Time
	// written holds the attempts that were written to a target.
	written map[string]bool
}

func newAttempts() *attempts {
	return &attempts{claimed: make(map[string]time.Time), written: make(map[string]bool)}
}

// claim reports whether the attempt, which may run for the given time, is new.
func (a *attempts) claim(attempt string, deadline time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, found := a.claimed[attempt]; found {
		return false
	}
	a.claimed[attempt] = time.Now().Add(deadline + attemptMargin)
	return true
}

// write reports whether the attempt has not been written before.
func (a *attempts) write(attempt string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.written[attempt] {
		return false
	}
	a.written[attempt] = true
	return true
}

// unwrite takes back a write of which no byte was sent.
func (a *attempts) unwrite(attempt string) {
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
