package executor

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"apricotflow/internal/operator/checker"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/query/merger"
	"apricotflow/internal/query/planner"
	"apricotflow/internal/wire/encoder"
)

// attempt is a sub-query in flight.
type attempt struct {
	shard  int
	target string
	sent   time.Time
}

// shardRun is the progress of one shard.
type shardRun struct {
	// used lists the replicas tried; each is tried at most once.
	used []string
	// open counts attempts in flight; sent is the time of the latest.
	open int
	sent time.Time
	// reached is set when a byte of a closed attempt may have reached a target.
	reached bool
	hedged  bool
	settled bool
	// waiting is when the attempt was sent that a hedge followed.
	waiting time.Time
}

// run is one query in progress; only deliver is called by other goroutines.
type run struct {
	e       *Executor
	id      string
	request encoder.QueryRequest
	started time.Time
	// answerBy is before the deadline by the answer margin.
	answerBy time.Time
	// ctx ends at answerBy or when the caller leaves.
	ctx    context.Context
	cancel context.CancelFunc
	// sending ends at answerBy or when no call to the router is left. It outlives the answer, since ending it would
	// cost connections; attempts that no longer matter are cancelled by id.
	sending     context.Context
	stopSending context.CancelFunc
	calls       sync.WaitGroup

	plan     *planner.Plan
	merger   *merger.Merger
	shards   []shardRun
	attempts map[string]attempt
	// pending counts shards that are not settled.
	pending int
	hedges  hedgeQueue
	// batch and cancelled are sent at the end of each step.
	batch     []encoder.SubQuery
	cancelled []string
	// versions are the versions tried.
	versions map[int]bool

	// opened and notRun count attempts over all restarts; taken and extra count units of budget.
	opened, notRun, taken, extra int
	// hedged counts hedges over all restarts.
	hedged int

	replies chan encoder.SubReply
	done    chan struct{}
}

func (e *Executor) newRun(ctx context.Context, request encoder.QueryRequest, plan *planner.Plan, started, answerBy time.Time) *run {
	r := &run{
		e: e, id: e.newQuery(), request: request, started: started, answerBy: answerBy,
		versions: make(map[int]bool), done: make(chan struct{}), replies: make(chan encoder.SubReply, 2*len(plan.Shards())),
	}
	r.ctx, r.cancel = context.WithDeadline(ctx, answerBy)
	r.sending, r.stopSending = context.WithDeadline(context.WithoutCancel(ctx), answerBy)
	r.pin(plan)
	return r
}

// execute runs the query to its answer.
func (r *run) execute() encoder.QueryReply {
	defer r.end()
	r.begin()
	reason := r.loop()
	return r.answer(reason)
}

// pin replaces the snapshot; nothing of the former one is kept but the counts of attempts.
func (r *run) pin(plan *planner.Plan) {
	r.plan = plan
	r.merger = merger.New(plan, r.e.parts.Checker, valueOr(r.request.Limit, defaultLimit))
	r.shards = make([]shardRun, len(plan.Shards()))
	r.attempts = make(map[string]attempt, len(r.shards))
	r.pending = len(r.shards)
	r.hedges = newHedgeQueue(r.hedgeDelay())
	r.versions[plan.Snapshot().Version] = true
}

// begin sends the first attempt of every shard.
func (r *run) begin() {
	needed := len(r.shards)
	r.e.counters.needed.Inc(int64(needed))
	r.e.parts.Hedger.Needed(needed)
	for shard := range r.shards {
		r.first(shard)
	}
	r.flush()
}

func (r *run) first(shard int) {
	target, found := r.next(shard)
	if !found {
		r.settle(shard, encoder.ReasonTargetDown)
		return
	}
	if !r.dispatch(shard, target) {
		r.settle(shard, encoder.ReasonDeadlineExceeded)
	}
}

// loop returns the reason for which attempts are still open.
func (r *run) loop() encoder.Reason {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for r.pending > 0 {
		r.hedges.arm(timer)
		select {
		case reply := <-r.replies:
			r.receive(reply)
			r.receiveQueued()
		case <-timer.C:
			r.hedge()
		case <-r.ctx.Done():
			return endReason(r.ctx.Err())
		}
		r.flush()
	}
	return encoder.ReasonCancelled
}

// receiveQueued takes the replies that have arrived by now, so that one batch answers them all.
func (r *run) receiveQueued() {
	for range len(r.replies) {
		if r.pending == 0 {
			return
		}
		r.receive(<-r.replies)
	}
}

func (r *run) receive(reply encoder.SubReply) {
	verdict := r.merger.Accept(reply)
	if verdict.Kind == merger.Dropped {
		r.e.counters.dropped.Inc(1)
		return
	}
	// The target is the one that was asked, whatever the reply says.
	reply.Target = r.attempts[reply.Attempt].target
	latency := r.close(reply)
	switch verdict.Kind {
	case merger.Merged:
		r.observe(verdict.Shard, latency)
		r.settle(verdict.Shard, encoder.ReasonNone)
		r.cancelShard(verdict.Shard)
	case merger.Failed:
		r.fail(verdict, reply)
	}
}

// observe adds the latency of an answered shard to those that the hedge delay is computed from. A hedged shard counts
// from its slow attempt, because without the slow ones the delay would shrink and more hedges would be due than intended.
func (r *run) observe(shard int, latency time.Duration) {
	if s := r.shards[shard]; s.hedged {
		latency = time.Since(s.waiting)
	}
	r.e.parts.Hedger.Observe(r.plan.Class().Name, latency)
}

// close ends the bookkeeping of an attempt and returns its latency.
func (r *run) close(reply encoder.SubReply) time.Duration {
	a := r.attempts[reply.Attempt]
	delete(r.attempts, reply.Attempt)
	r.shards[a.shard].open--
	r.shards[a.shard].reached = r.shards[a.shard].reached || reachedTarget(reply)
	latency := time.Since(a.sent)
	r.e.parts.Selector.Observe(reply, latency)
	return latency
}

func (r *run) fail(verdict merger.Verdict, reply encoder.SubReply) {
	if verdict.Outcome == encoder.OutcomeNotRun {
		r.notRun++
	}
	if verdict.Reason == encoder.ReasonMismatch {
		r.e.counters.mismatched.Inc(1)
		r.record(recorder.KindReplyDropped, reply.Target, "reply does not match the snapshot")
	}
	if verdict.Reason == encoder.ReasonVersionMissing {
		r.e.parts.Planner.Learn(r.plan, reply.Target)
		if r.restart(verdict.Shard) {
			return
		}
	}
	if r.shards[verdict.Shard].settled || r.shards[verdict.Shard].open > 0 {
		return
	}
	r.retry(verdict.Shard, reply)
}

// restart begins again at another version if no replica of the shard has the pinned one.
func (r *run) restart(shard int) bool {
	left := time.Until(r.answerBy)
	if !r.plan.Class().Idempotent || left < r.answerBy.Sub(r.started)/restartFraction {
		return false
	}
	if r.merger.Answered(shard) || len(r.e.parts.Planner.Candidates(r.plan, shard)) > 0 {
		return false
	}
	plan, err := r.e.parts.Planner.Plan(r.request)
	if err != nil || !plan.Class().Idempotent || r.versions[plan.Snapshot().Version] {
		return false
	}
	r.record(recorder.KindQueryRestarted, "", fmt.Sprintf("version %d is gone, restarted at %d", r.plan.Snapshot().Version, plan.Snapshot().Version))
	r.e.counters.restarted.Inc(1)
	r.cancelAll(encoder.ReasonCancelled)
	r.batch = nil
	r.pin(plan)
	r.begin()
	return true
}

// settle ends a shard; the reason explains a shard without an answer.
func (r *run) settle(shard int, reason encoder.Reason) {
	s := &r.shards[shard]
	if s.settled {
		return
	}
	s.settled = true
	r.pending--
	r.merger.Miss(shard, reason)
}

// end stops what no longer matters. A non-idempotent attempt is left to its own deadline.
func (r *run) end() {
	r.cancel()
	r.cancelAll(encoder.ReasonDeadlineExceeded)
	r.flush()
	close(r.done)
	r.e.background.Go(func() {
		r.calls.Wait()
		r.stopSending()
	})
}

func (r *run) answer(reason encoder.Reason) encoder.QueryReply {
	result := r.merger.Result(reason)
	reply := encoder.QueryReply{
		Query: r.id, Instance: r.e.instance, Outcome: r.outcome(result), Snapshot: r.plan.Snapshot(),
		Coverage: result.Coverage, Hits: result.Hits, Missing: result.Missing,
	}
	r.count(reply)
	r.e.parts.Checker.Check(r.extra <= r.taken, checker.ExtraLoadBounded, r.id, fmt.Sprintf("%d extra sub-queries with budget for %d", r.extra, r.taken))
	return reply
}

func (r *run) outcome(result merger.Result) encoder.QueryOutcome {
	if result.Complete() {
		return encoder.QueryOutcomeComplete
	}
	if result.Coverage.ShardsAnswered > 0 {
		return encoder.QueryOutcomePartial
	}
	if r.opened != r.notRun {
		return encoder.QueryOutcomeUnknown
	}
	allNotRun := true
	for _, missing := range result.Missing {
		allNotRun = allNotRun && missing.Outcome == encoder.OutcomeNotRun
	}
	r.e.parts.Checker.Check(allNotRun, checker.NotRunIsTrue, r.id, "a shard may have run")
	return encoder.QueryOutcomeNotRun
}

func (r *run) count(reply encoder.QueryReply) {
	detail := fmt.Sprintf("%d of %d shards answered", reply.Coverage.ShardsAnswered, reply.Coverage.Shards)
	if len(reply.Missing) > 0 {
		detail += ", first missing: " + reply.Missing[0].Shard + " " + string(reply.Missing[0].Reason)
	}
	if r.hedged > 0 {
		detail += fmt.Sprintf(", %d hedged", r.hedged)
	}
	detail = r.request.QueryClass + ": " + detail
	r.e.counters.shards.Inc(int64(reply.Coverage.Shards))
	r.e.counters.shardsAnswered.Inc(int64(reply.Coverage.ShardsAnswered))
	switch reply.Outcome {
	case encoder.QueryOutcomeComplete:
		r.e.counters.complete.Inc(1)
	case encoder.QueryOutcomePartial:
		r.e.counters.partial.Inc(1)
		r.record(recorder.KindQueryPartial, "", detail)
	case encoder.QueryOutcomeNotRun:
		r.e.counters.notRun.Inc(1)
		r.record(recorder.KindQueryRefused, "", detail)
	case encoder.QueryOutcomeUnknown:
		r.e.counters.unknown.Inc(1)
		r.record(recorder.KindQueryUnknown, "", detail)
	}
}

func (r *run) record(kind recorder.Kind, subject, detail string) {
	r.e.parts.Events.Record(kind, subject, r.id, detail)
}

func endReason(err error) encoder.Reason {
	if errors.Is(err, context.DeadlineExceeded) {
		return encoder.ReasonDeadlineExceeded
	}
	return encoder.ReasonCancelled
}
