// Package merger validates the replies to the sub-queries of one query and merges them into hits, coverage and missing
// shards. The executor uses it; deciding on retries and hedges is left to the executor.
package merger

import (
	"fmt"
	"slices"

	"apricotflow/internal/operator/checker"
	"apricotflow/internal/query/planner"
	"apricotflow/internal/wire/encoder"
)

// Checker checks invariants.
type Checker interface {
	Check(ok bool, invariant checker.Invariant, subject, detail string) bool
}

// Merger merges the replies to one plan. It is used by one goroutine.
type Merger struct {
	plan    *planner.Plan
	checker Checker
	limit   int
	// openAttempts maps every attempt without a reply to its shard.
	openAttempts map[string]int
	shards       []shardState
	hits         hitHeap
}

// New creates a merger that keeps the best hits, up to limit.
func New(plan *planner.Plan, check Checker, limit int) *Merger {
	shards := make([]shardState, len(plan.Shards()))
	for i := range shards {
		shards[i] = shardState{outcome: encoder.OutcomeNotRun, reason: encoder.ReasonNoOwner}
	}
	return &Merger{plan: plan, checker: check, limit: limit, openAttempts: make(map[string]int, len(shards)), shards: shards}
}

// AddAttempt registers an attempt for a shard, given by its position in the plan.
func (m *Merger) AddAttempt(attempt string, shard int) {
	m.openAttempts[attempt] = shard
}

// Abandon closes an open attempt without a reply. The attempt may have run.
func (m *Merger) Abandon(attempt string, reason encoder.Reason) {
	shard, open := m.openAttempts[attempt]
	if !open {
		return
	}
	delete(m.openAttempts, attempt)
	m.shards[shard].recordFailure(encoder.OutcomeUnknown, reason)
}

// SetMissingReason sets the reason for a shard that gets no further attempt. It does not replace the reason of an
// attempt that may have run.
func (m *Merger) SetMissingReason(shard int, reason encoder.Reason) {
	s := &m.shards[shard]
	if !s.answered && s.outcome == encoder.OutcomeNotRun {
		s.reason = reason
	}
}

// Answered reports whether an answer of the shard has been merged.
func (m *Merger) Answered(shard int) bool {
	return m.shards[shard].answered
}

// Accept merges the reply if its attempt is open and the reply matches the plan.
func (m *Merger) Accept(reply encoder.SubReply) Verdict {
	shard, open := m.openAttempts[reply.Attempt]
	if !open {
		return Verdict{Kind: Dropped}
	}
	delete(m.openAttempts, reply.Attempt)
	s := &m.shards[shard]
	if reply.Outcome != encoder.OutcomeAnswered {
		return s.failureVerdict(shard, normalizeOutcome(reply.Outcome), reply.Reason)
	}
	if !m.matches(shard, reply) {
		return s.failureVerdict(shard, encoder.OutcomeUnknown, encoder.ReasonMismatch)
	}
	if s.answered {
		return Verdict{Kind: Surplus, Shard: shard}
	}
	m.merge(shard, reply)
	return Verdict{Kind: Merged, Shard: shard}
}

// Result returns what has been merged so far. Attempts that are still open get the outcome unknown and the reason.
func (m *Merger) Result(reason encoder.Reason) Result {
	for attempt := range m.openAttempts {
		m.Abandon(attempt, reason)
	}
	r := Result{Hits: m.hits.sorted(), Missing: []encoder.MissingShard{}}
	for i, shard := range m.plan.Shards() {
		s := m.shards[i]
		r.Coverage.Shards++
		r.Coverage.Documents += shard.Documents
		if !s.answered {
			r.Missing = append(r.Missing, encoder.MissingShard{Shard: shard.Name, Outcome: s.outcome, Reason: s.reason})
			continue
		}
		r.Coverage.ShardsAnswered++
		r.Coverage.DocumentsAnswered += s.documents
	}
	m.checkCoverage(r)
	return r
}

func (m *Merger) matches(shard int, reply encoder.SubReply) bool {
	snapshot := m.plan.Snapshot()
	name := m.plan.Shards()[shard].Name
	if reply.Index != snapshot.Index || reply.Version != snapshot.Version || reply.Shard != name || reply.Documents < 0 {
		return false
	}
	return !slices.ContainsFunc(reply.Hits, func(h encoder.Hit) bool { return h.Shard != name })
}

// merge adds an answer to the result. Hits are copied, so the buffers of the reply are not retained.
func (m *Merger) merge(shard int, reply encoder.SubReply) {
	snapshot, planned := m.plan.Snapshot(), m.plan.Shards()[shard]
	oneSnapshot := reply.Index == snapshot.Index && reply.Version == snapshot.Version
	m.checker.Check(oneSnapshot, checker.OneSnapshot, reply.Target, "merged a reply from another snapshot")
	m.checker.Check(reply.Shard == planned.Name, checker.OwnAnswer, reply.Target, "merged a reply for another shard")
	s := &m.shards[shard]
	s.answered = true
	// A target that searched fewer documents than the shard map lists covers only those.
	s.documents = min(planned.Documents, reply.Documents)
	for _, h := range reply.Hits {
		m.hits.add(h, m.limit)
	}
}

func (m *Merger) checkCoverage(r Result) {
	c := r.Coverage
	exact := c.ShardsAnswered+len(r.Missing) == c.Shards && c.DocumentsAnswered <= c.Documents
	for _, h := range r.Hits {
		exact = exact && !slices.ContainsFunc(r.Missing, func(s encoder.MissingShard) bool { return s.Shard == h.Shard })
	}
	m.checker.Check(exact, checker.TrueCoverage, m.plan.Snapshot().Index, fmt.Sprintf("coverage %+v with %d missing shards", c, len(r.Missing)))
}

// normalizeOutcome returns not-run unchanged and any other outcome as unknown.
func normalizeOutcome(o encoder.Outcome) encoder.Outcome {
	if o == encoder.OutcomeNotRun {
		return o
	}
	return encoder.OutcomeUnknown
}
