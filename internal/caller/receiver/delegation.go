package receiver

import (
	"context"
	"strings"
	"time"

	"apricotflow/internal/query/relayer"
)

// CanServeOthers reports whether this instance can relay requests that other instances hand over.
func (rc *Receiver) CanServeOthers(ctx context.Context) bool {
	rc.relay.VerifyReach(ctx)
	return rc.Ready() && rc.inFlight.Load() < rc.maxInFlight
}

// ServeDelegated serves a request that another instance has handed over, by the routing table that is in force here. The
// origin has taken it off the limit of its tenant. It returns a *relayer.NotAcceptedError if the request was not sent to any target.
func (rc *Receiver) ServeDelegated(ctx context.Context, d relayer.Delegation) (relayer.Answer, error) {
	arrived := time.Now()
	refuse := func(reason string) (relayer.Answer, error) {
		return relayer.Answer{}, &relayer.NotAcceptedError{ID: d.Outbound.ID, Origin: d.Origin, Reason: reason}
	}
	if rc.stopping.Load() {
		return refuse("instance stopping")
	}
	if rc.inFlight.Add(1) > rc.maxInFlight {
		rc.inFlight.Add(-1)
		rc.scope.Counter("receiver-overload").Inc(1)
		return refuse("too many requests in flight")
	}
	defer rc.inFlight.Add(-1)
	table := rc.registrar.View().Table()
	if table == nil || table.Version() < d.Version {
		return refuse("older configuration")
	}
	path, _, _ := strings.Cut(d.Outbound.URI(), "?")
	route, found := table.Match(d.Outbound.Host(), path)
	if !found {
		return refuse("no route")
	}
	keyHolder, reason := identifyDelegated(table, route, d, rc.codec.TenantHeader())
	switch {
	case reason != "":
		return refuse(reason)
	case !rc.relay.CanServeRoute(route, d.Outbound.ID):
		return refuse("too few serving and reachable targets")
	case d.Wide && table.Version() != d.Version:
		// The origin would show its caller a newer configuration, and then its own again.
		return refuse("newer configuration")
	case d.Wide && !rc.relay.HasRoomFor(route):
		return refuse("too little CPU capacity left")
	case d.PriorRuns >= route.MaxRuns:
		return refuse("no further run allowed")
	}
	d.Outbound.RequireFreshConnection = !route.Idempotent
	if d.Tenant != "" {
		d.Outbound = d.Outbound.WithCredentials(d.KeyDigest.String())
	}
	request := relayer.Request{
		Route: route, Table: table, Outbound: d.Outbound, Tenant: keyHolder.tenant, KeyDigest: keyHolder.digest, Arrived: arrived,
		Delegated: true, MayRepeat: d.MayRepeat, PriorRuns: d.PriorRuns, Deadline: rc.limitToService(arrived.Add(d.TimeLeft)),
	}
	if d.DueIn != nil {
		request.Due = arrived.Add(*d.DueIn)
	}
	answer := rc.relayInTurn(ctx, request)
	rc.logIfNotable(rc.logger.With("origin", d.Origin), request, answer)
	return answer, nil
}
