package admitter

import "time"

// window is the least time for which the shortest service time refuses shorter deadlines.
const window = 5 * time.Second

// minimum is the shortest service time of the current and the previous window.
type minimum struct {
	// window is the least time for which a service time is remembered.
	window time.Duration
	// started is the start of the current window; zero before the first observation.
	started           time.Time
	current, previous time.Duration
}

func (m *minimum) observe(now time.Time, d time.Duration) {
	m.rotate(now)
	if m.current == 0 || d < m.current {
		m.current = d
	}
}

// value returns zero when nothing was observed recently.
func (m *minimum) value(now time.Time) time.Duration {
	m.rotate(now)
	if m.current == 0 || m.previous == 0 {
		return max(m.current, m.previous)
	}
	return min(m.current, m.previous)
}

func (m *minimum) rotate(now time.Time) {
	age := now.Sub(m.started)
	if age < m.window {
		return
	}
	if age < 2*m.window {
		m.previous = m.current
	} else {
		m.previous = 0
	}
	m.current, m.started = 0, now
}
