package admitter

import (
	"time"

	"apricotflow/internal/wire/encoder"
)

const (
	// inflation is the latency, relative to the shortest one, above which a query counts as delayed by a queue. With 4,
	// targets at twice their capacity still completed as many queries as at their capacity.
	inflation = 4
	// inflationSlack is added to that latency, so that short queries aren't delayed by scheduling alone.
	inflationSlack = 5 * time.Millisecond
	// decrease is the factor for the limit after a delayed query. The queries that end within one latency, about as
	// many as the limit, together halve it.
	decrease = 0.97
	// limitFloor keeps some work of each priority going, from which a recovery is noticed.
	limitFloor = 4
	// baseWindow is the least time for which the shortest latency is remembered. It covers long overloads, in which no
	// query has the latency of an idle target.
	baseWindow = time.Minute
)

// congestion limits the queries of one index by their latency, because a saturated target makes its queue longer before
// the number of running queries reaches the limit of the instance.
type congestion struct {
	running int
	// limit is between limitFloor and most.
	limit, most float64
	// bases hold the shortest latency by routing, since a query to all shards takes longer than one to a single shard.
	bases map[encoder.QueryClassRouting]*minimum
}

func newCongestion(most int) *congestion {
	return &congestion{limit: float64(most), most: float64(most), bases: make(map[encoder.QueryClassRouting]*minimum)}
}

// admits reports whether a query may start. Urgent queries are never refused: they precede others in the queues of
// targets, and the limit of the instance bounds them.
func (c *congestion) admits(priority encoder.QueryClassPriority) bool {
	return priority == encoder.QueryClassPriorityUrgent || c.running < share(int(c.limit), priority)
}

// leave ends a query and adapts the limit to its latency.
func (c *congestion) leave(now time.Time, routing encoder.QueryClassRouting, latency time.Duration, served bool) {
	c.running--
	base, found := c.bases[routing]
	if !found {
		base = &minimum{window: baseWindow}
		c.bases[routing] = base
	}
	if served {
		base.observe(now, latency)
	}
	shortest := base.value(now)
	delayed := shortest > 0 && latency > inflation*shortest+inflationSlack
	switch {
	case delayed:
		c.limit = max(c.limit*decrease, limitFloor)
	case served:
		// The increase does not depend on the use of the limit, or a few stragglers at low load would leave it at the floor.
		c.limit = min(c.limit+1/c.limit, c.most)
	}
}
