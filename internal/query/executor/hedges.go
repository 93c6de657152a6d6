package executor

import "time"

// scheduledHedge is the hedge of a shard, to be sent at the given time unless the shard has been answered by then.
type scheduledHedge struct {
	shard int
	at    time.Time
}

// hedgeQueue holds the hedges of one query, ordered by time.
type hedgeQueue struct {
	// delay is constant, so that the order of insertion is the order of time; zero turns hedging off.
	delay     time.Duration
	scheduled []scheduledHedge
}

func newHedgeQueue(delay time.Duration) hedgeQueue {
	return hedgeQueue{delay: delay}
}

func (q *hedgeQueue) add(shard int, now time.Time) {
	if q.delay <= 0 {
		return
	}
	q.scheduled = append(q.scheduled, scheduledHedge{shard: shard, at: now.Add(q.delay)})
}

// resetTimer sets the timer to the next hedge, or stops it if there is none.
func (q *hedgeQueue) resetTimer(timer *time.Timer) {
	if len(q.scheduled) == 0 {
		timer.Stop()
		return
	}
	timer.Reset(time.Until(q.scheduled[0].at))
}

// popDue removes and returns the hedges that are due.
func (q *hedgeQueue) popDue(now time.Time) []scheduledHedge {
	n := 0
	for n < len(q.scheduled) && !q.scheduled[n].at.After(now) {
		n++
	}
	taken := q.scheduled[:n:n]
	q.scheduled = q.scheduled[n:]
	return taken
}
