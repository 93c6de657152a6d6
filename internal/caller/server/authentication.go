package server

import (
	"context"
	"net/http"
	"strings"
	"time"

	"apricotflow/internal/manifest/authenticator"
	"apricotflow/internal/wire/encoder"
)

const (
	// headerKey holds the API key of a caller after keyScheme.
	headerKey = "Authorization"
	// headerChallenge names the scheme of the key in responses with 401.
	headerChallenge = "Www-Authenticate"
	keyScheme       = "Token"
)

// Quotas limits the requests of tenants over all instances.
type Quotas interface {
	// Admit takes one request of the tenant's limit, or returns after which time there is room.
	Admit(ctx context.Context, tenant string, rate, burst float64) (admitted bool, retryAfter time.Duration)
}

// unlimited implements Quotas without any limit.
type unlimited struct{}

func (unlimited) Admit(context.Context, string, float64, float64) (bool, time.Duration) {
	return true, 0
}

// WithQuotas sets what limits the queries of tenants.
func WithQuotas(q Quotas) Option {
	return func(s *Server) { s.quotas = q }
}

// WithTenants sets the function that returns the tenants of the manifest in force; nil if it has none.
func WithTenants(tenants func() *authenticator.Tenants) Option {
	return func(s *Server) { s.tenants = tenants }
}

// identity is on whose behalf a request is served, by the manifest in force when it arrived.
type identity struct {
	// needsKey reports whether the manifest has tenants.
	needsKey bool
	// tenant is nil for a request without a key.
	tenant *authenticator.Tenant
}

type identityKey struct{}

func withIdentity(ctx context.Context, caller identity) context.Context {
	return context.WithValue(ctx, identityKey{}, caller)
}

func identityOf(ctx context.Context) identity {
	caller, _ := ctx.Value(identityKey{}).(identity)
	return caller
}

// TenantOf returns the tenant that the server has determined for the request of the context; nil if it has none.
func TenantOf(ctx context.Context) *authenticator.Tenant { return identityOf(ctx).tenant }

// readKey returns the API key of a request, which is empty if it is malformed; false if the request states none.
func readKey(header http.Header) (key string, stated bool) {
	lines := header[headerKey]
	if len(lines) != 1 {
		return "", len(lines) > 0
	}
	text := strings.TrimSpace(lines[0])
	scheme, rest, _ := strings.Cut(text, " ")
	if !strings.EqualFold(scheme, keyScheme) {
		return "", text != ""
	}
	return strings.TrimSpace(rest), true
}

// authenticate determines the tenant of a request by its key, before the body is read. It returns a context with the
// tenant, or the error response to a request with an unknown key. The outcome is that of the error: whether an earlier
// query with the same ticket has run is not known.
func (s *Server) authenticate(r *http.Request, outcome encoder.QueryOutcome) (context.Context, *response) {
	tenants := s.tenants()
	if tenants == nil {
		return r.Context(), nil
	}
	key, stated := readKey(r.Header)
	if !stated {
		return withIdentity(r.Context(), identity{needsKey: true}), nil
	}
	tenant, found := tenants.Find(authenticator.NewDigest(key))
	if key == "" || !found {
		s.unknownKeys.Inc(1)
		return nil, unauthorized(outcome, "server: unknown API key")
	}
	return withIdentity(r.Context(), identity{needsKey: true, tenant: tenant}), nil
}

// checkAnonymous returns the error response to a request without a key, unless its query class allows that.
func (s *Server) checkAnonymous(ctx context.Context, className string, outcome encoder.QueryOutcome) *response {
	if caller := identityOf(ctx); !caller.needsKey || caller.tenant != nil {
		return nil
	}
	class, err := s.executor.Class(className)
	if err != nil || class.AllowAnonymous == nil || !*class.AllowAnonymous {
		s.missingKeys.Inc(1)
		return unauthorized(outcome, "server: an API key is required")
	}
	s.anonymous.Inc(1)
	return nil
}

func unauthorized(outcome encoder.QueryOutcome, message string) *response {
	kind := kindUnauthorized
	kind.outcome = outcome
	return errorResponse(kind, "", message)
}

// admit takes a query off the limit of its tenant, or returns the error response. A ticketed query is counted only when it
// starts: sent again, it gets the answer of its first run.
func (s *Server) admit(ctx context.Context) *response {
	tenant := TenantOf(ctx)
	if tenant == nil || !tenant.IsLimited() {
		return nil
	}
	admitted, retryAfter := s.quotas.Admit(ctx, tenant.Name, tenant.Rate, tenant.Burst)
	if admitted {
		return nil
	}
	s.overLimit.Inc(1)
	refused := errorResponse(kindOverLimit, "", "server: request limit of the tenant is used up")
	refused.retryAfter = max(retryAfter, time.Millisecond)
	return refused
}
