package relayer

import (
	"fmt"
	"time"

	"apricotflow/internal/target/transporter"
)

// handleResults processes the results of one batch.
func (f *forwarder) handleResults(a resultBatch) {
	if a.merged {
		f.mergedRecords = append(f.mergedRecords, a.records)
	}
	for _, result := range a.results {
		f.handleResult(result, a.merged)
	}
}

func (f *forwarder) handleResult(a partResult, merged bool) {
	p := f.parts[a.part]
	p.inFlight--
	if merged && p.reply != nil && a.result.Usable() {
		// The merged records include this part, so the earlier reply of a hedge is dropped.
		p.reply = a.result.Reply
		return
	}
	if !p.open() {
		return
	}
	switch a.result.Outcome {
	case transporter.Answered:
		p.mayHaveRun = true
		if f.acceptReply(p, a) {
			return
		}
		p.failure = a.result.Reply
		f.addDecision(p, a.target.ID, fmt.Sprintf("status %d", a.result.Reply.Status))
	case transporter.Unsent:
		p.reached--
		p.possibleRuns--
		f.addDecision(p, a.target.ID, describe(a.result))
	case transporter.Lost:
		p.mayHaveRun = true
		f.addDecision(p, a.target.ID, describe(a.result))
	default:
		p.possibleRuns--
		f.addDecision(p, a.target.ID, describe(a.result))
	}
	f.retry(a.part)
}

func describe(r transporter.Result) string {
	if r.Err == nil {
		return r.Outcome.String()
	}
	return r.Outcome.String() + ": " + r.Err.Error()
}

// minServerErrorStatus is the lowest HTTP status of a failure that another target may not have.
const minServerErrorStatus = 500

// acceptReply stores the reply if it serves the part, and reports whether it does. Failures caused by the request are
// passed on; failures of the target are passed on only if the request cannot be repeated.
func (f *forwarder) acceptReply(p *part, a partResult) bool {
	reply := a.result.Reply
	if f.request.Route.IsSharded() {
		if !a.result.Usable() {
			return false
		}
	} else if !reply.Success() && reply.Status >= minServerErrorStatus {
		return false
	}
	p.reply = reply
	f.servedParts++
	f.openParts--
	return true
}

// retry sends the request for the part again after a failure, if it may be repeated.
func (f *forwarder) retry(i int) {
	p := f.parts[i]
	if p.inFlight > 0 {
		return
	}
	if p.mayHaveRun && !f.request.Route.Idempotent || p.possibleRuns >= f.request.Route.MaxTargets || f.sendCtx.Err() != nil {
		f.giveUp(p)
		return
	}
	if _, found := f.pickUntried(p); !found {
		f.waitBeforeRetry(p)
		return
	}
	f.send(i, false)
}

// waitBeforeRetry delays the next request to a target that was already tried, or gives the part up if no target is
// serving or the answer would be late.
func (f *forwarder) waitBeforeRetry(p *part) {
	if !f.sender.HasServingTarget(p.service.Name) || time.Now().After(f.targetWaitDeadline()) {
		f.giveUp(p)
		return
	}
	p.waitUntil = time.Now().Add(retryDelay)
}
