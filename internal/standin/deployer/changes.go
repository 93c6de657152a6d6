package deployer

import (
	"slices"

	"apricotflow/internal/standin/hasher"
	"apricotflow/internal/wire/encoder"
)

// versionsKept is the number of versions of an index that a manifest lists, so that running queries can end.
const versionsKept = 2

// next returns a deep copy with the next generation.
func next(m encoder.Manifest) encoder.Manifest {
	c, err := encoder.Decode[encoder.Manifest](encoder.Encode(m))
	if err != nil {
		panic(err)
	}
	c.Generation++
	return c
}

// WithDomain opens or closes a failure domain.
func WithDomain(m encoder.Manifest, name string, state encoder.FailureDomainState) encoder.Manifest {
	c := next(m)
	for i := range c.FailureDomains {
		if c.FailureDomains[i].Name == name {
			c.FailureDomains[i].State = state
		}
	}
	return c
}

// WithLimits sets the limits.
func WithLimits(m encoder.Manifest, l encoder.Limits) encoder.Manifest {
	c := next(m)
	c.Limits = l
	return c
}

// WithTarget sets the state of a target.
func WithTarget(m encoder.Manifest, name string, state encoder.TargetState) encoder.Manifest {
	c := next(m)
	for _, s := range c.Services {
		for i := range s.Targets {
			if s.Targets[i].Name == name {
				s.Targets[i].State = state
			}
		}
	}
	return c
}

// WithNewVersion adds a version of an index with the same shards.
func WithNewVersion(m encoder.Manifest, index string) encoder.Manifest {
	return withVersion(m, index, func(shards []encoder.Shard) []encoder.Shard { return shards })
}

// WithRepartition adds a version of an index with every shard split in two.
func WithRepartition(m encoder.Manifest, index string) encoder.Manifest {
	return withVersion(m, index, func(shards []encoder.Shard) []encoder.Shard {
		split := make([]encoder.Shard, 0, 2*len(shards))
		for _, s := range shards {
			for _, suffix := range []string{"a", "b"} {
				split = append(split, encoder.Shard{Name: s.Name + suffix, Replicas: slices.Clone(s.Replicas)})
			}
		}
		return split
	})
}

func withVersion(m encoder.Manifest, index string, change func([]encoder.Shard) []encoder.Shard) encoder.Manifest {
	c := next(m)
	for i := range c.Indexes {
		x := &c.Indexes[i]
		if x.Name != index {
			continue
		}
		last := x.Versions[len(x.Versions)-1]
		v := encoder.IndexVersion{Version: last.Version + 1, Shards: change(slices.Clone(last.Shards))}
		for j, s := range v.Shards {
			v.Shards[j].Documents = hasher.Documents(index, v.Version, s.Name)
		}
		x.Versions = append(x.Versions, v)
		x.Versions = x.Versions[max(0, len(x.Versions)-versionsKept):]
	}
	return c
}

// TargetsIn returns the names of the targets of a failure domain.
func TargetsIn(m encoder.Manifest, domain string) []string {
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

// Held returns the versions that a target must hold for the manifest, each once.
func Held(m encoder.Manifest, target string) []encoder.HeldVersion {
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
