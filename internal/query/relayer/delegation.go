package relayer

import (
	"context"
	"fmt"
	"time"

	"apricotflow/internal/manifest/authenticator"
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/target/sender"
	"apricotflow/internal/target/transporter"
)

// Delegator hands requests over to other instances.
type Delegator interface {
	// Delegate returns the answer of another instance. It returns false if none has taken the request, so that it has not
	// run.
	Delegate(ctx context.Context, request Request) (answer Answer, taken bool)
}

// noDelegator implements Delegator for an instance that knows no others.
type noDelegator struct{}

func (noDelegator) Delegate(context.Context, Request) (Answer, bool) { return Answer{}, false }

// Delegation is a request that another instance has handed over.
type Delegation struct {
	// Origin is the instance that has received the request from its caller.
	Origin   string
	Outbound *transporter.Request
	// Version is the version of the routing table that the origin has in force.
	Version int
	// Tenant is the name of the tenant that the origin has determined by this table, and KeyDigest the digest of the key;
	// empty and zero if it has none.
	Tenant    string
	KeyDigest authenticator.Digest
	// DueIn is the time until the answer is due, negative if it is late; nil if the route has no objective.
	DueIn *time.Duration
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
	// PriorRuns is the number of targets of each service that may have run the request already.
	PriorRuns int
	// Wide reports whether the origin has handed the request over because it lacks CPU capacity.
	Wide bool
	// MayRepeat is as in Request.
	MayRepeat func() bool
}

// NotAcceptedError reports a delegated request that was not sent to any target and never will be.
type NotAcceptedError struct {
	ID     string
	Origin string
	Reason string
}

func (e *NotAcceptedError) Error() string {
	return fmt.Sprintf("relayer: request %s of instance %s not accepted: %s", e.ID, e.Origin, e.Reason)
}

// CanServeRoute reports whether a request of the route could succeed with the targets that are serving and reachable.
func (r *Relayer) CanServeRoute(route *mapper.Route, requestID string) bool {
	return r.sender.CanServe(route, requestID)
}

// VerifyReach finds out which failure domains are reachable, if requests have not shown it within the last moments.
func (r *Relayer) VerifyReach(ctx context.Context) { r.sender.VerifyReach(ctx) }

// serve serves the request with targets, or through another instance while this one is cut off from targets that it needs.
// A request that was handed over to this instance goes no further.
func (r *Relayer) serve(ctx context.Context, request Request) Answer {
	mayDelegate := !request.Delegated
	cutOff := mayDelegate && isCutOff(r.sender, request)
	if mayDelegate && r.isTooWide(request) {
		// Also while this instance is cut off: an able instance that is too small would answer too late.
		if answer, served := r.serveElsewhere(ctx, request, cutOff); served {
			return answer
		}
	}
	if cutOff {
		if answer, taken := r.delegate(ctx, request); taken {
			return answer
		}
		mayDelegate = false
	}
	return r.serveHere(ctx, request, mayDelegate)
}

// serveHere serves the request with targets. If it is stranded and may be delegated, another instance gets it.
func (r *Relayer) serveHere(ctx context.Context, request Request, mayDelegate bool) Answer {
	f := newForwarder(r.sender, r.concentrator, r.gate, r.quarantine, r.placement, request)
	answer := f.run(ctx)
	answer.Decisions, answer.Leaving = f.decisions, f.leaving
	if !mayDelegate || !f.stranded || ctx.Err() != nil {
		return answer
	}
	delegated, taken := r.delegate(ctx, request.WithPriorRuns(f.runsWhenStranded))
	if !taken {
		return answer
	}
	delegated.Decisions = append(f.decisions, delegated.Decisions...)
	if delegated.Outcome == NotRun && f.runsWhenStranded > 0 {
		// It has not run there, but may have run here.
		delegated.Outcome = Failed
	}
	return delegated
}

// delegate hands the request over to another instance and takes note of the targets that leave.
func (r *Relayer) delegate(ctx context.Context, request Request) (answer Answer, taken bool) {
	answer, taken = r.delegator.Delegate(ctx, request)
	r.markLeaving(answer, request)
	return answer, taken
}

// markLeaving takes note of the targets that leave, which another instance has stated in its answer.
func (r *Relayer) markLeaving(answer Answer, request Request) {
	for _, d := range answer.Leaving {
		r.sender.MarkLeaving(d.Target, d.Started, request.Outbound.ID)
	}
}

// isCutOff reports whether the request cannot succeed because targets that it needs are out of reach.
func isCutOff(s *sender.Sender, request Request) bool {
	return !s.AllReachable() && !s.CanServe(request.Route, request.Outbound.ID)
}

// recordStranded records whether the request is stranded, before the requests in flight are left to be observed.
func (f *forwarder) recordStranded() {
	f.stranded, f.runsWhenStranded = f.isStranded(), f.priorRuns()
}

// isStranded reports whether the request has no success here and may still have one through another instance: targets that
// it needs have gone out of reach, and it has not run or may be repeated. Requests under which targets may end stay here.
func (f *forwarder) isStranded() bool {
	repeatable := f.request.Route.Idempotent || !f.mayHaveRun()
	return !f.succeeded && repeatable && !f.caution.active && !f.caution.quarantined && f.priorRuns() < f.request.maxRuns() &&
		isCutOff(f.sender, f.request) && time.Now().Before(f.latestUsefulSend())
}

// priorRuns returns the largest number of targets of one service that may have run the request. Of the targets that have
// gone out of reach at most one counts, so that hedges sent into a partition do not keep the request from other instances.
func (f *forwarder) priorRuns() int {
	most := 0
	for _, p := range f.parts {
		if p.possibleRuns == 0 {
			continue
		}
		inReach := 0
		for _, id := range p.triedTargets {
			if f.sender.ReachesTarget(id) {
				inReach++
			}
		}
		most = max(most, min(inReach, p.possibleRuns), 1)
	}
	return most
}
