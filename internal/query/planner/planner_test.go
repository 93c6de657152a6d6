package planner_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/query/planner"
	"apricotflow/internal/wire/encoder"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
}

type configuration struct {
	manifest *resolver.Manifest
	members  *resolver.Members
}

func (c *configuration) Manifest() *resolver.Manifest { return c.manifest }
func (c *configuration) Members() *resolver.Members   { return c.members }

// deniedVersions is the set of "target/version" pairs that are known not to be held. Of all others nothing is known.
type deniedVersions map[string]bool

func (d deniedVersions) Holds(target, _ string, version int) (bool, bool) {
	return false, d[fmt.Sprintf("%s/%d", target, version)]
}

// manifest returns a manifest with the targets a1 and a2 in domain a, and b1 and b2 in domain b. The domain named by
// closed is closed. versions[i][j] lists the replicas of shard j in version i+1.
func manifest(t *testing.T, closed string, versions ...[][]string) *resolver.Manifest {
	t.Helper()
	wire := encoder.Manifest{
		Generation: 7, Services: []encoder.Service{{Name: "s"}}, Indexes: []encoder.Index{{Name: "x"}},
		QueryClasses: []encoder.QueryClass{{Name: "all", Index: "x", Routing: "all"}, {Name: "key", Index: "x", Routing: "key"}},
	}
	for i, name := range []string{"a1", "a2", "b1", "b2"} {
		wire.Services[0].Targets = append(wire.Services[0].Targets, encoder.Target{
			Name: name, Address: fmt.Sprintf("127.0.0.1:%d", i+1), FailureDomain: name[:1], State: "serving", Slots: 2, Connections: 25, ColdLimit: 1,
		})
	}
	for _, name := range []string{"a", "b"} {
		state := map[bool]encoder.FailureDomainState{false: "open", true: "closed"}[name == closed]
		wire.FailureDomains = append(wire.FailureDomains, encoder.FailureDomain{Name: name, State: state})
	}
	for i, shards := range versions {
		version := encoder.IndexVersion{Version: i + 1}
		for j, replicas := range shards {
			version.Shards = append(version.Shards, encoder.Shard{Name: fmt.Sprintf("s%d", j), Documents: 10, Replicas: replicas})
		}
		wire.Indexes[0].Versions = append(wire.Indexes[0].Versions, version)
	}
	m, problems := resolver.New(wire, "d")
	assert.Equal(t, len(problems), 0, "%v", problems)
	return m
}

func newPlanner(m *resolver.Manifest, denied deniedVersions) *planner.Planner {
	return planner.New(&configuration{m, resolver.NewMembers(encoder.MemberList{})}, denied)
}

func mustPlan(t *testing.T, p *planner.Planner) *planner.Plan {
	t.Helper()
	got, err := p.Plan(encoder.QueryRequest{QueryClass: "all"})
	assert.NilError(t, err)
	return got
}

// A version that targets have not loaded, or whose only replicas are in a closed failure domain, must not be pinned
// while another version has an eligible replica for every shard.
func TestPlanPinsNewestVersionWithReplicaForEveryShard(t *testing.T) {
	both := [][]string{{"a1", "b1"}, {"a2", "b2"}}
	assert.Equal(t, mustPlan(t, newPlanner(manifest(t, "", both, both), nil)).Snapshot().Version, 2)
	assert.Equal(t, mustPlan(t, newPlanner(manifest(t, "", both, both), deniedVersions{"a1/2": true, "b1/2": true})).Snapshot().Version, 1)
	assert.Equal(t, mustPlan(t, newPlanner(manifest(t, "", both, both), deniedVersions{"a1/2": true})).Snapshot().Version, 2)
	assert.Equal(t, mustPlan(t, newPlanner(manifest(t, "a", both, [][]string{{"a1"}, {"b2"}}), nil)).Snapshot().Version, 1)
}

// If no version is complete, pinning the newest one could cost coverage.
func TestPlanPinsVersionWithMostDocumentsWhenNoneIsComplete(t *testing.T) {
	m := manifest(t, "a", [][]string{{"a1"}, {"b1"}, {"b2"}}, [][]string{{"a1"}, {"a2"}, {"b2"}})
	got := mustPlan(t, newPlanner(m, nil))
	assert.Equal(t, got.Snapshot(), encoder.Snapshot{Generation: 7, Index: "x", Version: 1})
	assert.Equal(t, len(got.Shards()), 3)
}

// A version-missing reply must affect later plans, but only until it expires.
func TestMissingVersionIsAvoidedUntilItExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		only := [][]string{{"a1"}}
		p := newPlanner(manifest(t, "", only, only), nil)
		first := mustPlan(t, p)
		p.MarkVersionMissing(first, "a1")
		assert.Equal(t, len(p.Candidates(first, 0)), 0)
		assert.Equal(t, mustPlan(t, p).Snapshot().Version, 1)
		time.Sleep(planner.DefaultMissingExpiry)
		assert.Equal(t, mustPlan(t, p).Snapshot().Version, 2)
	})
}

// A retry of a pinned plan must not go to a failure domain that was closed in the meantime, nor to a leaving target.
func TestCandidatesExcludeClosedDomainsAndLeavingTargets(t *testing.T) {
	replicas := [][]string{{"a1", "b1", "b2"}}
	c := &configuration{manifest(t, "", replicas), resolver.NewMembers(encoder.MemberList{})}
	p := planner.New(c, deniedVersions{})
	pinned := mustPlan(t, p)
	c.manifest = manifest(t, "a", replicas)
	c.members = resolver.NewMembers(encoder.MemberList{Targets: []encoder.MemberTarget{{Name: "b1", State: "leaving"}}})
	assert.DeepEqual(t, p.Candidates(pinned, 0), []string{"b2"})
}

// Removing one shard must move only the keys of that shard, or a keyed query would miss its document.
func TestKeyKeepsItsShardWhenAnotherIsRemoved(t *testing.T) {
	shardOf := func(shards int, key string) string {
		p := newPlanner(manifest(t, "", slices.Repeat([][]string{{"a1"}}, shards)), nil)
		got, err := p.Plan(encoder.QueryRequest{QueryClass: "key", Key: &key})
		assert.NilError(t, err)
		assert.Equal(t, len(got.Shards()), 1)
		return got.Shards()[0].Name
	}
	used := make(map[string]bool)
	rapid.Check(t, func(rt *rapid.T) {
		key := rapid.String().Draw(rt, "key")
		shards := rapid.IntRange(2, 12).Draw(rt, "shards")
		before, after := shardOf(shards, key), shardOf(shards-1, key)
		if before != fmt.Sprintf("s%d", shards-1) && before != after {
			rt.Fatalf("key moved from %s to %s", before, after)
		}
		used[before] = true
	})
	assert.Assert(t, len(used) > 4, "keys reach only %v", used)
}

// A missing or superfluous key and an unknown class must be refused before anything is sent.
func TestPlanIsRefusedWhenKeyOrClassIsInvalid(t *testing.T) {
	p, key := newPlanner(manifest(t, "", [][]string{{"a1"}}), nil), "k"
	for _, request := range []encoder.QueryRequest{{QueryClass: "key"}, {QueryClass: "all", Key: &key}} {
		_, err := p.Plan(request)
		assert.ErrorType(t, err, &planner.KeyError{})
	}
	_, err := p.Plan(encoder.QueryRequest{QueryClass: "none"})
	assert.ErrorType(t, err, &planner.UnknownClassError{})
}
