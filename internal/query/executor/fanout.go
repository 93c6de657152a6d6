package executor

import (
	"slices"
	"time"

	"apricotflow/internal/operator/checker"
	"apricotflow/internal/wire/encoder"
)

// next returns the best replica of the shard that has not been tried.
func (r *run) next(shard int) (string, bool) {
	candidates := r.e.parts.Planner.Candidates(r.plan, shard)
	used := r.shards[shard].used
	for _, target := range r.e.parts.Selector.Order(candidates) {
		if !slices.Contains(used, target) {
			return target, true
		}
	}
	return "", false
}

// dispatch adds an attempt to the batch unless no time is left for it.
func (r *run) dispatch(shard int, target string) bool {
	now, s := time.Now(), &r.shards[shard]
	left := int((r.answerBy.Sub(now) - hopMargin) / time.Millisecond)
	if left < 1 {
		return false
	}
	class := r.plan.Class()
	once := class.Idempotent || s.open == 0 && !s.reached
	if !r.e.parts.Checker.Check(once, checker.AtMostOnce, target, "second dispatch for shard "+r.plan.Shards()[shard].Name) {
		return false
	}
	id := r.e.newAttempt()
	s.used = append(s.used, target)
	s.open++
	s.sent = now
	r.opened++
	r.attempts[id] = attempt{shard: shard, target: target, sent: now}
	r.merger.Open(id, shard)
	r.e.parts.Selector.Begin(target)
	r.batch = append(r.batch, r.subQuery(id, shard, target, left))
	if class.Idempotent && !s.hedged {
		r.hedges.add(shard, now)
	}
	return true
}

func (r *run) subQuery(id string, shard int, target string, leftMs int) encoder.SubQuery {
	class, snapshot := r.plan.Class(), r.plan.Snapshot()
	return encoder.SubQuery{
		Attempt: id, Target: target, QueryClass: class.Name,
		Index: snapshot.Index, Version: snapshot.Version, Shard: r.plan.Shards()[shard].Name,
		Text: valueOr(r.request.Text, ""), Key: valueOr(r.request.Key, ""), Limit: valueOr(r.request.Limit, defaultLimit),
		Idempotent: class.Idempotent, Priority: string(class.Priority), DeadlineMs: leftMs,
	}
}

// retry sends a failed sub-query to another replica if the rules allow it, or settles the shard.
func (r *run) retry(shard int, reply encoder.SubReply) {
	paid := reachedTarget(reply)
	if paid && !r.plan.Class().Idempotent {
		r.settle(shard, reply.Reason)
		return
	}
	target, found := r.next(shard)
	if !found {
		r.settle(shard, reply.Reason)
		return
	}
	if paid && !r.take() {
		r.settle(shard, encoder.ReasonBudgetEmpty)
		return
	}
	if !r.dispatch(shard, target) {
		r.settle(shard, encoder.ReasonDeadlineExceeded)
		return
	}
	r.e.counters.retried.Inc(1)
	if paid {
		r.extra++
	}
}

// hedge sends a second attempt for every shard whose first one has taken too long.
func (r *run) hedge() {
	now, sent := time.Now(), 0
	for _, due := range r.hedges.take(now) {
		s := &r.shards[due.shard]
		// After a retry the shard has a later entry of its own.
		if s.settled || s.hedged || s.open != 1 || now.Sub(s.sent) < r.hedges.delay {
			continue
		}
		target, found := r.next(due.shard)
		if !found {
			continue
		}
		if !r.take() {
			// The budget grows with the sub-queries of other queries.
			r.hedges.add(due.shard, now)
			continue
		}
		s.hedged = true
		s.waiting = s.sent
		if r.dispatch(due.shard, target) {
			r.extra++
			sent++
		}
	}
	r.hedged += sent
	r.e.counters.hedged.Inc(int64(sent))
}

// hedgeDelay returns zero for a query that is not hedged.
func (r *run) hedgeDelay() time.Duration {
	if !r.plan.Class().Idempotent {
		return 0
	}
	delay := r.e.parts.Hedger.Delay(r.plan.Class().Name)
	if delay >= time.Until(r.answerBy) {
		return 0
	}
	return delay
}

// take uses one unit of the budget.
func (r *run) take() bool {
	if !r.e.parts.Hedger.Take() {
		r.e.counters.refused.Inc(1)
		return false
	}
	r.taken++
	return true
}

// cancelShard cancels the attempts for a shard that has been answered.
func (r *run) cancelShard(shard int) {
	if r.shards[shard].open == 0 {
		return
	}
	for id, a := range r.attempts {
		if a.shard == shard {
			r.abandon(id, encoder.ReasonCancelled)
		}
	}
}

// cancelAll cancels every open attempt.
func (r *run) cancelAll(reason encoder.Reason) {
	for id := range r.attempts {
		r.abandon(id, reason)
	}
}

// abandon ends an attempt without a reply; it may have run.
func (r *run) abandon(id string, reason encoder.Reason) {
	a := r.attempts[id]
	r.merger.Abandon(id, reason)
	r.close(encoder.SubReply{Attempt: id, Target: a.target, Outcome: encoder.OutcomeUnknown, Reason: reason})
	if r.plan.Class().Idempotent {
		r.cancelled = append(r.cancelled, id)
	}
}

// flush sends the batch and the cancellations of one step.
func (r *run) flush() {
	if len(r.batch) > 0 {
		r.send(r.batch)
		r.batch = nil
	}
	if len(r.cancelled) > 0 {
		cancelled := r.cancelled
		r.cancelled = nil
		r.call(nil, func() { r.e.parts.Router.Cancel(cancelled) })
	}
}

func (r *run) send(batch []encoder.SubQuery) {
	r.e.counters.sent.Inc(int64(len(batch)))
	r.call(batch, func() { r.e.parts.Router.Execute(r.sending, batch, r.deliver) })
}

// call runs a call to the router in the background. A panic ends only the attempts of the batch.
func (r *run) call(batch []encoder.SubQuery, f func()) {
	r.calls.Add(1)
	r.e.background.Go(func() {
		defer r.calls.Done()
		defer func() {
			if recovered := recover(); recovered != nil {
				checker.Rethrow(recovered)
				r.lose(batch)
			}
		}()
		f()
	})
}

func (r *run) lose(batch []encoder.SubQuery) {
	r.e.counters.panics.Inc(1)
	for _, q := range batch {
		r.deliver(encoder.SubReply{Attempt: q.Attempt, Target: q.Target, Outcome: encoder.OutcomeUnknown, Reason: encoder.ReasonTargetError})
	}
}

// deliver passes a reply to the query, or drops it when the query has ended.
func (r *run) deliver(reply encoder.SubReply) {
	select {
	case <-r.done:
		r.e.counters.late.Inc(1)
		return
	default:
	}
	select {
	case r.replies <- reply:
	case <-r.done:
		r.e.counters.late.Inc(1)
	}
}
