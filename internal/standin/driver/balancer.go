package driver

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// balancerInterval is the time between two readiness checks of an entry.
	balancerInterval = 200 * time.Millisecond
	// balancerTimeout limits one readiness check.
	balancerTimeout = time.Second
)

// Balancer simulates the platform's load balancer, which polls the readiness of the entries.
type Balancer struct {
	client *http.Client

	mu sync.Mutex
	// notReady holds the entries that were not ready at their last check.
	notReady map[string]bool
}

// StartBalancer checks the entries until ctx ends. An entry counts as ready until its first check.
func StartBalancer(ctx context.Context, entries []string) *Balancer {
	b := &Balancer{
		client:   &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: balancerTimeout},
		notReady: make(map[string]bool),
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
		b.notReady[entry] = !ready
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

// ready returns the entries that are ready. It returns all entries if none is ready or if there is no balancer.
func (b *Balancer) ready(entries []string) []string {
	if b == nil {
		return entries
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready []string
	for _, e := range entries {
		if !b.notReady[e] {
			ready = append(ready, e)
		}
	}
	if len(ready) == 0 {
		return entries
	}
	return ready
}
