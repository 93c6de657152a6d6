package executor

import "github.com/uber-go/tally/v4"

// counters holds the counters of queries by outcome, of coverage and of extra load.
type counters struct {
	complete, partial, notRun, unknown, restarted tally.Counter
	// shards and shardsAnswered sum up the coverage of all answers and refusals.
	shards, shardsAnswered tally.Counter
	// needed, sent, hedged and retried count sub-queries: needed counts one for each shard of each plan, which is the
	// base of the extra load. budgetRefused counts hedges and retries refused for lack of budget.
	needed, sent, hedged, retried, budgetRefused tally.Counter
	// notOpen counts replies to attempts that are not open, late replies to queries that have ended, and mismatched
	// replies that do not match the snapshot.
	notOpen, late, mismatched tally.Counter
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
		budgetRefused: scope.Counter("sub-queries-budget-refused"),
		notOpen:       scope.Counter("replies-dropped"), late: scope.Counter("replies-late"),
		mismatched: scope.Counter("replies-mismatched"), panics: scope.Counter("router-panics"),
	}
}
