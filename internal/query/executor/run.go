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

// attempt is one sub-query in flight.
type attempt struct {
	shard  int
	target string
	sentAt time.Time
}

// shardProgress is the state of one shard of a query.
type shardProgress struct {
	// tried lists the replicas that were tried; each is tried at most once.
	tried []string
	// openAttempts is the number of attempts in flight, and sentAt the time of the latest attempt.
	openAttempts int
	sentAt       time.Time
	// mayHaveReached reports whether a byte of a closed attempt may have reached a target.
	mayHaveReached bool
	hedged         bool
	finished       bool
	// slowSentAt is when the slow attempt was sent because of which the shard was hedged.
	slowSentAt time.Time
}

// queryRun is one query in progress. Only deliver is called by other goroutines.
type queryRun struct {
	executor *Executor
	id       string
	request  encoder.QueryRequest
	started  time.Time
	// answerBy is the deadline minus the answer margin.
	answerBy time.Time
	// ctx ends at answerBy or when the caller leaves.
	ctx    context.Context
	cancel context.CancelFunc
	// sendCtx ends at answerBy or when the last call to the router returns. It outlives the answer, because ending it
	// earlier would close connections; attempts that are no longer needed are cancelled by id.
	sendCtx     context.Context
	cancelSend  context.CancelFunc
	routerCalls sync.WaitGroup

	plan     *planner.Plan
	merger   *merger.Merger
	shards   []shardProgress
	attempts map[string]attempt
	// unfinishedShards is the number of shards that are not finished.
	unfinishedShards int
	hedges           hedgeQueue
	// batch and cancelledAttempts are sent at the end of each step.
	batch             []encoder.SubQuery
	cancelledAttempts []string
	// triedVersions is the set of index versions that were pinned.
	triedVersions map[int]bool

	// attemptsOpened and attemptsNotRun count attempts over all restarts. budgetTaken counts units of budget, and
	// extraSubQueries the hedges and retries sent with them.
	attemptsOpened, attemptsNotRun, budgetTaken, extraSubQueries int
	// hedgesSent counts hedges over all restarts.
	hedgesSent int

	replies chan encoder.SubReply
	done    chan struct{}
}

func (e *Executor) newQueryRun(ctx context.Context, request encoder.QueryRequest, plan *planner.Plan, started, answerBy time.Time) *queryRun {
	r := &queryRun{
		executor: e, id: e.newQueryID(), request: request, started: started, answerBy: answerBy,
		triedVersions: make(map[int]bool), done: make(chan struct{}), replies: make(chan encoder.SubReply, 2*len(plan.Shards())),
	}
	r.ctx, r.cancel = context.WithDeadline(ctx, answerBy)
	r.sendCtx, r.cancelSend = context.WithDeadline(context.WithoutCancel(ctx), answerBy)
	r.startPlan(plan)
	return r
}

// execute runs the query and returns its reply.
func (r *queryRun) execute() encoder.QueryReply {
	defer r.finish()
	r.sendFirstAttempts()
	reason := r.processReplies()
	return r.buildReply(reason)
}

// startPlan sets the plan of the query and discards the state of the previous plan, except for the counts of attempts.
func (r *queryRun) startPlan(plan *planner.Plan) {
	r.plan = plan
	r.merger = merger.New(plan, r.executor.dependencies.Checker, valueOr(r.request.Limit, defaultHitLimit))
	r.shards = make([]shardProgress, len(plan.Shards()))
	r.attempts = make(map[string]attempt, len(r.shards))
	r.unfinishedShards = len(r.shards)
	r.hedges = newHedgeQueue(r.hedgeDelay())
	r.triedVersions[plan.Snapshot().Version] = true
}

// sendFirstAttempts sends the first attempt of every shard.
func (r *queryRun) sendFirstAttempts() {
	needed := len(r.shards)
	r.executor.counters.needed.Inc(int64(needed))
	r.executor.dependencies.Hedger.RecordNeeded(needed)
	for shard := range r.shards {
		r.sendFirstAttempt(shard)
	}
	r.flush()
}

func (r *queryRun) sendFirstAttempt(shard int) {
	target, found := r.nextReplica(shard)
	if !found {
		r.finishShard(shard, encoder.ReasonTargetDown)
		return
	}
	if !r.dispatch(shard, target) {
		r.finishShard(shard, encoder.ReasonDeadlineExceeded)
	}
}

// processReplies handles replies and hedges until every shard is finished or the context ends. It returns the reason to
// report for attempts that are still open then.
func (r *queryRun) processReplies() encoder.Reason {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for r.unfinishedShards > 0 {
		r.hedges.resetTimer(timer)
		select {
		case reply := <-r.replies:
			r.handleReply(reply)
			r.handleQueuedReplies()
		case <-timer.C:
			r.sendHedges()
		case <-r.ctx.Done():
			return contextEndReason(r.ctx.Err())
		}
		r.flush()
	}
	return encoder.ReasonCancelled
}

// handleQueuedReplies handles the replies that are already queued, so that all resulting attempts go into one batch.
func (r *queryRun) handleQueuedReplies() {
	for range len(r.replies) {
		if r.unfinishedShards == 0 {
			return
		}
		r.handleReply(<-r.replies)
	}
}

func (r *queryRun) handleReply(reply encoder.SubReply) {
	verdict := r.merger.AddReply(reply)
	if verdict.Kind == merger.NotOpen {
		r.executor.counters.notOpen.Inc(1)
		return
	}
	// The target is the one that the attempt was sent to, whatever the reply says.
	reply.Target = r.attempts[reply.Attempt].target
	latency := r.closeAttempt(reply)
	switch verdict.Kind {
	case merger.Merged:
		r.observeLatency(verdict.Shard, latency)
		r.finishShard(verdict.Shard, encoder.ReasonNone)
		r.cancelShard(verdict.Shard)
	case merger.Failed:
		r.handleFailure(verdict, reply)
	}
}

// observeLatency adds the latency of an answered shard to those from which the hedge delay is computed. The latency of
// a hedged shard counts from its slow attempt: without the slow attempts the delay would shrink, and more hedges would
// be due than intended.
func (r *queryRun) observeLatency(shard int, latency time.Duration) {
	if s := r.shards[shard]; s.hedged {
		latency = time.Since(s.slowSentAt)
	}
	r.executor.dependencies.Hedger.Observe(r.plan.Class().Name, latency)
}

// closeAttempt removes an attempt, reports it to the selector and returns its latency.
func (r *queryRun) closeAttempt(reply encoder.SubReply) time.Duration {
	a := r.attempts[reply.Attempt]
	delete(r.attempts, reply.Attempt)
	r.shards[a.shard].openAttempts--
	r.shards[a.shard].mayHaveReached = r.shards[a.shard].mayHaveReached || mayHaveReachedTarget(reply)
	latency := time.Since(a.sentAt)
	r.executor.dependencies.Selector.ObserveReply(reply, latency)
	return latency
}

func (r *queryRun) handleFailure(verdict merger.Verdict, reply encoder.SubReply) {
	if verdict.Outcome == encoder.OutcomeNotRun {
		r.attemptsNotRun++
	}
	if verdict.Reason == encoder.ReasonMismatch {
		r.executor.counters.mismatched.Inc(1)
		// Replies to attempts that are not open are only counted; the event stands for mismatched replies.
		r.recordEvent(recorder.KindReplyDropped, reply.Target, "reply does not match the snapshot")
	}
	if verdict.Reason == encoder.ReasonVersionMissing {
		r.executor.dependencies.Planner.MarkVersionMissing(r.plan, reply.Target)
		if r.tryRestart(verdict.Shard) {
			return
		}
	}
	if r.shards[verdict.Shard].finished || r.shards[verdict.Shard].openAttempts > 0 {
		return
	}
	r.retry(verdict.Shard, reply)
}

// tryRestart restarts an idempotent query with a version that it has not tried, and reports whether it did. It does so
// if the shard is not answered, has no candidate for the pinned version and enough time is left (see restartDivisor).
func (r *queryRun) tryRestart(shard int) bool {
	left := time.Until(r.answerBy)
	if !r.plan.Class().Idempotent || left < r.answerBy.Sub(r.started)/restartDivisor {
		return false
	}
	if r.merger.Answered(shard) || len(r.executor.dependencies.Planner.Candidates(r.plan, shard)) > 0 {
		return false
	}
	plan, err := r.executor.dependencies.Planner.Plan(r.request)
	if err != nil || !plan.Class().Idempotent || r.triedVersions[plan.Snapshot().Version] {
		return false
	}
	r.recordEvent(recorder.KindQueryRestarted, "", fmt.Sprintf("a shard has no replica with version %d, restarted with version %d", r.plan.Snapshot().Version, plan.Snapshot().Version))
	r.executor.counters.restarted.Inc(1)
	r.cancelAll(encoder.ReasonCancelled)
	r.batch = nil
	r.startPlan(plan)
	r.sendFirstAttempts()
	return true
}

// finishShard ends the work for a shard, which gets no further attempt. The reason explains why it has no answer, if it
// has none.
func (r *queryRun) finishShard(shard int, reason encoder.Reason) {
	s := &r.shards[shard]
	if s.finished {
		return
	}
	s.finished = true
	r.unfinishedShards--
	r.merger.SetMissingReason(shard, reason)
}

// finish cancels the attempts that are no longer needed. Attempts are open here only after answerBy or after the caller
// has left. Non-idempotent attempts run until their own deadline.
func (r *queryRun) finish() {
	r.cancel()
	r.cancelAll(encoder.ReasonDeadlineExceeded)
	r.flush()
	close(r.done)
	r.executor.background.Go(func() {
		r.routerCalls.Wait()
		r.cancelSend()
	})
}

func (r *queryRun) buildReply(reason encoder.Reason) encoder.QueryReply {
	result := r.merger.Result(reason)
	reply := encoder.QueryReply{
		Query: r.id, Instance: r.executor.instance, Outcome: r.outcome(result), Snapshot: r.plan.Snapshot(),
		Coverage: result.Coverage, Hits: result.Hits, Missing: result.Missing,
	}
	r.recordOutcome(reply)
	r.executor.dependencies.Checker.Check(r.extraSubQueries <= r.budgetTaken, checker.ExtraLoadBounded, r.id, fmt.Sprintf("%d extra sub-queries with budget for %d", r.extraSubQueries, r.budgetTaken))
	return reply
}

func (r *queryRun) outcome(result merger.Result) encoder.QueryOutcome {
	if result.Complete() {
		return encoder.QueryOutcomeComplete
	}
	if result.Coverage.ShardsAnswered > 0 {
		return encoder.QueryOutcomePartial
	}
	if r.attemptsOpened != r.attemptsNotRun {
		return encoder.QueryOutcomeUnknown
	}
	allNotRun := true
	for _, missing := range result.Missing {
		allNotRun = allNotRun && missing.Outcome == encoder.OutcomeNotRun
	}
	r.executor.dependencies.Checker.Check(allNotRun, checker.NotRunIsTrue, r.id, "a shard may have run")
	return encoder.QueryOutcomeNotRun
}

// recordOutcome counts the outcome and the coverage, and records an event unless the answer is complete.
func (r *queryRun) recordOutcome(reply encoder.QueryReply) {
	detail := fmt.Sprintf("%d of %d shards answered", reply.Coverage.ShardsAnswered, reply.Coverage.Shards)
	if len(reply.Missing) > 0 {
		detail += ", first missing: " + reply.Missing[0].Shard + " " + string(reply.Missing[0].Reason)
	}
	if r.hedgesSent > 0 {
		detail += fmt.Sprintf(", %d hedged", r.hedgesSent)
	}
	detail = r.request.QueryClass + ": " + detail
	r.executor.counters.shards.Inc(int64(reply.Coverage.Shards))
	r.executor.counters.shardsAnswered.Inc(int64(reply.Coverage.ShardsAnswered))
	switch reply.Outcome {
	case encoder.QueryOutcomeComplete:
		r.executor.counters.complete.Inc(1)
	case encoder.QueryOutcomePartial:
		r.executor.counters.partial.Inc(1)
		r.recordEvent(recorder.KindQueryPartial, "", detail)
	case encoder.QueryOutcomeNotRun:
		r.executor.counters.notRun.Inc(1)
		r.recordEvent(recorder.KindQueryRefused, "", detail)
	case encoder.QueryOutcomeUnknown:
		r.executor.counters.unknown.Inc(1)
		r.recordEvent(recorder.KindQueryUnknown, "", detail)
	}
}

func (r *queryRun) recordEvent(kind recorder.Kind, subject, detail string) {
	r.executor.dependencies.Events.Record(kind, subject, r.id, detail)
}

func contextEndReason(err error) encoder.Reason {
	if errors.Is(err, context.DeadlineExceeded) {
		return encoder.ReasonDeadlineExceeded
	}
	return encoder.ReasonCancelled
}
