package discoverer_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"apricotflow/internal/cluster/discoverer"
	"apricotflow/internal/cluster/enroller"
	"apricotflow/internal/cluster/messenger"
	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/wire/encoder"
)

// instance is a running discoverer with its messenger.
type instance struct {
	*discoverer.Discoverer
	registrar *registrar.Registrar
	stop      func()
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, l.Close()) }()
	return l.Addr().String()
}

// capacity is the CPU capacity of all instances, in thousandths of a core.
const capacity = 134

func startInstance(t *testing.T, name, peerAddress string, seeds ...string) *instance {
	t.Helper()
	r := registrar.New()
	identity := messenger.Identity{Instance: name, Incarnation: name + peerAddress, FailureDomain: "east", CPUCapacity: capacity}
	d := discoverer.New(identity, peerAddress, seeds, r, log.New(io.Discard))
	clock := timekeeper.NewHybridClock(time.Now)
	m := messenger.New(identity, peerAddress, d, clock, recorder.New(name, clock, 10))
	d.Attach(m)
	assert.NilError(t, m.Start())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); d.Run(ctx) }()
	stopped := false
	n := &instance{Discoverer: d, registrar: r}
	n.stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		<-done
		closing, end := context.WithTimeout(context.Background(), time.Second)
		defer end()
		assert.NilError(t, m.Close(closing))
	}
	t.Cleanup(n.stop)
	return n
}

func eventually(t *testing.T, within time.Duration, what string, holds func() bool) {
	t.Helper()
	for start := time.Now(); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > within {
			t.Fatalf("after %s: %s", within, what)
		}
	}
}

// Guards against instances that stay unknown when only one of three seeds is alive, including instances that are no
// seeds.
func TestInstancesDiscoverEachOtherThroughOneLiveSeed(t *testing.T) {
	seeds := []string{freeAddress(t), freeAddress(t), freeAddress(t)}
	var all []*instance
	for i := range 5 {
		at := freeAddress(t)
		if i == 1 {
			at = seeds[1]
		}
		all = append(all, startInstance(t, fmt.Sprintf("n%d", i), at, seeds...))
	}
	for _, n := range all {
		eventually(t, 15*time.Second, "not all instances are known", func() bool { return len(n.OtherInstances()) == 4 })
		assert.Assert(t, n.InstanceEstimate() >= 5)
	}
}

// Guards against instances whose CPU capacity is known only to those that they are connected to.
func TestCapacitiesAreKnownToInstancesThatHaveNotExchangedMessages(t *testing.T) {
	seed := freeAddress(t)
	all := []*instance{startInstance(t, "a", seed, seed), startInstance(t, "b", freeAddress(t), seed), startInstance(t, "c", freeAddress(t), seed)}
	for _, n := range all {
		eventually(t, 10*time.Second, "not all capacities are known", func() bool {
			others := n.Capacities()
			return len(others) == 2 && !slices.ContainsFunc(others, func(c enroller.Capacity) bool {
				return c.Thousandths != capacity || c.FailureDomain != "east" || c.Suspected
			})
		})
	}
}

// Guards against an instance that takes too large a share of a budget at the start: before other instances are known,
// the estimate of their number must err on the high side.
func TestInstanceEstimateCountsSeedsWhenNoOtherInstanceIsKnown(t *testing.T) {
	n := startInstance(t, "n0", freeAddress(t), "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
	assert.Equal(t, n.InstanceEstimate(), 4)
}

// Guards against instances with a later position or version, or in the same failure domain, that are not found. A higher
// revision of an earlier epoch is no later position.
func TestInstancesAreFoundByPositionVersionAndFailureDomain(t *testing.T) {
	seed := freeAddress(t)
	a, b := startInstance(t, "a", seed, seed), startInstance(t, "b", freeAddress(t), seed)
	table, problems := mapper.New(encoder.RoutingTable{Version: 4})
	assert.Equal(t, len(problems), 0)
	a.registrar.Apply(registrar.Change{Position: registrar.Position{Epoch: 2, Revision: 7}, Table: table, Closed: []string{"west"}}, true)
	earlierEpoch, sameEpoch := registrar.Position{Epoch: 1, Revision: 90}, registrar.Position{Epoch: 2, Revision: 6}
	eventually(t, 10*time.Second, "no instance with a later position", func() bool { return len(b.InstancesAfter(sameEpoch)) == 1 })
	assert.DeepEqual(t, b.InstancesAfter(earlierEpoch), []string{"a"})
	assert.Equal(t, len(b.InstancesAfter(registrar.Position{Epoch: 2, Revision: 7})), 0)
	assert.Equal(t, len(b.InstancesAfter(registrar.Position{Epoch: 3, Revision: 1})), 0)
	assert.DeepEqual(t, b.InstancesAboveVersion(3), []string{"a"})
	assert.Equal(t, len(b.InstancesAboveVersion(4)), 0)
	assert.DeepEqual(t, b.OwnDomainInstances(), []string{"a", "b"})
	assert.Equal(t, b.CountInstancesIn("east"), 2)
	assert.Equal(t, b.CountInstancesIn("west"), 0)
	assert.Equal(t, a.CountPreceding("key")+b.CountPreceding("key"), 1)
}
