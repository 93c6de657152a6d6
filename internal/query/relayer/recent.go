package relayer

import (
	"sync"
	"time"

	"apricotflow/internal/manifest/mapper"
)

const (
	// recentTime is how long requests are counted before the count begins anew.
	recentTime = 10 * time.Second
	// forgetTime is how long a route without requests counts, so that an instance that sends its callers elsewhere still
	// knows what they want from it.
	forgetTime = time.Minute
	// serviceableShare of the recent requests have to be such that could succeed now.
	serviceableShare = 0.5
)

// recentRoutes counts the recent requests by route.
type recentRoutes struct {
	mu     sync.Mutex
	counts map[string]*routeCount
}

type routeCount struct {
	route    *mapper.Route
	requests int
	// since is when the count began anew.
	since time.Time
}

func newRecentRoutes() *recentRoutes {
	return &recentRoutes{counts: make(map[string]*routeCount)}
}

// add counts a request of the route.
func (r *recentRoutes) add(route *mapper.Route) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.counts[route.Name]
	if c == nil || time.Since(c.since) > recentTime {
		c = &routeCount{since: time.Now()}
		r.counts[route.Name] = c
	}
	c.route = route
	c.requests++
}

// all returns the routes with their recent requests.
func (r *recentRoutes) all() []routeCount {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make([]routeCount, 0, len(r.counts))
	for name, c := range r.counts {
		if time.Since(c.since) > forgetTime {
			delete(r.counts, name)
			continue
		}
		counts = append(counts, *c)
	}
	return counts
}

// Serviceable reports whether most of what callers have recently asked for could succeed with the targets in reach.
func (r *Relayer) Serviceable() bool {
	if r.sender.AllReachable() {
		return true
	}
	total, possible := 0, 0
	for _, c := range r.recent.all() {
		total += c.requests
		if r.sender.Serviceable(c.route, "") {
			possible += c.requests
		}
	}
	return float64(possible) >= serviceableShare*float64(total)
}
