package follower_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"apricotflow/internal/cluster/follower"
	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/standin/keeper"
	"apricotflow/platform"
)

// propagationLimit is the maximum time until a change is in force.
const propagationLimit = 3 * time.Second

func routingConfig(version int) platform.RoutingConfig {
	return platform.RoutingConfig{Version: version, Routes: []platform.Route{{
		Name: "r", Host: "a.example", Prefix: "/", Kind: platform.KindIdempotent, Service: "s", MaxAttempts: 2,
	}}}
}

func targetEntry(state string) map[string]any {
	return map[string]any{
		"service": "s", "address": "127.0.0.1:9", "zone": "east", "version": "v1", "slots": 2, "state": state, "warmup_left_ms": 0, "seq": 1,
	}
}

// startFollower runs a follower of an empty store until the test ends.
func startFollower(t *testing.T, opts ...follower.Option) (*keeper.Store, *registrar.Registrar) {
	t.Helper()
	store := keeper.New()
	return store, follow(t, store, opts...)
}

// follow runs a follower of the store until the test ends, which then closes the store as well.
func follow(t *testing.T, store *keeper.Store, opts ...follower.Option) *registrar.Registrar {
	t.Helper()
	r := registrar.New()
	quiet := log.New(io.Discard)
	f := follower.New(platform.NewStore(store.Address(), quiet), r, quiet, opts...)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	t.Cleanup(func() { cancel(); store.Close(); <-done })
	return r
}

// eventually waits until the condition holds, at most for the propagation limit.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	start := time.Now()
	for !holds() {
		if time.Since(start) > propagationLimit {
			t.Fatalf("after %s: %s", propagationLimit, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func tableVersion(r *registrar.Registrar) int {
	if r.View().Table() == nil {
		return 0
	}
	return r.View().Table().Version()
}

// Guards against changes that come into force late, and against a follower that polls the store.
func TestChangesAreAppliedWithFewCalls(t *testing.T) {
	store, r := startFollower(t)
	store.Put(platform.KeyRoutingConfig, routingConfig(3))
	store.Put(platform.PrefixTargets+"i1", targetEntry(platform.StateReady))
	eventually(t, "no configuration", func() bool { return tableVersion(r) == 3 && len(r.View().Serving("s")) == 1 })
	store.Put(platform.PrefixTargets+"i1", targetEntry(platform.StateDraining))
	eventually(t, "target still in use", func() bool { return len(r.View().Serving("s")) == 0 })
	store.Put(platform.PrefixClosedDomains+"east", map[string]any{})
	store.Put(platform.PrefixTargets+"i2", targetEntry(platform.StateReady))
	eventually(t, "domain still open", func() bool { return !r.View().IsServing("i2") && len(r.View().Targets()) == 2 })
	store.Remove(platform.PrefixClosedDomains + "east")
	eventually(t, "domain still closed", func() bool { return r.View().IsServing("i2") })
	assert.Assert(t, store.CallCount() < 12, store.CallCount())
}

// Guards against one call per change when many changes arrive in quick succession.
func TestBurstOfChangesTakesFewCalls(t *testing.T) {
	store, r := startFollower(t)
	store.Put(platform.KeyRoutingConfig, routingConfig(1))
	eventually(t, "no configuration", func() bool { return tableVersion(r) == 1 })
	before := store.CallCount()
	for v := 2; v <= 40; v++ {
		store.Put(platform.KeyRoutingConfig, routingConfig(v))
		time.Sleep(25 * time.Millisecond)
	}
	eventually(t, "newest version not in force", func() bool { return tableVersion(r) == 40 })
	assert.Assert(t, store.CallCount()-before <= 6, store.CallCount()-before)
}

// Guards against a watch that misses changes for longer than the propagation limit, because the store sends it nothing
// and compacts its history meanwhile.
func TestChangesAreAppliedInTimeWhenWatchMissesThem(t *testing.T) {
	store, r := startFollower(t)
	store.Put(platform.KeyRoutingConfig, routingConfig(1))
	eventually(t, "no configuration", func() bool { return tableVersion(r) == 1 })
	time.Sleep(500 * time.Millisecond)
	store.SetFault(keeper.WatchesMissChanges)
	store.Put(platform.KeyRoutingConfig, routingConfig(2))
	store.Put(platform.PrefixTargets+"i1", targetEntry(platform.StateReady))
	store.SetFault(keeper.WatchesMissChanges)
	time.Sleep(time.Second)
	store.Compact()
	store.SetFault(keeper.NoFault)
	eventually(t, "change in the gap not in force", func() bool { return tableVersion(r) == 2 && len(r.View().Serving("s")) == 1 })
}

// Guards against targets that stay serving after their entries were removed before a compaction. The store was
// available throughout, so removals are trusted.
func TestRemovedTargetIsDroppedWhenStoreCompactedItsHistory(t *testing.T) {
	store, r := startFollower(t)
	store.Put(platform.KeyRoutingConfig, routingConfig(1))
	store.Put(platform.PrefixTargets+"i1", targetEntry(platform.StateReady))
	store.Put(platform.PrefixTargets+"i2", targetEntry(platform.StateReady))
	eventually(t, "no targets", func() bool { return len(r.View().Serving("s")) == 2 })
	store.SetFault(keeper.WatchesMissChanges)
	store.Remove(platform.PrefixTargets + "i1")
	store.Compact()
	store.SetFault(keeper.NoFault)
	eventually(t, "target still in use", func() bool { return len(r.View().Serving("s")) == 1 })
}

// Guards against the loss of live targets whose entries expired during an outage of the store. Targets that do not
// renew their entries in time are removed.
func TestMissingTargetsStayServingUntilRenewalTimeAfterOutage(t *testing.T) {
	for name, fault := range map[string]keeper.Fault{"busy": keeper.Busy, "reset": keeper.Reset} {
		t.Run(name, func(t *testing.T) {
			store, r := startFollower(t)
			store.Put(platform.KeyRoutingConfig, routingConfig(1))
			store.Put(platform.PrefixTargets+"i1", targetEntry(platform.StateReady))
			store.Put(platform.PrefixTargets+"i2", targetEntry(platform.StateReady))
			eventually(t, "no targets", func() bool { return len(r.View().Serving("s")) == 2 })
			store.SetFault(fault)
			time.Sleep(3 * time.Second)
			store.Remove(platform.PrefixTargets + "i1")
			store.Remove(platform.PrefixTargets + "i2")
			store.SetFault(keeper.NoFault)
			time.Sleep(1500 * time.Millisecond)
			assert.Equal(t, len(r.View().Serving("s")), 2)
			store.Put(platform.PrefixTargets+"i1", targetEntry(platform.StateReady))
			eventually(t, "missing target still in use", func() bool { return len(r.View().Serving("s")) == 1 })
			assert.Assert(t, r.View().IsServing("i1"))
		})
	}
}

// Guards against malformed entries that add targets or hide others, and against a malformed configuration that replaces
// the one in force.
func TestMalformedEntriesAreIgnored(t *testing.T) {
	store, r := startFollower(t)
	store.Put(platform.KeyRoutingConfig, routingConfig(1))
	store.Put(platform.PrefixTargets+"i1", targetEntry(platform.StateReady))
	eventually(t, "no configuration", func() bool { return tableVersion(r) == 1 })
	broken := []any{[]byte("\x00garbage"), []byte("{}"), map[string]any{"service": 7}, targetEntry("elsewhere")}
	for i, value := range broken {
		store.Put(platform.PrefixTargets+"x"+string(rune('a'+i)), value)
	}
	store.Put(platform.KeyRoutingConfig, []byte("{"))
	store.Put(platform.PrefixTargets+"i2", targetEntry(platform.StateReady))
	eventually(t, "targets missing", func() bool { return len(r.View().Serving("s")) == 2 })
	assert.Equal(t, len(r.View().Targets()), 2)
	assert.Equal(t, tableVersion(r), 1)
}

// Guards against the loss of targets beyond the first page.
func TestLoadReadsAllPages(t *testing.T) {
	store := keeper.New()
	t.Cleanup(store.Close)
	for i := range 120 {
		store.Put(platform.PrefixTargets+"i"+string(rune('a'+i/26))+string(rune('a'+i%26)), targetEntry(platform.StateReady))
	}
	change, err := platform.NewStore(store.Address(), log.New(io.Discard)).Load(t.Context(), propagationLimit)
	assert.NilError(t, err)
	assert.Equal(t, len(change.Put), 120)
	assert.Assert(t, change.Complete)
}

// Guards against a store that fills the memory of the instance with a response without end, or keeps a call until its
// time limit.
func TestLoadFailsWhenResponseHasNoEnd(t *testing.T) {
	store := keeper.New()
	t.Cleanup(store.Close)
	store.SetFault(keeper.Endless)
	start := time.Now()
	_, err := platform.NewStore(store.Address(), log.New(io.Discard)).Load(t.Context(), propagationLimit)
	var size *platform.SizeError
	assert.Assert(t, errors.As(err, &size), "%v", err)
	assert.Assert(t, time.Since(start) < 2*time.Second, time.Since(start))
}

// Guards against a load that never ends and keeps everything, because after each page there is another one.
func TestLoadFailsWhenPagesHaveNoEnd(t *testing.T) {
	store := keeper.New()
	t.Cleanup(store.Close)
	store.SetFault(keeper.EndlessPages)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	_, err := platform.NewStore(store.Address(), log.New(io.Discard)).Load(ctx, propagationLimit)
	var size *platform.SizeError
	assert.Assert(t, errors.As(err, &size), "%v", err)
}

// staticPeers is a peer with a fixed state that cannot be followed.
type staticPeers struct{ change registrar.Change }

func (staticPeers) Upstream() (string, bool) { return "", false }

func (staticPeers) Follow(context.Context, string) (follower.Update, error) {
	return follower.Update{}, nil
}

func (staticPeers) HasDownstreamInstances() bool { return false }

func (staticPeers) ConfirmCurrent(time.Time) {}

func (p staticPeers) NewerState(_ context.Context, after registrar.Position) (registrar.Change, bool) {
	return p.change, after.Precedes(p.change.Position)
}

func (p staticPeers) NewerTable(_ context.Context, after int) (*mapper.Table, bool) {
	return p.change.Table, p.change.Table != nil && p.change.Table.Version() > after
}

// Guards against a new instance that has no state to serve from while the store is unavailable.
func TestPeerStateIsAppliedWhenStoreIsUnavailable(t *testing.T) {
	target := registrar.Target{ID: "i1", Service: "s", Address: "127.0.0.1:9"}
	store := keeper.New()
	store.SetFault(keeper.Busy)
	r := follow(t, store, follower.WithPeers(staticPeers{registrar.Change{Position: registrar.Position{Revision: 9}, Put: []registrar.Target{target}, Complete: true}}))
	eventually(t, "nothing from the peer", func() bool { return r.View().Position().Revision == 9 && r.View().IsServing("i1") })
}
