package executor

import "time"

// dueHedge is a shard that is hedged at the given time unless it has been answered.
type dueHedge struct {
	shard int
	at    time.Time
}

// hedgeQueue holds the hedges of one query, ordered by time.
type hedgeQueue struct {
	// delay is constant, so that the order of insertion is the order of time; zero turns hedging off.
	delay time.Duration
	due   []dueHedge
}

func newHedgeQueue(delay time.Duration) hedgeQueue {
	return hedgeQueue{delay: delay}
}

func (q *hedgeQueue) add(shard int, now time.Time) {
	if q.delay <= 0 {
		return
	}
	q.due = append(q.due, dueHedge{shard: shard, at: now.Add(q.delay)})
}

// resetTimer sets the timer to the next hedge, or stops it if there is none.
func (q *hedgeQueue) resetTimer(timer *time.Timer) {
	if len(q.due) == 0 {
		timer.Stop()
		return
	}
	timer.Reset(time.Until(q.due[0].at))
}

// popDue removes and returns the hedges that are due.
func (q *hedgeQueue) popDue(now time.Time) []dueHedge {
	n := 0
	for n < len(q.due) && !q.due[n].at.After(now) {
		n++
	}
	taken := q.due[:n:n]
	q.due = q.due[n:]
	return taken
}
