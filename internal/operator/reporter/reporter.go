// Package reporter provides the tally scope for the counters and gauges of all parts of an instance, in native mode and
// in relay mode, and keeps the totals of counters and the latest values of gauges. It sends them nowhere: the admin API
// reads them for metrics and status.
package reporter

import (
	"io"
	"maps"
	"time"

	"github.com/uber-go/tally/v4"
)

// reportInterval is the interval at which tally reports its counts to the totals.
const reportInterval = 250 * time.Millisecond

// Reporter owns the root scope of an instance and the totals that the scope reports to.
type Reporter struct {
	scope  tally.Scope
	closer io.Closer
	totals *totals
}

// New creates a reporter. Names of counters and gauges are in kebab case.
func New() *Reporter {
	t := newTotals()
	scope, closer := tally.NewRootScope(tally.ScopeOptions{Reporter: t, Separator: "-", OmitCardinalityMetrics: true}, reportInterval)
	return &Reporter{scope: scope, closer: closer, totals: t}
}

// Scope returns the scope in which all parts of the instance count.
func (r *Reporter) Scope() tally.Scope {
	return r.scope
}

// Counters returns the totals of all counters by name. They are at most reportInterval old.
func (r *Reporter) Counters() map[string]int {
	r.totals.mu.Lock()
	defer r.totals.mu.Unlock()
	return maps.Clone(r.totals.counters)
}

// Gauges returns the latest value of all gauges by name. They are at most reportInterval old.
func (r *Reporter) Gauges() map[string]float64 {
	r.totals.mu.Lock()
	defer r.totals.mu.Unlock()
	return maps.Clone(r.totals.gauges)
}

// Close stops the reports of tally to the totals.
func (r *Reporter) Close() error {
	return r.closer.Close()
}
