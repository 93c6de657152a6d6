package relayer

import (
	"sync"
	"time"

	"apricotflow/internal/manifest/mapper"
)

const (
	// countWindow is how long the requests of a route are counted. The next request after it starts a new count.
	countWindow = 10 * time.Second
	// routeRetention is how long a route is kept after its count was started, so that an instance whose callers were
	// sent elsewhere still knows which routes they need.
	routeRetention = time.Minute
	// minServableFraction is the minimum fraction of recent requests that must be able to succeed.
	minServableFraction = 0.5
)

// recentRoutes counts recent requests by route.
type recentRoutes struct {
	mu     sync.Mutex
	counts map[string]*routeCount
}

type routeCount struct {
	route    *mapper.Route
	requests int
	// countedSince is when the count was started.
	countedSince time.Time
}

func newRecentRoutes() *recentRoutes {
	return &recentRoutes{counts: make(map[string]*routeCount)}
}

// add counts one request of the route.
func (r *recentRoutes) add(route *mapper.Route) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.counts[route.Name]
	if c == nil || time.Since(c.countedSince) > countWindow {
		c = &routeCount{countedSince: time.Now()}
		r.counts[route.Name] = c
	}
	c.route = route
	c.requests++
}

// recentCounts returns the counts of all routes within their retention, and removes the others.
func (r *recentRoutes) recentCounts() []routeCount {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make([]routeCount, 0, len(r.counts))
	for name, c := range r.counts {
		if time.Since(c.countedSince) > routeRetention {
			delete(r.counts, name)
			continue
		}
		counts = append(counts, *c)
	}
	return counts
}

// CanServe reports whether at least half of the recent requests could succeed with the targets that are now serving and
// reachable. It is true if there were none.
func (r *Relayer) CanServe() bool {
	if r.sender.AllReachable() {
		return true
	}
	total, possible := 0, 0
	for _, c := range r.recent.recentCounts() {
		total += c.requests
		if r.sender.CanServe(c.route, "") {
			possible += c.requests
		}
	}
	return float64(possible) >= minServableFraction*float64(total)
}
