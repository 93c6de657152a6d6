package relayer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"apricotflow/internal/cluster/enroller"
	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/query/placer"
	"apricotflow/internal/query/quarantiner"
)

const (
	// maxHelpers is the maximum number of instances that are tried for one query, besides this one.
	maxHelpers = 3
	// maxPlacedRuns is the maximum number of instances that may run one query, because it is started once more at most.
	maxPlacedRuns = 2
	// hedgeTimeShare is the share of the time left until the answer is due after which a query is started once more.
	hedgeTimeShare = 0.5
	// minHedgeTime is the least time until then, as far as the answer is not due before. A helper usually hedges its first
	// parts within 40 ms, and its announcement takes up to 10 ms to be handled on a small instance.
	minHedgeTime = 50 * time.Millisecond
)

// Fleet lists the other instances with their CPU capacities. The caller must not modify the slice.
type Fleet interface {
	Capacities() []enroller.Capacity
}

// Helpers hands queries over to other instances for lack of CPU capacity.
type Helpers interface {
	// HandTo returns the answer of the instance. It returns a *NotAcceptedError if the instance has not sent the request to
	// any target and never will, a *NotReceivedError if the request has not reached it, and another error if the request
	// may have run. When the context ends, the instance is told to cancel it.
	HandTo(ctx context.Context, instance string, request Request, events HelperEvents) (Answer, error)
}

// HelperEvents receives what another instance states while it runs a query. The functions must not block.
type HelperEvents struct {
	// Begun gets a function that asks the instance to leave repetitions of parts to this one, and reports whether it does. It
	// is called before the query is sent.
	Begun func(hold func(ctx context.Context) (held bool, err error))
	// Work gets the number of parts that the instance has in progress.
	Work func(inProgress int)
	// Repeats is called before the instance sends parts of the query to a second target.
	Repeats func()
}

// NotReceivedError reports a request that has not reached another instance, so that it has not run there.
type NotReceivedError struct {
	Instance string
	Cause    error
}

func (e *NotReceivedError) Error() string {
	return fmt.Sprintf("relayer: request not received by instance %s: %v", e.Instance, e.Cause)
}

func (e *NotReceivedError) Unwrap() error { return e.Cause }

// placement places sharded queries by CPU capacity. The zero value places none.
type placement struct {
	// placer is nil if no query is placed.
	placer  *placer.Placer
	fleet   Fleet
	helpers Helpers
	// holders tells which instances hold the connections to a target; nil if all do.
	holders Holders
}

// Holders tells which instances hold the connections to a target.
type Holders interface {
	// Holders returns those of the instances that hold one of the usable connections to a target.
	Holders(t registrar.Target, usable int, instances []enroller.Capacity) []enroller.Capacity
	// IsLarge reports whether an instance is one of the large ones, which hold connections to all targets.
	IsLarge(c enroller.Capacity) bool
}

// isActive reports whether the query is placed by CPU capacity.
func (p placement) isActive(q placer.Query) bool {
	return p.placer != nil && p.placer.IsActive(q, p.fleet.Capacities())
}

// HasRoomFor reports whether this instance has the CPU capacity for a request of the route that another one lacks.
func (r *Relayer) HasRoomFor(route *mapper.Route) bool {
	return r.placement.placer == nil || r.placement.placer.HasRoom(placer.NewQuery(route), r.sender.InProgress())
}

// isTooWide reports whether the request is a query that may run elsewhere and is too wide for this instance. Queries under
// which targets may end stay here, so that trials are not repeated.
func (r *Relayer) isTooWide(request Request) bool {
	route := request.Route
	return r.placement.placer != nil && route.IsSharded() && route.Idempotent && r.placement.placer.IsTooWide(placer.NewQuery(route)) && !r.isSuspect(request)
}

// isSuspect reports whether targets may end under the request.
func (r *Relayer) isSuspect(request Request) bool {
	return !r.quarantine.IsEmpty() && r.quarantine.Verdict(quarantiner.NewFingerprint(request.Outbound.Properties()...)) != quarantiner.Unsuspected
}

// attempt is the end of one run of a placed query.
type attempt struct {
	// helper is the name of the other instance; empty for this one.
	helper string
	answer Answer
	err    error
}

// hasNotRun reports whether the other instance has certainly not run the query.
func (a attempt) hasNotRun() bool {
	var notAccepted *NotAcceptedError
	var notReceived *NotReceivedError
	return errors.As(a.err, &notAccepted) || errors.As(a.err, &notReceived)
}

// placedQuery is a query that is too wide for this instance. It runs on another instance and, if that one is lost or late,
// once more elsewhere. It is used by one goroutine.
type placedQuery struct {
	relayer *Relayer
	request Request
	query   placer.Query
	// ctx ends when the answer is there.
	ctx      context.Context
	attempts chan attempt
	// repeats receives the instances that are about to send parts to a second target. They are alive, and a part may run on
	// as many targets as the route allows without a further start of the query.
	repeats chan string
	tried   []string
	// leftOut is the failure domain whose instances do not get the query; empty if all may.
	leftOut string
	// running is the number of runs that have not ended, and runs the number of those that targets may have seen.
	running, runs int
	// holds receives the results of requests to leave repetitions to this instance.
	holds chan holdResult
	// latest is the instance that runs the query since the latest start; empty for this one. cancelLatest ends that run, and
	// holdLatest asks the instance to leave repetitions to this one.
	latest       string
	cancelLatest context.CancelFunc
	holdLatest   func(ctx context.Context) (held bool, err error)
	// repeated is the number of instances that may have sent parts to a second target.
	repeated int
	// expected is the time in which nearly all answers of that instance arrive; 0 if unknown.
	expected time.Duration
	// late is the instance because of which the query was started once more at the hedge time; empty if it was not.
	late string
	// lost reports whether an instance that may have run the query was lost.
	lost      bool
	decisions []Decision
	// failure is the latest answer that is no success; its outcome is empty if there is none.
	failure Answer
}

// serveElsewhere serves a query that is too wide for this instance on another one. While this instance is cut off from
// targets, those of its failure domain probably are too, so they are left out. It returns false if the query should run here
// and has not run elsewhere.
func (r *Relayer) serveElsewhere(ctx context.Context, request Request, cutOff bool) (Answer, bool) {
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	q := &placedQuery{
		relayer: r, request: request, query: placer.NewQuery(request.Route), ctx: runCtx, attempts: make(chan attempt, maxHelpers+1), repeats: make(chan string, maxHelpers), holds: make(chan holdResult, maxHelpers),
	}
	if cutOff {
		q.leftOut = r.sender.OwnDomain()
	}
	if !q.startNext() {
		r.count("kept")
		return Answer{}, false
	}
	return q.wait()
}

func (r *Relayer) count(event string) { r.scope.Counter("placement-" + event).Inc(1) }

// wait returns the first success, or the latest failure when nothing runs any more. It returns false if the query has not run
// and should run here.
func (q *placedQuery) wait() (Answer, bool) {
	hedge := time.NewTimer(q.timeUntilHedge())
	defer hedge.Stop()
	for {
		select {
		case a := <-q.attempts:
			q.running--
			answer, ended := q.end(a)
			switch {
			case ended:
				return answer, true
			case q.running > 0:
				if q.late != "" && a.hasNotRun() {
					q.startNext()
				}
			case q.failure.Outcome != "":
				return q.answerFailure(), true
			case q.startNext():
				hedge.Reset(q.timeUntilHedge())
			case q.runs == 0:
				q.relayer.count("kept")
				return Answer{}, false
			default:
				return q.answerFailure(), true
			}
		case helper := <-q.repeats:
			q.repeated++
			if helper == q.latest {
				hedge.Stop()
			}
		case <-hedge.C:
			q.takeAnnouncements()
			if q.latest != "" && q.running > 0 && q.mayStartAgain() {
				q.askToHold()
			}
		case result := <-q.holds:
			q.endHold(result)
		case <-q.ctx.Done():
			return Answer{Outcome: Abandoned, Decisions: q.decisions}, true
		}
	}
}

// timeUntilHedge returns the time until the query is started once more: half of the time that is left until the answer is
// due, or until the deadline if it is late already. It is longer if nearly all answers arrive only later, since a query that
// waits for a few slow targets would otherwise be sent to all targets again and use up the budgets of all services.
func (q *placedQuery) timeUntilHedge() time.Duration {
	left := time.Until(q.request.Due)
	if q.request.Due.IsZero() || left <= 0 {
		left = time.Until(q.request.Deadline)
	}
	return min(max(time.Duration(hedgeTimeShare*float64(left)), minHedgeTime, q.expected), left)
}

// holdTimeout limits the wait for an instance that has not answered by the hedge time. One that answers no message for so
// long is lost or frozen. It is longer than a small instance waits for its processor at times, which then handles the
// messages of a sound one late.
const holdTimeout = 100 * time.Millisecond

// holdResult is the result of a request to leave the repetitions of a query to this instance.
type holdResult struct {
	helper string
	held   bool
	err    error
}

// askToHold asks the instance that runs the query, and has neither answered nor announced repetitions by the hedge time, to
// leave them to this one.
func (q *placedQuery) askToHold() {
	helper, hold := q.latest, q.holdLatest
	go func() {
		ctx, cancel := context.WithTimeout(q.ctx, holdTimeout)
		defer cancel()
		held, err := hold(ctx)
		q.holds <- holdResult{helper: helper, held: held, err: err}
	}()
}

// takeAnnouncements counts the announcements of repetitions that have arrived.
func (q *placedQuery) takeAnnouncements() {
	for {
		select {
		case <-q.repeats:
			q.repeated++
		default:
			return
		}
	}
}

// endHold starts the query once more if the instance that runs it leaves repetitions to this one, or does not answer. That
// instance gets no queries for a while. One that does not answer is cancelled, for the case that it wakes up.
func (q *placedQuery) endHold(result holdResult) {
	q.takeAnnouncements()
	if result.helper != q.latest || q.running == 0 || !q.mayStartAgain() || result.err == nil && !result.held {
		return
	}
	if result.err != nil {
		q.cancelLatest()
	}
	q.late = q.latest
	q.relayer.count("late")
	q.relayer.placement.placer.Suspend(q.latest, time.Now())
	q.addDecision(q.latest, "late, started once more")
	q.startNext()
}

// startNext starts the query on the best instance that has not been tried. It returns false if that is this one and the
// query has not run, or if it must not be started again.
func (q *placedQuery) startNext() bool {
	placement := q.relayer.placement
	if !q.mayStartAgain() {
		return false
	}
	request := q.request.WithPriorRuns(q.priorRuns())
	others := placement.fleet.Capacities()
	if q.leftOut != "" {
		others = slices.DeleteFunc(slices.Clone(others), func(c enroller.Capacity) bool { return c.FailureDomain == q.leftOut })
	}
	if len(q.tried) < maxHelpers {
		helper, found := placement.placer.Choose(q.query, q.relayer.sender.InProgress(), others, q.tried, time.Now())
		if i := slices.IndexFunc(others, func(c enroller.Capacity) bool { return c.Instance == helper }); found && i >= 0 {
			q.startOn(others[i], request)
			return true
		}
	}
	if q.runs == 0 {
		return false
	}
	q.started("")
	q.relayer.count("repeated-here")
	go func() {
		q.attempts <- attempt{answer: q.relayer.serveHere(q.ctx, request, false)}
	}()
	return true
}

// mayStartAgain reports whether the query may be started, for the first time or once more.
func (q *placedQuery) mayStartAgain() bool {
	return q.runs == 0 || q.runs < maxPlacedRuns && q.priorRuns() < q.request.Route.MaxRuns
}

// priorRuns returns the largest number of targets that may have got one part so far.
func (q *placedQuery) priorRuns() int { return q.request.PriorRuns + q.runs + q.repeated }

// started records the start of the query on an instance.
func (q *placedQuery) started(helper string) {
	q.latest = helper
	q.running++
	q.runs++
}

// startOn hands the query over to another instance.
func (q *placedQuery) startOn(helper enroller.Capacity, request Request) {
	if q.runs > 0 {
		q.relayer.count("repeated-elsewhere")
	}
	q.tried = append(q.tried, helper.Instance)
	q.started(helper.Instance)
	q.relayer.count("delegated")
	request.Wide = true
	placement := q.relayer.placement
	run := placement.placer.Begin(helper, q.query, time.Now())
	q.expected = run.Expected()
	ctx, cancel := context.WithCancel(q.ctx)
	q.cancelLatest = cancel
	begun := make(chan func(context.Context) (bool, error), 1)
	q.holdLatest = func(ctx context.Context) (bool, error) {
		select {
		case hold := <-begun:
			return hold(ctx)
		case <-ctx.Done():
			return false, ctx.Err()
		}
	}
	events := HelperEvents{
		Begun:   func(hold func(context.Context) (bool, error)) { begun <- hold },
		Work:    func(inProgress int) { placement.placer.RecordWork(helper.Instance, inProgress, time.Now()) },
		Repeats: sync.OnceFunc(func() { q.repeats <- helper.Instance }),
	}
	go func() {
		defer cancel()
		answer, err := placement.helpers.HandTo(ctx, helper.Instance, request, events)
		switch {
		case err == nil && isSuccess(answer):
			run.Answered(time.Now())
		case ctx.Err() != nil:
			run.Canceled(time.Now())
		default:
			run.End()
		}
		q.attempts <- attempt{helper: helper.Instance, answer: answer, err: err}
	}()
}

// isSuccess reports whether the answer serves the caller, so that no other is waited for.
func isSuccess(a Answer) bool { return a.Outcome == Merged || a.Outcome == Relayed }

// end takes the end of a run. It returns the answer to the caller if it is one.
func (q *placedQuery) end(a attempt) (Answer, bool) {
	var notReceived *NotReceivedError
	switch {
	case a.err == nil:
		return q.endAnswered(a)
	case errors.As(a.err, &notReceived):
		q.runs--
		q.relayer.count("unreached")
		q.relayer.placement.placer.Suspend(a.helper, time.Now())
	case a.hasNotRun():
		q.runs--
		q.relayer.count("refused")
	case a.helper == q.late:
		// It was cancelled, or has failed since.
		q.lost = true
		return Answer{}, false
	default:
		q.lost = true
		q.relayer.count("lost")
		q.relayer.placement.placer.Suspend(a.helper, time.Now())
	}
	q.addDecision(a.helper, a.err.Error())
	return Answer{}, false
}

// endAnswered takes an answer. A failure counts only if no other run succeeds.
func (q *placedQuery) endAnswered(a attempt) (Answer, bool) {
	if a.helper != "" {
		q.relayer.markLeaving(a.answer, q.request)
		q.addDecision(a.helper, "handed over, too little CPU capacity here")
	}
	a.answer.Decisions = append(q.decisions, a.answer.Decisions...)
	if !isSuccess(a.answer) {
		q.relayer.count("failed")
		q.failure = a.answer
		return Answer{}, false
	}
	if q.running > 0 {
		q.relayer.count("canceled")
	}
	if q.runs > 1 && a.helper == q.latest {
		q.relayer.count("answered-by-second")
	} else {
		q.relayer.count("answered")
	}
	return a.answer, true
}

// answerFailure returns the answer when no run has succeeded. What one instance has not run, another may have.
func (q *placedQuery) answerFailure() Answer {
	answer := q.failure
	switch {
	case q.lost && !time.Now().Before(q.request.Deadline):
		answer.Outcome = TimedOut
	case answer.Outcome == "", q.lost && answer.Outcome == NotRun:
		answer.Outcome = Failed
	}
	if len(answer.Decisions) == 0 {
		answer.Decisions = q.decisions
	}
	return answer
}

func (q *placedQuery) addDecision(target, event string) {
	q.decisions = append(q.decisions, Decision{After: time.Since(q.request.Arrived), Service: q.request.Route.Name, Target: target, Event: event})
}
