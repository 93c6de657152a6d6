// Package limiter limits the sub-queries that one owner has in flight to one target: the cold limit, the ramp-up to the
// owner's share, and the queue of waiting sub-queries. It infers the state of the target from own evidence, which is
// what replies and reports show, and from the facts of other owners. In native mode the dispatcher uses one limiter per
// owned target. Connections are left to the connector and leases to the lessor.
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
	// repliesPerRampStep is the number of consecutive answered sub-queries that raise the warm limit by one.
	repliesPerRampStep = 8
	// maxQueued is the maximum number of sub-queries that wait for one target.
	maxQueued = 128
	// factLifetime is how long own evidence that a target is cold or draining is announced. After own evidence that it is
	// cold, announcements that it is warm are ignored for the same time. It covers two periods of the exchange between
	// instances. Without this limit, two owners would renew each other's facts indefinitely after the target stopped
	// draining.
	factLifetime = 2 * time.Second
	// coldNoticeTimeout limits how long the first owner waits until the other owners are notified that a warm target
	// has turned cold. An unreachable owner learns it from the first reply to one of its sub-queries.
	coldNoticeTimeout = 2 * time.Second
	// evidenceLifetime is how long a target counts as warm without a new reply or report. Reports arrive every second.
	evidenceLifetime = 3 * time.Second
	// drainingHoldTime is how long a draining reply takes precedence over reports, which can be delayed.
	drainingHoldTime = 3 * time.Second
	// serviceTimeWeight is the weight of a new service time in the moving average.
	serviceTimeWeight = 0.2
	// serviceTimeHalfLife is the time in which the average decays by half without new service times, so that one slow
	// reply does not cause the refusal of all later sub-queries.
	serviceTimeHalfLife = time.Second
	// statusLookahead is how far ahead of now Status looks up the limit, because a lease allows nothing for a deadline
	// that has already passed.
	statusLookahead = 10 * time.Millisecond
)

// Allowance returns the number of sub-queries that the lease of this instance allows in flight to the cold target until
// the given boot time. Boot time is the time since the machine started; it goes on while the process is suspended. With
// an allowance of 0, sub-queries to a cold target are refused with the reason no-lease.
type Allowance func(target string, until time.Duration) int

// Checker checks invariants and records violations.
type Checker interface {
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
	// Rank is the position of this instance among the owners, counted from 0 for the first owner.
	Rank int
	// FirstOwner is the name of the first owner.
	FirstOwner string
	// ColdLimit is the maximum number of sub-queries that the target may run while it is cold, from all instances
	// together.
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
	checker   Checker
	events    Events
	scope     tally.Scope
	now       func() time.Duration

	mu        sync.Mutex
	ownership Ownership
	// incarnation is the latest incarnation of the target seen on a new connection, in a report or in a reply; empty
	// before the first. Each start of the target is a new incarnation.
	incarnation string
	// state is the latest state that the target itself reported; it was received at boot time stateReceivedAt.
	state           encoder.LoadState
	stateReceivedAt time.Duration
	// evidenceRequestedAt is the boot time immediately before the latest request that the target replied to. Unlike the
	// time of the reply, it does not make evidence look recent that is read only after a pause of this process.
	evidenceRequestedAt time.Duration
	// warm is set by the own ramp-up or by an accepted announcement. It is cleared by a new incarnation, evidence or a
	// fact that the target is cold, a shed sub-query, a lost connection, or a change of service. The warm limit applies
	// only while recentlyWarm reports true.
	warm bool
	// warmLimit is the maximum number of sub-queries in flight while the target is warm; at least 1.
	warmLimit int
	// consecutiveReplies is the number of consecutive answered sub-queries of a warm target at the current limit.
	consecutiveReplies int
	// warmByOwnReplies is set when replies to this owner, and not only an announcement, have shown that the incarnation
	// is warm.
	warmByOwnReplies bool
	// coldEvidenceAt is the time of the latest own evidence that the incarnation is cold or overloaded; 0 means never.
	coldEvidenceAt time.Duration
	// pausedUntil is the boot time until which the first owner sends nothing, because another owner may still treat the
	// target as warm.
	pausedUntil time.Duration
	// announcedWarmIncarnation is the incarnation that an accepted announcement reported as warm.
	announcedWarmIncarnation string
	// drainingIncarnation is the latest incarnation known to be draining, as of drainingKnownAt.
	drainingIncarnation string
	drainingKnownAt     time.Duration
	// drainingEvidenceAt is the time of the latest own evidence that the target is draining.
	drainingEvidenceAt time.Duration
	// inFlight is the number of assigned slots. It was within the limit at the time of each assignment.
	inFlight int
	// boundSlots is the number of bound slots, by the incarnation that their sub-queries are sent to.
	boundSlots map[string]int
	queue      queue
	// averageServiceTime is the average service time as of averagedAt.
	averageServiceTime time.Duration
	averagedAt         time.Duration
}

// New creates a limiter that assigns no slots until Configure is called.
func New(target string, allowance Allowance, invariantChecker Checker, events Events, opts ...Option) *Limiter {
	l := &Limiter{
		target: target, allowance: allowance, checker: invariantChecker, events: events,
		scope: tally.NoopScope, now: timekeeper.BootTime,
		state: encoder.LoadStateCold, warmLimit: 1, boundSlots: make(map[string]int),
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
	l.warmLimit = max(1, min(l.warmLimit, ownership.Share))
	l.assignSlots()
}

// Acquire waits for a slot until the deadline in boot time. It returns a *RefusedError or the error of ctx.
func (l *Limiter) Acquire(ctx context.Context, priority string, deadline time.Duration) (*Slot, error) {
	w := &waiter{priorityRank: priorityRank(priority), deadline: deadline, index: -1, result: make(chan error, 1)}
	if err := l.enqueue(w); err != nil {
		return nil, err
	}
	// A slot that was free immediately is returned even if ctx has ended meanwhile; the dispatcher checks ctx before it
	// sends the sub-query.
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
	return &Slot{limiter: l, deadline: w.deadline, acquiredAt: l.now()}, nil
}

// enqueue assigns a slot to a waiter, queues it, or refuses it.
func (l *Limiter) enqueue(w *waiter) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if reason, refused := l.admissionRefusal(w); refused {
		return l.refuse(reason)
	}
	if len(l.queue) >= maxQueued {
		lastToServe := l.queue.lastToServe()
		if !w.before(lastToServe) {
			return l.refuse(encoder.ReasonOverloaded)
		}
		l.queue.remove(lastToServe)
		lastToServe.result <- l.refuse(encoder.ReasonOverloaded)
	}
	heap.Push(&l.queue, w)
	l.assignSlots()
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

// abandon removes a waiter whose context has ended, and returns a slot that was assigned to it meanwhile.
func (l *Limiter) abandon(w *waiter, cause error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.remove(w)
	select {
	case err := <-w.result:
		if err == nil {
			l.inFlight--
			l.assignSlots()
		}
	default:
	}
	return cause
}

// assignSlots assigns slots to waiters while the limit allows it. l.mu must be held.
func (l *Limiter) assignSlots() {
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

// inFlightLimit returns the maximum number of sub-queries in flight, including a new one that may run until the
// deadline. It is 0 only while the target is not recently warm or the share is 0.
func (l *Limiter) inFlightLimit(deadline time.Duration) int {
	switch {
	case l.recentlyWarm():
		return min(l.warmLimit, l.ownership.Share)
	case l.now() < l.pausedUntil:
		return 0
	default:
		return min(l.ownership.Share, l.allowance(l.target, deadline))
	}
}

// recentlyWarm reports whether the target is warm and has replied recently. Without the second condition, a process
// that resumes after a pause would use its whole share of a target that has turned cold meanwhile.
func (l *Limiter) recentlyWarm() bool {
	return l.warm && l.now()-l.evidenceRequestedAt < evidenceLifetime
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
		Share: l.ownership.Share, State: string(l.latestState()),
	}
}

// latestState returns the latest known state of the target. It can be warm although the limit is that of a cold
// target, because recentlyWarm requires a recent reply or report too.
func (l *Limiter) latestState() encoder.LoadState {
	switch {
	case l.draining():
		return encoder.LoadStateDraining
	case l.warm:
		return encoder.LoadStateWarm
	default:
		return encoder.LoadStateCold
	}
}
