package feeder_test

import (
	"context"
	"fmt"
	"io"
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
	// bound is the time in which a change has to be in force on every instance.
	bound = 3 * time.Second
	// settled is the time by which the instances follow each other.
	settled = 3 * time.Second
)

// line is the path of one instance to the store, which can fall silent.
type line struct {
	follower.Source
	silent atomic.Bool
	calls  atomic.Int64
}

func (l *line) Load(ctx context.Context, fresh bool) (registrar.Change, error) {
	l.calls.Add(1)
	if l.silent.Load() {
		<-ctx.Done()
		return registrar.Change{}, ctx.Err()
	}
	return l.Source.Load(ctx, fresh)
}

func (l *line) Watch(ctx context.Context, after int, wait time.Duration) (registrar.Change, error) {
	l.calls.Add(1)
	change, err := l.Source.Watch(ctx, after, wait)
	if l.silent.Load() {
		<-ctx.Done()
		return registrar.Change{}, ctx.Err()
	}
	return change, err
}

// instance is an instance of a failure domain.
type instance struct {
	name      string
	address   string
	line      *line
	registrar *registrar.Registrar
	feeder    *feeder.Feeder
	domain    *domain
	stop      func()
}

// InDomain returns the names of all instances in order.
func (n *instance) InDomain() []string {
	var names []string
	for _, other := range n.domain.instances {
		names = append(names, other.name)
	}
	return names
}

// Ahead returns the other instances with a higher revision.
func (n *instance) Ahead(above int) []string {
	var names []string
	for _, other := range n.domain.instances {
		if other != n && other.registrar.View().Revision() > above {
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

// domain is a failure domain before one store.
type domain struct {
	t         *testing.T
	store     *keeper.Store
	instances []*instance
}

func newDomain(t *testing.T, instances int) *domain {
	t.Helper()
	d := &domain{t: t, store: keeper.New()}
	t.Cleanup(d.store.Close)
	d.configure(1)
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
	n.feeder = feeder.New(identity, n, n.registrar, bound, quiet)
	n.feeder.Attach(m)
	assert.NilError(n.domain.t, m.Start())
	n.line = &line{Source: platform.NewStore(n.domain.store.Address(), quiet)}
	f := follower.New(n.line, n.registrar, quiet, follower.WithPeers(n.feeder))
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

func (d *domain) configure(version int) {
	d.store.Put(platform.KeyConfig, platform.Config{Version: version, Routes: []platform.Route{{
		Name: "r", Host: "a.example", Prefix: "/", Kind: platform.KindIdempotent, Service: "s", MaxAttempts: 2,
	}}})
}

func (d *domain) put(id, state string) {
	d.store.Put(platform.PrefixServers+id, map[string]any{
		"service": "s", "address": "127.0.0.1:9", "zone": "east", "version": "v1", "slots": 2, "state": state, "warmup_left_ms": 0, "seq": 1,
	})
}

// within waits until the condition holds on all instances but the given ones.
func (d *domain) within(limit time.Duration, what string, holds func(n *instance) bool, but ...*instance) {
	d.t.Helper()
	start := time.Now()
	for _, n := range d.instances {
		for !slices.Contains(but, n) && !holds(n) {
			if time.Since(start) > limit {
				d.t.Fatalf("%s: not on %s after %s", what, n.name, limit)
			}
			time.Sleep(2 * time.Millisecond)
		}
	}
}

// calls returns the calls to the store of each instance.
func (d *domain) calls() []int64 {
	var calls []int64
	for _, n := range d.instances {
		calls = append(calls, n.line.calls.Load())
	}
	return calls
}

// One instance watches the store; what changes is in force on all others at once, also through two steps of the tree.
func TestOneInstanceWatchesForAll(t *testing.T) {
	d := newDomain(t, 12)
	time.Sleep(settled)
	before := d.calls()
	time.Sleep(settled)
	d.configure(2)
	d.within(time.Second, "version 2", func(n *instance) bool { return n.version() == 2 })
	d.put("i1", platform.StateReady)
	d.store.Put(platform.PrefixEvacuate+"west", map[string]any{})
	d.within(time.Second, "target", func(n *instance) bool { return n.registrar.View().Usable("i1") })
	d.within(time.Second, "closed domain", func(n *instance) bool { return len(n.registrar.View().ClosedDomains()) == 1 })
	d.store.Remove(platform.PrefixEvacuate + "west")
	d.put("i1", platform.StateDraining)
	d.within(time.Second, "drained target", func(n *instance) bool { return !n.registrar.View().Usable("i1") })
	d.within(time.Second, "opened domain", func(n *instance) bool { return len(n.registrar.View().ClosedDomains()) == 0 })
	after := d.calls()
	assert.Assert(t, after[0] > before[0])
	for i := 1; i < len(after); i++ {
		assert.Equal(t, after[i], before[i], "calls of %s", d.instances[i].name)
	}
}

// Two instances of a domain watch for themselves: little is saved, and nothing depends on the other one.
func TestFewInstancesWatchForThemselves(t *testing.T) {
	d := newDomain(t, 2)
	time.Sleep(settled)
	_, found := d.instances[1].feeder.Upstream()
	assert.Assert(t, !found)
	assert.Assert(t, !d.instances[0].feeder.Feeding())
}

// When the store falls silent for the instance that watches, the others turn to the store in time.
func TestSilentStoreOfTheUpstream(t *testing.T) {
	for _, pause := range []time.Duration{0, 400 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			d := newDomain(t, 4)
			time.Sleep(settled + pause)
			d.instances[0].line.silent.Store(true)
			d.configure(2)
			d.put("i1", platform.StateReady)
			d.within(bound, "version 2", func(n *instance) bool { return n.version() == 2 && n.registrar.View().Usable("i1") }, d.instances[0])
			d.instances[0].line.silent.Store(false)
			d.configure(3)
			d.within(2*bound, "version 3", func(n *instance) bool { return n.version() == 3 })
		})
	}
}

// When the instance that watches dies, or stands still with open connections, the others turn to the store in time.
func TestDeadUpstream(t *testing.T) {
	d := newDomain(t, 4)
	time.Sleep(settled)
	d.instances[0].stop()
	d.configure(2)
	d.within(bound, "version 2", func(n *instance) bool { return n.version() == 2 }, d.instances[0])
}

// An instance that knows an older state is not followed, so nothing goes back.
func TestOlderStateIsNotFollowed(t *testing.T) {
	d := newDomain(t, 3)
	time.Sleep(settled)
	last := d.instances[2]
	last.registrar.Apply(registrar.Change{Revision: 1000, Put: []registrar.Target{{ID: "i9", Service: "s"}}}, true)
	_, err := last.feeder.Follow(t.Context(), "n00")
	assert.ErrorContains(t, err, "older state")
	upstream, found := last.feeder.Upstream()
	assert.Assert(t, !found, upstream)
}

// Targets that are missing while the store returns stay in use on all instances until they are taken for gone, also where
// the upstream is lost meanwhile.
func TestMissingTargetsOfTheUpstream(t *testing.T) {
	d := newDomain(t, 3)
	d.put("i1", platform.StateReady)
	d.put("i2", platform.StateReady)
	time.Sleep(settled)
	d.store.Fail(keeper.Busy)
	time.Sleep(2500 * time.Millisecond)
	d.store.Remove(platform.PrefixServers + "i1")
	d.store.Fail(keeper.None)
	time.Sleep(500 * time.Millisecond)
	d.instances[0].stop()
	d.within(2*bound, "i1 gone", func(n *instance) bool { return !n.registrar.View().Usable("i1") && n.registrar.View().Usable("i2") }, d.instances[0])
}

// An instance gets the whole state from one that knows a newer one, whatever its age.
func TestNewestState(t *testing.T) {
	d := newDomain(t, 2)
	a, b := d.instances[0], d.instances[1]
	d.within(bound, "version 1", func(n *instance) bool { return n.version() == 1 })
	target := registrar.Target{ID: "i1", Service: "s", Address: "127.0.0.1:9", FailureDomain: "east", Slots: 2, ColdUntil: time.Now().Add(time.Minute)}
	a.registrar.Apply(registrar.Change{Revision: 70, Put: []registrar.Target{target}, Closed: []string{"west"}}, true)
	change, found := b.feeder.Newest(t.Context(), 60)
	assert.Assert(t, found)
	view := b.registrar.Apply(change, true)
	assert.Equal(t, view.Revision(), 70)
	assert.Equal(t, len(view.Serving("s")), 1)
	assert.Assert(t, time.Until(view.Serving("s")[0].ColdUntil) > 50*time.Second)
	assert.DeepEqual(t, view.ClosedDomains(), []string{"west"})
	_, found = b.feeder.Newest(t.Context(), 70)
	assert.Assert(t, !found)
}
