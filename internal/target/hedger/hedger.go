// Package hedger decides when a sub-query is sent a second time, and holds the budget for hedges and retries.
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
	// Never is the delay of a hedge that is not sent.
	Never = time.Duration(math.MaxInt64)
	// minDelay bounds the hedge delay from below.
	minDelay = time.Millisecond
	// quantileStep is the precision of the quantile in percent, which bounds the values computed.
	quantileStep = 0.25
)

// Configuration provides the current manifest.
type Configuration interface {
	Manifest() *resolver.Manifest
}

// Events records changes of state.
type Events interface {
	Record(kind recorder.Kind, subject, query, detail string)
}

// Checks records violated invariants.
type Checks interface {
	Check(ok bool, invariant checker.Invariant, subject, detail string) bool
}

// Option changes a hedger.
type Option func(*Hedger)

// WithoutHedges switches hedges off; retries still use the budget.
func WithoutHedges() Option {
	return func(h *Hedger) { h.off = true }
}

// WithScope sets the scope for counters.
func WithScope(scope tally.Scope) Option {
	return func(h *Hedger) { h.scope = scope }
}

// Hedger keeps the recent latencies of each query class and the budget.
type Hedger struct {
	configuration Configuration
	events        Events
	checks        Checks
	scope         tally.Scope
	off           bool
	budget        budget
	account       account
	// windows holds an *estimator.Window for every query class.
	windows sync.Map
}

// New creates a hedger with an empty budget.
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
	if h.off || m == nil {
		return Never
	}
	delay, found := h.window(class).Quantile(h.percentage(m.Limits()))
	if found {
		return max(delay, minDelay)
	}
	c, found := m.QueryClass(class)
	if !found {
		return Never
	}
	// Without measurements, half of the deadline leaves the second replica as much time as the first one had.
	return max(time.Duration(c.DeadlineMs)*time.Millisecond/2, minDelay)
}

// percentage returns the quantile of the hedge delay. The configured one applies while the budget is full. As the budget
// empties, the quantile rises to the one that as many sub-queries exceed as the budget has room for, so that hedges go to
// the slowest sub-queries and not to the first ones that are due.
func (h *Hedger) percentage(limits encoder.Limits) float64 {
	configured := float64(limits.HedgeQuantilePercent)
	sparing := max(configured, float64(100-limits.ExtraLoadPercent))
	percent := sparing - (sparing-configured)*h.budget.level()
	return math.Round(percent/quantileStep) * quantileStep
}

// Observe adds the latency of an answered sub-query, counted from the first attempt when it was hedged.
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

// Needed fills the budget for n sub-queries that are needed in any case.
func (h *Hedger) Needed(n int) {
	m := h.configuration.Manifest()
	if m == nil {
		return
	}
	percent := m.Limits().ExtraLoadPercent
	h.account.need(n, percent)
	h.budget.earn(n, percent)
}

// Take uses the budget for one hedge or retry and reports whether it was sufficient.
func (h *Hedger) Take() bool {
	if !h.budget.take() {
		h.scope.Counter("hedger-budget-empty").Inc(1)
		if h.account.refuse() {
			h.events.Record(recorder.KindBudgetEmpty, "", "", "hedges and retries are refused until it fills again")
		}
		return false
	}
	h.scope.Counter("hedger-extra-sub-queries").Inc(1)
	h.checks.Check(h.account.take(), checker.ExtraLoadBounded, "", "more extra sub-queries than earned")
	return true
}
