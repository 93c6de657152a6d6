package follower_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"apricotflow/internal/cluster/follower"
	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/standin/keeper"
	"apricotflow/internal/wire/encoder"
	"apricotflow/platform"
)

// writtenEntry is the entry of a target that started at the time born.
func writtenEntry(state string, born, seq int) map[string]any {
	entry := targetEntry(state)
	entry["born"], entry["seq"] = born, seq
	return entry
}

// Guards against an instance that watches on after its revision although the store has come back from a copy and has
// given this revision out again: the new history below it would never be read.
func TestChangesAreInForceWhenRestoredStoreReachesKnownRevision(t *testing.T) {
	for name, changesAfterRestore := range map[string]int{"lower revision": 1, "same revision": 3, "higher revision": 5} {
		t.Run(name, func(t *testing.T) {
			store, r := startFollower(t)
			store.Put(platform.KeyRoutingConfig, routingConfig(1))
			copied := store.Copy()
			for i := range 3 {
				store.Put(platform.PrefixTargets+"i1", writtenEntry(platform.StateReady, 1000, i+1))
			}
			eventually(t, "no targets", func() bool { return tableVersion(r) == 1 && r.View().IsServing("i1") })
			store.SetFault(keeper.Busy)
			store.Restore(copied)
			for i := range changesAfterRestore {
				store.Put(platform.KeyRoutingConfig, routingConfig(2+i))
			}
			store.SetFault(keeper.NoFault)
			eventually(t, "newest version not in force", func() bool { return tableVersion(r) == 1+changesAfterRestore })
		})
	}
}

// Guards against what a copy of the store lists or lacks taking effect until its authors have written it again: targets
// that have left since, that drain since or that started since, and failure domains that were closed since.
func TestCopyOfStoreUndoesNothingThatIsInForce(t *testing.T) {
	store, r := startFollower(t)
	store.Put(platform.KeyRoutingConfig, routingConfig(1))
	for _, id := range []string{"gone", "leaving", "staying"} {
		store.Put(platform.PrefixTargets+id, writtenEntry(platform.StateReady, 1000, 1))
	}
	copied := store.Copy()
	eventually(t, "no targets", func() bool { return len(r.View().Serving("s")) == 3 })
	store.Put(platform.KeyRoutingConfig, routingConfig(2))
	store.Remove(platform.PrefixTargets + "gone")
	store.Put(platform.PrefixTargets+"leaving", writtenEntry(platform.StateDraining, 1000, 2))
	store.Put(platform.PrefixTargets+"new", writtenEntry(platform.StateReady, 2000, 1))
	store.Put(platform.PrefixClosedDomains+"west", map[string]any{})
	inForce := func() bool {
		_, listed := r.View().Target("gone")
		return tableVersion(r) == 2 && !listed && !r.View().IsServing("leaving") && r.View().IsServing("new") &&
			r.View().IsServing("staying") && len(r.View().ClosedDomains()) == 1
	}
	eventually(t, "changes not in force", inForce)

	store.Restore(copied)
	eventually(t, "copy not read", func() bool { return r.View().Position().Epoch == 2 })
	assert.Assert(t, inForce())
	store.Remove(platform.PrefixTargets + "gone")
	store.Put(platform.PrefixTargets+"new", writtenEntry(platform.StateReady, 2000, 2))
	store.Put(platform.PrefixClosedDomains+"west", map[string]any{})
	time.Sleep(propagationLimit)
	assert.Assert(t, inForce())
}

// Guards against an instance that serves the configuration of a copy because it has started after the store came back
// from it, while its peers have a newer one in force.
func TestNewerTableOfPeerIsAppliedWhenCopyIsOlder(t *testing.T) {
	newest, problems := mapper.New(encoder.RoutingTable{Version: 7})
	assert.Equal(t, len(problems), 0)
	store := keeper.New()
	store.Put(platform.KeyRoutingConfig, routingConfig(6))
	store.Restore(store.Copy())
	r := follow(t, store, follower.WithPeers(staticPeers{registrar.Change{Position: registrar.Position{Epoch: 1, Revision: 90}, Table: newest}}))
	eventually(t, "version of the peer not in force", func() bool { return tableVersion(r) == 7 })
	assert.Equal(t, r.View().Position().Epoch, 2)
}

// Guards against the loss of a live target that a copy lacks, in an instance that is cut off from the store and learns the
// state of a peer which has started since and knows no more than the copy.
func TestTargetsThatCopyLacksStayServingWhenPeerKnowsOnlyCopy(t *testing.T) {
	copied := registrar.Change{Position: registrar.Position{Epoch: 2, Revision: 1}, Complete: true}
	store, r := startFollower(t, follower.WithPeers(staticPeers{copied}))
	store.Put(platform.KeyRoutingConfig, routingConfig(1))
	store.Put(platform.PrefixTargets+"new", writtenEntry(platform.StateReady, 1000, 1))
	eventually(t, "no target", func() bool { return r.View().IsServing("new") })
	store.SetFault(keeper.Busy)
	eventually(t, "state of the peer not applied", func() bool { return r.View().Position().Epoch == 2 })
	assert.Assert(t, r.View().IsServing("new"))
}

// restoredSource is a store whose answers come from the given epochs in turn, the last one for good.
type restoredSource struct{ epochs []int }

func (s *restoredSource) answer() registrar.Change {
	epoch := s.epochs[0]
	if len(s.epochs) > 1 {
		s.epochs = s.epochs[1:]
	}
	table, _ := mapper.New(encoder.RoutingTable{Version: epoch})
	target := registrar.Target{ID: "of-first-epoch", Service: "s"}
	change := registrar.Change{Position: registrar.Position{Epoch: epoch, Revision: 100 - epoch}, Table: table}
	if epoch == 1 {
		change.Put = []registrar.Target{target}
	}
	return change
}

func (s *restoredSource) Load(context.Context, time.Duration) (registrar.Change, error) {
	change := s.answer()
	change.Complete = true
	return change, nil
}

func (s *restoredSource) Watch(context.Context, int, time.Duration) (registrar.Change, error) {
	time.Sleep(time.Millisecond)
	return s.answer(), nil
}

// Guards against an answer of the store from before it came back from a copy, which arrives after one from then on and
// is taken for a newer state.
func TestAnswersOfEarlierEpochAreIgnored(t *testing.T) {
	for name, epochs := range map[string][]int{"load": {2, 3, 1, 3}, "watch": {2, 1, 1, 2}, "first load": {1, 2, 2}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := registrar.New()
				source := &restoredSource{epochs: epochs}
				go follower.New(source, r, log.New(io.Discard)).Run(t.Context())
				time.Sleep(2 * propagationLimit)
				synctest.Wait()
				last := epochs[len(epochs)-1]
				assert.Equal(t, r.View().Position(), registrar.Position{Epoch: last, Revision: 100 - last})
				assert.Equal(t, tableVersion(r), last)
				assert.Equal(t, len(r.View().Targets()), 0)
			})
		})
	}
}
