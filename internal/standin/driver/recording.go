package driver

import (
	"context"
	"sync"
	"time"
)

// Recording holds the result of a run and the observation of each query.
type Recording struct {
	Began        time.Time
	Observations []Observation
	Result       Result
}

// Record performs a run and keeps the observation of each query. It replaces Observe of the settings.
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

// Phase summarizes the queries from begin until end, relative to the start of the run. If end is 0, it includes all
// queries since begin.
func (r Recording) Phase(begin, end time.Duration) Phase {
	to := r.Began.Add(end)
	if end == 0 {
		to = r.Began.Add(time.Duration(r.Result.ElapsedMs+1) * time.Millisecond)
	}
	return NewPhase(r.Observations, r.Began.Add(begin), to)
}
