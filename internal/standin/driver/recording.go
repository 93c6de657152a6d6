package driver

import (
	"context"
	"sync"
	"time"
)

// Recording is one run with its single queries.
type Recording struct {
	Began        time.Time
	Observations []Observation
	Result       Result
}

// Record runs the load and keeps its queries; the settings' Observe is not called.
func Record(ctx context.Context, s Settings) Recording {
	r := Recording{Began: time.Now()}
	var mu sync.Mutex
	s.Observe = func(o Observation) {
		mu.Lock()
		defer mu.Unlock()
		r.Observations = append(r.Observations, o)
	}
	r.Result = New(s).Run(ctx)
	return r
}

// Phase returns the service from begin to end, counted from the start of the load; end 0 means that of the load.
func (r Recording) Phase(begin, end time.Duration) Phase {
	to := r.Began.Add(end)
	if end == 0 {
		to = r.Began.Add(time.Duration(r.Result.ElapsedMs+1) * time.Millisecond)
	}
	return NewPhase(r.Observations, r.Began.Add(begin), to)
}
