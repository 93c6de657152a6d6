package merger

import "apricotflow/internal/wire/encoder"

// Kind tells what became of a reply.
type Kind int

// Kinds of verdict.
const (
	// Dropped is a reply whose attempt is not open.
	Dropped Kind = iota
	// Merged is an answer that was counted.
	Merged
	// Surplus is an answer for a shard that was counted before.
	Surplus
	// Failed is a refusal, a failure or an answer that does not match the plan.
	Failed
)

// Verdict is the judgement of one reply.
type Verdict struct {
	Kind Kind
	// Shard is the position in the plan; it is not set for a dropped reply.
	Shard int
	// Outcome and Reason are set for a failed reply.
	Outcome encoder.Outcome
	Reason  encoder.Reason
}

// Result is what the replies of one query add up to.
type Result struct {
	// Coverage counts only shards that were merged, of the needed shards of the plan.
	Coverage encoder.Coverage
	// Hits are sorted, best first; ties are ordered by document and shard.
	Hits []encoder.Hit
	// Missing lists the other shards in the order of the plan.
	Missing []encoder.MissingShard
}

// Complete reports whether every document of every needed shard was searched.
func (r Result) Complete() bool {
	return len(r.Missing) == 0 && r.Coverage.DocumentsAnswered == r.Coverage.Documents
}

// shardState is the state of one needed shard.
type shardState struct {
	answered  bool
	documents int
	// outcome is not-run unless some attempt may have run.
	outcome encoder.Outcome
	reason  encoder.Reason
}

// fail records a failed attempt: an attempt that may have run outweighs any that did not.
func (s *shardState) fail(outcome encoder.Outcome, reason encoder.Reason) {
	if s.outcome == encoder.OutcomeUnknown && outcome == encoder.OutcomeNotRun {
		return
	}
	s.outcome, s.reason = outcome, reason
}

func (s *shardState) failed(shard int, outcome encoder.Outcome, reason encoder.Reason) Verdict {
	s.fail(outcome, reason)
	return Verdict{Kind: Failed, Shard: shard, Outcome: outcome, Reason: reason}
}
