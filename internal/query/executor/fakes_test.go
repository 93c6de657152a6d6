package executor_test

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/operator/checker"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/query/admitter"
	"apricotflow/internal/query/executor"
	"apricotflow/internal/query/planner"
	"apricotflow/internal/wire/encoder"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
}

const deadline, hedgeDelay = 100 * time.Millisecond, 10 * time.Millisecond

// configuration has the shards s0, s1 and so on, with 10 documents each, in versions 1 and 2. Shard s<i> has the
// replicas r<i>-0, r<i>-1 and so on.
type configuration struct{ manifest *resolver.Manifest }

func (c configuration) Manifest() *resolver.Manifest                      { return c.manifest }
func (c configuration) Members() *resolver.Members                        { return resolver.NewMembers(encoder.MemberList{}) }
func (c configuration) Holds(string, string, int) (held bool, known bool) { return false, false }

func newConfiguration(shards, replicas int) configuration {
	wire := encoder.Manifest{
		Generation: 1, FailureDomains: []encoder.FailureDomain{{Name: "a", State: "open"}}, Services: []encoder.Service{{Name: "s"}},
		QueryClasses: []encoder.QueryClass{
			{Name: "search", Index: "x", Priority: "urgent", Idempotent: true, Routing: "all", DeadlineMs: int(deadline.Milliseconds())},
			{Name: "lookup", Index: "x", Priority: "urgent", Idempotent: true, Routing: "key", DeadlineMs: int(deadline.Milliseconds())},
			{Name: "order", Index: "x", Priority: "urgent", Routing: "all", DeadlineMs: int(deadline.Milliseconds())},
		},
		Indexes: []encoder.Index{{Name: "x", Versions: []encoder.IndexVersion{{Version: 1}, {Version: 2}}}},
	}
	for i := range shards {
		shard := encoder.Shard{Name: fmt.Sprintf("s%d", i), Documents: 10}
		for j := range replicas {
			name := fmt.Sprintf("r%d-%d", i, j)
			shard.Replicas = append(shard.Replicas, name)
			wire.Services[0].Targets = append(wire.Services[0].Targets, encoder.Target{
				Name: name, Address: fmt.Sprintf("127.0.0.1:%d", 1000+i*100+j), FailureDomain: "a", State: "serving", Slots: 2, Connections: 25, ColdLimit: 1,
			})
		}
		for v := range wire.Indexes[0].Versions {
			wire.Indexes[0].Versions[v].Shards = append(wire.Indexes[0].Versions[v].Shards, shard)
		}
	}
	m, problems := resolver.New(wire, "d")
	if len(problems) > 0 {
		panic(problems)
	}
	return configuration{m}
}

// behaviour is how a target handles a sub-query.
type behaviour struct {
	delay   time.Duration
	outcome encoder.Outcome
	reason  encoder.Reason
	// targetReplied reports whether the target itself replied.
	targetReplied bool
	// copies is the number of times that the reply is delivered.
	copies int
	// version and shard replace those of the reply unless they are zero.
	version int
	shard   string
	panics  bool
}

var answers = behaviour{delay: 2 * time.Millisecond, outcome: encoder.OutcomeAnswered, reason: encoder.ReasonNone, targetReplied: true, copies: 1}

// harness is the fake router and selector with a real recorder and checker, and records which sub-queries ran.
type harness struct {
	*recorder.Recorder
	*checker.Checker
	behave func(q encoder.SubQuery) behaviour

	mu                    sync.Mutex
	sent                  []encoder.SubQuery
	ran                   map[string]bool // texts of queries that may have run on a target
	mayHaveReached        map[string]bool // attempts that may have reached a target
	cancelled             []string
	sentAt, cancelledAt   time.Time      // of the first sub-query and the last cancellation
	inFlight              map[string]int // attempts in flight, by target, as the selector counts them
	budget, taken, needed int
}

func newHarness(budget int, behave func(q encoder.SubQuery) behaviour) *harness {
	events := recorder.New("i", timekeeper.NewHybridClock(time.Now), 100)
	check := checker.New(events, tally.NoopScope.Counter(""), false)
	return &harness{Recorder: events, Checker: check, behave: behave, budget: budget, ran: make(map[string]bool), mayHaveReached: make(map[string]bool), inFlight: make(map[string]int)}
}

func (h *harness) Execute(ctx context.Context, queries []encoder.SubQuery, deliver func(encoder.SubReply)) {
	var replies sync.WaitGroup
	for _, q := range queries {
		b := h.start(q)
		if b.panics {
			panic("fake router")
		}
		replies.Go(func() { h.reply(ctx, q, b, deliver) })
	}
	replies.Wait()
}

func (h *harness) start(q encoder.SubQuery) (b behaviour) {
	h.withLock(func() {
		if h.sent = append(h.sent, q); len(h.sent) == 1 {
			h.sentAt = time.Now()
		}
		b = h.behave(q)
		h.ran[q.Text] = h.ran[q.Text] || b.outcome != encoder.OutcomeNotRun
		h.mayHaveReached[q.Attempt] = b.targetReplied || b.outcome != encoder.OutcomeNotRun
	})
	return b
}

func (h *harness) reply(ctx context.Context, q encoder.SubQuery, b behaviour, deliver func(encoder.SubReply)) {
	if !wait(ctx, b.delay) {
		return
	}
	r := encoder.SubReply{
		Attempt: q.Attempt, Target: q.Target, Outcome: b.outcome, Reason: b.reason,
		Index: q.Index, Version: cmp.Or(b.version, q.Version), Shard: cmp.Or(b.shard, q.Shard), Documents: 10,
	}
	if b.targetReplied {
		r.Incarnation = "1"
	}
	if b.outcome == encoder.OutcomeAnswered {
		r.Hits = []encoder.Hit{{Document: q.Text, Shard: r.Shard, Score: 1}}
	}
	for range b.copies {
		deliver(r)
	}
}

// wait reports whether the delay passed before the context ended. A select with a timer that is already due crashes the
// race detector of Go 1.26 in a synctest bubble, so no timer is used without a delay.
func wait(ctx context.Context, delay time.Duration) bool {
	if delay <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-time.After(delay):
		return true
	case <-ctx.Done():
		return false
	}
}

func (h *harness) Cancel(attempts []string) {
	h.withLock(func() { h.cancelled, h.cancelledAt = append(h.cancelled, attempts...), time.Now() })
}

func (h *harness) Order(replicas []string) []string { return replicas }

func (h *harness) AddInFlight(target string) { h.withLock(func() { h.inFlight[target]++ }) }

func (h *harness) ObserveReply(r encoder.SubReply, _ time.Duration) {
	h.withLock(func() { h.inFlight[r.Target]-- })
}

func (h *harness) withLock(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
}

// hasQueryEvent reports whether an event of the kind was recorded for a query.
func (h *harness) hasQueryEvent(kind recorder.Kind) bool {
	events, _ := h.Events(0)
	return slices.ContainsFunc(events, func(e encoder.Event) bool { return e.Kind == string(kind) && e.Query != "" })
}

// fakeHedger takes from the budget of the harness.
type fakeHedger struct{ *harness }

func (h fakeHedger) Delay(string) time.Duration    { return hedgeDelay }
func (h fakeHedger) Observe(string, time.Duration) {}
func (h fakeHedger) RecordNeeded(n int)            { h.withLock(func() { h.needed += n }) }
func (h *harness) executor(c configuration) *executor.Executor {
	return executor.New("i", "1", executor.Dependencies{
		Planner: planner.New(c, c), Admitter: admitter.New(1000, h, tally.NoopScope), Router: h, Selector: h, Hedger: fakeHedger{h},
		Events: h, Checker: h, Scope: tally.NoopScope,
	})
}

func (h fakeHedger) TakeBudget() (taken bool) {
	h.withLock(func() {
		if taken = h.taken < h.budget; taken {
			h.taken++
		}
	})
	return taken
}

func search(text string) encoder.QueryRequest {
	return encoder.QueryRequest{QueryClass: "search", Text: &text}
}

func refuses(reason encoder.Reason, targetReplied bool) behaviour {
	return behaviour{outcome: encoder.OutcomeNotRun, reason: reason, targetReplied: targetReplied, copies: 1}
}

func order(text string) encoder.QueryRequest {
	return encoder.QueryRequest{QueryClass: "order", Text: &text, Ticket: &text}
}

// run executes a request under fake time and waits for the calls to the router.
func (h *harness) run(t *testing.T, shards, replicas int, request encoder.QueryRequest) (reply encoder.QueryReply, took time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		e, started := h.executor(newConfiguration(shards, replicas)), time.Now()
		var err error
		reply, err = e.Execute(t.Context(), request)
		took = time.Since(started)
		assert.NilError(t, err)
		assert.NilError(t, e.Drain(t.Context()))
	})
	assert.Equal(t, h.Violations(), int64(0))
	return reply, took
}
