package relayer

import (
	"slices"
	"strings"
	"time"

	"apricotflow/internal/target/combiner"
)

// answerIfEnded returns the answer once the request has ended, and reports whether it has.
func (f *forwarder) answerIfEnded() (Answer, bool) {
	now := time.Now()
	switch {
	case f.servedParts == len(f.parts):
		return f.answerSuccess(), true
	case f.servedParts >= f.minParts() && (f.pendingParts == 0 || !f.cutoff.IsZero() && !now.Before(f.cutoff)):
		return f.answerSuccess(), true
	case !now.Before(f.request.Deadline):
		// Requests in flight end at the deadline too and leave no part pending, so this case precedes the check for a
		// lack of pending parts.
		return f.answerTimeout(), true
	case f.servedParts+f.pendingParts < f.minParts():
		return f.answerFailure(), true
	}
	return Answer{}, false
}

func (f *forwarder) addDecision(p *part, target, event string) {
	if f.answeredCaller {
		return
	}
	f.decisions = append(f.decisions, Decision{After: time.Since(f.request.Arrived), Service: p.service.Name, Target: target, Event: event})
}

// mayHaveRun reports whether a target may have run the request, including requests that are still in flight.
func (f *forwarder) mayHaveRun() bool {
	return slices.ContainsFunc(f.parts, func(p *part) bool { return p.ranOrLost || p.inFlight > 0 })
}

func (f *forwarder) answerSuccess() Answer {
	f.succeeded = true
	if !f.request.Route.IsSharded() {
		return Answer{Outcome: Relayed, Reply: f.parts[0].reply}
	}
	answer := Answer{Outcome: Merged, Missing: len(f.parts) - f.servedParts, Signatures: make([]string, 0, f.servedParts)}
	m := combiner.New(f.request.Route.TopRecords)
	for _, records := range f.mergedRecords {
		m.Add(records)
	}
	for _, p := range f.parts {
		if p.reply != nil {
			answer.Signatures = append(answer.Signatures, p.reply.Signature)
			// The body is empty if a peer has merged its records.
			m.Add(p.reply.Body)
			continue
		}
		f.addDecision(p, strings.Join(p.triedTargets, ","), "missing")
	}
	answer.Records = m.Bytes()
	return answer
}

// answerFailure returns the answer to a request that can no longer succeed.
func (f *forwarder) answerFailure() Answer {
	switch {
	case !f.mayHaveRun():
		return f.answerNotRun("given up before any target ran the request")
	case !f.request.Route.IsSharded() && f.parts[0].failure != nil:
		return Answer{Outcome: Relayed, Reply: f.parts[0].failure}
	}
	return Answer{Outcome: Failed}
}

// answerTimeout returns the answer to a request whose deadline has passed.
func (f *forwarder) answerTimeout() Answer {
	if !f.mayHaveRun() {
		return f.answerNotRun("deadline passed before any target ran the request")
	}
	for _, p := range f.parts {
		if p.isPending() {
			f.addDecision(p, strings.Join(p.triedTargets, ","), "no reply by the deadline")
		}
	}
	return Answer{Outcome: TimedOut}
}

// answerCannotServe refuses a request for which too few targets are serving and reachable. If this instance does not
// even reach its own failure domain, the next one probably does, so the caller may retry soon. Otherwise the others of
// its failure domain are in the same situation, or targets are not serving or down for every instance, so the retry
// delay is longer. Targets that want no requests from this instance may take those of others.
func (f *forwarder) answerCannotServe() Answer {
	services := make([]string, len(f.parts))
	for i, p := range f.parts {
		services[i] = p.service.Name
	}
	if pause, found := f.sender.ShortestPause(services); found {
		answer := f.answerNotRun("too few targets that take requests now")
		answer.RetryAfter = limitRetryAfter(pause)
		return answer
	}
	answer := f.answerNotRun("too few serving and reachable targets")
	switch {
	case f.sender.AllReachable():
		answer.RetryAfter = retryAfterTargetsDown
	case f.sender.OwnDomainReachable():
		answer.RetryAfter = retryAfterPartition
	}
	return answer
}

// answerLimited refuses a request because the targets take no more for now. The wait is the time until this instance may
// send the next one. Other instances have shares of their own, so the caller need not wait for long.
func (f *forwarder) answerLimited(wait time.Duration) Answer {
	answer := f.answerNotRun("request limits of targets used up")
	answer.RetryAfter = limitRetryAfter(wait)
	return answer
}

// limitRetryAfter returns how long a caller should wait that this instance cannot serve for a time, while others may.
func limitRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, defaultRetryAfter), retryAfterTargetsDown)
}

func (f *forwarder) answerNotRun(reason string) Answer {
	f.addDecision(f.parts[0], "", reason)
	return Answer{Outcome: NotRun, RetryAfter: max(f.roomAfter, defaultRetryAfter)}
}
