package registrar_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/wire/encoder"
)

func table(t *testing.T, version int) *mapper.Table {
	t.Helper()
	result, problems := mapper.New(encoder.RoutingTable{Version: version})
	assert.Equal(t, len(problems), 0)
	return result
}

func target(id string) registrar.Target {
	return registrar.Target{ID: id, Service: "s", Address: "127.0.0.1:1", FailureDomain: "east"}
}

// Guards against an older configuration that replaces a newer one, such as one that arrives late from a peer.
func TestApplyKeepsNewerTable(t *testing.T) {
	r := registrar.New()
	r.Apply(registrar.Change{Position: registrar.Position{Revision: 5}, Table: table(t, 7)}, true)
	r.Apply(registrar.Change{Position: registrar.Position{Revision: 3}, Table: table(t, 6), Complete: true}, true)
	assert.Equal(t, r.View().Table().Version(), 7)
	assert.Equal(t, r.View().Position().Revision, 5)
}

// Guards against the loss of live targets whose entries expired during an outage of the store. Targets that were
// draining are removed at once.
func TestApplyKeepsMissingTargetsWhenRemovalsAreUntrusted(t *testing.T) {
	r := registrar.New()
	draining := target("b")
	draining.Draining = true
	r.Apply(registrar.Change{Put: []registrar.Target{target("a"), draining, target("c")}}, true)
	r.Apply(registrar.Change{Put: []registrar.Target{target("c")}, Complete: true}, false)
	assert.Equal(t, len(r.View().Targets()), 2)
	assert.Equal(t, r.View().MissingCount(), 1)
	assert.Assert(t, r.View().IsServing("a"))
	r.RemoveMissing()
	assert.Assert(t, !r.View().IsServing("a"))
	assert.Assert(t, r.View().IsServing("c"))
	assert.Equal(t, r.View().MissingCount(), 0)
}

// Guards against a late entry of an earlier start of a target that replaces the current one under the same id.
func TestApplyIgnoresEntryOfEarlierStart(t *testing.T) {
	r := registrar.New()
	current, earlier := target("a"), target("a")
	current.Started, earlier.Started, earlier.Address = 2000, 1000, "127.0.0.1:2"
	r.Apply(registrar.Change{Put: []registrar.Target{current}}, true)
	r.Apply(registrar.Change{Put: []registrar.Target{earlier}}, true)
	assert.Equal(t, r.View().Serving("s")[0].Address, "127.0.0.1:1")
}

// Guards against requests to a target at whose address there is another one, and against a target that stays withdrawn
// for good.
func TestWithdrawnTargetIsNotServingUntilListedAgain(t *testing.T) {
	r := registrar.New()
	r.Apply(registrar.Change{Put: []registrar.Target{target("a")}}, true)
	assert.Assert(t, !r.Withdraw("a", "127.0.0.1:2"))
	assert.Assert(t, r.Withdraw("a", "127.0.0.1:1"))
	assert.Equal(t, len(r.View().Serving("s")), 0)
	r.Apply(registrar.Change{Put: []registrar.Target{target("a")}}, true)
	assert.Equal(t, len(r.View().Serving("s")), 1)
}

// Guards against requests to a target that has said that it leaves, because its entry in the store does not say so yet or a
// complete change repeats it, and against one that gets none after it has started again.
func TestLeavingTargetIsNotServingUntilItStartsAgain(t *testing.T) {
	r := registrar.New()
	entry := target("a")
	entry.Started, entry.Seq = 1000, 1
	r.Apply(registrar.Change{Put: []registrar.Target{entry}}, true)
	assert.Assert(t, !r.MarkLeaving("a", 900))
	assert.Assert(t, r.MarkLeaving("a", 1000))
	assert.Assert(t, !r.MarkLeaving("a", 1000))
	for _, complete := range []bool{false, true} {
		entry.Seq++
		r.Apply(registrar.Change{Put: []registrar.Target{entry}, Complete: complete}, true)
		assert.Equal(t, len(r.View().Serving("s")), 0)
	}
	entry.Started, entry.Seq = 2000, 1
	r.Apply(registrar.Change{Put: []registrar.Target{entry}}, true)
	assert.Equal(t, len(r.View().Serving("s")), 1)
}

// Guards against withdrawn targets that return with a complete change: the state of a peer, for instance, repeats
// entries of removed targets.
func TestCompleteChangeKeepsTargetWithdrawnWhenEntryIsUnchanged(t *testing.T) {
	r := registrar.New()
	r.Apply(registrar.Change{Put: []registrar.Target{target("a")}}, true)
	r.Withdraw("a", "127.0.0.1:1")
	r.Apply(registrar.Change{Put: []registrar.Target{target("a")}, Complete: true}, true)
	assert.Equal(t, len(r.View().Serving("s")), 0)
	again := target("a")
	again.Started = 7
	r.Apply(registrar.Change{Put: []registrar.Target{again}, Complete: true}, true)
	assert.Equal(t, len(r.View().Serving("s")), 1)
}

// Guards against contradictory changes of one key within a Change: only the latest one counts.
func TestLaterChangeOfSameKeySupersedesEarlierOne(t *testing.T) {
	var c registrar.Change
	c.PutTarget(target("a"))
	c.Remove("a")
	c.Remove("b")
	c.PutTarget(target("b"))
	c.SetDomain("east", true)
	c.SetDomain("east", false)
	assert.DeepEqual(t, c.Removed, []string{"a"})
	assert.Equal(t, len(c.Put), 1)
	assert.Equal(t, len(c.Closed), 0)
	assert.DeepEqual(t, c.Opened, []string{"east"})
}

// Guards against a target that the store no longer lists and that stays known for good because it was withdrawn.
func TestWithdrawnMissingTargetIsRemoved(t *testing.T) {
	r := registrar.New()
	r.Apply(registrar.Change{Put: []registrar.Target{target("a")}}, true)
	r.Apply(registrar.Change{Removed: []string{"a"}}, false)
	assert.Assert(t, r.Withdraw("a", target("a").Address))
	r.RemoveMissing()
	assert.Equal(t, len(r.View().Targets()), 0)
}

// Guards against a withdrawal or the removal of missing targets that undoes a change applied at the same time: both
// must start from the view in force.
func TestConcurrentChangesAreNotUndone(t *testing.T) {
	r := registrar.New()
	r.Apply(registrar.Change{Put: []registrar.Target{target("a")}}, true)
	var ended atomic.Bool
	var others sync.WaitGroup
	others.Go(func() {
		for !ended.Load() {
			for _, t := range r.View().Targets() {
				r.Withdraw(t.ID, t.Address)
			}
		}
	})
	others.Go(func() {
		for !ended.Load() {
			r.RemoveMissing()
		}
	})
	for i := range 2000 {
		moved := target("a")
		moved.Address = fmt.Sprintf("127.0.0.1:%d", i)
		r.Apply(registrar.Change{Removed: []string{"a"}}, false)
		r.Apply(registrar.Change{Put: []registrar.Target{moved}}, true)
		listed := r.View().Targets()
		if len(listed) != 1 || listed[0].Address != moved.Address {
			t.Errorf("after the entry with address %s the targets are %v", moved.Address, listed)
			break
		}
	}
	ended.Store(true)
	others.Wait()
}
