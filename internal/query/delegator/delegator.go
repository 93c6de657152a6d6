// Package delegator hands requests over to other instances while this one does not reach enough targets, in relay mode,
// and serves the requests that others hand over. A request goes to one instance that has just stated that it reaches the
// targets, and that one decides alone on targets, hedges and retries, within its own limits and budgets; it never hands
// the request on. A request that may have reached another instance is not handed over again. For lack of CPU capacity, the
// relayer hands over to an instance of its choice, and decides itself what follows. The relayer decides when to hand over,
// and the receiver which requests of others are accepted.
package delegator

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"apricotflow/internal/cluster/canceler"
	"apricotflow/internal/cluster/messenger"
	"apricotflow/internal/query/relayer"
	"apricotflow/internal/wire/encoder"
)

const (
	// Methods of the messages between instances.

	methodAskAbility = "relay-ability"
	methodDelegate   = "relay-request"
	methodReadBody   = "relay-body"
	methodEnd        = "relay-end"
	methodRepeats    = "relay-repeats"
	methodHold       = "relay-hold"
	// maxDelegates is the maximum number of instances to which one request is handed over. The next one gets it only if the
	// one before has not taken it.
	maxDelegates = 3
	// hopTime is taken off the time left, for the way of the answer back to this instance.
	hopTime = 4 * time.Millisecond
	// replyMargin is the time after an answer is due within which it must arrive, otherwise the instance gets no more
	// requests for a while.
	replyMargin = 100 * time.Millisecond
	// maxReplyTime replaces the due time of routes without an objective.
	maxReplyTime = 2 * time.Second
	// askInterval is the minimum time between two rounds of questions for able instances.
	askInterval = 300 * time.Millisecond
	// askTimeout limits one question.
	askTimeout = 250 * time.Millisecond
	// firstAnswerTimeout is how long after the start of a round requests wait for an able instance.
	firstAnswerTimeout = 25 * time.Millisecond
	// hopelessTime is the time after a round without an able instance within which requests do not wait for the next one.
	hopelessTime = 2 * time.Second
	// notifyTimeout limits the sending of a message that has no reply.
	notifyTimeout = 500 * time.Millisecond
)

// Instances lists the other instances.
type Instances interface {
	OtherInstances() []string
}

// Server serves the requests that other instances hand over.
type Server interface {
	// CanServeOthers reports whether this instance can relay requests for others now.
	CanServeOthers(ctx context.Context) bool
	// ServeDelegated serves a request. It returns a *relayer.NotAcceptedError if nothing was sent to any target.
	ServeDelegated(ctx context.Context, d relayer.Delegation) (relayer.Answer, error)
}

// Option configures a Delegator.
type Option func(*Delegator)

// WithWork sets the function that returns the number of requests to targets that this instance has in progress. It goes
// along with each answer.
func WithWork(inProgress func() int) Option {
	return func(d *Delegator) { d.inProgress = inProgress }
}

// Delegator hands requests over to other instances and serves theirs.
type Delegator struct {
	instances Instances
	messenger *messenger.Messenger
	server    Server
	ledger    *Ledger
	bodies    *heldBodies
	logger    *log.Logger
	scope     tally.Scope
	lastID    atomic.Int64
	// hasAble reports whether the latest round has found an able instance.
	hasAble atomic.Bool
	// inProgress returns the work of this instance that goes along with answers; nil if none is reported.
	inProgress func() int

	// served holds the requests that this instance serves for others.
	served *canceler.Canceler

	// handedOver holds what to call, by handedOverKey, when another instance repeats parts of a query of this one.
	handedOver sync.Map
	// repetitions holds the *repetition of each query that this instance runs for another one, by delegationKey.
	repetitions sync.Map

	mu sync.Mutex
	// round is the latest round of questions; nil before the first.
	round *round
}

// round is a round of questions to other instances.
type round struct {
	startedAt time.Time
	// failedRounds is the number of rounds in a row before this one that have found no able instance, each within
	// hopelessTime. If there are any, requests do not wait for this one.
	failedRounds int
	// found reports whether an instance has stated that it is able.
	found atomic.Bool
	// answered is closed when an instance has stated that it is able, or all have answered.
	answered chan struct{}
}

// New returns a Delegator without a messenger and a server; see Attach and SetServer.
func New(instances Instances, logger *log.Logger, scope tally.Scope, opts ...Option) *Delegator {
	d := &Delegator{
		instances: instances, ledger: NewLedger(), bodies: newHeldBodies(), served: canceler.New(), logger: logger, scope: scope,
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Attach sets the messenger and registers the methods on it. It must be called before the messenger starts.
func (d *Delegator) Attach(m *messenger.Messenger) {
	d.messenger = m
	messenger.Handle(m, methodAskAbility, d.serveAbility)
	messenger.Handle(m, methodDelegate, d.serveRequest)
	messenger.Handle(m, methodReadBody, d.serveBody)
	messenger.Handle(m, methodEnd, d.cancelRequest)
	messenger.Handle(m, methodRepeats, d.receiveRepeatNotice)
	messenger.Handle(m, methodHold, d.holdRepetition)
}

// SetServer sets what serves the requests of other instances. It must be called before the messenger starts.
func (d *Delegator) SetServer(s Server) { d.server = s }

// Delegate hands the request over to an instance that can relay it, and returns the answer. It returns false if no instance
// has taken the request, so that it has not run.
func (d *Delegator) Delegate(ctx context.Context, request relayer.Request) (answer relayer.Answer, taken bool) {
	var tried []string
	for range maxDelegates {
		peer, found := d.choose(ctx, tried)
		if !found {
			break
		}
		if answer, taken := d.handOver(ctx, peer, request); taken {
			return answer, true
		}
		tried = append(tried, peer)
	}
	d.scope.Counter("delegator-not-taken").Inc(1)
	return relayer.Answer{}, false
}

// choose returns an instance that can relay requests. If none is known, it waits for the first answers to the questions
// that are under way, unless there was none a moment ago either.
func (d *Delegator) choose(ctx context.Context, tried []string) (string, bool) {
	latest := d.currentRound()
	if peer, found := d.ledger.Choose(time.Now(), tried); found {
		return peer, true
	}
	wait := time.Until(latest.startedAt.Add(firstAnswerTimeout))
	if latest.failedRounds > 0 || wait <= 0 {
		return "", false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-latest.answered:
	case <-timer.C:
	case <-ctx.Done():
	}
	return d.ledger.Choose(time.Now(), tried)
}

// currentRound returns the latest round of questions and starts a new one if it is due.
func (d *Delegator) currentRound() *round {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if d.round != nil && now.Sub(d.round.startedAt) < askInterval {
		return d.round
	}
	failed := 0
	if d.round != nil && !d.round.found.Load() && now.Sub(d.round.startedAt) < hopelessTime {
		failed = d.round.failedRounds + 1
	}
	d.round = &round{startedAt: now, failedRounds: failed, answered: make(chan struct{})}
	go d.ask(d.round)
	return d.round
}

// ask asks some instances whether they can relay requests, and logs when there is an able one again, or none any more.
func (d *Delegator) ask(r *round) {
	answered := sync.OnceFunc(func() { close(r.answered) })
	defer answered()
	var questions sync.WaitGroup
	asked := d.ledger.Candidates(d.instances.OtherInstances(), r.failedRounds, r.startedAt)
	for _, peer := range asked {
		questions.Go(func() {
			if d.askOne(peer) {
				r.found.Store(true)
				answered()
			}
		})
	}
	questions.Wait()
	switch found := r.found.Load(); {
	case found && !d.hasAble.Swap(true):
		d.logger.Info("other instances can relay requests", "asked", asked)
	case !found && (d.hasAble.Swap(false) || r.failedRounds == 0):
		d.logger.Warn("no other instance can relay requests", "asked", asked)
	}
}

// askOne asks an instance, records its answer and reports whether it is able.
func (d *Delegator) askOne(peer string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	reply, err := messenger.Call[encoder.AbilityRequest, encoder.AbilityReply](ctx, d.messenger, peer, methodAskAbility, encoder.AbilityRequest{})
	if err != nil {
		d.suspend(peer, err)
		return false
	}
	d.ledger.RecordAbility(peer, reply.Able, time.Now())
	return reply.Able
}

// suspend keeps requests away from an instance for a while.
func (d *Delegator) suspend(peer string, cause error) {
	d.ledger.Suspend(peer, time.Now())
	d.scope.Counter("delegator-suspensions").Inc(1)
	d.logger.Debug("no requests are handed over to peer", "peer", peer, "for", suspensionTime, "error", cause)
}

// errAnswerOverdue is the cause of a suspension when an answer is overdue.
var errAnswerOverdue = errors.New("delegator: peer has not answered a request in time")

// handOver hands the request over to an instance and waits for the answer. It returns false if the instance has not taken
// it.
func (d *Delegator) handOver(ctx context.Context, peer string, request relayer.Request) (answer relayer.Answer, taken bool) {
	id := strconv.FormatInt(d.lastID.Add(1), 36)
	callCtx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	defer d.ledger.Begin(peer)()
	d.scope.Counter("delegator-handed-over").Inc(1)
	overdue := time.AfterFunc(replyTime(request), func() { d.suspend(peer, errAnswerOverdue) })
	defer overdue.Stop()
	reply, err := messenger.Call[encoder.DelegatedRequest, encoder.DelegatedAnswer](callCtx, d.messenger, peer, methodDelegate, encodeRequest(id, request))
	if err == nil && !reply.Accepted {
		d.ledger.RecordAbility(peer, false, time.Now())
		d.scope.Counter("delegator-not-accepted").Inc(1)
		d.logger.Debug("request not accepted by peer", "id", request.Outbound.ID, "peer", peer, "reason", reply.Outcome)
		return relayer.Answer{}, false
	}
	if err == nil {
		answer, err = DecodeAnswer(reply, d.bodyReader(callCtx, peer, id))
	}
	if err == nil {
		return withDelegate(answer, peer, request), true
	}
	return d.answerFailure(ctx, peer, id, request, err)
}

// HandTo hands the request over to an instance that has more CPU capacity, without asking first, and waits for the answer.
// The relayer decides what follows from a failure.
func (d *Delegator) HandTo(ctx context.Context, peer string, request relayer.Request, events relayer.HelperEvents) (relayer.Answer, error) {
	id := strconv.FormatInt(d.lastID.Add(1), 36)
	callCtx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	events.Begun(func(ctx context.Context) (bool, error) { return d.askToHold(ctx, peer, id) })
	d.handedOver.Store(handedOverKey{peer: peer, id: id}, events.Repeats)
	defer d.handedOver.Delete(handedOverKey{peer: peer, id: id})
	reply, err := messenger.Call[encoder.DelegatedRequest, encoder.DelegatedAnswer](callCtx, d.messenger, peer, methodDelegate, encodeRequest(id, request))
	if err == nil && reply.InProgress != nil {
		events.Work(*reply.InProgress)
	}
	switch {
	case err != nil && !mayHaveReceived(err):
		return relayer.Answer{}, &relayer.NotReceivedError{Instance: peer, Cause: err}
	case err == nil && !reply.Accepted:
		return relayer.Answer{}, &relayer.NotAcceptedError{ID: request.Outbound.ID, Origin: d.messenger.Instance(), Reason: reply.Outcome}
	}
	var answer relayer.Answer
	if err == nil {
		answer, err = DecodeAnswer(reply, d.bodyReader(callCtx, peer, id))
	}
	if err != nil {
		go d.endServed(peer, id)
		return relayer.Answer{}, err
	}
	return answer, nil
}

// bodyReader returns the function that reads the rest of the body of an answer.
func (d *Delegator) bodyReader(ctx context.Context, peer, id string) func(offset int) (string, error) {
	return func(offset int) (string, error) {
		next, err := messenger.Call[encoder.BodyRequest, encoder.BodyReply](ctx, d.messenger, peer, methodReadBody, encoder.BodyRequest{Id: id, Offset: offset})
		return next.Body, err
	}
}

// mayHaveReceived reports whether an instance may have received a request whose call failed.
func mayHaveReceived(err error) bool {
	var notSent *messenger.NotSentError
	var remote *messenger.RemoteError
	isUnknownMethod := errors.As(err, &remote) && remote.Code == messenger.CodeUnknownMethod
	return !isUnknownMethod && !errors.As(err, &notSent)
}

// replyTime returns the time in which the answer of another instance has to arrive.
func replyTime(request relayer.Request) time.Duration {
	if request.Due.IsZero() {
		return maxReplyTime
	}
	return max(time.Until(request.Due), request.Due.Sub(request.Arrived)) + replyMargin
}

// answerFailure returns the answer to a request for which no answer was received from the instance. It returns false if the
// instance has certainly not received the request.
func (d *Delegator) answerFailure(ctx context.Context, peer, id string, request relayer.Request, err error) (answer relayer.Answer, taken bool) {
	unreceived := !mayHaveReceived(err)
	if !unreceived {
		go d.endServed(peer, id)
	}
	switch {
	case ctx.Err() != nil:
		return relayer.Answer{Outcome: relayer.Abandoned}, true
	case unreceived:
		var size *messenger.SizeError
		if !errors.As(err, &size) {
			d.suspend(peer, err)
		}
		return relayer.Answer{}, false
	case !time.Now().Before(request.Deadline):
		answer.Outcome = relayer.TimedOut
	default:
		d.suspend(peer, err)
		answer.Outcome = relayer.Failed
	}
	answer.Decisions = []relayer.Decision{{After: time.Since(request.Arrived), Target: peer, Event: "no answer: " + err.Error()}}
	return withDelegate(answer, peer, request), true
}

// withDelegate adds to the decisions of an answer which instance has served the request.
func withDelegate(answer relayer.Answer, peer string, request relayer.Request) relayer.Answer {
	first := relayer.Decision{Service: request.Route.Name, Target: peer, Event: "handed over, too few reachable targets"}
	answer.Decisions = append([]relayer.Decision{first}, answer.Decisions...)
	return answer
}

// endServed tells an instance that a request is no longer needed.
func (d *Delegator) endServed(peer, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	if err := messenger.Notify(ctx, d.messenger, peer, methodEnd, encoder.EndDelegation{Id: id}); err != nil {
		d.logger.Debug("end of request not sent to peer", "peer", peer, "error", err)
	}
}
