package merger

import "apricotflow/internal/wire/encoder"

// Kind is how a reply was handled.
type Kind int

// Kinds of verdict.
const (
	// NotOpen is a reply whose attempt is not open.
	NotOpen Kind = iota
	// Merged is an answer that was added to the result.
	Merged
	// Surplus is an answer for a shard that had been answered before.
	Surplus
	// Failed is a refusal, a failure or an answer that does not match the plan.
	Failed
)

// Verdict is the result of checking one reply.
type Verdict struct {
	Kind Kind
	// Shard is the position of the shard in the plan; it is not set if Kind is NotOpen.
	Shard int
	// Outcome and Reason are set for a failed reply.
	Outcome encoder.Outcome
	Reason  encoder.Reason
}

// Result is the merged result of one query.
type Result struct {
	// Coverage counts the merged shards among the needed shards of the plan.
	Coverage encoder.Coverage
	// Hits are sorted, best first; ties are ordered by document and shard.
	Hits []encoder.Hit
	// Missing lists the shards without an answer in the order of the plan.
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
	// outcome is not-run unless an attempt may have run.
	outcome encoder.Outcome
	reason  encoder.Reason
}

// recordFailure records a failed attempt. An attempt that may have run takes precedence over one that did not.
func (s *shardState) recordFailure(outcome encoder.Outcome, reason encoder.Reason) {
	if s.outcome == encoder.OutcomeUnknown && outcome == encoder.OutcomeNotRun {
		return
	}
	s.outcome, s.reason = outcome, reason
}

func (s *shardState) failureVerdict(shard int, outcome encoder.Outcome, reason encoder.Reason) Verdict {
	s.recordFailure(outcome, reason)
	return Verdict{Kind: Failed, Shard: shard, Outcome: outcome, Reason: reason}
}
