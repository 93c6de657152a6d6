// Package admitter limits the number of concurrent queries of an instance and sheds the lowest priority first. It also
// limits those of each index by their latency, and refuses queries whose deadline cannot be met. The executor calls it
// in native mode before it plans a query; in relay mode, package receiver limits the concurrent requests. The order of
// sub-queries at targets is left to package limiter.
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

// Percentages of a limit that queries of lower priority may fill. The rest is headroom for urgent queries.
const (
	normalPercent     = 90
	backgroundPercent = 50
)

const (
	// maxUrgentWait is the maximum time that an urgent query waits for a running one to end.
	maxUrgentWait = 20 * time.Millisecond
	// urgentWaitDivisor also limits that wait, to the deadline divided by it.
	urgentWaitDivisor = 4
	// maxWaitersPercent is the maximum number of waiting urgent queries, in percent of maxRunning.
	maxWaitersPercent = 25
	// quietPeriod is the time without a shed query after which shedding is recorded as stopped.
	quietPeriod = time.Second
	// retryAfter is the delay that a shed caller is told. HTTP expresses it in whole seconds.
	retryAfter = time.Second
)

// Events records the start and the end of shedding.
type Events interface {
	Record(kind recorder.Kind, subject, query, detail string)
}

// Release ends an admitted query; complete reports whether its answer is complete. Only the first call has an effect.
type Release func(complete bool)

// Admitter admits queries up to a limit for the instance and one for each index.
type Admitter struct {
	maxRunning      int
	events          Events
	admitted, shed  tally.Counter
	deadlineRefused tally.Counter
	// shedByIndexLimit counts the queries that were shed because of the limit of their index.
	shedByIndexLimit tally.Counter
	runningGauge     tally.Gauge

	mu sync.Mutex
	// running is the number of admitted queries, at most limit.
	running int
	// waiters holds a channel for every waiting urgent query in order of arrival; closing it hands over a slot.
	waiters    []chan struct{}
	minLatency recentMinimum
	// indexLimiters holds the limiter of every index that was queried.
	indexLimiters map[string]*indexLimiter
	shedding      bool
	lastShed      time.Time
}

// New creates an admitter that admits up to maxRunning concurrent queries, at least one.
func New(maxRunning int, events Events, scope tally.Scope) *Admitter {
	return &Admitter{
		maxRunning: max(maxRunning, 1), events: events,
		admitted: scope.Counter("queries-admitted"), shed: scope.Counter("queries-shed"), deadlineRefused: scope.Counter("queries-deadline-refused"),
		runningGauge: scope.Gauge("queries-running"), shedByIndexLimit: scope.Counter("queries-shed-congested"),
		minLatency: recentMinimum{window: minLatencyWindow}, indexLimiters: make(map[string]*indexLimiter),
	}
}

// Admit takes a slot for a query, or refuses it. Errors: *ShedError, *DeadlineTooShortError, or that of the context.
func (a *Admitter) Admit(ctx context.Context, class encoder.QueryClass, deadline time.Duration) (Release, error) {
	waiter, err := a.acquire(class, deadline)
	if err != nil {
		return nil, err
	}
	if waiter != nil {
		if err := a.waitForSlot(ctx, waiter, min(maxUrgentWait, deadline/urgentWaitDivisor)); err != nil {
			a.leaveIndex(class)
			return nil, err
		}
	}
	a.admitted.Inc(1)
	return a.newRelease(class, time.Now()), nil
}

// Running returns the number of admitted queries.
func (a *Admitter) Running() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running
}

// acquire takes a slot, or returns a waiter if an urgent query has to wait for one.
func (a *Admitter) acquire(class encoder.QueryClass, deadline time.Duration) (chan struct{}, error) {
	priority := class.Priority
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.endSheddingIfQuiet(now)
	if least := a.minLatency.value(now); deadline < least {
		a.deadlineRefused.Inc(1)
		return nil, &DeadlineTooShortError{Deadline: deadline, Minimum: least}
	}
	limiter := a.limiterOf(class)
	if !limiter.admits(priority) {
		a.shedByIndexLimit.Inc(1)
		return nil, a.shedQuery(now, priority)
	}
	if a.running < priorityLimit(a.maxRunning, priority) {
		limiter.running++
		a.running++
		a.runningGauge.Update(float64(a.running))
		return nil, nil
	}
	if priority != encoder.QueryClassPriorityUrgent || len(a.waiters) >= max(a.maxRunning*maxWaitersPercent/100, 1) {
		return nil, a.shedQuery(now, priority)
	}
	limiter.running++
	waiter := make(chan struct{})
	a.waiters = append(a.waiters, waiter)
	return waiter, nil
}

func (a *Admitter) waitForSlot(ctx context.Context, waiter chan struct{}, longest time.Duration) error {
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
		// The slot was handed over just as the wait ended.
		return nil
	}
	a.waiters = slices.Delete(a.waiters, i, i+1)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return a.shedQuery(time.Now(), encoder.QueryClassPriorityUrgent)
}

// leaveIndex removes a query that was not admitted after its wait from those running on its index.
func (a *Admitter) leaveIndex(class encoder.QueryClass) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiterOf(class).running--
}

// limiterOf returns the limiter of the index of a class. The mutex must be held. Limiters are never removed, since
// manifests name few indexes.
func (a *Admitter) limiterOf(class encoder.QueryClass) *indexLimiter {
	l, found := a.indexLimiters[class.Index]
	if !found {
		l = newIndexLimiter(a.maxRunning)
		a.indexLimiters[class.Index] = l
	}
	return l
}

func (a *Admitter) newRelease(class encoder.QueryClass, started time.Time) Release {
	var once sync.Once
	return func(complete bool) {
		once.Do(func() { a.releaseSlot(class, started, complete) })
	}
}

func (a *Admitter) releaseSlot(class encoder.QueryClass, started time.Time, complete bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.limiterOf(class).finish(now, class.Routing, now.Sub(started), complete)
	if complete {
		a.minLatency.observe(now, now.Sub(started))
	}
	a.endSheddingIfQuiet(now)
	if len(a.waiters) == 0 {
		a.running--
		a.runningGauge.Update(float64(a.running))
		return
	}
	close(a.waiters[0])
	a.waiters = slices.Delete(a.waiters, 0, 1)
}

// priorityLimit returns the number of running queries up to which a query of the priority is admitted.
func priorityLimit(limit int, priority encoder.QueryClassPriority) int {
	switch priority {
	case encoder.QueryClassPriorityUrgent:
		return limit
	case encoder.QueryClassPriorityNormal:
		return max(limit*normalPercent/100, 1)
	default:
		return max(limit*backgroundPercent/100, 1)
	}
}

func (a *Admitter) shedQuery(now time.Time, priority encoder.QueryClassPriority) error {
	a.shed.Inc(1)
	a.lastShed = now
	if !a.shedding {
		a.shedding = true
		a.events.Record(recorder.KindSheddingStarted, "", "", "first shed query has priority "+string(priority))
	}
	return &ShedError{Priority: priority, RetryAfter: retryAfter}
}

func (a *Admitter) endSheddingIfQuiet(now time.Time) {
	if !a.shedding || now.Sub(a.lastShed) < quietPeriod {
		return
	}
	a.shedding = false
	a.events.Record(recorder.KindSheddingStopped, "", "", "")
}
