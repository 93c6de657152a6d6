package registrar_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/wire/encoder"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
}

// drawChange returns a random change; one in twenty is complete.
func drawChange(t *rapid.T, revision int) registrar.Change {
	change := registrar.Change{Position: registrar.Position{Revision: revision}, Complete: rapid.IntRange(0, 19).Draw(t, "complete") == 0}
	for range rapid.IntRange(0, 3).Draw(t, "puts") {
		id := fmt.Sprintf("t%d", rapid.IntRange(0, 9).Draw(t, "id"))
		change.PutTarget(registrar.Target{ID: id, Service: "s", Slots: revision, Draining: rapid.Bool().Draw(t, "draining")})
	}
	for range rapid.IntRange(0, 2).Draw(t, "removals") {
		change.Remove(fmt.Sprintf("t%d", rapid.IntRange(0, 9).Draw(t, "id")))
	}
	if rapid.Bool().Draw(t, "domain") {
		change.SetDomain(rapid.SampledFrom([]string{"east", "west"}).Draw(t, "name"), rapid.Bool().Draw(t, "closed"))
	}
	if rapid.IntRange(0, 4).Draw(t, "table") == 0 {
		change.Table, _ = mapper.New(encoder.RoutingTable{Version: revision})
	}
	return change
}

func tableVersion(v *registrar.View) int {
	if v.Table() == nil {
		return 0
	}
	return v.Table().Version()
}

// Guards against an instance that misses changes: applying ChangeSince must reproduce the state of the source, however
// many changes the instance has skipped. It skips a few changes at a time, or about 100.
func TestChangeSinceLeadsToSameStateFromAnyEarlierSerial(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, copied := registrar.New(), registrar.New()
		serial := 0
		for revision := 1; revision <= 150; revision++ {
			source.Apply(drawChange(t, revision), true)
			if rapid.IntRange(0, rapid.SampledFrom([]int{2, 100}).Draw(t, "maximum draw")).Draw(t, "skip unless 0") > 0 {
				continue
			}
			view := source.View()
			change := view.ChangeSince(serial)
			change.Opened = slices.DeleteFunc(copied.View().ClosedDomains(), func(d string) bool { return slices.Contains(change.Closed, d) })
			copied.Apply(change, true)
			serial = view.Serial()
			assert.DeepEqual(t, copied.View().Targets(), view.Targets())
			assert.DeepEqual(t, copied.View().ClosedDomains(), view.ClosedDomains())
			assert.Equal(t, tableVersion(copied.View()), tableVersion(view))
			assert.Equal(t, copied.View().Position().Revision, view.Position().Revision)
		}
	})
}

// Guards against partial changes for a serial that the view never had, such as one of a previous incarnation.
func TestChangeSinceReturnsCompleteChangeWhenSerialIsUnknown(t *testing.T) {
	r := registrar.New()
	r.Apply(registrar.Change{Position: registrar.Position{Revision: 1}, Put: []registrar.Target{{ID: "a"}}}, true)
	assert.Assert(t, r.View().ChangeSince(0).Complete)
	assert.Assert(t, r.View().ChangeSince(9).Complete)
	assert.Assert(t, !r.View().ChangeSince(1).Complete)
	assert.Equal(t, len(r.View().ChangeSince(1).Put), 0)
}

// Guards against waiters that sleep through a change.
func TestChangedIsClosedOnNextApply(t *testing.T) {
	r := registrar.New()
	changed := r.Changed()
	select {
	case <-changed:
		t.Fatal("no change yet")
	default:
	}
	r.Apply(registrar.Change{Position: registrar.Position{Revision: 1}}, true)
	<-changed
}
