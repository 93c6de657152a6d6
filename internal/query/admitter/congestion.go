package admitter

import (
	"time"

	"apricotflow/internal/wire/encoder"
)

const (
	// delayedFactor is the ratio of latency to the shortest latency above which a query counts as delayed by a queue.
	// With 4, targets at twice their capacity still completed as many queries as at their capacity.
	delayedFactor = 4
	// delayedSlack is added to that threshold, so that scheduling alone does not make short queries count as delayed.
	delayedSlack = 5 * time.Millisecond
	// limitDecrease is the factor by which a delayed query lowers the limit. The queries that end within one latency,
	// about as many as the limit, together halve it.
	limitDecrease = 0.97
	// minIndexLimit is the minimum limit of an index. It keeps some queries of each priority running, whose latency
	// shows when the targets recover.
	minIndexLimit = 4
	// latencyWindow is the minimum time for which the shortest latency is remembered. It covers long overloads, in
	// which no query has the latency of an idle target.
	latencyWindow = time.Minute
)

// congestion limits the concurrent queries of one index by their latency, because the queue of a saturated target grows
// before the number of running queries reaches the limit of the instance.
type congestion struct {
	running int
	// limit is the current limit, between minIndexLimit and maxLimit.
	limit, maxLimit float64
	// shortestLatencies holds the shortest latency by routing, since a query to all shards takes longer than one to a
	// single shard.
	shortestLatencies map[encoder.QueryClassRouting]*recentMinimum
}

func newCongestion(maxLimit int) *congestion {
	return &congestion{limit: float64(maxLimit), maxLimit: float64(maxLimit), shortestLatencies: make(map[encoder.QueryClassRouting]*recentMinimum)}
}

// admits reports whether a query may start. Urgent queries are always admitted: they precede others in the queues of
// targets, and the limit of the instance applies to them.
func (c *congestion) admits(priority encoder.QueryClassPriority) bool {
	return priority == encoder.QueryClassPriorityUrgent || c.running < priorityLimit(int(c.limit), priority)
}

// finish removes a query and adapts the limit to its latency.
func (c *congestion) finish(now time.Time, routing encoder.QueryClassRouting, latency time.Duration, served bool) {
	c.running--
	base, found := c.shortestLatencies[routing]
	if !found {
		base = &recentMinimum{window: latencyWindow}
		c.shortestLatencies[routing] = base
	}
	if served {
		base.observe(now, latency)
	}
	shortest := base.value(now)
	delayed := shortest > 0 && latency > delayedFactor*shortest+delayedSlack
	switch {
	case delayed:
		c.limit = max(c.limit*limitDecrease, minIndexLimit)
	case served:
		// The increase is independent of how much of the limit is used; otherwise a few stragglers at low load would
		// leave the limit at its minimum.
		c.limit = min(c.limit+1/c.limit, c.maxLimit)
	}
}
