package resolver

import (
	"fmt"
	"maps"

	"apricotflow/internal/wire/encoder"
)

// CheckSuccessor returns every reason why next cannot replace previous. The generation must rise, since instances
// ignore a manifest of a lower generation and choose between two of the same generation by digest. A deployment keeps
// its name, and the shards of an index version are immutable except for the targets of their replicas.
func CheckSuccessor(previous, next *Manifest) []Problem {
	r := &ruleChecker{}
	if next.Generation() <= previous.Generation() && next.Digest() != previous.Digest() {
		r.addProblem("$.generation", "must be above %d, the previous generation, not %d", previous.Generation(), next.Generation())
	}
	if next.Deployment() != previous.Deployment() {
		r.addProblem("$.deployment", "must stay %q, not %q", previous.Deployment(), next.Deployment())
	}
	for i, x := range next.wire.Indexes {
		earlier, found := previous.Index(x.Name)
		if found {
			r.checkVersionsUnchanged(fmt.Sprintf("$.indexes[%d]", i), earlier, x)
		}
	}
	return r.problems
}

func (r *ruleChecker) checkVersionsUnchanged(path string, previous, next encoder.Index) {
	previousShards := make(map[int]map[string]int, len(previous.Versions))
	for _, v := range previous.Versions {
		previousShards[v.Version] = documentsByShard(v)
	}
	for i, v := range next.Versions {
		shards, found := previousShards[v.Version]
		if found && !maps.Equal(shards, documentsByShard(v)) {
			r.addProblem(fmt.Sprintf("%s.versions[%d].shards", path, i), "shards or documents of version %d of index %q differ from the previous manifest; use a new version", v.Version, next.Name)
		}
	}
}

func documentsByShard(v encoder.IndexVersion) map[string]int {
	documents := make(map[string]int, len(v.Shards))
	for _, s := range v.Shards {
		documents[s.Name] = s.Documents
	}
	return documents
}
