// Package limiter limits the sub-queries that one owner has in flight to one target: the cold limit, the ramp-up to the
// owner's share, and the queue of waiting sub-queries. It infers the state of the target from replies, reports and the
// facts of other owners. The dispatcher uses one limiter per owned target; connections are left to the connector.
package limiter

import (
	"container/heap"
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"apricotflow/internal/operator/checker"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/wire/encoder"
)

const (
	// answersPerRampStep is the number of consecutive answers that raise the limit by one.
	answersPerRampStep = 8
	// queueCapacity is the maximum number of waiting sub-queries of one target.
	queueCapacity = 128
	// factLifetime is how long own evidence of a cold or draining target is announced, and how long announcements that
	// it is warm are ignored after such evidence. It covers two periods of the exchange between instances. Without this
	// bound, two owners would renew each other's facts indefinitely after the target stopped draining.
	factLifetime = 2 * time.Second
	// coldNoticeTimeout limits how long the first owner waits until the other owners are notified that a warm target
	// has turned cold. An owner that cannot be reached learns it from the first reply to one of its sub-queries.
	coldNoticeTimeout = 2 * time.Second
	// evidenceLifetime is how long a target counts as warm without a new reply. Reports arrive every second.
	evidenceLifetime = 3 * time.Second
	// drainingHoldTime is how long a draining reply takes precedence over reports, which can be delayed.
	drainingHoldTime = 3 * time.Second
	// serviceTimeWeight is the weight of a new service time in the moving average.
	serviceTimeWeight = 0.2
	// serviceTimeHalfLife is the time in which the average decays by half without new service times, so that one slow
	// answer does not refuse all later sub-queries.
	serviceTimeHalfLife = time.Second
	// statusLookahead is how far ahead of now Status asks for the limit, because a lease allows nothing up to a time
	// that has already passed.
	statusLookahead = 10 * time.Millisecond
)

// Allowance returns the number of sub-queries that this instance may have in flight to the cold target until the given
// boot time.
type Allowance func(target string, until time.Duration) int

// Checks records violated invariants.
type Checks interface {
	Check(ok bool, invariant checker.Invariant, subject, detail string) bool
}

// Events records state changes.
type Events interface {
	Record(kind recorder.Kind, subject, query, detail string)
}

// RefusedError reports that a sub-query was refused before it was sent.
type RefusedError struct {
	// Target is the name of the target.
	Target string
	// Reason is the reason to put in the reply.
	Reason encoder.Reason
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("limiter: acquire slot for %s: refused: %s", e.Target, e.Reason)
}

// Ownership is the configuration of this owner for one target.
type Ownership struct {
	// Share is the number of slots that this instance may use.
	Share int
	// Rank is the position of this instance among the owners; 0 is the first owner.
	Rank int
	// FirstOwner is the name of the first owner.
	FirstOwner string
	// ColdLimit is the cold limit of the target, shared by all instances.
	ColdLimit int
}

// Option configures a Limiter.
type Option func(*Limiter)

// WithClock sets the source of boot time.
func WithClock(now func() time.Duration) Option {
	return func(l *Limiter) { l.now = now }
}

// WithScope sets the metrics scope.
func WithScope(scope tally.Scope) Option {
	return func(l *Limiter) { l.scope = scope }
}

// WithOnCold sets a function that is called when a reply or report shows that a warm target has turned cold. The
// function must neither block nor call the limiter. The first owner then sends nothing until OwnersNotified is called
// or coldNoticeTimeout has passed.
func WithOnCold(f func()) Option {
	return func(l *Limiter) { l.onCold = f }
}

// Limiter limits the sub-queries in flight to one target.
type Limiter struct {
	target    string
	onCold    func()
	allowance Allowance
	checks    Checks
	events    Events
	scope     tally.Scope
	now       func() time.Duration

	mu        sync.Mutex
	ownership Ownership
	// incarnation is the latest one seen on a new connection or in a reply; empty before the first.
	incarnation string
	// state is the latest state that the target itself reported, at boot time seenAt.
	state  encoder.LoadState
	seenAt time.Duration
	// evidenceAt is the boot time immediately before the latest request that the target replied to. The reply may be
	// read much later, after a pause of this process.
	evidenceAt time.Duration
	// warm is set while there is evidence that the incarnation is warm. It is cleared by a new incarnation, a cold
	// reply, a shed sub-query or a reset connection.
	warm bool
	// limit is the maximum number in flight while the target is warm; at least 1.
	limit int
	// consecutiveAnswers is the number of consecutive answers from a warm target at the current limit.
	consecutiveAnswers int
	// confirmedWarm is set when answers to this owner have shown that the incarnation is warm.
	confirmedWarm bool
	// coldEvidenceAt is the time of the latest own evidence that the incarnation is cold or overloaded; 0 means never.
	coldEvidenceAt time.Duration
	// heldUntil is the boot time until which the first owner sends nothing, because another owner may still treat the
	// target as warm.
	heldUntil time.Duration
	// announcedWarm is the incarnation that an accepted announcement reported as warm.
	announcedWarm string
	// drainingIncarnation is the latest incarnation known to be draining, as of drainingKnownAt.
	drainingIncarnation string
	drainingKnownAt     time.Duration
	// drainingEvidenceAt is the time of the latest own evidence that the target is draining.
	drainingEvidenceAt time.Duration
	// inFlight is the number of granted slots. It was within the limit at the time of each grant.
	inFlight int
	// boundSlots is the number of slots by the incarnation that their sub-queries are sent to.
	boundSlots map[string]int
	queue      queue
	// averageServiceTime is the average service time as of averagedAt.
	averageServiceTime time.Duration
	averagedAt         time.Duration
}

// New creates a limiter that grants no slots until Configure is called.
func New(target string, allowance Allowance, checks Checks, events Events, opts ...Option) *Limiter {
	l := &Limiter{
		target: target, allowance: allowance, checks: checks, events: events,
		scope: tally.NoopScope, now: timekeeper.BootTime,
		state: encoder.LoadStateCold, limit: 1, boundSlots: make(map[string]int),
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Configure sets the ownership. A share of 0 refuses all waiting sub-queries.
func (l *Limiter) Configure(ownership Ownership) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ownership = ownership
	l.limit = max(1, min(l.limit, ownership.Share))
	l.grantSlots()
}

// Acquire waits for a slot until the deadline in boot time. It returns a *RefusedError or the error of ctx.
func (l *Limiter) Acquire(ctx context.Context, priority string, deadline time.Duration) (*Slot, error) {
	w := &waiter{rank: priorityRank(priority), deadline: deadline, index: -1, result: make(chan error, 1)}
	if err := l.enqueue(w); err != nil {
		return nil, err
	}
	// A slot that was free immediately is granted even if ctx has ended meanwhile; the caller checks ctx before the
	// write.
	select {
	case err := <-w.result:
		return l.newSlot(w, err)
	default:
	}
	select {
	case err := <-w.result:
		return l.newSlot(w, err)
	case <-ctx.Done():
		return nil, l.abandon(w, ctx.Err())
	}
}

func (l *Limiter) newSlot(w *waiter, err error) (*Slot, error) {
	if err != nil {
		return nil, err
	}
	return &Slot{limiter: l, deadline: w.deadline, granted: l.now()}, nil
}

// enqueue grants a slot to a waiter, queues it, or refuses it.
func (l *Limiter) enqueue(w *waiter) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if reason, refused := l.admissionRefusal(w); refused {
		return l.refuse(reason)
	}
	if len(l.queue) >= queueCapacity {
		lastToServe := l.queue.lastToServe()
		if !w.before(lastToServe) {
			return l.refuse(encoder.ReasonOverloaded)
		}
		l.queue.remove(lastToServe)
		lastToServe.result <- l.refuse(encoder.ReasonOverloaded)
	}
	heap.Push(&l.queue, w)
	l.grantSlots()
	return nil
}

// admissionRefusal reports whether a new waiter must be refused because it cannot be served in time, and why.
func (l *Limiter) admissionRefusal(w *waiter) (encoder.Reason, bool) {
	if l.ownership.Share == 0 {
		return encoder.ReasonNoOwner, true
	}
	if l.draining() {
		return encoder.ReasonDraining, true
	}
	inFlightLimit := l.inFlightLimit(w.deadline)
	if inFlightLimit == 0 {
		return encoder.ReasonNoLease, true
	}
	rounds := 1 + (l.inFlight+l.queue.countAhead(w))/inFlightLimit
	if l.now()+time.Duration(rounds)*l.decayedServiceTime() > w.deadline {
		return encoder.ReasonDeadlineExceeded, true
	}
	return encoder.ReasonNone, false
}

func (l *Limiter) refuse(reason encoder.Reason) error {
	l.scope.Counter("limiter-refused-" + string(reason)).Inc(1)
	return &RefusedError{Target: l.target, Reason: reason}
}

// abandon removes a waiter whose context ended, and returns a slot that was granted meanwhile.
func (l *Limiter) abandon(w *waiter, cause error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.remove(w)
	select {
	case err := <-w.result:
		if err == nil {
			l.inFlight--
			l.grantSlots()
		}
	default:
	}
	return cause
}

// grantSlots grants slots to waiters while the limit allows it. The caller holds the mutex.
func (l *Limiter) grantSlots() {
	for len(l.queue) > 0 {
		w := l.queue[0]
		inFlightLimit := l.inFlightLimit(w.deadline)
		reason, refused := l.queuedRefusal(w, inFlightLimit)
		if !refused && l.inFlight >= inFlightLimit {
			return
		}
		heap.Pop(&l.queue)
		if refused {
			w.result <- l.refuse(reason)
			continue
		}
		l.inFlight++
		w.result <- nil
	}
}

// queuedRefusal reports whether a queued waiter must be refused, and why.
func (l *Limiter) queuedRefusal(w *waiter, inFlightLimit int) (encoder.Reason, bool) {
	switch {
	case l.ownership.Share == 0:
		return encoder.ReasonNoOwner, true
	case l.draining():
		return encoder.ReasonDraining, true
	case inFlightLimit == 0:
		return encoder.ReasonNoLease, true
	case l.now()+l.decayedServiceTime() > w.deadline:
		return encoder.ReasonDeadlineExceeded, true
	}
	return encoder.ReasonNone, false
}

// inFlightLimit returns the maximum number of sub-queries in flight, for a sub-query that may run until the deadline.
func (l *Limiter) inFlightLimit(deadline time.Duration) int {
	switch {
	case l.recentlyWarm():
		return min(l.limit, l.ownership.Share)
	case l.now() < l.heldUntil:
		return 0
	default:
		return min(l.ownership.Share, l.allowance(l.target, deadline))
	}
}

// recentlyWarm reports whether there is recent evidence that the target is warm. Without this check, a process that
// resumes after a pause would use its whole share of a target that has turned cold meanwhile.
func (l *Limiter) recentlyWarm() bool {
	return l.warm && l.now()-l.evidenceAt < evidenceLifetime
}

func (l *Limiter) draining() bool {
	return l.drainingIncarnation != "" && l.drainingIncarnation == l.incarnation
}

func (l *Limiter) decayedServiceTime() time.Duration {
	idle := l.now() - l.averagedAt
	return time.Duration(float64(l.averageServiceTime) * math.Exp2(-float64(idle)/float64(serviceTimeHalfLife)))
}

// Draining reports whether the target is known to be draining.
func (l *Limiter) Draining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining()
}

// IsCurrent reports whether the incarnation is the latest one known.
func (l *Limiter) IsCurrent(incarnation string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return incarnation == l.incarnation
}

// InFlight returns the number of slots in use.
func (l *Limiter) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}

// Status returns a status with the fields that the limiter knows.
func (l *Limiter) Status() encoder.TargetStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	return encoder.TargetStatus{
		Target: l.target, InFlight: l.inFlight, Limit: l.inFlightLimit(l.now() + statusLookahead), Queued: len(l.queue),
		Share: l.ownership.Share, State: string(l.effectiveState()),
	}
}

// effectiveState returns the state on which this owner bases its limit.
func (l *Limiter) effectiveState() encoder.LoadState {
	switch {
	case l.draining():
		return encoder.LoadStateDraining
	case l.warm:
		return encoder.LoadStateWarm
	default:
		return encoder.LoadStateCold
	}
}
