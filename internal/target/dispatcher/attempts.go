package dispatcher

import (
	"sync"
	"time"
)

// attemptLifetime is how long the id of a non-idempotent attempt is remembered; it exceeds every deadline.
const attemptLifetime = 2 * time.Minute

// attempts remembers the non-idempotent attempts of this instance.
type attempts struct {
	mu sync.Mutex
	// claimed holds the time of the claim; an attempt is claimed once.
	claimed map[string]time.Time
	// written holds the attempts that were written to a target.
	written map[string]bool
}

func newAttempts() *attempts {
	return &attempts{claimed: make(map[string]time.Time), written: make(map[string]bool)}
}

// claim reports whether the attempt is new.
func (a *attempts) claim(attempt string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, found := a.claimed[attempt]; found {
		return false
	}
	a.claimed[attempt] = time.Now()
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
	for attempt, at := range a.claimed {
		if time.Since(at) > attemptLifetime {
			delete(a.claimed, attempt)
			delete(a.written, attempt)
		}
	}
}
