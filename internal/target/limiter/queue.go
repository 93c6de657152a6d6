package limiter

import (
	"container/heap"
	"time"
)

// Priorities in order of service; an unknown priority counts as background.
const (
	rankUrgent = iota
	rankNormal
	rankBackground
)

func rankOf(priority string) int {
	switch priority {
	case "urgent":
		return rankUrgent
	case "normal":
		return rankNormal
	default:
		return rankBackground
	}
}

// waiter is a queued request for a slot.
type waiter struct {
	rank     int
	deadline time.Duration
	// index is its place in the queue, or -1 when it has left the queue.
	index int
	// done receives nil when the slot was granted, else the refusal; it has room for one value.
	done chan error
}

func (w *waiter) before(o *waiter) bool {
	if w.rank != o.rank {
		return w.rank < o.rank
	}
	return w.deadline < o.deadline
}

// queue is a heap ordered by priority, then deadline.
type queue []*waiter

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].before(q[j]) }

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push adds a waiter at the end, for the heap.
func (q *queue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop removes the last waiter, for the heap.
func (q *queue) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	w.index = -1
	return w
}

// remove takes a waiter out; it may already have left.
func (q *queue) remove(w *waiter) {
	if w.index >= 0 {
		heap.Remove(q, w.index)
	}
}

// last returns the waiter that would be served last.
func (q queue) last() *waiter {
	var last *waiter
	for _, w := range q {
		if last == nil || last.before(w) {
			last = w
		}
	}
	return last
}

// ahead counts the waiters that would be served before w.
func (q queue) ahead(w *waiter) int {
	n := 0
	for _, o := range q {
		if o.before(w) {
			n++
		}
	}
	return n
}
