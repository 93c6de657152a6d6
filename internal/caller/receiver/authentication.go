package receiver

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"apricotflow/internal/manifest/authenticator"
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/query/relayer"
)

const (
	// discardTime limits how long the rest of a refused request is read, so that its connection can be used again.
	discardTime = time.Second
	// refusalQuietTime is the time without a refusal after which the next one of the same cause is logged again.
	refusalQuietTime = 10 * time.Second
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

// WithQuotas sets what limits the requests of tenants.
func WithQuotas(q Quotas) Option {
	return func(rc *Receiver) { rc.quotas = q }
}

// identity is on whose behalf a request is served.
type identity struct {
	// tenant is nil if tenants are not configured or the caller is anonymous.
	tenant *authenticator.Tenant
	// digest is the digest of the caller's key; zero without a tenant.
	digest authenticator.Digest
}

// cause is why a request is refused before its body is read.
type cause string

const (
	causeNone       cause = ""
	causeMissingKey cause = "missing-key"
	causeUnknownKey cause = "unknown-key"
	causeOverLimit  cause = "over-limit"
)

// identify determines the tenant of a request to the route by its key, which is looked up in the table that also has the
// route.
func identify(tenants *authenticator.Tenants, route *mapper.Route, key string, stated bool) (identity, cause) {
	switch {
	case tenants == nil:
		return identity{}, causeNone
	case stated:
		digest := authenticator.NewDigest(key)
		tenant, found := tenants.Find(digest)
		if key == "" || !found {
			return identity{}, causeUnknownKey
		}
		return identity{tenant: tenant, digest: digest}, causeNone
	case route.AllowsAnonymous:
		return identity{}, causeNone
	}
	return identity{}, causeMissingKey
}

// identifyDelegated determines the tenant of a delegated request by the table in force here, which is not older than that
// of the origin. It returns why the request is not accepted, or an empty reason.
func identifyDelegated(table *mapper.Table, route *mapper.Route, d relayer.Delegation, tenantHeader string) (identity, string) {
	tenants := table.Tenants()
	if tenants == nil {
		if d.Tenant != "" && !table.KnowsTenants() {
			return identity{}, "configuration of an earlier version, without tenants"
		}
		return identity{}, ""
	}
	names := d.Outbound.HeaderValues(tenantHeader)
	switch {
	case d.Outbound.HasCredentials():
		// Instances of earlier versions forward the key.
		return identity{}, "head with a key"
	case d.Tenant == "" && !route.AllowsAnonymous:
		return identity{}, "no tenant"
	case d.Tenant == "" && len(names) > 0, d.Tenant != "" && (len(names) != 1 || names[0] != strings.TrimSpace(d.Tenant)):
		// Instances of earlier versions forward what the caller has stated.
		return identity{}, "head with another tenant"
	case d.Tenant == "":
		return identity{}, ""
	}
	tenant, found := tenants.Find(d.KeyDigest)
	if !found || tenant.Name != d.Tenant {
		return identity{}, "key no longer belongs to the tenant"
	}
	return identity{tenant: tenant, digest: d.KeyDigest}, ""
}

// authenticate determines the tenant of a request and takes it off the tenant's limit. If it returns false, the response
// is written and the request must not run; the body has not been read.
func (rc *Receiver) authenticate(w http.ResponseWriter, r *http.Request, table *mapper.Table, route *mapper.Route) (identity, bool) {
	key, stated := rc.codec.ReadKey(r.Header)
	caller, refusal := identify(table.Tenants(), route, key, stated)
	if refusal != causeNone {
		rc.recordRefusal(refusal, route)
		rc.codec.WriteChallenge(w.Header())
		rc.writeBeforeBody(w, r, http.StatusUnauthorized)
		return identity{}, false
	}
	if caller.tenant == nil {
		if table.Tenants() != nil {
			rc.scope.Counter("receiver-anonymous").Inc(1)
		}
		return caller, true
	}
	if !caller.tenant.IsLimited() {
		return caller, true
	}
	admitted, retryAfter := rc.quotas.Admit(r.Context(), caller.tenant.Name, caller.tenant.Rate, caller.tenant.Burst)
	if !admitted {
		rc.recordRefusal(causeOverLimit, route)
		w.Header().Set("Retry-After", formatSeconds(retryAfter))
		rc.writeBeforeBody(w, r, http.StatusTooManyRequests)
	}
	return caller, admitted
}

// recordRefusal counts a refused request, and logs the first one of its cause after refusalQuietTime without any.
func (rc *Receiver) recordRefusal(c cause, route *mapper.Route) {
	rc.scope.Counter("receiver-refused-" + string(c)).Inc(1)
	if before, begins := rc.refusals.record(c, time.Now()); begins {
		rc.logger.Info("callers are refused", "cause", c, "route", route.Name, "refused-before", before)
	}
}

// refusalPeriods tells apart periods with refusals of the same cause.
type refusalPeriods struct {
	mu      sync.Mutex
	periods map[cause]refusalPeriod
}

// refusalPeriod is a period without more than refusalQuietTime between two refusals.
type refusalPeriod struct {
	latest time.Time
	count  int
}

func newRefusalPeriods() *refusalPeriods {
	return &refusalPeriods{periods: make(map[cause]refusalPeriod)}
}

// record adds a refusal. It reports whether it begins a new period, and how many refusals the one before had.
func (p *refusalPeriods) record(c cause, now time.Time) (before int, begins bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	period, found := p.periods[c]
	if begins = !found || now.Sub(period.latest) > refusalQuietTime; begins {
		before, period = period.count, refusalPeriod{}
	}
	p.periods[c] = refusalPeriod{latest: now, count: period.count + 1}
	return before, begins
}

// writeBeforeBody writes an empty response at once, although the body of the request has not been read. Without full
// duplex, net/http reads up to 256 KB of the body first.
func (rc *Receiver) writeBeforeBody(w http.ResponseWriter, r *http.Request, status int) {
	connection := http.NewResponseController(w)
	if hasPendingBody(r) {
		// It fails only for a response that is not sent over HTTP/1, which has no body to wait for.
		_ = connection.EnableFullDuplex()
	}
	rc.writeEmpty(w, status)
	// It fails only if the connection is closed.
	_ = connection.Flush()
}

// hasPendingBody reports whether the caller sends a body without being asked to. With the header Expect it waits for an
// interim response, and net/http closes the connection after the refusal.
func hasPendingBody(r *http.Request) bool {
	return r.Body != nil && r.Body != http.NoBody && r.Header.Get("Expect") == ""
}

// discardBody reads the body of a refused request, whose response is written, so that the connection can be used again.
// The connection is closed if the body is too large or does not arrive within discardTime.
func (rc *Receiver) discardBody(w http.ResponseWriter, r *http.Request) {
	if !hasPendingBody(r) {
		return
	}
	connection := http.NewResponseController(w)
	err := connection.SetReadDeadline(time.Now().Add(discardTime))
	if err == nil {
		_, err = io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, defaultMaxBodyBytes))
	}
	if err == nil {
		err = connection.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	if err != nil && !errors.As(err, &tooLarge) {
		panic(http.ErrAbortHandler)
	}
	// After a body that is too large, net/http closes the connection in a way that lets the caller read the response.
}

// formatSeconds returns the value of a Retry-After header, in seconds with a fraction.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', -1, 64)
}
