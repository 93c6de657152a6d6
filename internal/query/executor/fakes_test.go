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

// configuration has shards s0.. of 10 documents in versions 1 and 2; shard i has the replicas ri-0.. .
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

// behaviour is what a target does with a sub-query.
type behaviour struct {
	delay   time.Duration
	outcome encoder.Outcome
	reason  encoder.Reason
	// reached tells whether the target itself replied.
	reached bool
	// copies is how often the reply is delivered.
	copies int
	// version and shard replace those of the reply unless empty.
	version int
	shard   string
	panics  bool
}

var answers = behaviour{delay: 2 * time.Millisecond, outcome: encoder.OutcomeAnswered, reason: encoder.ReasonNone, reached: true, copies: 1}

// world is the fake router, selector and hedger, and the record of what really ran.
type world struct {
	*recorder.Recorder
	*checker.Checker
	behave func(q encoder.SubQuery) behaviour

	mu                    sync.Mutex
	sent                  []encoder.SubQuery
	ran                   map[string]bool // texts of queries that reached a target and were not refused
	reached               map[string]bool // attempts of which a byte may have reached a target
	cancelled             []string
	sentAt, cancelledAt   time.Time      // of the first sub-query and the last cancellation
	begun                 map[string]int // attempts that the selector counts as in flight, by target
	budget, taken, needed int
}

func newWorld(budget int, behave func(q encoder.SubQuery) behaviour) *world {
	events := recorder.New("i", timekeeper.NewHybridClock(time.Now), 100)
	check := checker.New(events, tally.NoopScope.Counter(""), false)
	return &world{Recorder: events, Checker: check, behave: behave, budget: budget, ran: make(map[string]bool), reached: make(map[string]bool), begun: make(map[string]int)}
}

func (w *world) Execute(ctx context.Context, queries []encoder.SubQuery, deliver func(encoder.SubReply)) {
	var replies sync.WaitGroup
	for _, q := range queries {
		b := w.start(q)
		if b.panics {
			panic("fake router")
		}
		replies.Go(func() { w.reply(ctx, q, b, deliver) })
	}
	replies.Wait()
}

func (w *world) start(q encoder.SubQuery) (b behaviour) {
	w.locked(func() {
		if w.sent = append(w.sent, q); len(w.sent) == 1 {
			w.sentAt = time.Now()
		}
		b = w.behave(q)
		w.ran[q.Text] = w.ran[q.Text] || b.outcome != encoder.OutcomeNotRun
		w.reached[q.Attempt] = b.reached || b.outcome != encoder.OutcomeNotRun
	})
	return b
}

func (w *world) reply(ctx context.Context, q encoder.SubQuery, b behaviour, deliver func(encoder.SubReply)) {
	if !wait(ctx, b.delay) {
		return
	}
	r := encoder.SubReply{
		Attempt: q.Attempt, Target: q.Target, Outcome: b.outcome, Reason: b.reason,
		Index: q.Index, Version: cmp.Or(b.version, q.Version), Shard: cmp.Or(b.shard, q.Shard), Documents: 10,
	}
	if b.reached {
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

func (w *world) Cancel(attempts []string) {
	w.locked(func() { w.cancelled, w.cancelledAt = append(w.cancelled, attempts...), time.Now() })
}

func (w *world) Order(replicas []string) []string { return replicas }

func (w *world) Begin(target string) { w.locked(func() { w.begun[target]++ }) }

func (w *world) Observe(r encoder.SubReply, _ time.Duration) {
	w.locked(func() { w.begun[r.Target]-- })
}

func (w *world) locked(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// has reports whether an event of the kind names a query.
func (w *world) has(kind recorder.Kind) bool {
	events, _ := w.Events(0)
	return slices.ContainsFunc(events, func(e encoder.Event) bool { return e.Kind == string(kind) && e.Query != "" })
}

// hedger spends the budget of a world.
type hedger struct{ *world }

func (h hedger) Delay(string) time.Duration    { return hedgeDelay }
func (h hedger) Observe(string, time.Duration) {}
func (h hedger) Needed(n int)                  { h.locked(func() { h.needed += n }) }
func (w *world) executor(c configuration) *executor.Executor {
	return executor.New("i", "1", executor.Parts{
		Planner: planner.New(c, c), Admitter: admitter.New(1000, w, tally.NoopScope), Router: w, Selector: w, Hedger: hedger{w},
		Events: w, Checker: w, Scope: tally.NoopScope,
	})
}

func (h hedger) Take() (taken bool) {
	h.locked(func() {
		if taken = h.taken < h.budget; taken {
			h.taken++
		}
	})
	return taken
}

func search(text string) encoder.QueryRequest {
	return encoder.QueryRequest{QueryClass: "search", Text: &text}
}

func refuses(reason encoder.Reason, reached bool) behaviour {
	return behaviour{outcome: encoder.OutcomeNotRun, reason: reason, reached: reached, copies: 1}
}

func order(text string) encoder.QueryRequest {
	return encoder.QueryRequest{QueryClass: "order", Text: &text, Ticket: &text}
}

// run executes a request under fake time and waits for the calls to the router.
func (w *world) run(t *testing.T, shards, replicas int, request encoder.QueryRequest) (reply encoder.QueryReply, took time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		e, started := w.executor(newConfiguration(shards, replicas)), time.Now()
		var err error
		reply, err = e.Execute(t.Context(), request)
		took = time.Since(started)
		assert.NilError(t, err)
		assert.NilError(t, e.Drain(t.Context()))
	})
	assert.Equal(t, w.Violations(), int64(0))
	return reply, took
}
