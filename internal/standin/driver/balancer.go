package driver

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// balancerInterval is the time between two checks of an entry.
	balancerInterval = 200 * time.Millisecond
	// balancerLimit is how long an entry may take to answer a check.
	balancerLimit = time.Second
)

// Balancer is the platform's load balancer: it polls the readiness of the entries.
type Balancer struct {
	client *http.Client

	mu sync.Mutex
	// down holds the entries that were not ready at the last check.
	down map[string]bool
}

// StartBalancer checks the entries until ctx ends. All count as ready until their first check.
func StartBalancer(ctx context.Context, entries []string) *Balancer {
	b := &Balancer{
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: balancerLimit},
		down:   make(map[string]bool),
	}
	for _, e := range entries {
		go b.run(ctx, e)
	}
	return b
}

func (b *Balancer) run(ctx context.Context, entry string) {
	for sleepUntil(ctx, time.Now().Add(balancerInterval)) {
		ready := b.check(ctx, entry)
		b.mu.Lock()
		b.down[entry] = !ready
		b.mu.Unlock()
	}
}

func (b *Balancer) check(ctx context.Context, entry string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/v1/ready", nil)
	if err != nil {
		return false
	}
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// ready returns the entries that are ready, or all when none is or without a balancer.
func (b *Balancer) ready(entries []string) []string {
	if b == nil {
		return entries
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready []string
	for _, e := range entries {
		if !b.down[e] {
			ready = append(ready, e)
		}
	}
	if len(ready) == 0 {
		return entries
	}
	return ready
}
