package driver

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// balancerInterval is the time between two readiness checks of an instance.
	balancerInterval = 200 * time.Millisecond
	// balancerTimeout limits one readiness check.
	balancerTimeout = time.Second
)

// Balancer simulates the load balancer in front of the instances, which polls their readiness.
type Balancer struct {
	client *http.Client

	mu sync.Mutex
	// notReady holds the caller addresses of the instances that were not ready at their last check.
	notReady map[string]bool
}

// StartBalancer checks the instances at the caller addresses until ctx ends. An instance counts as ready until its
// first check.
func StartBalancer(ctx context.Context, addresses []string) *Balancer {
	b := &Balancer{
		client:   &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: balancerTimeout},
		notReady: make(map[string]bool),
	}
	for _, e := range addresses {
		go b.poll(ctx, e)
	}
	return b
}

func (b *Balancer) poll(ctx context.Context, address string) {
	for sleepUntil(ctx, time.Now().Add(balancerInterval)) {
		ready := b.isReady(ctx, address)
		b.mu.Lock()
		b.notReady[address] = !ready
		b.mu.Unlock()
	}
}

func (b *Balancer) isReady(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/ready", nil)
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

// readyAddresses returns the addresses of the instances that are ready. It returns all addresses if no instance is
// ready or if there is no balancer.
func (b *Balancer) readyAddresses(addresses []string) []string {
	if b == nil {
		return addresses
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready []string
	for _, e := range addresses {
		if !b.notReady[e] {
			ready = append(ready, e)
		}
	}
	if len(ready) == 0 {
		return addresses
	}
	return ready
}
