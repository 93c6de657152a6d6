package planner

import (
	"time"

	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/wire/encoder"
)

// targetView is the known state of all targets at one time.
type targetView struct {
	manifest     *resolver.Manifest
	members      *resolver.Members
	heldVersions HeldVersions
	missing      map[missingVersion]time.Time
	now          time.Time
}

// availableDocuments returns the number of documents of the shards with an eligible replica, and whether every shard
// has one.
func (v targetView) availableDocuments(index string, version int, shards []encoder.Shard) (documents int, complete bool) {
	complete = true
	for i := range shards {
		if !v.hasEligibleReplica(index, version, shards[i].Replicas) {
			complete = false
			continue
		}
		documents += shards[i].Documents
	}
	return documents, complete
}

func (v targetView) hasEligibleReplica(index string, version int, replicas []string) bool {
	for _, name := range replicas {
		if v.isEligible(name, index, version) {
			return true
		}
	}
	return false
}

func (v targetView) eligibleReplicas(index string, version int, replicas []string) []string {
	names := make([]string, 0, len(replicas))
	for _, name := range replicas {
		if v.isEligible(name, index, version) {
			names = append(names, name)
		}
	}
	return names
}

// isEligible reports whether the target is serving and not known to lack the version.
func (v targetView) isEligible(target, index string, version int) bool {
	if !v.manifest.IsServing(target) || v.members.IsTargetLeaving(target) {
		return false
	}
	until, found := v.missing[missingVersion{target: target, index: index, version: version}]
	if found && v.now.Before(until) {
		return false
	}
	held, known := v.heldVersions.Holds(target, index, version)
	return held || !known
}
