// Package limiter bounds the sub-queries that one owner has in flight to one target: cold limit, ramp-up and queue.
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
	// rampAnswers is the number of consecutive answers that raise the limit by one.
	rampAnswers = 8
	// queueCapacity bounds the waiting sub-queries of one target.
	queueCapacity = 128
	// factLifetime is how long own evidence of a cold or draining target is announced, and how long announcements
	// that it is warm are ignored after it. It covers two periods of the exchange between instances. Without a
	// bound, two owners would renew each other's knowledge for ever after the target stopped draining.
	factLifetime = 2 * time.Second
	// holdTime bounds the time in which the other owners are told that a warm target has turned cold. One that cannot be
	// reached learns it from the first reply to it.
	holdTime = 2 * time.Second
	// evidenceLifetime is how long a warm target counts as warm without a new reply; reports come each second.
	evidenceLifetime = 3 * time.Second
	// drainHold is how long a draining reply outweighs reports, which can be delayed.
	drainHold = 3 * time.Second
	// serviceWeight is the weight of a new service time in the average.
	serviceWeight = 0.2
	// serviceHalfLife halves the average while there are no new service times, so that one slow answer does not
	// refuse all later sub-queries.
	serviceHalfLife = time.Second
	// statusAhead is how far ahead the status asks for the limit: a lease allows nothing up to a time that has passed.
	statusAhead = 10 * time.Millisecond
)

// Allowance is the number of sub-queries this instance may have in flight to the cold target until then, in boot time.
type Allowance func(target string, until time.Duration) int

// Checks records violated invariants.
type Checks interface {
	Check(ok bool, invariant checker.Invariant, subject, detail string) bool
}

// Events records changes of state.
type Events interface {
	Record(kind recorder.Kind, subject, query, detail string)
}

// RefusedError reports that a sub-query was refused before it was sent.
type RefusedError struct {
	// Target is the name of the target.
	Target string
	// Reason is the reason in the reply.
	Reason encoder.Reason
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("limiter: acquire slot of %s: %s", e.Target, e.Reason)
}

// Ownership is what the configuration says about this owner and the target.
type Ownership struct {
	// Share is the number of slots that this instance may use.
	Share int
	// Rank is 0 for the first owner.
	Rank int
	// First names the first owner.
	First string
	// ColdLimit is the cold limit of the target over all instances.
	ColdLimit int
}

// Option changes a limiter.
type Option func(*Limiter)

// WithClock sets the source of boot time.
func WithClock(now func() time.Duration) Option {
	return func(l *Limiter) { l.now = now }
}

// WithScope sets the scope for counters.
func WithScope(scope tally.Scope) Option {
	return func(l *Limiter) { l.scope = scope }
}

// WithOnCold sets a function that is called when an answer shows that a warm target has turned cold. It must not block,
// nor call the limiter. The first owner then sends nothing until Told, or for holdTime.
func WithOnCold(f func()) Option {
	return func(l *Limiter) { l.onCold = f }
}

// Limiter bounds the sub-queries in flight to one target.
type Limiter struct {
	target    string
	onCold    func()
	allowance Allowance
	checks    Checks
	events    Events
	scope     tally.Scope
	now       func() time.Duration

	mu  sync.Mutex
	own Ownership
	// incarnation is the latest one seen on a new connection or in a reply; empty before the first.
	incarnation string
	// state is the latest state that the target reported itself, at the boot time seenAt.
	state  encoder.LoadState
	seenAt time.Duration
	// freshAt is the boot time from before the latest request to the target that it replied to. The reply may be read much
	// later, after a pause of this process.
	freshAt time.Duration
	// warm is set when there is evidence that the incarnation is warm; it ends with the incarnation, a cold
	// reply, a shed sub-query or a reset connection.
	warm bool
	// limit applies while warm; it is at least 1.
	limit int
	// streak counts consecutive answers from a warm target at the current limit.
	streak int
	// ramped is set when this owner's own answers showed that the incarnation is warm.
	ramped bool
	// coldAt is the time of the latest own evidence that the incarnation is cold or overloaded; 0 is never.
	coldAt time.Duration
	// heldUntil is the boot time up to which the first owner sends nothing, because another owner may still take the
	// target for warm.
	heldUntil time.Duration
	// announced is the incarnation that the first owner reported as warm.
	announced string
	// drained is the incarnation that was known to be draining at the time drainedAt.
	drained   string
	drainedAt time.Duration
	// drainSeenAt is the time of the latest own evidence that the target drains.
	drainSeenAt time.Duration
	// inFlight counts granted slots; it is bounded by the limit at the time of each grant.
	inFlight int
	// bound counts the slots by the incarnation that their sub-queries are sent to.
	bound map[string]int
	queue queue
	// service is the average service time at the time servedAt.
	service  time.Duration
	servedAt time.Duration
}

// New creates a limiter that allows nothing until Configure.
func New(target string, allowance Allowance, checks Checks, events Events, opts ...Option) *Limiter {
	l := &Limiter{
		target: target, allowance: allowance, checks: checks, events: events,
		scope: tally.NoopScope, now: timekeeper.BootTime,
		state: encoder.LoadStateCold, limit: 1, bound: make(map[string]int),
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Configure sets the ownership; a share of 0 refuses everything that waits.
func (l *Limiter) Configure(own Ownership) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.own = own
	l.limit = max(1, min(l.limit, own.Share))
	l.serve()
}

// Acquire waits for a slot until the deadline in boot time. It returns *RefusedError, or the error of ctx.
func (l *Limiter) Acquire(ctx context.Context, priority string, deadline time.Duration) (*Slot, error) {
	w := &waiter{rank: rankOf(priority), deadline: deadline, index: -1, done: make(chan error, 1)}
	if err := l.enter(w); err != nil {
		return nil, err
	}
	// A slot that was free at once is granted even when ctx has ended meanwhile; the caller looks before it writes.
	select {
	case err := <-w.done:
		return l.slot(w, err)
	default:
	}
	select {
	case err := <-w.done:
		return l.slot(w, err)
	case <-ctx.Done():
		return nil, l.leave(w, ctx.Err())
	}
}

func (l *Limiter) slot(w *waiter, err error) (*Slot, error) {
	if err != nil {
		return nil, err
	}
	return &Slot{limiter: l, deadline: w.deadline, granted: l.now()}, nil
}

// enter grants, queues or refuses a waiter.
func (l *Limiter) enter(w *waiter) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if reason, refused := l.refusal(w); refused {
		return l.refuse(reason)
	}
	if len(l.queue) >= queueCapacity {
		last := l.queue.last()
		if !w.before(last) {
			return l.refuse(encoder.ReasonOverloaded)
		}
		l.queue.remove(last)
		last.done <- l.refuse(encoder.ReasonOverloaded)
	}
	heap.Push(&l.queue, w)
	l.serve()
	return nil
}

// refusal returns why a waiter can't be served in time.
func (l *Limiter) refusal(w *waiter) (encoder.Reason, bool) {
	if l.own.Share == 0 {
		return encoder.ReasonNoOwner, true
	}
	if l.draining() {
		return encoder.ReasonDraining, true
	}
	current := l.current(w.deadline)
	if current == 0 {
		return encoder.ReasonNoLease, true
	}
	rounds := 1 + (l.inFlight+l.queue.ahead(w))/current
	if l.now()+time.Duration(rounds)*l.average() > w.deadline {
		return encoder.ReasonDeadlineExceeded, true
	}
	return encoder.ReasonNone, false
}

func (l *Limiter) refuse(reason encoder.Reason) error {
	l.scope.Counter("limiter-refused-" + string(reason)).Inc(1)
	return &RefusedError{Target: l.target, Reason: reason}
}

// leave removes a waiter whose context ended, and gives back a slot that was granted meanwhile.
func (l *Limiter) leave(w *waiter, cause error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.remove(w)
	select {
	case err := <-w.done:
		if err == nil {
			l.inFlight--
			l.serve()
		}
	default:
	}
	return cause
}

// serve grants slots to waiters while the limit allows it; the caller holds the mutex.
func (l *Limiter) serve() {
	for len(l.queue) > 0 {
		w := l.queue[0]
		current := l.current(w.deadline)
		reason, refused := l.unservable(w, current)
		if !refused && l.inFlight >= current {
			return
		}
		heap.Pop(&l.queue)
		if refused {
			w.done <- l.refuse(reason)
			continue
		}
		l.inFlight++
		w.done <- nil
	}
}

// unservable returns why a waiter must not wait any longer.
func (l *Limiter) unservable(w *waiter, current int) (encoder.Reason, bool) {
	switch {
	case l.own.Share == 0:
		return encoder.ReasonNoOwner, true
	case l.draining():
		return encoder.ReasonDraining, true
	case current == 0:
		return encoder.ReasonNoLease, true
	case l.now()+l.average() > w.deadline:
		return encoder.ReasonDeadlineExceeded, true
	}
	return encoder.ReasonNone, false
}

// current is the number of sub-queries allowed in flight, for one that may run until the deadline.
func (l *Limiter) current(deadline time.Duration) int {
	switch {
	case l.believesWarm():
		return min(l.limit, l.own.Share)
	case l.now() < l.heldUntil:
		return 0
	default:
		return min(l.own.Share, l.allowance(l.target, deadline))
	}
}

// believesWarm reports whether there is recent evidence that the target is warm. Without it, a process that wakes up from
// a pause would use its whole share of a target that has turned cold meanwhile.
func (l *Limiter) believesWarm() bool {
	return l.warm && l.now()-l.freshAt < evidenceLifetime
}

func (l *Limiter) draining() bool {
	return l.drained != "" && l.drained == l.incarnation
}

func (l *Limiter) average() time.Duration {
	idle := l.now() - l.servedAt
	return time.Duration(float64(l.service) * math.Exp2(-float64(idle)/float64(serviceHalfLife)))
}

// Draining reports whether the target is known to drain.
func (l *Limiter) Draining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining()
}

// Current reports whether no newer incarnation of the target is known.
func (l *Limiter) Current(incarnation string) bool {
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

// Status fills in the parts of the status that the limiter knows.
func (l *Limiter) Status() encoder.TargetStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	return encoder.TargetStatus{
		Target: l.target, InFlight: l.inFlight, Limit: l.current(l.now() + statusAhead), Queued: len(l.queue),
		Share: l.own.Share, State: string(l.stateNow()),
	}
}

// stateNow is the state that this owner acts on.
func (l *Limiter) stateNow() encoder.LoadState {
	switch {
	case l.draining():
		return encoder.LoadStateDraining
	case l.warm:
		return encoder.LoadStateWarm
	default:
		return encoder.LoadStateCold
	}
}
