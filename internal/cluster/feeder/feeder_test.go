package feeder_test

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"apricotflow/internal/cluster/feeder"
	"apricotflow/internal/cluster/follower"
	"apricotflow/internal/cluster/messenger"
	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/standin/keeper"
	"apricotflow/platform"
)

const (
	// propagationLimit is the maximum time until a change is in force on every instance.
	propagationLimit = 3 * time.Second
	// settleTime is the time after which the instances follow each other.
	settleTime = 3 * time.Second
)

// storeLink is the connection of one instance to the store. While it is silent, calls get no response.
type storeLink struct {
	follower.Source
	silent atomic.Bool
	calls  atomic.Int64
}

func (l *storeLink) Load(ctx context.Context, pageTimeout time.Duration) (registrar.Change, error) {
	l.calls.Add(1)
	if l.silent.Load() {
		ctx, cancel := context.WithTimeout(ctx, pageTimeout)
		defer cancel()
		<-ctx.Done()
		return registrar.Change{}, ctx.Err()
	}
	return l.Source.Load(ctx, pageTimeout)
}

func (l *storeLink) Watch(ctx context.Context, after int, wait time.Duration) (registrar.Change, error) {
	l.calls.Add(1)
	change, err := l.Source.Watch(ctx, after, wait)
	if l.silent.Load() {
		<-ctx.Done()
		return registrar.Change{}, ctx.Err()
	}
	return change, err
}

// instance is a running instance of a failure domain, with its own follower and feeder.
type instance struct {
	name      string
	address   string
	storeLink *storeLink
	registrar *registrar.Registrar
	feeder    *feeder.Feeder
	domain    *domain
	options   []feeder.Option
	stop      func()
}

// OwnDomainInstances returns the names of all instances, sorted.
func (n *instance) OwnDomainInstances() []string {
	var names []string
	for _, other := range n.domain.instances {
		names = append(names, other.name)
	}
	return names
}

// InstancesAfter returns the other instances with a later position than the given one.
func (n *instance) InstancesAfter(position registrar.Position) []string {
	return n.newerInstances(func(v *registrar.View) bool { return position.Precedes(v.Position()) })
}

// InstancesAboveVersion returns the other instances with a higher version of the routing table than the given one.
func (n *instance) InstancesAboveVersion(version int) []string {
	return n.newerInstances(func(v *registrar.View) bool { return v.TableVersion() > version })
}

func (n *instance) newerInstances(selected func(*registrar.View) bool) []string {
	var names []string
	for _, other := range n.domain.instances {
		if other != n && selected(other.registrar.View()) {
			names = append(names, other.name)
		}
	}
	return names
}

func (n *instance) version() int {
	if n.registrar.View().Table() == nil {
		return 0
	}
	return n.registrar.View().Table().Version()
}

// domain is a failure domain whose instances share one store.
type domain struct {
	t         *testing.T
	store     *keeper.Store
	instances []*instance
}

func newDomain(t *testing.T, instances int) *domain {
	t.Helper()
	d := &domain{t: t, store: keeper.New()}
	t.Cleanup(d.store.Close)
	d.putConfig(1)
	for i := range instances {
		d.instances = append(d.instances, &instance{name: fmt.Sprintf("n%02d", i), address: freeAddress(t), domain: d, registrar: registrar.New()})
	}
	for _, n := range d.instances {
		n.start()
	}
	return d
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, l.Close()) }()
	return l.Addr().String()
}

func (n *instance) start() {
	quiet := log.New(io.Discard)
	identity := messenger.Identity{Instance: n.name, Incarnation: n.name + "-1", FailureDomain: "east"}
	clock := timekeeper.NewHybridClock(time.Now)
	addresses := messenger.ResolverFunc(func(name string) (string, bool) {
		i := slices.IndexFunc(n.domain.instances, func(other *instance) bool { return other.name == name })
		return n.domain.instances[i].address, true
	})
	m := messenger.New(identity, n.address, addresses, clock, recorder.New(n.name, clock, 10))
	n.feeder = feeder.New(identity, n, n.registrar, propagationLimit, quiet, n.options...)
	n.feeder.Attach(m)
	assert.NilError(n.domain.t, m.Start())
	n.storeLink = &storeLink{Source: platform.NewStore(n.domain.store.Address(), quiet)}
	f := follower.New(n.storeLink, n.registrar, quiet, follower.WithPeers(n.feeder))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	n.stop = func() {
		cancel()
		<-done
		closing, end := context.WithTimeout(context.Background(), time.Second)
		defer end()
		// Calls in flight may be cut off.
		_ = m.Close(closing)
	}
	n.domain.t.Cleanup(n.stop)
}

func (d *domain) putConfig(version int) {
	d.store.Put(platform.KeyRoutingConfig, platform.RoutingConfig{Version: version, Routes: []platform.Route{{
		Name: "r", Host: "a.example", Prefix: "/", Kind: platform.KindIdempotent, Service: "s", MaxAttempts: 2,
	}}})
}

func (d *domain) putTarget(id, state string) {
	d.store.Put(platform.PrefixTargets+id, map[string]any{
		"service": "s", "address": "127.0.0.1:9", "zone": "east", "version": "v1", "slots": 2, "state": state, "warmup_left_ms": 0, "seq": 1,
	})
}

// waitFor waits until the condition holds on all instances except the given ones.
func (d *domain) waitFor(limit time.Duration, what string, holds func(n *instance) bool, except ...*instance) {
	d.t.Helper()
	start := time.Now()
	for _, n := range d.instances {
		for !slices.Contains(except, n) && !holds(n) {
			if time.Since(start) > limit {
				d.t.Fatalf("%s: not on %s after %s", what, n.name, limit)
			}
			time.Sleep(2 * time.Millisecond)
		}
	}
}

// calls returns the number of calls to the store by each instance.
func (d *domain) calls() []int64 {
	var calls []int64
	for _, n := range d.instances {
		calls = append(calls, n.storeLink.calls.Load())
	}
	return calls
}

// Guards against changes that do not reach all levels of the tree within a second, and against calls to the store by
// instances other than the root. Twelve instances make two levels below it.
func TestOnlyRootCallsStore(t *testing.T) {
	d := newDomain(t, 12)
	time.Sleep(settleTime)
	before := d.calls()
	time.Sleep(settleTime)
	d.putConfig(2)
	d.waitFor(time.Second, "version 2", func(n *instance) bool { return n.version() == 2 })
	d.putTarget("i1", platform.StateReady)
	d.store.Put(platform.PrefixClosedDomains+"west", map[string]any{})
	d.waitFor(time.Second, "target", func(n *instance) bool { return n.registrar.View().IsServing("i1") })
	d.waitFor(time.Second, "closed domain", func(n *instance) bool { return len(n.registrar.View().ClosedDomains()) == 1 })
	d.store.Remove(platform.PrefixClosedDomains + "west")
	d.putTarget("i1", platform.StateDraining)
	d.waitFor(time.Second, "drained target", func(n *instance) bool { return !n.registrar.View().IsServing("i1") })
	d.waitFor(time.Second, "opened domain", func(n *instance) bool { return len(n.registrar.View().ClosedDomains()) == 0 })
	after := d.calls()
	assert.Assert(t, after[0] > before[0])
	for i := 1; i < len(after); i++ {
		assert.Equal(t, after[i], before[i], "calls of %s", d.instances[i].name)
	}
}

// Guards against a dependency between two instances where following would save few calls.
func TestInstancesWatchStoreWhenDomainIsSmall(t *testing.T) {
	d := newDomain(t, 2)
	time.Sleep(settleTime)
	_, found := d.instances[1].feeder.Upstream()
	assert.Assert(t, !found)
	assert.Assert(t, !d.instances[0].feeder.HasDownstreamInstances())
}

// Guards against downstream instances with outdated state when the store does not respond to the root: they must call
// the store within the propagation limit.
func TestDownstreamInstancesReturnToStoreWhenUpstreamLosesIt(t *testing.T) {
	for _, pause := range []time.Duration{0, 400 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			d := newDomain(t, 4)
			time.Sleep(settleTime + pause)
			d.instances[0].storeLink.silent.Store(true)
			d.putConfig(2)
			d.putTarget("i1", platform.StateReady)
			d.waitFor(propagationLimit, "version 2", func(n *instance) bool { return n.version() == 2 && n.registrar.View().IsServing("i1") }, d.instances[0])
			d.instances[0].storeLink.silent.Store(false)
			d.putConfig(3)
			d.waitFor(2*propagationLimit, "version 3", func(n *instance) bool { return n.version() == 3 })
		})
	}
}

// Guards against downstream instances with outdated state when the root stops: they must call the store within the
// propagation limit.
func TestDownstreamInstancesReturnToStoreWhenUpstreamStops(t *testing.T) {
	d := newDomain(t, 4)
	time.Sleep(settleTime)
	d.instances[0].stop()
	d.putConfig(2)
	d.waitFor(propagationLimit, "version 2", func(n *instance) bool { return n.version() == 2 }, d.instances[0])
}

// Guards against a return to an older state: an upstream with a lower revision must not be followed, and neither must one
// that has not read the store since it came back from a copy, whatever its revision.
func TestFollowFailsWhenUpstreamHasOlderState(t *testing.T) {
	for name, position := range map[string]registrar.Position{"revision": {Epoch: 1, Revision: 1000}, "epoch": {Epoch: 2, Revision: 1}} {
		t.Run(name, func(t *testing.T) {
			d := newDomain(t, 3)
			time.Sleep(settleTime)
			last := d.instances[2]
			last.registrar.Apply(registrar.Change{Position: position, Put: []registrar.Target{{ID: "i9", Service: "s"}}}, true)
			_, err := last.feeder.Follow(t.Context(), "n00")
			assert.ErrorContains(t, err, "older state")
			upstream, found := last.feeder.Upstream()
			assert.Assert(t, !found, upstream)
		})
	}
}

// Missing targets stay serving until they are removed. Guards against ones that stay so for good: the upstream stops
// after an outage of the store, before it has removed a target that did not renew its entry.
func TestMissingTargetIsRemovedWhenUpstreamStops(t *testing.T) {
	d := newDomain(t, 3)
	d.putTarget("i1", platform.StateReady)
	d.putTarget("i2", platform.StateReady)
	time.Sleep(settleTime)
	d.store.SetFault(keeper.Busy)
	time.Sleep(2500 * time.Millisecond)
	d.store.Remove(platform.PrefixTargets + "i1")
	d.store.SetFault(keeper.NoFault)
	time.Sleep(500 * time.Millisecond)
	d.instances[0].stop()
	d.waitFor(2*propagationLimit, "i1 gone", func(n *instance) bool {
		return !n.registrar.View().IsServing("i1") && n.registrar.View().IsServing("i2")
	}, d.instances[0])
}

// Guards against a new instance without state: it must get the whole state of one with a higher revision, regardless of
// its age.
func TestNewerStateIsCompleteAndHasHigherRevision(t *testing.T) {
	d := newDomain(t, 2)
	a, b := d.instances[0], d.instances[1]
	d.waitFor(propagationLimit, "version 1", func(n *instance) bool { return n.version() == 1 })
	target := registrar.Target{ID: "i1", Service: "s", Address: "127.0.0.1:9", FailureDomain: "east", Slots: 2, ColdUntil: time.Now().Add(time.Minute)}
	a.registrar.Apply(registrar.Change{Position: registrar.Position{Epoch: 1, Revision: 70}, Put: []registrar.Target{target}, Closed: []string{"west"}}, true)
	change, found := b.feeder.NewerState(t.Context(), registrar.Position{Epoch: 1, Revision: 60})
	assert.Assert(t, found)
	view := b.registrar.Apply(change, true)
	assert.Equal(t, view.Position().Revision, 70)
	assert.Equal(t, len(view.Serving("s")), 1)
	assert.Assert(t, time.Until(view.Serving("s")[0].ColdUntil) > 50*time.Second)
	assert.DeepEqual(t, view.ClosedDomains(), []string{"west"})
	_, found = b.feeder.NewerState(t.Context(), registrar.Position{Epoch: 1, Revision: 70})
	assert.Assert(t, !found)
}

// Guards against a target with odd values that another instance, of an earlier version, has taken from the store: an instance
// that follows it must neither take it nor stop following.
func TestOddTargetOfOtherInstanceIsDropped(t *testing.T) {
	d := newDomain(t, 3)
	d.putTarget("good", platform.StateReady)
	d.waitFor(5*time.Second, "the good target", func(n *instance) bool { return n.registrar.View().IsServing("good") })
	time.Sleep(settleTime)
	top := d.instances[0]
	odd := registrar.Target{Service: "s", Address: "127.0.0.1:9", FailureDomain: "east", Slots: 2}
	var put []registrar.Target
	for i, spoil := range []func(*registrar.Target){
		func(t *registrar.Target) { t.Slots = math.MaxInt }, func(t *registrar.Target) { t.Slots = -1 }, func(t *registrar.Target) { t.Seq = math.MaxInt },
		func(t *registrar.Target) { t.Started = math.MaxInt }, func(t *registrar.Target) { t.ColdUntil = time.Now().Add(math.MaxInt64) },
		func(t *registrar.Target) { t.ID = "a b" },
	} {
		target := odd
		target.ID = fmt.Sprintf("odd%d", i)
		spoil(&target)
		put = append(put, target)
	}
	top.registrar.Apply(registrar.Change{Position: top.registrar.View().Position(), Put: put}, true)
	d.putTarget("later", platform.StateReady)
	d.waitFor(5*time.Second, "a later target", func(n *instance) bool { return n.registrar.View().IsServing("later") })
	for _, n := range d.instances[1:] {
		assert.Equal(t, len(n.registrar.View().Targets()), 2)
		assert.Assert(t, n.registrar.View().IsServing("good"))
	}
}
