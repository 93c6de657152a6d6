package limiter

import (
	"container/heap"
	"time"
)

// Priority ranks; waiters with a lower rank are served first. An unknown priority counts as background.
const (
	rankUrgent = iota
	rankNormal
	rankBackground
)

func priorityRank(priority string) int {
	switch priority {
	case "urgent":
		return rankUrgent
	case "normal":
		return rankNormal
	default:
		return rankBackground
	}
}

// waiter is a request for a slot.
type waiter struct {
	priorityRank int
	// deadline is the boot time by which the sub-query ends.
	deadline time.Duration
	// index is the position in the queue, or -1 if the waiter is not queued.
	index int
	// result receives nil when a slot is assigned, or the refusal. It buffers one value.
	result chan error
}

func (w *waiter) before(o *waiter) bool {
	if w.priorityRank != o.priorityRank {
		return w.priorityRank < o.priorityRank
	}
	return w.deadline < o.deadline
}

// queue is a heap of waiters, ordered by priority, then by deadline.
type queue []*waiter

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].before(q[j]) }

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	w.index = -1
	return w
}

// remove removes a waiter if it is still queued.
func (q *queue) remove(w *waiter) {
	if w.index >= 0 {
		heap.Remove(q, w.index)
	}
}

// lastToServe returns the waiter that would be served last.
func (q queue) lastToServe() *waiter {
	var lastToServe *waiter
	for _, w := range q {
		if lastToServe == nil || lastToServe.before(w) {
			lastToServe = w
		}
	}
	return lastToServe
}

// countAhead returns the number of waiters that would be served before w.
func (q queue) countAhead(w *waiter) int {
	n := 0
	for _, o := range q {
		if o.before(w) {
			n++
		}
	}
	return n
}
