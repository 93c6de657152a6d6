package relayer_test

import (
	"strconv"
	"testing"
)

// BenchmarkScatter serves a query over 90 shards; the targets run in the same process.
func BenchmarkScatter(b *testing.B) {
	services := make([]string, 90)
	for i := range services {
		services[i] = "s" + strconv.Itoa(i)
	}
	f := newFixture(b, 1, services...)
	route := shardedRoute(0.5, services...)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		f.relay(route, "r"+strconv.Itoa(i))
	}
}
