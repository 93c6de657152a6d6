package resolver_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/wire/encoder"
)

func validWireManifest() encoder.Manifest {
	return encoder.Manifest{
		Generation: 1, Deployment: "test",
		FailureDomains: []encoder.FailureDomain{{Name: "a", Region: "r", State: "open"}, {Name: "b", Region: "r", State: "closed"}},
		Services: []encoder.Service{{Name: "s", Targets: []encoder.Target{
			{Name: "t1", Address: "127.0.0.1:1", FailureDomain: "a", State: "serving", Slots: 2, Connections: 25, ColdLimit: 1},
			{Name: "t2", Address: "127.0.0.1:2", FailureDomain: "b", State: "serving", Slots: 2, Connections: 25, ColdLimit: 1},
		}}},
		Indexes:      []encoder.Index{{Name: "x", Versions: []encoder.IndexVersion{{Version: 1, Shards: []encoder.Shard{{Name: "s1", Documents: 10, Replicas: []string{"t1", "t2"}}}}}}},
		QueryClasses: []encoder.QueryClass{{Name: "q", Index: "x", Priority: "urgent", Idempotent: true, Routing: "all", DeadlineMs: 100}},
	}
}

// Guards against new work for targets in a closed failure domain.
func TestServingIsFalseWhenFailureDomainClosed(t *testing.T) {
	m, problems := resolver.New(validWireManifest(), "d")
	assert.Equal(t, len(problems), 0)
	assert.Assert(t, m.IsServing("t1"))
	assert.Assert(t, !m.IsServing("t2"))
	assert.Assert(t, !m.IsServing("unknown"))
}

// Guards against new work for targets that the manifest lists as leaving, also if their failure domain is open.
func TestServingIsFalseWhenTargetLeaving(t *testing.T) {
	wire := validWireManifest()
	wire.FailureDomains[1].State = encoder.FailureDomainStateOpen
	wire.Services[0].Targets[0].State = encoder.TargetStateLeaving
	m, problems := resolver.New(wire, "d")
	assert.Equal(t, len(problems), 0)
	assert.Assert(t, !m.IsServing("t1"))
	assert.Assert(t, m.IsServing("t2"))
}

// Guards against problems that operators see only after they have fixed others.
func TestNewReportsEveryProblem(t *testing.T) {
	wire := validWireManifest()
	wire.Services[0].Targets[1].Name = "t1"
	wire.Services[0].Targets[1].FailureDomain = "c"
	wire.QueryClasses[0].Index = "y"
	_, problems := resolver.New(wire, "d")
	paths := make(map[string]bool)
	for _, p := range problems {
		paths[p.Path] = true
	}
	assert.Assert(t, paths["$.services[0].targets[1].name"])
	assert.Assert(t, paths["$.services[0].targets[1].failure-domain"])
	assert.Assert(t, paths["$.query-classes[0].index"])
}
