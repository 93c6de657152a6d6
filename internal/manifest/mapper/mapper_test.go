package mapper_test

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/wire/encoder"
)

func destinationsWithWeight(weight float64) []encoder.RouteDestination {
	return []encoder.RouteDestination{{Service: "s", Weight: weight}}
}

// Guards against requests that take a route with a shorter prefix or of another host. Host names are compared without
// case and port.
func TestMatchReturnsRouteWithLongestPrefix(t *testing.T) {
	table, problems := mapper.New(encoder.RoutingTable{Routes: []encoder.Route{
		{Name: "root", Host: "a.example", Prefix: "/", Destinations: destinationsWithWeight(1)},
		{Name: "long", Host: "A.example", Prefix: "/x/y/", Destinations: destinationsWithWeight(1)},
		{Name: "short", Host: "a.example", Prefix: "/x/", Destinations: destinationsWithWeight(1)},
		{Name: "other", Host: "b.example", Prefix: "/z/", Destinations: destinationsWithWeight(1)},
	}})
	assert.Equal(t, len(problems), 0)
	for _, c := range []struct{ host, path, name string }{
		{"a.example", "/x/y/z", "long"},
		{"a.example", "/x/yz", "short"},
		{"A.EXAMPLE:80", "/x", "root"},
		{"b.example", "/z/", "other"},
		{"b.example", "/z", ""},
		{"c.example", "/", ""},
	} {
		r, found := table.Match(c.host, c.path)
		assert.Equal(t, found, c.name != "", c)
		if found {
			assert.Equal(t, r.Name, c.name)
		}
	}
}

// Guards against invalid routes that are not reported: each one must be, with its path.
func TestNewReportsEveryInvalidRoute(t *testing.T) {
	fullShare := 1.0
	_, problems := mapper.New(encoder.RoutingTable{Routes: []encoder.Route{
		{Host: "a", Prefix: "/ok/", Destinations: destinationsWithWeight(1)},
		{Prefix: "/", Destinations: destinationsWithWeight(1)},
		{Host: "a", Prefix: "/x", Destinations: destinationsWithWeight(1)},
		{Host: "a", Prefix: "/", Destinations: destinationsWithWeight(0)},
		{Host: "a", Prefix: "/", Idempotent: true, Shards: []string{"s", "s"}},
		{Host: "a", Prefix: "/", Shards: []string{"s"}, LeastShare: &fullShare},
		{Host: "a", Prefix: "/", Idempotent: true, Shards: []string{"s"}, Destinations: destinationsWithWeight(1)},
	}})
	assert.Equal(t, len(problems), 6)
	for i, p := range problems {
		assert.Equal(t, p.Path, fmt.Sprintf("$.routes[%d]", i+1))
	}
}

// Guards against shares that differ from the weights, and against a repeated request of a caller that goes to another
// service than the first one.
func TestDestinationFollowsWeightsAndRequestID(t *testing.T) {
	table, _ := mapper.New(encoder.RoutingTable{Routes: []encoder.Route{{
		Host: "a", Prefix: "/", Destinations: []encoder.RouteDestination{{Service: "x", Weight: 3}, {Service: "y", Weight: 1}, {Service: "z", Weight: 0}},
	}}})
	r, _ := table.Match("a", "/")
	counts := make(map[string]int)
	const n = 4000
	for i := range n {
		id := fmt.Sprintf("%016x", i*7919)
		counts[r.SelectService(id)]++
		assert.Equal(t, r.SelectService(id), r.SelectService(id))
	}
	assert.Assert(t, math.Abs(float64(counts["x"])/n-0.75) < 0.05, counts)
	assert.Equal(t, counts["z"], 0)
}

// Guards against a minimum number of shards that is off by one.
func TestMinPartsIsSmallestSufficientNumber(t *testing.T) {
	for _, c := range []struct {
		shards int
		share  float64
		least  int
	}{{20, 0.89, 18}, {20, 0.75, 15}, {20, 0, 1}, {20, 1, 20}, {1, 0.5, 1}, {3, 0.34, 2}} {
		r := mapper.Route{Shards: make([]string, c.shards), MinShardShare: c.share}
		assert.Equal(t, r.MinParts(), c.least, c)
	}
}
