package planner

import "apricotflow/internal/wire/encoder"

// Plan is the snapshot that one query is computed from; it never changes.
type Plan struct {
	class    encoder.QueryClass
	snapshot encoder.Snapshot
	// shards are the needed shards of the pinned shard map, at least one.
	shards []encoder.Shard
}

// NewPlan creates a plan of at least one shard; the list must not change afterwards.
func NewPlan(class encoder.QueryClass, snapshot encoder.Snapshot, shards []encoder.Shard) *Plan {
	return &Plan{class: class, snapshot: snapshot, shards: shards}
}

// Class returns the query class as the pinned manifest defines it.
func (p *Plan) Class() encoder.QueryClass {
	return p.class
}

// Snapshot returns the manifest generation, index and version.
func (p *Plan) Snapshot() encoder.Snapshot {
	return p.snapshot
}

// Shards returns the needed shards; callers must not change it.
func (p *Plan) Shards() []encoder.Shard {
	return p.shards
}
