package merger_test

import (
	"cmp"
	"flag"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/operator/checker"
	"apricotflow/internal/query/merger"
	"apricotflow/internal/query/planner"
	"apricotflow/internal/wire/encoder"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
}

// strict fails the test on a violated invariant.
type strict struct{ fatalf func(string, ...any) }

func (s strict) Check(ok bool, invariant checker.Invariant, subject, detail string) bool {
	if !ok {
		s.fatalf("%s violated for %s: %s", invariant, subject, detail)
	}
	return ok
}

type configuration struct{ manifest *resolver.Manifest }

func (c configuration) Manifest() *resolver.Manifest                      { return c.manifest }
func (c configuration) Members() *resolver.Members                        { return resolver.NewMembers(encoder.MemberList{}) }
func (c configuration) Holds(string, string, int) (held bool, known bool) { return false, false }

func newPlan(t *testing.T, shards int, key *string) *planner.Plan {
	t.Helper()
	wire := encoder.Manifest{
		Generation: 1, FailureDomains: []encoder.FailureDomain{{Name: "a", State: "open"}},
		Services: []encoder.Service{{Name: "s", Targets: []encoder.Target{
			{Name: "t", Address: "127.0.0.1:1", FailureDomain: "a", State: "serving", Slots: 2, Connections: 25, ColdLimit: 1},
		}}},
		QueryClasses: []encoder.QueryClass{{Name: "all", Index: "x", Routing: "all"}, {Name: "key", Index: "x", Routing: "key"}},
	}
	version := encoder.IndexVersion{Version: 3}
	for i := range shards {
		version.Shards = append(version.Shards, encoder.Shard{Name: shardName(i), Documents: 10 + i, Replicas: []string{"t"}})
	}
	wire.Indexes = []encoder.Index{{Name: "x", Versions: []encoder.IndexVersion{version}}}
	m, problems := resolver.New(wire, "d")
	assert.Equal(t, len(problems), 0, "%v", problems)
	request := encoder.QueryRequest{QueryClass: "all", Key: key}
	if key != nil {
		request.QueryClass = "key"
	}
	p, err := planner.New(configuration{m}, configuration{m}).Plan(request)
	assert.NilError(t, err)
	return p
}

func shardName(i int) string { return fmt.Sprintf("s%d", i) }

// drawReply draws a reply to an attempt that is right, crossed, of a wrong version, refused, or partly searched.
func drawReply(t *rapid.T, shards int) encoder.SubReply {
	shard := rapid.IntRange(0, shards-1).Draw(t, "shard")
	r := encoder.SubReply{
		Attempt: fmt.Sprintf("%s/%d", shardName(shard), rapid.IntRange(0, 1).Draw(t, "attempt")),
		Index:   "x", Version: rapid.SampledFrom([]int{3, 3, 3, 2}).Draw(t, "version"),
		Shard: shardName(shard), Documents: rapid.SampledFrom([]int{5, 1000, 1000}).Draw(t, "documents"),
		Outcome: rapid.SampledFrom([]encoder.Outcome{"answered", "answered", "answered", "not-run", "unknown"}).Draw(t, "outcome"),
		Reason:  encoder.ReasonShed,
	}
	if rapid.IntRange(0, 5).Draw(t, "crossed") == 0 {
		r.Shard = shardName((shard + 1) % (shards + 1))
	}
	for range rapid.IntRange(0, 4).Draw(t, "hits") {
		r.Hits = append(r.Hits, encoder.Hit{
			Document: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "document"), Shard: r.Shard,
			Score: float64(rapid.IntRange(0, 3).Draw(t, "score")),
		})
	}
	return r
}

// model is the specification: the first matching answer of every shard counts.
type model struct {
	done     map[string]bool
	answered map[string]encoder.SubReply
	unknown  map[string]bool
}

func (m *model) accept(r encoder.SubReply) {
	asked := r.Attempt[:len(r.Attempt)-2]
	if m.done[r.Attempt] {
		return
	}
	m.done[r.Attempt] = true
	matching := r.Outcome == "answered" && r.Index == "x" && r.Version == 3 && r.Shard == asked
	if _, found := m.answered[asked]; matching && !found {
		m.answered[asked] = r
	}
	if !matching && r.Outcome != "not-run" {
		m.unknown[asked] = true
	}
}

func (m *model) hits(limit int) []encoder.Hit {
	hits := []encoder.Hit{}
	for _, r := range m.answered {
		hits = append(hits, r.Hits...)
	}
	slices.SortFunc(hits, func(a, b encoder.Hit) int {
		return cmp.Or(-cmp.Compare(a.Score, b.Score), cmp.Compare(a.Document, b.Document), cmp.Compare(a.Shard, b.Shard))
	})
	return hits[:min(limit, len(hits))]
}

// Duplicate, crossed, late and wrong-version replies in any order must neither enter an answer nor raise the coverage.
func TestResultEqualsModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		shards := rapid.IntRange(1, 5).Draw(rt, "shards")
		limit := rapid.IntRange(1, 6).Draw(rt, "limit")
		p := newPlan(t, shards, nil)
		m := merger.New(p, strict{rt.Fatalf}, limit)
		want := &model{done: map[string]bool{}, answered: map[string]encoder.SubReply{}, unknown: map[string]bool{}}
		for i := range shards {
			m.Open(shardName(i)+"/0", i)
			m.Open(shardName(i)+"/1", i)
		}
		for range rapid.IntRange(0, 20).Draw(rt, "replies") {
			r := drawReply(rt, shards)
			m.Accept(r)
			want.accept(r)
		}
		compare(rt, p, m.Result(encoder.ReasonDeadlineExceeded), want, limit)
	})
}

func compare(t *rapid.T, p *planner.Plan, got merger.Result, want *model, limit int) {
	coverage := encoder.Coverage{}
	missing := 0
	for _, shard := range p.Shards() {
		coverage.Shards++
		coverage.Documents += shard.Documents
		if r, found := want.answered[shard.Name]; found {
			coverage.ShardsAnswered++
			coverage.DocumentsAnswered += min(r.Documents, shard.Documents)
			continue
		}
		open := !want.done[shard.Name+"/0"] || !want.done[shard.Name+"/1"]
		outcome := encoder.OutcomeNotRun
		if open || want.unknown[shard.Name] {
			outcome = encoder.OutcomeUnknown
		}
		assert.Equal(t, got.Missing[missing].Shard, shard.Name)
		assert.Equal(t, got.Missing[missing].Outcome, outcome)
		missing++
	}
	assert.Equal(t, len(got.Missing), missing)
	assert.Equal(t, got.Coverage, coverage)
	assert.Equal(t, got.Complete(), coverage.ShardsAnswered == coverage.Shards && coverage.DocumentsAnswered == coverage.Documents)
	assert.DeepEqual(t, got.Hits, want.hits(limit))
}

// A keyed query that reports the coverage of all shards would never be complete.
func TestCoverageOfAKeyedQueryIsAboutItsShard(t *testing.T) {
	key := "k"
	p := newPlan(t, 4, &key)
	m := merger.New(p, strict{t.Fatalf}, 10)
	m.Open("1", 0)
	shard := p.Shards()[0]
	m.Accept(encoder.SubReply{Attempt: "1", Index: "x", Version: 3, Shard: shard.Name, Documents: shard.Documents, Outcome: "answered"})
	r := m.Result(encoder.ReasonNone)
	assert.Equal(t, r.Coverage, encoder.Coverage{Shards: 1, ShardsAnswered: 1, Documents: shard.Documents, DocumentsAnswered: shard.Documents})
	assert.Assert(t, r.Complete())
}

// Keeping the buffer of a reply would let its owner change an answer that is being sent.
func TestHitsAreCopied(t *testing.T) {
	m := merger.New(newPlan(t, 1, nil), strict{t.Fatalf}, 10)
	m.Open("1", 0)
	hits := []encoder.Hit{{Document: "mine", Shard: "s0"}}
	m.Accept(encoder.SubReply{Attempt: "1", Index: "x", Version: 3, Shard: "s0", Documents: 10, Outcome: "answered", Hits: hits})
	hits[0].Document = "other"
	assert.Equal(t, m.Result(encoder.ReasonNone).Hits[0].Document, "mine")
}
