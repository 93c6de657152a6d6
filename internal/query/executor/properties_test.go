package executor_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"apricotflow/internal/wire/encoder"
)

// randomBehaviour draws from everything that targets, owners and links do to a sub-query.
func randomBehaviour(random *rand.Rand) behaviour {
	b := answers
	b.delay = time.Duration(random.IntN(30)) * time.Millisecond
	b.duplicate = random.IntN(8) == 0
	switch random.IntN(12) {
	case 0:
		b.outcome, b.reason, b.reached = encoder.OutcomeNotRun, encoder.ReasonTargetDown, false
	case 1:
		b.outcome, b.reason = encoder.OutcomeNotRun, encoder.ReasonShed
	case 2:
		b.outcome, b.reason, b.reached = encoder.OutcomeUnknown, encoder.ReasonConnectionLost, false
	case 3:
		b.outcome, b.reason = encoder.OutcomeNotRun, encoder.ReasonVersionMissing
	case 4:
		b.version = 7
	case 5:
		b.shard = "s1"
	case 6:
		b.delay = 300 * time.Millisecond
	case 7:
		b.silent = true
	}
	return b
}

// trial runs concurrent queries in a world of random faults.
type trial struct {
	w        *world
	requests []encoder.QueryRequest
	replies  []encoder.QueryReply
	took     []time.Duration
	free     int
}

func runTrial(t *testing.T, seed uint64, shards, replicas, queries, budget int) *trial {
	random := rand.New(rand.NewPCG(seed, 1))
	// Some seeds refuse everything, so that the outcome not-run occurs.
	refuseAll := random.IntN(4) == 0
	x := &trial{}
	x.w = newWorld(budget, func(encoder.SubQuery) behaviour {
		b := randomBehaviour(random)
		if refuseAll && random.IntN(20) > 0 {
			b = refuses(encoder.ReasonTargetDown, false)
		}
		if b.outcome == encoder.OutcomeNotRun && !b.reached {
			x.free++
		}
		return b
	})
	synctest.Test(t, func(t *testing.T) {
		e := x.w.executor(newConfiguration(shards, replicas))
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

// Whatever targets do: a not-run query must not have run, an order must be dispatched at most once per shard, every
// replica is used at most once per shard and version, extra load stays within the budget, callers get their own
// answers with a coverage that matches them, and answers come before the deadline.
func TestGuaranteesUnderRandomFaults(t *testing.T) {
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
		if len(x.w.violated) > 0 {
			rt.Fatalf("invariants violated: %v", x.w.violated)
		}
	})
	for _, o := range []encoder.QueryOutcome{"complete", "partial", "not-run", "unknown"} {
		if outcomes[o] == 0 {
			t.Fatalf("no query had the outcome %s: %v", o, outcomes)
		}
	}
}

func checkReply(t *rapid.T, x *trial, i int, reply encoder.QueryReply) {
	text := *x.requests[i].Text
	if reply.Outcome == encoder.QueryOutcomeNotRun && x.w.ran[text] {
		t.Fatalf("query %s ran and was reported as not-run", text)
	}
	if x.took[i] >= deadline {
		t.Fatalf("query %s took %v", text, x.took[i])
	}
	shards := make(map[string]bool)
	for _, h := range reply.Hits {
		if h.Document != text {
			t.Fatalf("query %s got an answer to %s", text, h.Document)
		}
		shards[h.Shard] = true
	}
	c := reply.Coverage
	if len(shards) != c.ShardsAnswered || len(reply.Hits) != c.ShardsAnswered || c.DocumentsAnswered != 10*c.ShardsAnswered {
		t.Fatalf("coverage %+v with hits of %d shards", c, len(shards))
	}
	if c.ShardsAnswered+len(reply.Missing) != c.Shards || (reply.Outcome == "complete") != (len(reply.Missing) == 0) {
		t.Fatalf("outcome %s with coverage %+v and %d missing", reply.Outcome, c, len(reply.Missing))
	}
}

func checkDispatches(t *rapid.T, x *trial) {
	used, dispatched := make(map[string]bool), make(map[string]bool)
	for _, q := range x.w.sent {
		key := fmt.Sprintf("%s %s %d %s", q.Text, q.Shard, q.Version, q.Target)
		if used[key] {
			t.Fatalf("replica used twice: %s", key)
		}
		used[key] = true
		if !q.Idempotent && dispatched[q.Text+q.Shard] {
			t.Fatalf("order %s dispatched twice for %s", q.Text, q.Shard)
		}
		dispatched[q.Text+q.Shard] = true
	}
	if extra := len(x.w.sent) - x.w.needed; extra > x.w.taken+x.free {
		t.Fatalf("%d extra sub-queries with budget for %d and %d free retries", extra, x.w.taken, x.free)
	}
	for target, n := range x.w.begun {
		if n != 0 {
			t.Fatalf("selector counts %d attempts in flight to %s after the end", n, target)
		}
	}
}
