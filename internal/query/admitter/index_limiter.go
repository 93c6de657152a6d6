package admitter

import (
	"time"

	"apricotflow/internal/wire/encoder"
)

const (
	// delayedFactor is the ratio of latency to the shortest recent latency above which a query counts as delayed by a
	// queue. At 4, targets that are offered twice their capacity complete as many queries as at their capacity.
	delayedFactor = 4
	// delayedSlack is added to that threshold, so that scheduling alone does not make short queries count as delayed.
	delayedSlack = 5 * time.Millisecond
	// limitDecrease is the factor by which each delayed query lowers the limit; 23 delayed queries halve it.
	limitDecrease = 0.97
	// minIndexLimit is the minimum limit of an index. It keeps some queries of each priority running, whose latency
	// shows when the targets recover.
	minIndexLimit = 4
	// indexLatencyWindow is the minimum time for which the shortest latency is remembered. It covers long overloads, in
	// which no query has the latency of an idle target.
	indexLatencyWindow = time.Minute
)

// indexLimiter limits the concurrent queries of one index by their latency, because the queue of a saturated target
// grows before the number of running queries reaches the limit of the instance.
type indexLimiter struct {
	running int
	// limit is the current limit, between minIndexLimit and maxLimit.
	limit, maxLimit float64
	// shortestLatencies holds the shortest latency by routing, since a query to all shards takes longer than one to a
	// single shard.
	shortestLatencies map[encoder.QueryClassRouting]*recentMinimum
}

func newIndexLimiter(maxLimit int) *indexLimiter {
	return &indexLimiter{limit: float64(maxLimit), maxLimit: float64(maxLimit), shortestLatencies: make(map[encoder.QueryClassRouting]*recentMinimum)}
}

// admits reports whether a query may start. Urgent queries are always admitted: they precede others in the queues of
// targets, and the limit of the instance applies to them.
func (l *indexLimiter) admits(priority encoder.QueryClassPriority) bool {
	return priority == encoder.QueryClassPriorityUrgent || l.running < priorityLimit(int(l.limit), priority)
}

// finish removes a query and adapts the limit to its latency.
func (l *indexLimiter) finish(now time.Time, routing encoder.QueryClassRouting, latency time.Duration, complete bool) {
	l.running--
	base, found := l.shortestLatencies[routing]
	if !found {
		base = &recentMinimum{window: indexLatencyWindow}
		l.shortestLatencies[routing] = base
	}
	if complete {
		base.observe(now, latency)
	}
	shortest := base.value(now)
	delayed := shortest > 0 && latency > delayedFactor*shortest+delayedSlack
	switch {
	case delayed:
		l.limit = max(l.limit*limitDecrease, minIndexLimit)
	case complete:
		// The increase is independent of how much of the limit is used; otherwise a few slow queries at low load would
		// leave the limit at its minimum.
		l.limit = min(l.limit+1/l.limit, l.maxLimit)
	}
}
