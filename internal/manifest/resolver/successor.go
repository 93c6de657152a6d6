package resolver

import (
	"fmt"
	"maps"

	"apricotflow/internal/wire/encoder"
)

// CheckSuccessor returns every reason for which next cannot replace previous: instances ignore a manifest whose
// generation does not rise, and index versions are immutable apart from the place of their replicas.
func CheckSuccessor(previous, next *Manifest) []Problem {
	r := &rules{}
	if next.Generation() <= previous.Generation() && next.Digest() != previous.Digest() {
		r.add("$.generation", "must be above %d, the previous generation, not %d", previous.Generation(), next.Generation())
	}
	if next.Deployment() != previous.Deployment() {
		r.add("$.deployment", "must stay %q, not %q", previous.Deployment(), next.Deployment())
	}
	for i, x := range next.wire.Indexes {
		earlier, found := previous.Index(x.Name)
		if found {
			r.checkVersions(fmt.Sprintf("$.indexes[%d]", i), earlier, x)
		}
	}
	return r.problems
}

func (r *rules) checkVersions(path string, previous, next encoder.Index) {
	known := make(map[int]map[string]int, len(previous.Versions))
	for _, v := range previous.Versions {
		known[v.Version] = documentsByShard(v)
	}
	for i, v := range next.Versions {
		shards, found := known[v.Version]
		if found && !maps.Equal(shards, documentsByShard(v)) {
			r.add(fmt.Sprintf("%s.versions[%d].shards", path, i), "version %d of index %q has other shards or documents than in the previous manifest; use a new version", v.Version, next.Name)
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
