package merger_test

import (
	"cmp"
	"flag"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"apricotflow/internal/operator/checker"
	"apricotflow/internal/query/merger"
	"apricotflow/internal/query/planner"
	"apricotflow/internal/wire/encoder"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
}

// failingChecker fails the test when an invariant is violated.
type failingChecker struct{ fatalf func(string, ...any) }

func (s failingChecker) Check(ok bool, invariant checker.Invariant, subject, detail string) bool {
	if !ok {
		s.fatalf("%s violated for %s: %s", invariant, subject, detail)
	}
	return ok
}

func newPlan(shards int) *planner.Plan {
	list := make([]encoder.Shard, shards)
	for i := range list {
		list[i] = encoder.Shard{Name: shardName(i), Documents: 10 + i}
	}
	return planner.NewPlan(encoder.QueryClass{}, encoder.Snapshot{Generation: 1, Index: "x", Version: 3}, list)
}

func shardName(i int) string { return fmt.Sprintf("s%d", i) }

// drawReply draws a reply that is right, for another shard, of a wrong version, refused, or based on some documents
// only.
func drawReply(t *rapid.T, shards int) encoder.SubReply {
	shard := rapid.IntRange(0, shards-1).Draw(t, "shard")
	r := encoder.SubReply{
		Attempt: fmt.Sprintf("%s/%d", shardName(shard), rapid.IntRange(0, 1).Draw(t, "attempt")),
		Index:   rapid.SampledFrom([]string{"x", "x", "x", "y"}).Draw(t, "index"), Shard: shardName(shard),
		Version:   rapid.SampledFrom([]int{3, 3, 3, 2}).Draw(t, "version"),
		Documents: rapid.SampledFrom([]int{5, 1000, 1000}).Draw(t, "documents"),
		Outcome:   rapid.SampledFrom([]encoder.Outcome{"answered", "answered", "answered", "not-run", "unknown"}).Draw(t, "outcome"),
	}
	if rapid.IntRange(0, 5).Draw(t, "other shard") == 0 {
		r.Shard = shardName((shard + 1) % (shards + 1))
	}
	for range rapid.IntRange(0, 4).Draw(t, "hits") {
		document := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "document")
		r.Hits = append(r.Hits, encoder.Hit{Document: document, Shard: r.Shard, Score: float64(rapid.IntRange(0, 3).Draw(t, "score"))})
	}
	return r
}

// model is the specification: the first matching answer of every shard counts.
type model struct {
	done, unknown map[string]bool
	answered      map[string]encoder.SubReply
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
	m.unknown[asked] = m.unknown[asked] || !matching && r.Outcome != "not-run"
}

func (m *model) result(p *planner.Plan, limit int) (hits []encoder.Hit, coverage encoder.Coverage, missing []encoder.MissingShard) {
	hits, missing = []encoder.Hit{}, []encoder.MissingShard{}
	for _, shard := range p.Shards() {
		coverage.Shards++
		coverage.Documents += shard.Documents
		if r, found := m.answered[shard.Name]; found {
			hits = append(hits, r.Hits...)
			coverage.ShardsAnswered++
			coverage.DocumentsAnswered += min(r.Documents, shard.Documents)
			continue
		}
		open := !m.done[shard.Name+"/0"] || !m.done[shard.Name+"/1"]
		outcome := map[bool]encoder.Outcome{true: "unknown", false: "not-run"}[open || m.unknown[shard.Name]]
		missing = append(missing, encoder.MissingShard{Shard: shard.Name, Outcome: outcome})
	}
	slices.SortFunc(hits, func(a, b encoder.Hit) int {
		return cmp.Or(-cmp.Compare(a.Score, b.Score), cmp.Compare(a.Document, b.Document), cmp.Compare(a.Shard, b.Shard))
	})
	return hits[:min(limit, len(hits))], coverage, missing
}

// Duplicate, late and wrong-version replies and those for another shard, in any order, must neither enter an answer nor
// raise the coverage, and a sender that reuses its buffer must not change the answer.
func TestResultEqualsModelForAnyReplies(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		shards, limit := rapid.IntRange(1, 5).Draw(rt, "shards"), rapid.IntRange(1, 6).Draw(rt, "limit")
		p := newPlan(shards)
		m := merger.New(p, failingChecker{rt.Fatalf}, limit)
		want := &model{done: map[string]bool{}, answered: map[string]encoder.SubReply{}, unknown: map[string]bool{}}
		for i := range shards {
			m.AddAttempt(shardName(i)+"/0", i)
			m.AddAttempt(shardName(i)+"/1", i)
		}
		for range rapid.IntRange(0, 20).Draw(rt, "replies") {
			r := drawReply(rt, shards)
			sent := r
			sent.Hits = slices.Clone(r.Hits)
			m.AddReply(sent)
			want.accept(r)
			clear(sent.Hits)
		}
		got := m.Result(encoder.ReasonDeadlineExceeded)
		for i := range got.Missing {
			got.Missing[i].Reason = ""
		}
		hits, coverage, missing := want.result(p, limit)
		assert.DeepEqual(rt, got.Hits, hits)
		assert.Equal(rt, got.Coverage, coverage)
		assert.DeepEqual(rt, got.Missing, missing)
		assert.Equal(rt, got.Complete(), len(missing) == 0 && coverage.DocumentsAnswered == coverage.Documents)
	})
}

// Callers act on the reason of a missing shard: a later refusal must not hide that an attempt may have run.
func TestMissingShardKeepsReasonOfAttemptThatMayHaveRun(t *testing.T) {
	m := merger.New(newPlan(2), failingChecker{t.Fatalf}, 10)
	m.AddAttempt("1", 0)
	m.AddAttempt("2", 0)
	m.AddReply(encoder.SubReply{Attempt: "1", Outcome: "unknown", Reason: encoder.ReasonConnectionLost})
	m.AddReply(encoder.SubReply{Attempt: "2", Outcome: "not-run", Reason: encoder.ReasonShed})
	m.SetMissingReason(0, encoder.ReasonBudgetEmpty)
	m.SetMissingReason(1, encoder.ReasonTargetDown)
	assert.DeepEqual(t, m.Result(encoder.ReasonNone).Missing, []encoder.MissingShard{
		{Shard: "s0", Outcome: "unknown", Reason: encoder.ReasonConnectionLost},
		{Shard: "s1", Outcome: "not-run", Reason: encoder.ReasonTargetDown},
	})
}
