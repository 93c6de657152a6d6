package executor

import (
	"slices"
	"time"

	"apricotflow/internal/operator/checker"
	"apricotflow/internal/wire/encoder"
)

// nextReplica returns the best replica of the shard that has not been tried.
func (r *queryRun) nextReplica(shard int) (string, bool) {
	candidates := r.executor.dependencies.Planner.Candidates(r.plan, shard)
	tried := r.shards[shard].tried
	for _, target := range r.executor.dependencies.Selector.Order(candidates) {
		if !slices.Contains(tried, target) {
			return target, true
		}
	}
	return "", false
}

// dispatch adds an attempt to the batch, unless too little time is left, and reports whether it did.
func (r *queryRun) dispatch(shard int, target string) bool {
	now, s := time.Now(), &r.shards[shard]
	left := int((r.answerBy.Sub(now) - replyMargin) / time.Millisecond)
	if left < 1 {
		return false
	}
	class := r.plan.Class()
	// A non-idempotent sub-query is sent again only if no byte of it can have reached a target.
	mayDispatch := class.Idempotent || s.openAttempts == 0 && !s.mayHaveReached
	if !r.executor.dependencies.Checker.Check(mayDispatch, checker.AtMostOnce, target, "second dispatch for shard "+r.plan.Shards()[shard].Name) {
		return false
	}
	id := r.executor.newAttemptID()
	s.tried = append(s.tried, target)
	s.openAttempts++
	s.sentAt = now
	r.attemptsOpened++
	r.attempts[id] = attempt{shard: shard, target: target, sentAt: now}
	r.merger.AddAttempt(id, shard)
	r.executor.dependencies.Selector.AddInFlight(target)
	r.batch = append(r.batch, r.newSubQuery(id, shard, target, left))
	if class.Idempotent && !s.hedged {
		r.hedges.add(shard, now)
	}
	return true
}

func (r *queryRun) newSubQuery(id string, shard int, target string, leftMs int) encoder.SubQuery {
	class, snapshot := r.plan.Class(), r.plan.Snapshot()
	return encoder.SubQuery{
		Attempt: id, Target: target, QueryClass: class.Name,
		Index: snapshot.Index, Version: snapshot.Version, Shard: r.plan.Shards()[shard].Name,
		Text: valueOr(r.request.Text, ""), Key: valueOr(r.request.Key, ""), Limit: valueOr(r.request.Limit, defaultHitLimit),
		Idempotent: class.Idempotent, Priority: string(class.Priority), DeadlineMs: leftMs,
	}
}

// retry sends a failed sub-query to another replica if class and budget allow it; otherwise it finishes the shard.
func (r *queryRun) retry(shard int, reply encoder.SubReply) {
	needsBudget := mayHaveReachedTarget(reply)
	if needsBudget && !r.plan.Class().Idempotent {
		r.finishShard(shard, reply.Reason)
		return
	}
	target, found := r.nextReplica(shard)
	if !found {
		r.finishShard(shard, reply.Reason)
		return
	}
	if needsBudget && !r.takeBudget() {
		r.finishShard(shard, encoder.ReasonBudgetEmpty)
		return
	}
	if !r.dispatch(shard, target) {
		r.finishShard(shard, encoder.ReasonDeadlineExceeded)
		return
	}
	r.executor.counters.retried.Inc(1)
	if needsBudget {
		r.extraSubQueries++
	}
}

// sendHedges sends another attempt for every shard whose only open attempt has exceeded the hedge delay, if there is an
// untried replica and budget. A shard is hedged at most once.
func (r *queryRun) sendHedges() {
	now, sent := time.Now(), 0
	for _, due := range r.hedges.popDue(now) {
		s := &r.shards[due.shard]
		// A retried shard has a later entry of its own in the queue.
		if s.finished || s.hedged || s.openAttempts != 1 || now.Sub(s.sentAt) < r.hedges.delay {
			continue
		}
		target, found := r.nextReplica(due.shard)
		if !found {
			continue
		}
		if !r.takeBudget() {
			// Sub-queries of other queries may refill the budget by the next time.
			r.hedges.add(due.shard, now)
			continue
		}
		s.hedged = true
		s.slowSentAt = s.sentAt
		if r.dispatch(due.shard, target) {
			r.extraSubQueries++
			sent++
		}
	}
	r.hedgesSent += sent
	r.executor.counters.hedged.Inc(int64(sent))
}

// hedgeDelay returns the hedge delay of the query, or zero if it is not hedged.
func (r *queryRun) hedgeDelay() time.Duration {
	if !r.plan.Class().Idempotent {
		return 0
	}
	delay := r.executor.dependencies.Hedger.Delay(r.plan.Class().Name)
	if delay >= time.Until(r.answerBy) {
		return 0
	}
	return delay
}

// takeBudget takes one unit of the budget, and reports whether there was one.
func (r *queryRun) takeBudget() bool {
	if !r.executor.dependencies.Hedger.TakeBudget() {
		r.executor.counters.budgetRefused.Inc(1)
		return false
	}
	r.budgetTaken++
	return true
}

// cancelShard cancels the remaining attempts for an answered shard.
func (r *queryRun) cancelShard(shard int) {
	if r.shards[shard].openAttempts == 0 {
		return
	}
	for id, a := range r.attempts {
		if a.shard == shard {
			r.abandonAttempt(id, encoder.ReasonCancelled)
		}
	}
}

// cancelAll cancels every open attempt.
func (r *queryRun) cancelAll(reason encoder.Reason) {
	for id := range r.attempts {
		r.abandonAttempt(id, reason)
	}
}

// abandonAttempt closes an attempt without a reply. The attempt may have run.
func (r *queryRun) abandonAttempt(id string, reason encoder.Reason) {
	a := r.attempts[id]
	r.merger.CloseAttempt(id, reason)
	r.closeAttempt(encoder.SubReply{Attempt: id, Target: a.target, Outcome: encoder.OutcomeUnknown, Reason: reason})
	if r.plan.Class().Idempotent {
		r.cancelledAttempts = append(r.cancelledAttempts, id)
	}
}

// flush sends the batch and the cancellations of one step.
func (r *queryRun) flush() {
	if len(r.batch) > 0 {
		r.sendBatch(r.batch)
		r.batch = nil
	}
	if len(r.cancelledAttempts) > 0 {
		cancelledAttempts := r.cancelledAttempts
		r.cancelledAttempts = nil
		r.callRouter(nil, func() { r.executor.dependencies.Router.Cancel(cancelledAttempts) })
	}
}

func (r *queryRun) sendBatch(batch []encoder.SubQuery) {
	r.executor.counters.sent.Inc(int64(len(batch)))
	r.callRouter(batch, func() { r.executor.dependencies.Router.Execute(r.sendCtx, batch, r.deliver) })
}

// callRouter calls the router in the background. A panic fails only the attempts of the batch.
func (r *queryRun) callRouter(batch []encoder.SubQuery, f func()) {
	r.routerCalls.Add(1)
	r.executor.background.Go(func() {
		defer r.routerCalls.Done()
		defer func() {
			if recovered := recover(); recovered != nil {
				checker.RepanicViolation(recovered)
				r.failBatch(batch)
			}
		}()
		f()
	})
}

func (r *queryRun) failBatch(batch []encoder.SubQuery) {
	r.executor.counters.panics.Inc(1)
	for _, q := range batch {
		r.deliver(encoder.SubReply{Attempt: q.Attempt, Target: q.Target, Outcome: encoder.OutcomeUnknown, Reason: encoder.ReasonTargetError})
	}
}

// deliver passes a reply to the query, or drops it if the query has ended.
func (r *queryRun) deliver(reply encoder.SubReply) {
	select {
	case <-r.done:
		r.executor.counters.late.Inc(1)
		return
	default:
	}
	select {
	case r.replies <- reply:
	case <-r.done:
		r.executor.counters.late.Inc(1)
	}
}
