// Package hedger determines the delay after which a sub-query is hedged in native mode, from the recent latencies of
// its query class. It also holds the budget that limits extra sub-queries (hedges and retries) to a percentage of the
// needed ones. The executor of queries uses it and sends the hedges itself. In relay mode, packages sender and relayer
// determine the delay, and package budgeter holds the budget.
package hedger

import (
	"math"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/operator/checker"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/target/estimator"
	"apricotflow/internal/wire/encoder"
)

const (
	// Never is the delay for sub-queries that are not hedged.
	Never = time.Duration(math.MaxInt64)
	// minDelay is the minimum hedge delay.
	minDelay = time.Millisecond
	// percentileStep is the precision of the hedge percentile in percentage points. It limits the number of distinct
	// percentiles that are computed.
	percentileStep = 0.25
)

// Configuration provides the current manifest.
type Configuration interface {
	Manifest() *resolver.Manifest
}

// Events records state changes.
type Events interface {
	Record(kind recorder.Kind, subject, query, detail string)
}

// Checks records violations of invariants.
type Checks interface {
	Check(ok bool, invariant checker.Invariant, subject, detail string) bool
}

// Option configures a Hedger.
type Option func(*Hedger)

// WithoutHedges disables hedges. Retries still use the budget.
func WithoutHedges() Option {
	return func(h *Hedger) { h.disabled = true }
}

// WithScope sets the metrics scope.
func WithScope(scope tally.Scope) Option {
	return func(h *Hedger) { h.scope = scope }
}

// Hedger holds the recent latencies of each query class and the budget.
type Hedger struct {
	configuration Configuration
	events        Events
	checks        Checks
	scope         tally.Scope
	disabled      bool
	budget        budget
	audit         audit
	// windows holds an *estimator.Window for each query class.
	windows sync.Map
}

// New returns a Hedger with an empty budget.
func New(configuration Configuration, events Events, checks Checks, opts ...Option) *Hedger {
	h := &Hedger{configuration: configuration, events: events, checks: checks, scope: tally.NoopScope}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// Delay returns the time after which a sub-query of the class is hedged, or Never.
func (h *Hedger) Delay(class string) time.Duration {
	m := h.configuration.Manifest()
	if h.disabled || m == nil {
		return Never
	}
	delay, found := h.window(class).Percentile(h.delayPercentile(m.Limits()))
	if found {
		return max(delay, minDelay)
	}
	c, found := m.QueryClass(class)
	if !found {
		return Never
	}
	// Without measurements, half of the deadline gives both replicas the same time.
	return max(time.Duration(c.DeadlineMs)*time.Millisecond/2, minDelay)
}

// delayPercentile returns the latency percentile that is used as the hedge delay. With a full budget it is the
// configured one. As the budget empties, it rises to the percentile above which there are only as many sub-queries as
// the budget allows, so that hedges go to the slowest sub-queries instead of the first ones due.
func (h *Hedger) delayPercentile(limits encoder.Limits) float64 {
	configured := float64(limits.HedgeQuantilePercent)
	emptyBudgetPercentile := max(configured, float64(100-limits.ExtraLoadPercent))
	percentile := emptyBudgetPercentile - (emptyBudgetPercentile-configured)*h.budget.level()
	return math.Round(percentile/percentileStep) * percentileStep
}

// Observe records the latency of an answered sub-query. For a hedged one, it is measured from the first attempt.
func (h *Hedger) Observe(class string, latency time.Duration) {
	h.window(class).Record(latency)
}

func (h *Hedger) window(class string) *estimator.Window {
	if w, found := h.windows.Load(class); found {
		return w.(*estimator.Window)
	}
	w, _ := h.windows.LoadOrStore(class, estimator.NewWindow())
	return w.(*estimator.Window)
}

// RecordNeeded adds the tokens for n needed sub-queries to the budget.
func (h *Hedger) RecordNeeded(n int) {
	m := h.configuration.Manifest()
	if m == nil {
		return
	}
	percent := m.Limits().ExtraLoadPercent
	h.audit.addDeposited(n, percent)
	h.budget.deposit(n, percent)
}

// TakeBudget removes the token for one hedge or retry from the budget and reports whether one was available.
func (h *Hedger) TakeBudget() bool {
	if !h.budget.take() {
		h.scope.Counter("hedger-budget-empty").Inc(1)
		if h.audit.recordRefusal() {
			h.events.Record(recorder.KindBudgetEmpty, "", "", "hedges and retries are refused until it fills again")
		}
		return false
	}
	h.scope.Counter("hedger-extra-sub-queries").Inc(1)
	h.checks.Check(h.audit.addTaken(), checker.ExtraLoadBounded, "", "more extra sub-queries than the budget allows")
	return true
}
