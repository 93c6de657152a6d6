package feeder_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"apricotflow/internal/cluster/feeder"
	"apricotflow/internal/cluster/messenger"
	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/authenticator"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/standin/keeper"
	"apricotflow/internal/wire/encoder"
	"apricotflow/platform"
)

// putTenants writes a configuration in which the key belongs to a tenant.
func (d *domain) putTenants(version int, key string) {
	d.store.Put(platform.KeyRoutingConfig, platform.RoutingConfig{
		Version: version, Tenants: []platform.Tenant{{Name: "acme", Keys: []string{key}}},
		Routes: []platform.Route{{Name: "r", Host: "a.example", Prefix: "/", Kind: platform.KindIdempotent, Service: "s", MaxAttempts: 2}},
	})
}

// startEarlierVersion starts an instance of an earlier version in place of n. It replies with the routing table of the
// source without tenants, since it does not know them.
func (n *instance) startEarlierVersion(source *registrar.Registrar) {
	clock := timekeeper.NewHybridClock(time.Now)
	addresses := messenger.ResolverFunc(func(name string) (string, bool) {
		i := slices.IndexFunc(n.domain.instances, func(other *instance) bool { return other.name == name })
		return n.domain.instances[i].address, true
	})
	m := messenger.New(messenger.Identity{Instance: n.name, Incarnation: n.name + "-0", FailureDomain: "east"}, n.address, addresses, clock, recorder.New(n.name, clock, 10))
	messenger.Handle(m, "follow", func(ctx context.Context, _ messenger.Peer, request encoder.FollowRequest) (encoder.FollowReply, error) {
		view := source.View()
		if request.Serial == view.Serial() {
			select {
			case <-source.Changed():
			case <-time.After(500 * time.Millisecond):
			case <-ctx.Done():
			}
			view = source.View()
		}
		reply := encoder.FollowReply{Incarnation: n.name + "-0", Serial: view.Serial(), Epoch: view.Position().Epoch, Revision: view.Position().Revision, Complete: true}
		if view.Table() != nil {
			table := view.Table().Encoded()
			table.Tenants = nil
			reply.Table = &table
		}
		return reply, nil
	})
	assert.NilError(n.domain.t, m.Start())
	n.domain.t.Cleanup(func() {
		closing, end := context.WithTimeout(context.Background(), time.Second)
		defer end()
		_ = m.Close(closing)
	})
}

// Guards against an instance that takes a routing table without tenants for one that needs no keys: it must read the store
// itself, in time for a change of keys, and also while the store lists an older table than the earlier version knows. An
// instance that does not require tenants follows as before.
func TestTableOfEarlierVersionIsNotFollowedWhenTenantsAreRequired(t *testing.T) {
	for _, required := range []bool{true, false} {
		d := &domain{t: t, store: keeper.New()}
		t.Cleanup(d.store.Close)
		d.putTenants(1, "k1")
		for _, name := range []string{"n00", "n01", "n02"} {
			d.instances = append(d.instances, &instance{
				name: name, address: freeAddress(t), domain: d, registrar: registrar.New(), options: []feeder.Option{feeder.WithTenantsRequired(required)},
			})
		}
		// The root is the instance that all others follow.
		root := d.instances[0]
		source := platform.NewStore(d.store.Address(), log.New(io.Discard))
		refresh := func() {
			change, err := source.Load(t.Context(), time.Second)
			assert.NilError(t, err)
			root.registrar.Apply(change, true)
		}
		refresh()
		root.startEarlierVersion(root.registrar)
		d.instances[1].start()
		d.instances[2].start()
		for version := 1; version <= 2; version++ {
			d.waitFor(propagationLimit, "table", func(n *instance) bool { return n.version() == version }, root)
			for _, n := range d.instances[1:] {
				assert.Equal(t, n.registrar.View().Table().KnowsTenants(), required, n.name)
				assert.Equal(t, n.registrar.View().Table().Tenants() != nil, required, n.name)
				assert.Equal(t, n.storeLink.calls.Load() > 0, required, n.name)
			}
			d.putTenants(2, "k2")
			refresh()
		}
		for _, n := range d.instances[1:] {
			if !required {
				continue
			}
			// The first instance that is asked is that of the earlier version.
			table, found := n.feeder.NewerTable(t.Context(), 1)
			assert.Assert(t, found && table.KnowsTenants(), "table of %s", n.name)
			change, found := n.feeder.NewerState(t.Context(), registrar.Position{})
			assert.Assert(t, found && change.Table.KnowsTenants(), "state of %s", n.name)
		}
	}
}

// Guards against a list of tenants that is too large for the store's responses or the messages between instances. The
// limit on the time is ten times that of a change, because the race detector slows decoding down.
func TestManyKeysReachAllInstances(t *testing.T) {
	const tenants, keysPerTenant = 10_000, 10
	d := newDomain(t, 3)
	time.Sleep(settleTime)
	config := platform.RoutingConfig{Version: 2, Tenants: make([]platform.Tenant, tenants)}
	for i := range config.Tenants {
		config.Tenants[i] = platform.Tenant{Name: fmt.Sprintf("tenant-%d", i), Rate: 10}
		for k := range keysPerTenant {
			config.Tenants[i].Keys = append(config.Tenants[i].Keys, fmt.Sprintf("%064d", i*keysPerTenant+k))
		}
	}
	start := time.Now()
	d.store.Put(platform.KeyRoutingConfig, config)
	d.waitFor(10*propagationLimit, "table", func(n *instance) bool { return n.version() == 2 })
	t.Logf("in force after %s", time.Since(start))
	for _, n := range d.instances {
		tenant, found := n.registrar.View().Table().Tenants().Find(authenticator.NewDigest(fmt.Sprintf("%064d", tenants*keysPerTenant-1)))
		assert.Assert(t, found && tenant.Name == fmt.Sprintf("tenant-%d", tenants-1))
	}
}
