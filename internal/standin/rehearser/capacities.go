package rehearser

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"apricotflow/internal/standin/httpresponder"
)

// WithProcessorShares gives each instance a share of a core: the first one the share large, all others the share small. The
// processes are not limited to it.
func WithProcessorShares(large, small float64) Option {
	return func(d *Deployment) { d.processorShares = [2]float64{large, small} }
}

// defaultShardConnections is the number of connections that a target of a shard states to accept. The targets accept more.
const defaultShardConnections = 24

// WithShardConnections sets the number of connections that a target of a shard states to accept.
func WithShardConnections(n int) Option {
	return func(d *Deployment) { d.shardConnections = n }
}

// MostShardConnections returns the largest number of connections that a target of a shard has had at the same time since
// ResetMostShardConnections.
func (d *Deployment) MostShardConnections() int {
	most := 0
	d.eachShardTarget(func(t *httpresponder.Target) { most = max(most, t.MostConnections()) })
	return most
}

// ResetMostShardConnections counts anew from the connections that are open now.
func (d *Deployment) ResetMostShardConnections() {
	d.eachShardTarget(func(t *httpresponder.Target) { t.ResetMostConnections() })
}

func (d *Deployment) eachShardTarget(do func(t *httpresponder.Target)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for service, ids := range d.services {
		if service == "orders" {
			continue
		}
		for _, id := range ids {
			do(d.targets[id])
		}
	}
}

// processorShare returns the processor share of an instance; 0 if the instances state none.
func (d *Deployment) processorShare(instance int) float64 {
	if instance == 0 {
		return d.processorShares[0]
	}
	return d.processorShares[1]
}

// Counter returns the sum of the counters of an instance whose names contain the text.
func (d *Deployment) Counter(instance int, text string) (float64, error) {
	d.mu.Lock()
	address := d.instances[instance].adminAddress
	d.mu.Unlock()
	response, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	sum := 0.0
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, value, found := strings.Cut(lines.Text(), " ")
		if !found || strings.HasPrefix(name, "#") || !strings.Contains(name, text) {
			continue
		}
		n, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return 0, fmt.Errorf("rehearser: counter %s of instance %d: %w", name, instance, err)
		}
		sum += n
	}
	return sum, lines.Err()
}
