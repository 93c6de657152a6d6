package planner

import "apricotflow/internal/wire/encoder"

// Plan is the snapshot that one query is computed from; it never changes.
type Plan struct {
	class    encoder.QueryClass
	snapshot encoder.Snapshot
	// shards are the needed shards of the pinned shard map, at least one.
	shards []encoder.Shard
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
