package sender

import (
	"maps"
	"sync"
	"time"
)

// intervalLog limits log lines to one for each subject in an interval.
type intervalLog struct {
	mu       sync.Mutex
	loggedAt map[string]time.Time
}

// due reports whether a line about the subject is due, and counts it as logged then.
func (l *intervalLog) due(subject string, now time.Time, interval time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.loggedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= interval })
	if _, logged := l.loggedAt[subject]; logged {
		return false
	}
	if l.loggedAt == nil {
		l.loggedAt = make(map[string]time.Time)
	}
	l.loggedAt[subject] = now
	return true
}
