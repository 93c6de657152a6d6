package relayer

import (
	"context"
	"errors"
	"time"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/query/quarantiner"
	"apricotflow/internal/target/transporter"
)

const (
	// maxEndChecks is the maximum number of lost targets of one request that are checked for their end, besides those of
	// trials. Each check opens a connection.
	maxEndChecks = 4
	// minEndsToReport is the number of targets that must have ended under a request for other instances to be told while
	// further targets still run it.
	minEndsToReport = 2
	// trialRetryAfter is how long the caller of a suspected request should wait while another one like it is tried.
	trialRetryAfter = 300 * time.Millisecond
)

// endCheck is the result of a check of whether a target has ended.
type endCheck struct {
	part   int
	target registrar.Target
	ended  bool
	// tried reports whether the target was lost in a trial.
	tried bool
}

// caution keeps a request under which targets may end away from further targets. It begins when the connection to a
// target is lost, or at the start of a suspected request. Then nothing is sent until the targets that run the request
// have answered or are lost, and after that to one target at a time. The first success of a target ends it.
type caution struct {
	quarantine  *quarantiner.Quarantiner
	fingerprint quarantiner.Fingerprint
	active      bool
	// answered reports whether a target has answered with a success, so that the request ends no targets.
	answered bool
	// suspected reports whether the request was suspected at its start.
	suspected bool
	// trial reports whether the request was last sent to a single target to try it.
	trial bool
	// quarantined reports whether the request has been quarantined since its start.
	quarantined bool
	// lost is the number of targets that were lost without having answered, and checks the number of checks under way.
	lost, checks int
	// unreported holds the targets that ended and are not yet reported.
	unreported []endCheck
	// reported reports whether any target was reported.
	reported bool
	results  chan endCheck
}

// fingerprintOf returns the fingerprint of the request. It is computed when it is first needed.
func (f *forwarder) fingerprintOf() quarantiner.Fingerprint {
	if f.caution.fingerprint == "" {
		f.caution.fingerprint = quarantiner.NewFingerprint(f.request.Outbound.Properties()...)
	}
	return f.caution.fingerprint
}

// beginCautiously asks for the verdict on the request. It returns an answer if the request must not be sent. Otherwise
// the returned function must be called when the request has ended.
func (f *forwarder) beginCautiously() (answer Answer, refused bool, end func()) {
	c := &f.caution
	if c.quarantine.IsEmpty() {
		return Answer{}, false, func() {}
	}
	fingerprint := f.fingerprintOf()
	switch c.quarantine.Verdict(fingerprint) {
	case quarantiner.Quarantined:
		answer := f.answerNotRun("quarantined, targets have ended under such requests, fingerprint " + string(fingerprint))
		answer.RetryAfter = c.quarantine.RecordRefusal(fingerprint)
		return answer, true, nil
	case quarantiner.Held:
		return f.answerHeld(), true, nil
	case quarantiner.Suspected:
		if !c.quarantine.BeginTrial(fingerprint) {
			return f.answerHeld(), true, nil
		}
		c.active, c.suspected = true, true
		f.addDecision(f.parts[0], "", "suspected, tried on one target first, fingerprint "+string(fingerprint))
		return Answer{}, false, func() { c.quarantine.EndTrial(fingerprint) }
	}
	return Answer{}, false, func() {}
}

// answerHeld refuses a suspected request while another one like it is being tried.
func (f *forwarder) answerHeld() Answer {
	answer := f.answerNotRun("suspected, another request like it is being tried")
	answer.RetryAfter = trialRetryAfter
	return answer
}

// maySend reports whether caution allows another request to a target.
func (f *forwarder) maySend() bool {
	c := &f.caution
	return !c.quarantined && (!c.active || c.checks == 0 && f.inFlight() == 0)
}

// mayHedge reports whether caution allows a hedge. One of a sharded query has to wait until a target has answered: if the
// query ends targets, hedges of all parts would end the second target of each shard before the first end is noticed.
func (f *forwarder) mayHedge() bool {
	return f.maySend() && (f.caution.answered || len(f.parts) == 1)
}

// inFlight returns the number of requests in flight for all parts.
func (f *forwarder) inFlight() int {
	n := 0
	for _, p := range f.parts {
		n += p.inFlight
	}
	return n
}

// observe takes the result of a request as evidence of whether the request ends targets.
func (f *forwarder) observe(r partResult) {
	c := &f.caution
	switch {
	case c.answered:
	case r.result.Outcome == transporter.Answered && r.result.Reply.Success():
		c.answered, c.active, c.unreported = true, false, nil
		if c.reported || !c.quarantine.IsEmpty() {
			c.quarantine.RecordSuccess(f.fingerprintOf())
		}
	case r.result.Outcome == transporter.Lost && !errors.Is(r.result.Err, context.Canceled) && !errors.Is(r.result.Err, context.DeadlineExceeded):
		tried := c.trial && f.inFlight() == 0
		c.lost++
		if tried || c.lost <= maxEndChecks {
			c.active = true
			f.checkEnd(r, tried)
		}
	}
}

// checkEnd checks whether the lost target has ended. A target that still accepts connections has not.
func (f *forwarder) checkEnd(r partResult, tried bool) {
	f.caution.checks++
	ctx := context.WithoutCancel(f.sendCtx)
	var triedTargets []string
	for _, p := range f.parts {
		triedTargets = append(triedTargets, p.triedTargets...)
	}
	go func() {
		f.caution.results <- endCheck{part: r.part, target: r.target, ended: f.sender.HasEnded(ctx, r.target, triedTargets), tried: tried}
	}()
}

// handleEndCheck processes the result of a check.
func (f *forwarder) handleEndCheck(check endCheck) {
	c := &f.caution
	c.checks--
	if c.answered {
		return
	}
	if check.ended {
		f.addDecision(f.parts[check.part], check.target.ID, "target ended while it ran the request")
		c.unreported = append(c.unreported, check)
	}
	if c.checks > 0 {
		return
	}
	switch {
	case len(c.unreported) >= minEndsToReport, len(c.unreported) > 0 && f.inFlight() == 0:
		f.reportEnds()
	case len(c.unreported) == 0 && !c.reported && !c.suspected:
		// The connections were lost, not the targets.
		c.active = false
	}
}

// reportEnds reports the targets that ended. If that leads to a quarantine, all parts are given up.
func (f *forwarder) reportEnds() {
	c := &f.caution
	verdict := quarantiner.Suspected
	for _, check := range c.unreported {
		verdict = c.quarantine.RecordEnd(f.fingerprintOf(), check.target.ID, check.tried)
	}
	c.unreported, c.reported = nil, true
	if verdict != quarantiner.Quarantined {
		return
	}
	c.quarantined = true
	for _, p := range f.parts {
		f.giveUp(p)
	}
}

// observeAfterAnswer goes on observing the request after its answer or the departure of its caller: the requests in flight
// until they have ended or are canceled, and the checks under way. Callers that leave early would otherwise hide that
// targets end under their requests.
func (f *forwarder) observeAfterAnswer() {
	for f.inFlight() > 0 || f.caution.checks > 0 {
		canceled := f.sendCtx.Done()
		if f.caution.checks > 0 {
			canceled = nil
		}
		select {
		case batch := <-f.resultBatches:
			for _, r := range batch.results {
				f.parts[r.part].inFlight--
				f.observe(r)
			}
		case check := <-f.caution.results:
			f.handleEndCheck(check)
		case <-canceled:
			return
		}
	}
}
