package relayer

import (
	"sync"
	"time"

	"apricotflow/internal/manifest/mapper"
)

const (
	// countWindow is how long the requests of a route are counted before the count restarts.
	countWindow = 10 * time.Second
	// routeRetention is how long a route without requests is kept, so that an instance whose callers were sent
	// elsewhere still knows which routes they need.
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
	// countedSince is when the count was last restarted.
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

// activeRoutes returns the routes with recent requests, and removes those past their retention.
func (r *recentRoutes) activeRoutes() []routeCount {
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

// CanServe reports whether most of the recent requests could succeed with the targets now in reach.
func (r *Relayer) CanServe() bool {
	if r.sender.AllReachable() {
		return true
	}
	total, possible := 0, 0
	for _, c := range r.recent.activeRoutes() {
		total += c.requests
		if r.sender.CanServe(c.route, "") {
			possible += c.requests
		}
	}
	return float64(possible) >= minServableFraction*float64(total)
}
