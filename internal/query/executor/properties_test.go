package executor_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"apricotflow/internal/wire/encoder"
)

// faults are the ways in which targets, owners and links fail a sub-query.
var faults = []behaviour{
	refuses(encoder.ReasonTargetDown, false), refuses(encoder.ReasonShed, true), refuses(encoder.ReasonVersionMissing, true),
	{outcome: encoder.OutcomeUnknown, reason: encoder.ReasonConnectionLost, copies: 1},
	{outcome: encoder.OutcomeAnswered, targetReplied: true, version: 7, copies: 1},
	{outcome: encoder.OutcomeAnswered, targetReplied: true, shard: "s1", copies: 1},
	{outcome: encoder.OutcomeAnswered, targetReplied: true, delay: 300 * time.Millisecond, copies: 1},
	{outcome: encoder.OutcomeAnswered, targetReplied: true},
}

func randomBehaviour(random *rand.Rand) behaviour {
	b := answers
	if n := random.IntN(12); n < len(faults) {
		b = faults[n]
	}
	b.delay += time.Duration(random.IntN(30)) * time.Millisecond
	if random.IntN(8) == 0 {
		b.copies *= 2
	}
	return b
}

// trial is a run of concurrent queries under random faults.
type trial struct {
	h                    *harness
	requests             []encoder.QueryRequest
	replies              []encoder.QueryReply
	took                 []time.Duration
	retriesWithoutBudget int
}

func runTrial(t *testing.T, seed uint64, shards, replicas, queries, budget int) *trial {
	random := rand.New(rand.NewPCG(seed, 1))
	// Some seeds refuse nearly everything, so that the outcome not-run occurs.
	refuseAll := random.IntN(4) == 0
	x := &trial{}
	x.h = newHarness(budget, func(encoder.SubQuery) behaviour {
		b := randomBehaviour(random)
		if refuseAll && random.IntN(20) > 0 {
			b = refuses(encoder.ReasonTargetDown, false)
		}
		if b.outcome == encoder.OutcomeNotRun && !b.targetReplied {
			x.retriesWithoutBudget++
		}
		return b
	})
	synctest.Test(t, func(t *testing.T) {
		e := x.h.executor(newConfiguration(shards, replicas))
		x.replies, x.took = make([]encoder.QueryReply, queries), make([]time.Duration, queries)
		var all sync.WaitGroup
		for i := range queries {
			request := search(fmt.Sprintf("q%d", i))
			if i%3 == 2 {
				request = order(fmt.Sprintf("q%d", i))
			}
			x.requests = append(x.requests, request)
			all.Go(func() {
				started := time.Now()
				x.replies[i], _ = e.Execute(t.Context(), request)
				x.took[i] = time.Since(started)
			})
		}
		all.Wait()
		_ = e.Drain(t.Context())
	})
	return x
}

// Under any faults: a not-run query has not run; a non-idempotent query is not dispatched again for a shard once a
// target was reached; every replica is used at most once per shard and version; extra load stays within the budget;
// callers get their own answers, with a coverage that matches them, before the deadline.
func TestQueryGuaranteesHoldUnderRandomFaults(t *testing.T) {
	outcomes := make(map[encoder.QueryOutcome]int)
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		shards, replicas := rapid.IntRange(1, 6).Draw(rt, "shards"), rapid.IntRange(1, 3).Draw(rt, "replicas")
		x := runTrial(t, seed, shards, replicas, rapid.IntRange(1, 6).Draw(rt, "queries"), rapid.IntRange(0, 4).Draw(rt, "budget"))
		for i, reply := range x.replies {
			outcomes[reply.Outcome]++
			checkReply(rt, x, i, reply)
		}
		checkDispatches(rt, x)
	})
	assert.Equal(t, len(outcomes), 4, "outcomes not reached: %v", outcomes)
}

func require(t *rapid.T, ok bool, format string, arguments ...any) {
	if !ok {
		t.Fatalf(format, arguments...)
	}
}

func checkReply(t *rapid.T, x *trial, i int, reply encoder.QueryReply) {
	text, c, shards := *x.requests[i].Text, reply.Coverage, make(map[string]bool)
	require(t, reply.Outcome != encoder.QueryOutcomeNotRun || !x.h.ran[text], "query %s ran and was reported as not-run", text)
	require(t, x.took[i] < deadline, "query %s took %v", text, x.took[i])
	for _, hit := range reply.Hits {
		require(t, hit.Document == text, "query %s got an answer to %s", text, hit.Document)
		shards[hit.Shard] = true
	}
	require(t, len(shards) == c.ShardsAnswered && len(reply.Hits) == c.ShardsAnswered && c.DocumentsAnswered == 10*c.ShardsAnswered &&
		c.ShardsAnswered+len(reply.Missing) == c.Shards, "coverage %+v with hits of %d shards", c, len(shards))
	require(t, (reply.Outcome == "complete") == (len(reply.Missing) == 0), "outcome %s with %d missing", reply.Outcome, len(reply.Missing))
}

func checkDispatches(t *rapid.T, x *trial) {
	used, mayHaveReached := make(map[string]bool), make(map[string]bool)
	for _, q := range x.h.sent {
		key := fmt.Sprintf("%s %s %d %s", q.Text, q.Shard, q.Version, q.Target)
		require(t, !used[key], "replica used twice: %s", key)
		require(t, q.Idempotent || !mayHaveReached[q.Text+q.Shard], "order %s dispatched for %s after a target was reached", q.Text, q.Shard)
		used[key] = true
		mayHaveReached[q.Text+q.Shard] = mayHaveReached[q.Text+q.Shard] || x.h.mayHaveReached[q.Attempt]
	}
	extra := len(x.h.sent) - x.h.needed
	require(t, extra <= x.h.taken+x.retriesWithoutBudget, "%d extra sub-queries with budget for %d and %d retries that need none", extra, x.h.taken, x.retriesWithoutBudget)
	for target, n := range x.h.inFlight {
		require(t, n == 0, "selector counts %d attempts in flight to %s after the end", n, target)
	}
	require(t, x.h.Violations() == 0, "invariants violated")
}
