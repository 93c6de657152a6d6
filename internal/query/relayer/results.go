package relayer

import (
	"errors"
	"fmt"
	"slices"

	"apricotflow/internal/target/combiner"
	"apricotflow/internal/target/sender"
	"apricotflow/internal/target/transporter"
)

// handleResults processes the results of one batch.
func (f *forwarder) handleResults(batch resultBatch) {
	if batch.merged {
		f.mergedRecords = append(f.mergedRecords, batch.records)
	}
	for _, result := range batch.results {
		f.handleResult(result, batch.merged)
	}
}

func (f *forwarder) handleResult(r partResult, merged bool) {
	p := f.parts[r.part]
	p.inFlight--
	f.observe(r)
	if r.result.Leaving {
		f.leaving = append(f.leaving, Departure{Target: r.target.ID, Started: r.target.Started})
	}
	if merged && p.reply != nil && r.result.CanBeMerged() {
		// The merged records include this part, so its earlier reply, to the other request of a hedge, is dropped.
		p.reply = r.result.Reply
		return
	}
	if !p.isPending() {
		return
	}
	switch r.result.Outcome {
	case transporter.Answered:
		p.ranOrLost = true
		if f.acceptReply(p, r) {
			return
		}
		if !f.request.Route.IsSharded() {
			p.failure = r.result.Reply
		}
		f.addDecision(p, r.target.ID, fmt.Sprintf("status %d", r.result.Reply.Status))
	case transporter.Unsent:
		p.sentRequests--
		p.possibleRuns--
		if errors.Is(r.result.Err, sender.ErrPeerOutOfReach) || errors.Is(r.result.Err, sender.ErrPeerRefused) {
			// The target may still be reached from here.
			p.triedTargets = slices.DeleteFunc(p.triedTargets, func(id string) bool { return id == r.target.ID })
		}
		f.addDecision(p, r.target.ID, describe(r.result))
	case transporter.Lost:
		p.ranOrLost = true
		f.addDecision(p, r.target.ID, describe(r.result))
	default:
		p.possibleRuns--
		f.addDecision(p, r.target.ID, describe(r.result))
	}
	f.sendAgainOrGiveUp(r.part)
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
func (f *forwarder) acceptReply(p *part, r partResult) bool {
	reply := r.result.Reply
	if f.request.Route.IsSharded() {
		if !r.result.CanBeMerged() {
			return false
		}
		reply = f.withGreatestRecords(reply)
	} else if !reply.Success() && reply.Status >= minServerErrorStatus {
		return false
	}
	p.reply = reply
	f.servedParts++
	f.pendingParts--
	return true
}

// largePartBytes is the size in bytes above which a part is reduced to its greatest records as soon as it has arrived, so
// that a query does not keep a large reply of each shard until it is answered.
const largePartBytes = 64 << 10

// withGreatestRecords returns the reply to a part, with only its greatest records if it is large.
func (f *forwarder) withGreatestRecords(reply *transporter.Reply) *transporter.Reply {
	if len(reply.Body) <= largePartBytes {
		return reply
	}
	greatest := combiner.New(f.request.Route.TopRecords)
	greatest.Add(reply.Body)
	reduced := *reply
	reduced.Body = greatest.Bytes()
	return &reduced
}

// sendAgainOrGiveUp sends the next request for the part after a failure, lets the part wait if all targets were tried,
// or gives it up if the request may not be repeated. It does nothing while another request is in flight.
func (f *forwarder) sendAgainOrGiveUp(i int) {
	p := f.parts[i]
	if p.inFlight > 0 {
		return
	}
	if f.caution.quarantined || p.ranOrLost && !f.request.Route.Idempotent || p.possibleRuns >= f.request.maxRuns() || f.sendCtx.Err() != nil {
		f.giveUp(p)
		return
	}
	if !f.maySend() {
		return
	}
	if _, found := f.pickUntried(p); !found {
		f.waitOrGiveUp(p, retryDelay)
		return
	}
	f.send(i, false)
}
