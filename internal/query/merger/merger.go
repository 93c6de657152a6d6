// Package merger validates the replies to the sub-queries of one query and merges them into hits, coverage and missing
// shards. The executor uses it in native mode, and decides itself on retries and hedges.
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
	maxHits int
	// shardByOpenAttempt maps the id of every open attempt to the position of its shard in the plan.
	shardByOpenAttempt map[string]int
	shards             []shardState
	hits               hitHeap
}

// New creates a merger that keeps the best maxHits hits.
func New(plan *planner.Plan, check Checker, maxHits int) *Merger {
	shards := make([]shardState, len(plan.Shards()))
	// The reason is a placeholder: the executor calls SetMissingReason for every shard that gets no attempt.
	for i := range shards {
		shards[i] = shardState{outcome: encoder.OutcomeNotRun, reason: encoder.ReasonNoOwner}
	}
	return &Merger{plan: plan, checker: check, maxHits: maxHits, shardByOpenAttempt: make(map[string]int, len(shards)), shards: shards}
}

// AddAttempt registers an attempt for a shard, given by its position in the plan.
func (m *Merger) AddAttempt(attempt string, shard int) {
	m.shardByOpenAttempt[attempt] = shard
}

// CloseAttempt closes an open attempt without a reply. The attempt may have run.
func (m *Merger) CloseAttempt(attempt string, reason encoder.Reason) {
	shard, open := m.shardByOpenAttempt[attempt]
	if !open {
		return
	}
	delete(m.shardByOpenAttempt, attempt)
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

// AddReply closes the attempt of the reply and merges the reply if it is an answer that matches the plan. A failure or
// a mismatch is recorded as the reason for a missing shard. The verdict tells what was done; a reply to an attempt that
// is not open has no effect.
func (m *Merger) AddReply(reply encoder.SubReply) Verdict {
	shard, open := m.shardByOpenAttempt[reply.Attempt]
	if !open {
		return Verdict{Kind: NotOpen}
	}
	delete(m.shardByOpenAttempt, reply.Attempt)
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
	for attempt := range m.shardByOpenAttempt {
		m.CloseAttempt(attempt, reason)
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

// merge adds a reply to the result. Its checks repeat those of matches, to detect a fault there. Hits are copied, so
// the buffers of the reply are not retained.
func (m *Merger) merge(shard int, reply encoder.SubReply) {
	snapshot, planned := m.plan.Snapshot(), m.plan.Shards()[shard]
	oneSnapshot := reply.Index == snapshot.Index && reply.Version == snapshot.Version
	m.checker.Check(oneSnapshot, checker.OneSnapshot, reply.Target, "merged a reply from another snapshot")
	m.checker.Check(reply.Shard == planned.Name, checker.ReplyMatchesSubQuery, reply.Target, "merged a reply for another shard")
	s := &m.shards[shard]
	s.answered = true
	// A target that searched fewer documents than the shard map lists covers only those.
	s.documents = min(planned.Documents, reply.Documents)
	for _, h := range reply.Hits {
		m.hits.add(h, m.maxHits)
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
