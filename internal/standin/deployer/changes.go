package deployer

import (
	"slices"

	"apricotflow/internal/standin/hasher"
	"apricotflow/internal/wire/encoder"
)

// maxVersions is the maximum number of versions of an index in a manifest: the newest one, and the one before, so that
// running queries can finish on it.
const maxVersions = 2

// nextGeneration returns a deep copy of a manifest with the next generation number.
func nextGeneration(m encoder.Manifest) encoder.Manifest {
	c, err := encoder.Decode[encoder.Manifest](encoder.Encode(m))
	if err != nil {
		panic(err)
	}
	c.Generation++
	return c
}

// WithDomainState returns the next generation of a manifest with the given state of a failure domain.
func WithDomainState(m encoder.Manifest, name string, state encoder.FailureDomainState) encoder.Manifest {
	c := nextGeneration(m)
	for i := range c.FailureDomains {
		if c.FailureDomains[i].Name == name {
			c.FailureDomains[i].State = state
		}
	}
	return c
}

// WithLimits returns the next generation of a manifest with the given limits.
func WithLimits(m encoder.Manifest, l encoder.Limits) encoder.Manifest {
	c := nextGeneration(m)
	c.Limits = l
	return c
}

// WithTargetState returns the next generation of a manifest with the given state of a target.
func WithTargetState(m encoder.Manifest, name string, state encoder.TargetState) encoder.Manifest {
	c := nextGeneration(m)
	for _, s := range c.Services {
		for i := range s.Targets {
			if s.Targets[i].Name == name {
				s.Targets[i].State = state
			}
		}
	}
	return c
}

// WithNewVersion returns the next generation of a manifest with a new version of an index, which has the same shards.
func WithNewVersion(m encoder.Manifest, index string) encoder.Manifest {
	return appendVersion(m, index, func(shards []encoder.Shard) []encoder.Shard { return shards })
}

// WithRepartition returns the next generation of a manifest with a new version of an index, in which every shard is
// split in two.
func WithRepartition(m encoder.Manifest, index string) encoder.Manifest {
	return appendVersion(m, index, func(shards []encoder.Shard) []encoder.Shard {
		split := make([]encoder.Shard, 0, 2*len(shards))
		for _, s := range shards {
			for _, suffix := range []string{"a", "b"} {
				split = append(split, encoder.Shard{Name: s.Name + suffix, Replicas: slices.Clone(s.Replicas)})
			}
		}
		return split
	})
}

func appendVersion(m encoder.Manifest, index string, change func([]encoder.Shard) []encoder.Shard) encoder.Manifest {
	c := nextGeneration(m)
	for i := range c.Indexes {
		x := &c.Indexes[i]
		if x.Name != index {
			continue
		}
		last := x.Versions[len(x.Versions)-1]
		v := encoder.IndexVersion{Version: last.Version + 1, Shards: change(slices.Clone(last.Shards))}
		for j, s := range v.Shards {
			v.Shards[j].Documents = hasher.DocumentCount(index, v.Version, s.Name)
		}
		x.Versions = append(x.Versions, v)
		x.Versions = x.Versions[max(0, len(x.Versions)-maxVersions):]
	}
	return c
}

// TargetsInDomain returns the names of the targets of a failure domain.
func TargetsInDomain(m encoder.Manifest, domain string) []string {
	var names []string
	for _, s := range m.Services {
		for _, t := range s.Targets {
			if t.FailureDomain == domain {
				names = append(names, t.Name)
			}
		}
	}
	return names
}

// HeldVersions returns the index versions of which a target must hold shards, each once.
func HeldVersions(m encoder.Manifest, target string) []encoder.HeldVersion {
	held := []encoder.HeldVersion{}
	for _, x := range m.Indexes {
		for _, v := range x.Versions {
			if slices.ContainsFunc(v.Shards, func(s encoder.Shard) bool { return slices.Contains(s.Replicas, target) }) {
				held = append(held, encoder.HeldVersion{Index: x.Name, Version: v.Version})
			}
		}
	}
	return held
}
