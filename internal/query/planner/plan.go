package planner

import "apricotflow/internal/wire/encoder"

// Plan is the snapshot that one query reads, with the shards it needs. It is immutable.
type Plan struct {
	class    encoder.QueryClass
	snapshot encoder.Snapshot
	// shards holds the needed shards of the pinned version, at least one.
	shards []encoder.Shard
}

// NewPlan creates a plan. It needs at least one shard, and the list must not change afterwards.
func NewPlan(class encoder.QueryClass, snapshot encoder.Snapshot, shards []encoder.Shard) *Plan {
	return &Plan{class: class, snapshot: snapshot, shards: shards}
}

// Class returns the query class as defined by the pinned manifest.
func (p *Plan) Class() encoder.QueryClass {
	return p.class
}

// Snapshot returns the manifest generation, index and version.
func (p *Plan) Snapshot() encoder.Snapshot {
	return p.snapshot
}

// Shards returns the needed shards. Callers must not change the list.
func (p *Plan) Shards() []encoder.Shard {
	return p.shards
}
