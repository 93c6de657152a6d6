package executor

import "github.com/uber-go/tally/v4"

// counters count queries by outcome and the extra load.
type counters struct {
	complete, partial, notRun, unknown, restarted tally.Counter
	// shards and shardsAnswered add up the coverage of all answers and refusals.
	shards, shardsAnswered tally.Counter
	// needed, sent, hedged and retried count sub-queries; refused counts hedges and retries without budget.
	needed, sent, hedged, retried, refused tally.Counter
	// dropped counts replies to attempts that are not open, late those to ended queries.
	dropped, late, mismatched tally.Counter
	panics                    tally.Counter
}

func newCounters(scope tally.Scope) counters {
	return counters{
		complete: scope.Counter("queries-complete"), partial: scope.Counter("queries-partial"),
		notRun: scope.Counter("queries-not-run"), unknown: scope.Counter("queries-unknown"),
		restarted: scope.Counter("queries-restarted"),
		shards:    scope.Counter("coverage-shards"), shardsAnswered: scope.Counter("coverage-shards-answered"),
		needed: scope.Counter("sub-queries-needed"), sent: scope.Counter("sub-queries-sent"),
		hedged: scope.Counter("sub-queries-hedged"), retried: scope.Counter("sub-queries-retried"),
		refused: scope.Counter("sub-queries-budget-refused"),
		dropped: scope.Counter("replies-dropped"), late: scope.Counter("replies-late"),
		mismatched: scope.Counter("replies-mismatched"), panics: scope.Counter("router-panics"),
	}
}
