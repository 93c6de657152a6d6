package executor

import (
	"time"

	"apricotflow/internal/wire/encoder"
)

const (
	// hopMargin is the time kept for the way back from a target, so that its time-out arrives before ours.
	hopMargin = time.Millisecond
	// marginFraction is the part of the deadline kept for merging and for sending the answer.
	marginFraction = 20
	// leastMargin and mostMargin bound that part.
	leastMargin = time.Millisecond
	mostMargin  = 20 * time.Millisecond
	// restartFraction is the part of the deadline that must be left for a restart.
	restartFraction = 2
	// defaultLimit of hits.
	defaultLimit = 10
)

// answerMargin returns how long before the deadline the answer is given.
func answerMargin(deadline time.Duration) time.Duration {
	return min(max(deadline/marginFraction, leastMargin), mostMargin, deadline/2)
}

// queryDeadline returns the caller's deadline, at most the one of the query class.
func queryDeadline(class encoder.QueryClass, request encoder.QueryRequest) time.Duration {
	deadline := time.Duration(class.DeadlineMs) * time.Millisecond
	if request.DeadlineMs == nil {
		return deadline
	}
	return min(deadline, time.Duration(*request.DeadlineMs)*time.Millisecond)
}

// reachedTarget reports whether a byte of a failed attempt may have reached a target. The retry then needs budget.
// Only a target's own reply names an incarnation; a refusal before the first byte does not.
func reachedTarget(reply encoder.SubReply) bool {
	return reply.Outcome != encoder.OutcomeNotRun || reply.Incarnation != ""
}

func valueOr[T any](pointer *T, fallback T) T {
	if pointer == nil {
		return fallback
	}
	return *pointer
}
