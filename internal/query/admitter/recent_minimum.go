package admitter

import "time"

// minLatencyWindow is the minimum time for which an instance remembers its shortest query latency. Queries whose
// deadline is below that latency are refused.
const minLatencyWindow = 5 * time.Second

// recentMinimum is the shortest duration observed in the current and the previous window.
type recentMinimum struct {
	// window is the length of a window, and so the minimum time for which an observation is remembered.
	window time.Duration
	// windowStart is the start of the current window; zero before the first observation.
	windowStart       time.Time
	current, previous time.Duration
}

func (m *recentMinimum) observe(now time.Time, d time.Duration) {
	m.rotate(now)
	if m.current == 0 || d < m.current {
		m.current = d
	}
}

// value returns the shortest recent duration, or zero if there is none.
func (m *recentMinimum) value(now time.Time) time.Duration {
	m.rotate(now)
	if m.current == 0 || m.previous == 0 {
		return max(m.current, m.previous)
	}
	return min(m.current, m.previous)
}

func (m *recentMinimum) rotate(now time.Time) {
	age := now.Sub(m.windowStart)
	if age < m.window {
		return
	}
	if age < 2*m.window {
		m.previous = m.current
	} else {
		m.previous = 0
	}
	m.current, m.windowStart = 0, now
}
