package planner

import (
	"time"

	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/wire/encoder"
)

// view is what is known of all targets at one moment.
type view struct {
	manifest *resolver.Manifest
	members  *resolver.Members
	holdings Holdings
	missing  map[missingVersion]time.Time
	now      time.Time
}

// reachable returns the documents of the shards with an available replica, and whether that is every shard.
func (v view) reachable(index string, version int, shards []encoder.Shard) (documents int, complete bool) {
	complete = true
	for i := range shards {
		if !v.anyUsable(index, version, shards[i].Replicas) {
			complete = false
			continue
		}
		documents += shards[i].Documents
	}
	return documents, complete
}

func (v view) anyUsable(index string, version int, replicas []string) bool {
	for _, name := range replicas {
		if v.usable(name, index, version) {
			return true
		}
	}
	return false
}

func (v view) available(index string, version int, replicas []string) []string {
	names := make([]string, 0, len(replicas))
	for _, name := range replicas {
		if v.usable(name, index, version) {
			names = append(names, name)
		}
	}
	return names
}

// usable reports whether the target may get work and is not known to lack the version.
func (v view) usable(target, index string, version int) bool {
	if !v.manifest.Serving(target) || v.members.TargetLeaving(target) {
		return false
	}
	until, found := v.missing[missingVersion{target: target, index: index, version: version}]
	if found && v.now.Before(until) {
		return false
	}
	held, known := v.holdings.Holds(target, index, version)
	return held || !known
}
