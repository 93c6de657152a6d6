// Package admitter limits the queries that run at the same time and sheds the lowest priority first.
package admitter

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/wire/encoder"
)

// Shares of the limit that lower priorities may fill, in percent. The rest is headroom for urgent queries.
const (
	normalPercent     = 90
	backgroundPercent = 50
)

const (
	// urgentWait bounds how long an urgent query waits for a running one to end.
	urgentWait = 20 * time.Millisecond
	// urgentWaitFraction bounds the wait to this part of the deadline.
	urgentWaitFraction = 4
	// waitersPercent bounds the waiting urgent queries to this part of the limit.
	waitersPercent = 25
	// quietPeriod without a shed query ends a period of shedding.
	quietPeriod = time.Second
	// retryAfter is the advice to a shed caller. HTTP expresses it in whole seconds.
	retryAfter = time.Second
)

// Events records the start and the end of shedding.
type Events interface {
	Record(kind recorder.Kind, subject, query, detail string)
}

// Release ends an admitted query; served tells whether it was answered. Only the first call counts.
type Release func(served bool)

// Admitter admits queries up to a limit.
type Admitter struct {
	limit          int
	events         Events
	admitted, shed tally.Counter
	tooLate        tally.Counter
	// congested counts the shed queries whose targets are saturated.
	congested tally.Counter
	level     tally.Gauge

	mu sync.Mutex
	// running is at most limit.
	running int
	// waiters are urgent queries in order of arrival; a closed channel hands over a slot.
	waiters []chan struct{}
	minimum minimum
	// indexes holds the load of each index that was queried.
	indexes  map[string]*congestion
	shedding bool
	lastShed time.Time
}

// New creates an admitter for up to limit queries, at least one.
func New(limit int, events Events, scope tally.Scope) *Admitter {
	return &Admitter{
		limit: max(limit, 1), events: events,
		admitted: scope.Counter("queries-admitted"), shed: scope.Counter("queries-shed"), tooLate: scope.Counter("queries-deadline-refused"),
		level: scope.Gauge("queries-running"), congested: scope.Counter("queries-shed-congested"),
		minimum: minimum{window: window}, indexes: make(map[string]*congestion),
	}
}

// Admit takes a slot for a query, or refuses it. Errors: *ShedError, *DeadlineError, or the context's.
func (a *Admitter) Admit(ctx context.Context, class encoder.QueryClass, deadline time.Duration) (Release, error) {
	waiter, err := a.enter(class, deadline)
	if err != nil {
		return nil, err
	}
	if waiter != nil {
		if err := a.wait(ctx, waiter, min(urgentWait, deadline/urgentWaitFraction)); err != nil {
			a.abandon(class)
			return nil, err
		}
	}
	a.admitted.Inc(1)
	return a.release(class, time.Now()), nil
}

// Running returns the number of admitted queries.
func (a *Admitter) Running() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running
}

// enter takes a slot, or returns the waiter of an urgent query.
func (a *Admitter) enter(class encoder.QueryClass, deadline time.Duration) (chan struct{}, error) {
	priority := class.Priority
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.endShedding(now)
	if least := a.minimum.value(now); deadline < least {
		a.tooLate.Inc(1)
		return nil, &DeadlineError{Deadline: deadline, Minimum: least}
	}
	index := a.index(class)
	if !index.admits(priority) {
		a.congested.Inc(1)
		return nil, a.refuse(now, priority)
	}
	if a.running < share(a.limit, priority) {
		index.running++
		a.running++
		a.level.Update(float64(a.running))
		return nil, nil
	}
	if priority != encoder.QueryClassPriorityUrgent || len(a.waiters) >= max(a.limit*waitersPercent/100, 1) {
		return nil, a.refuse(now, priority)
	}
	index.running++
	waiter := make(chan struct{})
	a.waiters = append(a.waiters, waiter)
	return waiter, nil
}

func (a *Admitter) wait(ctx context.Context, waiter chan struct{}, longest time.Duration) error {
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-waiter:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	i := slices.Index(a.waiters, waiter)
	if i < 0 {
		// The slot was handed over while the wait ended.
		return nil
	}
	a.waiters = slices.Delete(a.waiters, i, i+1)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return a.refuse(time.Now(), encoder.QueryClassPriorityUrgent)
}

// abandon takes back the place of a query that was not admitted after its wait.
func (a *Admitter) abandon(class encoder.QueryClass) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.index(class).running--
}

// index returns the load of the index of a class; the caller holds the mutex. Manifests name few indexes.
func (a *Admitter) index(class encoder.QueryClass) *congestion {
	c, found := a.indexes[class.Index]
	if !found {
		c = newCongestion(a.limit)
		a.indexes[class.Index] = c
	}
	return c
}

func (a *Admitter) release(class encoder.QueryClass, started time.Time) Release {
	var once sync.Once
	return func(served bool) {
		once.Do(func() { a.leave(class, started, served) })
	}
}

func (a *Admitter) leave(class encoder.QueryClass, started time.Time, served bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.index(class).leave(now, class.Routing, now.Sub(started), served)
	if served {
		a.minimum.observe(now, now.Sub(started))
	}
	a.endShedding(now)
	if len(a.waiters) == 0 {
		a.running--
		a.level.Update(float64(a.running))
		return
	}
	close(a.waiters[0])
	a.waiters = slices.Delete(a.waiters, 0, 1)
}

// share returns how many running queries the priority may fill up to.
func share(limit int, priority encoder.QueryClassPriority) int {
	switch priority {
	case encoder.QueryClassPriorityUrgent:
		return limit
	case encoder.QueryClassPriorityNormal:
		return max(limit*normalPercent/100, 1)
	default:
		return max(limit*backgroundPercent/100, 1)
	}
}

func (a *Admitter) refuse(now time.Time, priority encoder.QueryClassPriority) error {
	a.shed.Inc(1)
	a.lastShed = now
	if !a.shedding {
		a.shedding = true
		a.events.Record(recorder.KindSheddingStarted, "", "", "at priority "+string(priority))
	}
	return &ShedError{Priority: priority, RetryAfter: retryAfter}
}

func (a *Admitter) endShedding(now time.Time) {
	if !a.shedding || now.Sub(a.lastShed) < quietPeriod {
		return
	}
	a.shedding = false
	a.events.Record(recorder.KindSheddingStopped, "", "", "")
}
