package driver

import (
	"fmt"
	"slices"
	"sync"

	"apricotflow/internal/standin/hasher"
	"apricotflow/internal/wire/encoder"
)

// shardMaps holds the shards of every index version that a manifest has listed.
type shardMaps struct {
	mu     sync.Mutex
	shards map[encoder.HeldVersion]map[string]encoder.Shard
	// keyShards holds the shard that answered for each key of a version.
	keyShards map[versionKey]string
}

type versionKey struct {
	version encoder.HeldVersion
	key     string
}

func newShardMaps() *shardMaps {
	return &shardMaps{
		shards:    make(map[encoder.HeldVersion]map[string]encoder.Shard),
		keyShards: make(map[versionKey]string),
	}
}

func (s *shardMaps) add(m encoder.Manifest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range m.Indexes {
		for _, v := range x.Versions {
			shards := make(map[string]encoder.Shard, len(v.Shards))
			for _, shard := range v.Shards {
				shards[shard.Name] = shard
			}
			s.shards[encoder.HeldVersion{Index: x.Name, Version: v.Version}] = shards
		}
	}
}

func (s *shardMaps) contains(snapshot encoder.Snapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, found := s.shards[encoder.HeldVersion{Index: snapshot.Index, Version: snapshot.Version}]
	return found
}

// neededSubQueries returns the number of sub-queries that a query needs. reply is nil if there was no answer.
func (s *shardMaps) neededSubQueries(p plannedQuery, reply *encoder.QueryReply) int {
	if reply != nil {
		return reply.Coverage.Shards
	}
	if p.class.Routing == encoder.QueryClassRoutingKey {
		return 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	newest, count := 0, 0
	for v, shards := range s.shards {
		if v.Index == p.class.Index && v.Version > newest {
			newest, count = v.Version, len(shards)
		}
	}
	return count
}

// verification collects the violations in one answer.
type verification struct {
	query      string
	violations []Violation
}

func (v *verification) expect(ok bool, kind, format string, arguments ...any) {
	if !ok {
		v.violations = append(v.violations, Violation{Kind: kind, Detail: v.query + ": " + fmt.Sprintf(format, arguments...)})
	}
}

// verify recomputes an answer from its snapshot and from the shards that it does not list as missing.
func (s *shardMaps) verify(p plannedQuery, r encoder.QueryReply) []Violation {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := &verification{query: fmt.Sprintf("%s from %s (%s)", r.Query, r.Instance, p.class.Name)}
	version := encoder.HeldVersion{Index: r.Snapshot.Index, Version: r.Snapshot.Version}
	shards, found := s.shards[version]
	v.expect(found && version.Index == p.class.Index, "unknown-snapshot", "%+v", r.Snapshot)
	if len(v.violations) > 0 {
		return v.violations
	}
	if p.class.Routing == encoder.QueryClassRoutingKey {
		shards = s.checkKeyShard(v, p, version, shards, r)
	}
	answered := answeredShards(v, shards, r)
	checkCoverage(v, shards, answered, r)
	checkHits(v, p, version, answered, r)
	return v.violations
}

// checkKeyShard checks that all answers for a key of an index version come from the same shard. It returns the shard
// that the query was sent to, according to its hits or its missing shard.
func (s *shardMaps) checkKeyShard(
	v *verification, p plannedQuery, version encoder.HeldVersion, shards map[string]encoder.Shard, r encoder.QueryReply,
) map[string]encoder.Shard {
	name := ""
	if len(r.Missing) > 0 {
		name = r.Missing[0].Shard
	}
	if len(r.Hits) > 0 {
		name = r.Hits[0].Shard
	}
	shard, found := shards[name]
	v.expect(found, "unknown-shard", "shard %q", name)
	known, seen := s.keyShards[versionKey{version, p.key}]
	v.expect(!seen || known == name, "key-moved", "key %q in shards %s and %s of the same version", p.key, known, name)
	s.keyShards[versionKey{version, p.key}] = name
	return map[string]encoder.Shard{name: shard}
}

func answeredShards(v *verification, shards map[string]encoder.Shard, r encoder.QueryReply) []string {
	missing := make(map[string]bool)
	for _, m := range r.Missing {
		_, found := shards[m.Shard]
		v.expect(found && !missing[m.Shard], "false-coverage", "missing shard %q is unknown or listed twice", m.Shard)
		missing[m.Shard] = true
	}
	var answered []string
	for name := range shards {
		if !missing[name] {
			answered = append(answered, name)
		}
	}
	return answered
}

func checkCoverage(v *verification, shards map[string]encoder.Shard, answered []string, r encoder.QueryReply) {
	want := encoder.Coverage{Shards: len(shards), ShardsAnswered: len(answered)}
	for _, s := range shards {
		want.Documents += s.Documents
	}
	for _, name := range answered {
		want.DocumentsAnswered += shards[name].Documents
	}
	v.expect(r.Coverage == want, "false-coverage", "got %+v, want %+v", r.Coverage, want)
	complete := r.Outcome == encoder.QueryOutcomeComplete
	v.expect(complete == (len(r.Missing) == 0), "false-outcome", "%s with %d missing shards", r.Outcome, len(r.Missing))
}

func checkHits(v *verification, p plannedQuery, version encoder.HeldVersion, answered []string, r encoder.QueryReply) {
	want := hasher.MergedHits(version.Index, version.Version, answered, p.text, hitLimit)
	v.expect(slices.Equal(r.Hits, want), "false-hits", "got %v, want %v", r.Hits, want)
}
