package receiver

import (
	"net/http"
	"strings"
	"time"

	"apricotflow/internal/manifest/authenticator"
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/query/relayer"
	"apricotflow/internal/target/transporter"
	"apricotflow/internal/wire/encoder"
)

// Explainer explains what would be done with a request.
type Explainer interface {
	Explain(request relayer.Request) relayer.Explanation
}

// WithExplainer sets what explains how a target is chosen. Without it, explanations end at the route.
func WithExplainer(e Explainer) Option {
	return func(rc *Receiver) { rc.explainer = e }
}

// Explain returns what would be done now with a request that arrives with the host, the path and the id, and with a key of
// the tenant. Nothing is sent and nothing is counted. A name that is not that of a tenant is not repeated, because it may
// be a key that was entered in its place.
func (rc *Receiver) Explain(host, path, tenantName, requestID string) encoder.ExplainReply {
	path, _, _ = strings.Cut(path, "?")
	reply := encoder.ExplainReply{
		Host: host, Path: path, RequestId: requestID, Refusals: []encoder.ExplainedRefusal{}, Services: []encoder.ExplainedService{}, Notes: []string{},
		InFlight: int(rc.inFlight.Load()), InFlightLimit: int(rc.maxInFlight),
	}
	refuse := func(status int, reason string, retryAfter time.Duration) {
		reply.Refusals = append(reply.Refusals, encoder.ExplainedRefusal{Status: status, Reason: reason, RetryAfterMs: float64(retryAfter) / float64(time.Millisecond)})
	}
	if rc.stopping.Load() {
		refuse(http.StatusServiceUnavailable, "instance stopping", stoppingRetryAfter)
	}
	if rc.inFlight.Load() >= rc.maxInFlight {
		refuse(http.StatusServiceUnavailable, "too many requests in flight", overloadRetryAfter)
	}
	table := rc.registrar.View().Table()
	if table == nil {
		refuse(http.StatusServiceUnavailable, "no configuration", unconfiguredRetryAfter)
		return reply
	}
	reply.Version = table.Version()
	route, found := table.Match(host, path)
	if !found {
		refuse(http.StatusNotFound, "no route", 0)
		return reply
	}
	reply.Route = route.Name
	tenant, reason := explainTenant(table, route, tenantName)
	if reason != "" {
		refuse(http.StatusUnauthorized, reason, 0)
	}
	if tenant != nil {
		reply.Tenant, reply.TenantRate, reply.TenantBurst = tenant.Name, tenant.Rate, tenant.Burst
		if tenant.IsLimited() {
			reply.Notes = append(reply.Notes, "the limit of the tenant is shared by all instances: above it, the request gets 429")
		}
	}
	if table.Tenants() != nil && reason == "" {
		var mayEnter bool
		reply.TenantInFlight, reply.TenantShare, mayEnter = rc.occupancy.describe(reply.Tenant, reply.InFlight)
		if !mayEnter {
			refuse(http.StatusServiceUnavailable, reasonTenantShare, overloadRetryAfter)
		}
	}
	if rc.explainer == nil {
		return reply
	}
	now := time.Now()
	explanation := rc.explainer.Explain(relayer.Request{
		Route: route, Table: table, Tenant: tenant, Arrived: now, Due: answerDue(now, route.Objective),
		Deadline: rc.limitToService(requestDeadline(now, 0, route.Timeout)),
		Outbound: transporter.NewRequest(requestID, http.MethodGet, path, host, nil, nil),
	})
	for _, r := range explanation.Refusals {
		refuse(http.StatusServiceUnavailable, r.Reason, r.RetryAfter)
	}
	reply.Services = append(reply.Services, explanation.Services...)
	reply.Notes = append(reply.Notes, explanation.Notes...)
	return reply
}

// explainTenant returns the tenant with the name, or why a request with one of its keys, or without a key if the name is
// empty, is refused.
func explainTenant(table *mapper.Table, route *mapper.Route, name string) (*authenticator.Tenant, string) {
	tenants := table.Tenants()
	switch {
	case tenants == nil:
		return nil, ""
	case name == "" && route.AllowsAnonymous:
		return nil, ""
	case name == "":
		return nil, "no key, and the route does not allow anonymous requests"
	}
	tenant, found := tenants.ByName(name)
	if !found {
		return nil, "unknown tenant"
	}
	return tenant, ""
}
