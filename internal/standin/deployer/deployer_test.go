package deployer_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/standin/deployer"
	"apricotflow/internal/wire/encoder"
)

func resolve(t *testing.T, m encoder.Manifest) *resolver.Manifest {
	t.Helper()
	resolved, problems := resolver.New(m, "d")
	assert.Equal(t, len(problems), 0, "%v", problems)
	return resolved
}

// Guards against an invalid manifest, a shard with both replicas in one failure domain, and wrong numbers of targets.
func TestNewGeneratesValidManifests(t *testing.T) {
	sizes := map[string]int{deployer.Ulaanbaatar: 114, deployer.DarEsSalaam: 118}
	for name, targets := range sizes {
		for _, scale := range []int{1, 5, 10, 100} {
			plan, err := deployer.New(name, scale, nil)
			assert.NilError(t, err)
			m := resolve(t, plan.Manifest)
			assert.Assert(t, scale > 1 || len(m.Targets()) == targets, "%d targets", len(m.Targets()))
			assert.Assert(t, len(m.Targets()) >= 8)
			for _, x := range plan.Manifest.Indexes {
				for _, s := range x.Versions[0].Shards {
					assert.Equal(t, len(s.Replicas), 2)
					a, _ := m.Target(s.Replicas[0])
					b, _ := m.Target(s.Replicas[1])
					assert.Assert(t, a.FailureDomain != b.FailureDomain, "%s %s", x.Name, s.Name)
				}
			}
		}
	}
}

// Guards against a change that keeps the generation number, modifies the manifest that it is given, or returns an
// invalid one.
func TestChangesReturnValidNextGeneration(t *testing.T) {
	plan, err := deployer.New(deployer.DarEsSalaam, 10, nil)
	assert.NilError(t, err)
	before := encoder.Encode(plan.Manifest)
	m := deployer.WithDomainState(plan.Manifest, "dar-es-salaam-a", encoder.FailureDomainStateClosed)
	assert.Assert(t, !resolve(t, m).IsDomainOpen("dar-es-salaam-a"))
	target := plan.Manifest.Services[0].Targets[0].Name
	assert.Assert(t, !resolve(t, deployer.WithTargetState(m, target, encoder.TargetStateLeaving)).IsServing(target))
	m = deployer.WithRepartition(deployer.WithNewVersion(m, "payments"), "payments")
	assert.Equal(t, m.Generation, 4)
	x, _ := resolve(t, m).Index("payments")
	assert.Equal(t, len(x.Versions), 2)
	assert.Equal(t, x.Versions[1].Version, 3)
	assert.Equal(t, len(x.Versions[1].Shards), 2*len(x.Versions[0].Shards))
	assert.Equal(t, len(deployer.HeldVersions(m, x.Versions[1].Shards[0].Replicas[0])), 2)
	assert.DeepEqual(t, encoder.Encode(plan.Manifest), before)
}
