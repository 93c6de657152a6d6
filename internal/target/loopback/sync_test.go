package loopback_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/operator/checker"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/target/dispatcher"
	"apricotflow/internal/wire/encoder"
)

// fakeConfiguration is a configuration of many targets. Instance "self" owns those whose number is below ownedTargets.
type fakeConfiguration struct {
	manifest                       atomic.Pointer[resolver.Manifest]
	members                        atomic.Pointer[resolver.Members]
	ownedTargets, ownershipVersion atomic.Int64
	// ownerLookups counts the calls of owners.
	ownerLookups atomic.Int64
}

func (f *fakeConfiguration) Manifest() *resolver.Manifest { return f.manifest.Load() }
func (f *fakeConfiguration) Members() *resolver.Members   { return f.members.Load() }

func (f *fakeConfiguration) owners(target string) []dispatcher.OwnerShare {
	f.ownerLookups.Add(1)
	var number int64
	_, _ = fmt.Sscanf(target, "t%d", &number)
	if number < f.ownedTargets.Load() {
		return []dispatcher.OwnerShare{{Instance: "self", Slots: 1}}
	}
	return []dispatcher.OwnerShare{{Instance: "other", Slots: 1}}
}

func (f *fakeConfiguration) publish(t *testing.T, generation, targets int) {
	service := encoder.Service{Name: "s"}
	for i := range targets {
		service.Targets = append(service.Targets, encoder.Target{
			Name: fmt.Sprintf("t%d", i), Address: fmt.Sprintf("127.0.0.1:%d", 1+i), FailureDomain: "a",
			State: encoder.TargetStateServing, Slots: 1, Connections: 25, ColdLimit: 1,
		})
	}
	m, problems := resolver.New(encoder.Manifest{
		Generation: generation, Deployment: "test", Limits: encoder.Limits{Owners: 2, LeaseMs: 3000},
		FailureDomains: []encoder.FailureDomain{{Name: "a", Region: "r", State: "open"}}, Services: []encoder.Service{service},
	}, fmt.Sprint(generation))
	assert.Equal(t, len(problems), 0)
	f.manifest.Store(m)
}

// Guards against two failures: a periodic scan of all targets, which costs time on every instance although each owns
// few, and an unnoticed change of the owners, the manifest or the members, which leaves a target without its owner.
func TestSyncScansAllTargetsOnlyAfterChange(t *testing.T) {
	f := &fakeConfiguration{}
	f.members.Store(resolver.NewMembers(encoder.MemberList{}))
	e := &events{kinds: make(map[recorder.Kind]int)}
	f.ownedTargets.Store(2)
	d := dispatcher.New("self", f, f.owners, func(string, time.Duration) int { return 1 }, e, checker.New(e, tally.NoopScope.Counter(""), true),
		dispatcher.WithOwnershipVersion(func() uint64 { return uint64(f.ownershipVersion.Load()) }))
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		assert.Check(t, d.Close(ctx))
	})
	f.publish(t, 1, 100)
	d.Sync()
	assert.Equal(t, len(d.Statuses()), 2)
	before := f.ownerLookups.Load()
	d.Sync()
	// Sync looks up the owners of the owned targets, and again to find those no longer owned. The periodic Sync may run
	// too.
	assert.Assert(t, f.ownerLookups.Load()-before <= 8)
	f.ownedTargets.Store(5)
	f.ownershipVersion.Add(1)
	d.Sync()
	assert.Equal(t, len(d.Statuses()), 5)
	f.ownedTargets.Store(1)
	d.Sync()
	assert.Equal(t, len(d.Statuses()), 1, "a target that is no longer owned is kept")
	f.ownedTargets.Store(110)
	f.publish(t, 2, 110)
	d.Sync()
	assert.Equal(t, len(d.Statuses()), 110)
	f.members.Store(resolver.NewMembers(encoder.MemberList{Revision: 2}))
	f.ownedTargets.Store(3)
	d.Sync()
	assert.Equal(t, len(d.Statuses()), 3)
}
