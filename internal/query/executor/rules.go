package executor

import (
	"time"

	"apricotflow/internal/wire/encoder"
)

const (
	// replyMargin is the time reserved for the way back from a target, so that its time-out reply arrives before the
	// query is answered. Packages router and dispatcher subtract margins of their own for their parts of that way.
	replyMargin = time.Millisecond
	// answerMarginDivisor sets the answer margin to the deadline divided by it. That time is reserved for merging and
	// for sending the answer.
	answerMarginDivisor = 20
	// minAnswerMargin and maxAnswerMargin limit the answer margin.
	minAnswerMargin = time.Millisecond
	maxAnswerMargin = 20 * time.Millisecond
	// restartDivisor limits restarts: the time left must be at least the time for the whole query divided by it.
	restartDivisor = 2
	// defaultHitLimit is the maximum number of hits when the request sets none.
	defaultHitLimit = 10
)

// answerMargin returns how long before the deadline the query is answered.
func answerMargin(deadline time.Duration) time.Duration {
	return min(max(deadline/answerMarginDivisor, minAnswerMargin), maxAnswerMargin, deadline/2)
}

// queryDeadline returns the deadline of the request, limited by that of the query class.
func queryDeadline(class encoder.QueryClass, request encoder.QueryRequest) time.Duration {
	deadline := time.Duration(class.DeadlineMs) * time.Millisecond
	if request.DeadlineMs == nil {
		return deadline
	}
	return min(deadline, time.Duration(*request.DeadlineMs)*time.Millisecond)
}

// mayHaveReachedTarget reports whether a byte of a failed attempt may have reached a target, in which case a retry
// needs budget. Only a target's own reply names an incarnation; a refusal before the first byte does not.
func mayHaveReachedTarget(reply encoder.SubReply) bool {
	return reply.Outcome != encoder.OutcomeNotRun || reply.Incarnation != ""
}

func valueOr[T any](pointer *T, fallback T) T {
	if pointer == nil {
		return fallback
	}
	return *pointer
}
