package dispatcher

import (
	"sync"
	"time"
)

// attemptRetention is how long a non-idempotent attempt is remembered after its deadline.
const attemptRetention = 2 * time.Minute

// attempts remembers the non-idempotent attempts that this instance received, so that each is sent to a target at most
// once.
type attempts struct {
	mu sync.Mutex
	// claimed holds the expiry time of each attempt. An attempt can be claimed once.
	claimed map[string]time.Time
	// sent holds the attempts that were sent to a target.
	sent map[string]bool
}

func newAttempts() *attempts {
	return &attempts{claimed: make(map[string]time.Time), sent: make(map[string]bool)}
}

// claim reports whether the attempt is new, and remembers it until attemptRetention after the given deadline.
func (a *attempts) claim(attempt string, deadline time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, found := a.claimed[attempt]; found {
		return false
	}
	a.claimed[attempt] = time.Now().Add(deadline + attemptRetention)
	return true
}

// markSent marks the attempt as sent and reports whether it had not been marked before.
func (a *attempts) markSent(attempt string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sent[attempt] {
		return false
	}
	a.sent[attempt] = true
	return true
}

// unmarkSent removes the mark of an attempt of which no byte was sent.
func (a *attempts) unmarkSent(attempt string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.sent, attempt)
}

func (a *attempts) removeExpired() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	for attempt, until := range a.claimed {
		if now.After(until) {
			delete(a.claimed, attempt)
			delete(a.sent, attempt)
		}
	}
}
