package receiver_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"apricotflow/internal/caller/receiver"
	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/authenticator"
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/query/relayer"
	"apricotflow/internal/target/transporter"
	"apricotflow/internal/wire/encoder"
	"apricotflow/platform"
)

const (
	acmeKey   = "acme-secret-1"
	globexKey = "globex-secret-1"
)

// tenantOf returns a tenant with the keys.
func tenantOf(name string, rate float64, keys ...string) encoder.Tenant {
	t := encoder.Tenant{Name: name, Priority: 1, Rate: rate, Burst: 2}
	for _, key := range keys {
		t.KeyDigests = append(t.KeyDigests, authenticator.NewDigest(key).String())
	}
	return t
}

// tenantTable returns a table with the tenants, a route for /in/ and an anonymous one for /open/. Without a list of tenants
// none are configured.
func tenantTable(t *testing.T, version int, tenants ...encoder.Tenant) *mapper.Table {
	t.Helper()
	anonymous := true
	destinations := []encoder.RouteDestination{{Service: "s", Weight: 1}}
	table, problems := mapper.New(encoder.RoutingTable{
		Version: version, Tenants: &encoder.TenantList{Configured: tenants != nil, Entries: tenants}, Routes: []encoder.Route{
			{Name: "inner", Host: "a.example", Prefix: "/in/", TimeoutMs: 2000, MaxTargets: 1, Destinations: destinations},
			{Name: "open", Host: "a.example", Prefix: "/open/", TimeoutMs: 2000, MaxTargets: 1, Destinations: destinations, AllowAnonymous: &anonymous},
		},
	})
	assert.Equal(t, len(problems), 0, "%v", problems)
	return table
}

// tenantReceiver is a running receiver with its table and log.
type tenantReceiver struct {
	*receiver.Receiver
	server   *httptest.Server
	state    *registrar.Registrar
	relay    *fakeRelay
	log      *bytes.Buffer
	counters tally.TestScope
}

func startTenantReceiver(t *testing.T, table *mapper.Table, opts ...receiver.Option) *tenantReceiver {
	t.Helper()
	n := &tenantReceiver{state: registrar.New(), relay: &fakeRelay{answer: relayedAnswer}, log: &bytes.Buffer{}, counters: tally.NewTestScope("", nil)}
	n.apply(table)
	n.Receiver = receiver.New(platform.CallerHeaders{}, n.state, n.relay, 2, log.New(n.log), n.counters, opts...)
	n.server = httptest.NewServer(n.Handler())
	t.Cleanup(n.server.Close)
	return n
}

func (n *tenantReceiver) apply(table *mapper.Table) {
	n.state.Apply(registrar.Change{Position: registrar.Position{Revision: table.Version()}, Table: table}, true)
}

// refusalOrReply is a response without its body.
type refusalOrReply struct {
	StatusCode int
	Header     http.Header
}

// get sends a request with the header lines.
func (n *tenantReceiver) get(t *testing.T, path string, header http.Header) refusalOrReply {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, n.server.URL+path, nil)
	assert.NilError(t, err)
	request.Host, request.Header = "a.example", header
	response, err := http.DefaultTransport.RoundTrip(request)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return refusalOrReply{StatusCode: response.StatusCode, Header: response.Header}
}

func withKey(key string) http.Header { return http.Header{"Authorization": {"Token " + key}} }

// Guards against work for callers without a valid key, against a 401 where a route allows anonymous callers or does not
// exist, and against log lines for each refused request or with keys.
func TestKeyIsCheckedBeforeAnyWork(t *testing.T) {
	table := tenantTable(t, 1, tenantOf("acme", 0, acmeKey), tenantOf("keyless", 0), tenantOf("globex", 0, globexKey, ""))
	for _, c := range []struct {
		name, path string
		header     http.Header
		status     int
		counter    string
	}{
		{"no key", "/in/x", http.Header{}, 401, "receiver-refused-missing-key+"},
		{"empty header", "/in/x", http.Header{"Authorization": {""}}, 401, "receiver-refused-missing-key+"},
		{"unknown key", "/in/x", withKey("acme-secret-2"), 401, "receiver-refused-unknown-key+"},
		{"empty key", "/in/x", withKey(""), 401, "receiver-refused-unknown-key+"},
		{"other scheme", "/in/x", http.Header{"Authorization": {"Bearer " + acmeKey}}, 401, "receiver-refused-unknown-key+"},
		{"no scheme", "/in/x", http.Header{"Authorization": {acmeKey}}, 401, "receiver-refused-unknown-key+"},
		{"two keys", "/in/x", http.Header{"Authorization": {"Token " + acmeKey, "Token " + globexKey}}, 401, "receiver-refused-unknown-key+"},
		{"unknown key on anonymous route", "/open/x", withKey("acme-secret-2"), 401, "receiver-refused-unknown-key+"},
		{"no key on anonymous route", "/open/x", http.Header{}, 418, "receiver-anonymous+"},
		{"key on anonymous route", "/open/x", withKey(acmeKey), 418, ""},
		{"key", "/in/x", withKey(acmeKey), 418, ""},
		{"scheme in lower case", "/in/x", http.Header{"Authorization": {"token  " + acmeKey}}, 418, ""},
		{"unknown route", "/other/", http.Header{}, 404, "receiver-no-route+"},
	} {
		n := startTenantReceiver(t, table)
		for range 3 {
			response := n.get(t, c.path, c.header)
			assert.Equal(t, response.StatusCode, c.status, c.name)
			assert.Equal(t, response.Header.Get("WWW-Authenticate") != "", c.status == 401, c.name)
		}
		assert.Equal(t, n.relay.lastRequest.Route != nil, c.status == 418, c.name)
		if c.counter != "" {
			assert.Equal(t, n.counters.Snapshot().Counters()[c.counter].Value(), int64(3), c.name)
		}
		if c.status == 401 {
			assert.Equal(t, strings.Count(n.log.String(), "\n"), 1, n.log)
		}
		assert.Assert(t, !strings.Contains(n.log.String(), "secret"), n.log)
	}
}

// Guards against a key that reaches targets, and against a caller that passes for another tenant. Without tenants in the
// configuration both headers belong to the caller.
func TestTargetsGetTenantInPlaceOfKey(t *testing.T) {
	forged := func(header http.Header) http.Header {
		header[platform.HeaderTenant] = []string{"forged", "forged too"}
		header["Connection"] = []string{platform.HeaderTenant + ", Authorization"}
		return header
	}
	plain := http.Header{platform.HeaderTenant: {"own"}, "Authorization": {"Token " + acmeKey}}
	for _, c := range []struct {
		name, path string
		header     http.Header
		table      *mapper.Table
		tenants    []string
		hasKey     bool
	}{
		{"key", "/in/x", plain, tenantTable(t, 1, tenantOf("acme", 0, acmeKey)), []string{"acme"}, false},
		{"headers of the connection", "/in/x", forged(withKey(acmeKey)), tenantTable(t, 1, tenantOf("acme", 0, acmeKey)), []string{"acme"}, false},
		{"anonymous", "/open/x", http.Header{platform.HeaderTenant: {"forged"}}, tenantTable(t, 1, tenantOf("acme", 0, acmeKey)), nil, false},
		{"no tenants configured", "/in/x", plain, tenantTable(t, 1), []string{"own"}, true},
	} {
		n := startTenantReceiver(t, c.table)
		assert.Equal(t, n.get(t, c.path, c.header).StatusCode, http.StatusTeapot, c.name)
		outbound := n.relay.lastRequest.Outbound
		assert.DeepEqual(t, outbound.HeaderValues(platform.HeaderTenant), c.tenants)
		assert.Equal(t, outbound.HasCredentials(), c.hasKey, c.name)
		assert.Equal(t, bytes.Contains(outbound.Head(), []byte("secret")), c.hasKey, c.name)
	}
}

// Guards against requests of one tenant that are quarantined because of another one's: without the key in the head, the
// digest must tell them apart.
func TestRequestsWithDifferentKeysHaveDifferentProperties(t *testing.T) {
	n := startTenantReceiver(t, tenantTable(t, 1, tenantOf("acme", 0, acmeKey, "acme-secret-2")))
	n.get(t, "/in/x", withKey(acmeKey))
	first := bytes.Join(n.relay.lastRequest.Outbound.Properties(), []byte{0})
	n.get(t, "/in/x", withKey("acme-secret-2"))
	second := bytes.Join(n.relay.lastRequest.Outbound.Properties(), []byte{0})
	assert.Assert(t, !bytes.Equal(first, second))
	assert.Assert(t, !bytes.Contains(append(first, second...), []byte("secret")))
}

// Guards against a revocation that ends requests under way, and against one that is not in force for the next request,
// also when the tenant has no key left.
func TestRevocationSparesOnlyRequestsUnderWay(t *testing.T) {
	n := startTenantReceiver(t, tenantTable(t, 1, tenantOf("acme", 0, acmeKey), tenantOf("globex", 0, globexKey)))
	n.relay.release = make(chan struct{})
	waiting := make(chan int, 1)
	go func() { waiting <- n.get(t, "/in/x", withKey(acmeKey)).StatusCode }()
	for n.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	n.apply(tenantTable(t, 2, tenantOf("acme", 0), tenantOf("globex", 0, globexKey)))
	assert.Equal(t, n.get(t, "/in/x", withKey(acmeKey)).StatusCode, http.StatusUnauthorized)
	close(n.relay.release)
	assert.Equal(t, <-waiting, http.StatusTeapot)
	assert.Equal(t, n.get(t, "/in/x", withKey(globexKey)).StatusCode, http.StatusTeapot)
	n.apply(tenantTable(t, 3, []encoder.Tenant{}...))
	assert.Equal(t, n.get(t, "/in/x", withKey(globexKey)).StatusCode, http.StatusUnauthorized, "no tenant is left")
	n.apply(tenantTable(t, 4, tenantOf("acme", 0, acmeKey)))
	assert.Equal(t, n.get(t, "/in/x", withKey(acmeKey)).StatusCode, http.StatusTeapot)
	assert.Equal(t, n.get(t, "/in/x", withKey(globexKey)).StatusCode, http.StatusUnauthorized)
}

// fixedQuotas answers every question alike and records the tenants.
type fixedQuotas struct {
	admitted bool
	asked    []string
	limits   [2]float64
}

func (q *fixedQuotas) Admit(_ context.Context, tenant string, rate, burst float64) (bool, time.Duration) {
	q.asked, q.limits = append(q.asked, tenant), [2]float64{rate, burst}
	return q.admitted, 250 * time.Millisecond
}

// Guards against requests above the limit of a tenant that reach targets, and against tenants without a limit, anonymous
// callers and unknown keys that use up quotas.
func TestRequestAboveLimitIsRefusedWithTimeOfCapacity(t *testing.T) {
	quotas := &fixedQuotas{}
	n := startTenantReceiver(t, tenantTable(t, 1, tenantOf("acme", 20, acmeKey), tenantOf("globex", 0, globexKey)), receiver.WithQuotas(quotas))
	response := n.get(t, "/in/x", withKey(acmeKey))
	assert.Equal(t, response.StatusCode, http.StatusTooManyRequests)
	assert.Equal(t, response.Header.Get("Retry-After"), "0.25")
	assert.Assert(t, n.relay.lastRequest.Route == nil, "the request was relayed")
	assert.Equal(t, n.get(t, "/in/x", withKey(globexKey)).StatusCode, http.StatusTeapot)
	assert.Equal(t, n.get(t, "/open/x", http.Header{}).StatusCode, http.StatusTeapot)
	assert.Equal(t, n.get(t, "/in/x", withKey("other")).StatusCode, http.StatusUnauthorized)
	assert.Equal(t, n.get(t, "/other/", withKey(acmeKey)).StatusCode, http.StatusNotFound)
	assert.DeepEqual(t, quotas.asked, []string{"acme"})
	assert.DeepEqual(t, quotas.limits, [2]float64{20, 2})
	quotas.admitted = true
	assert.Equal(t, n.get(t, "/in/x", withKey(acmeKey)).StatusCode, http.StatusTeapot)
	assert.Equal(t, n.relay.lastRequest.Tenant.Name, "acme")
}

// Guards against a caller without a key, or above its limit, that makes the instance wait for its body or uses up the limit
// of concurrent requests, and against a connection that is lost for the next request although the body arrives.
func TestRefusalIsWrittenBeforeBodyIsRead(t *testing.T) {
	for key, status := range map[string]int{"other": http.StatusUnauthorized, acmeKey: http.StatusTooManyRequests} {
		n := startTenantReceiver(t, tenantTable(t, 1, tenantOf("acme", 20, acmeKey), tenantOf("globex", 0, globexKey)), receiver.WithQuotas(&fixedQuotas{}))
		var conns []net.Conn
		for range 4 {
			conn, err := net.Dial("tcp", n.server.Listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			conns = append(conns, conn)
			_, err = conn.Write([]byte("POST /in/ HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token " + key + "\r\nContent-Length: 4\r\n\r\nbo"))
			assert.NilError(t, err)
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(500*time.Millisecond)))
			assert.Equal(t, readStatus(t, conn), status)
			// The response is written shortly before the request no longer counts, and long before its body is given up.
			for start := time.Now(); n.InFlight() > 0; time.Sleep(time.Millisecond) {
				assert.Assert(t, time.Since(start) < 500*time.Millisecond, "%d requests in flight", n.InFlight())
			}
		}
		_, err := conns[0].Write([]byte("dyGET /in/ HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token " + globexKey + "\r\n\r\n"))
		assert.NilError(t, err)
		assert.Equal(t, readStatus(t, conns[0]), http.StatusTeapot)
		// The rest of the body does not arrive in time, so what follows must not be taken for a request.
		assert.NilError(t, conns[1].SetReadDeadline(time.Now().Add(3*time.Second)))
		_, err = conns[1].Read(make([]byte, 1))
		var timeout net.Error
		assert.Assert(t, err != nil && (!errors.As(err, &timeout) || !timeout.Timeout()), "%v", err)
	}
}

// Guards against a caller that sees its connection reset in place of the refusal, because it still sends its body.
func TestRefusalArrivesWhileLargeBodyIsSent(t *testing.T) {
	n := startTenantReceiver(t, tenantTable(t, 1, tenantOf("acme", 0, acmeKey)))
	for range 10 {
		conn, err := net.Dial("tcp", n.server.Listener.Addr().String())
		assert.NilError(t, err)
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			// The instance closes the connection before it has read everything.
			_, _ = conn.Write(append([]byte("POST /in/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 3000000\r\n\r\n"), make([]byte, 3_000_000)...))
		}()
		reader := bufio.NewReader(conn)
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, http.StatusUnauthorized)
		_, err = reader.ReadByte()
		assert.ErrorIs(t, err, io.EOF)
		assert.NilError(t, conn.Close())
		<-sent
	}
}

func readStatus(t *testing.T, conn net.Conn) int {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return response.StatusCode
}

// Guards against a delegated request that runs for a revoked key, a forged tenant or no tenant, against one that is refused
// although its tenant still has the key, and against a quota that is taken at both instances.
func TestDelegatedRequestRunsOnlyForTenantOfItsKey(t *testing.T) {
	const current = 5
	tenants := []encoder.Tenant{tenantOf("acme", 20, acmeKey), tenantOf("globex", 0, globexKey)}
	delegation := func(path string, version int, tenant, key string, header http.Header) relayer.Delegation {
		d := relayer.Delegation{Origin: "entry-west", Version: version, Tenant: tenant, TimeLeft: time.Second}
		if key != "" {
			d.KeyDigest = authenticator.NewDigest(key)
		}
		d.Outbound = transporter.NewRequest("r1", http.MethodGet, path, "a.example", header, nil)
		return d
	}
	names := func(values ...string) http.Header { return http.Header{platform.HeaderTenant: values} }
	withoutTenants := encoder.RoutingTable{Version: current, Routes: tenantTable(t, 1).Encoded().Routes}
	earlier, problems := mapper.New(withoutTenants)
	assert.Equal(t, len(problems), 0)
	for _, c := range []struct {
		name       string
		table      *mapper.Table
		delegation relayer.Delegation
		reason     string
	}{
		{"equal table", tenantTable(t, current, tenants...), delegation("/in/", current, "acme", acmeKey, names("acme")), ""},
		{"newer table with the key", tenantTable(t, current, tenants...), delegation("/in/", current-1, "acme", acmeKey, names("acme")), ""},
		{"older table", tenantTable(t, current, tenants...), delegation("/in/", current+1, "acme", acmeKey, names("acme")), "older configuration"},
		{"newer table without the key", tenantTable(t, current, tenantOf("acme", 20)), delegation("/in/", current-1, "acme", acmeKey, names("acme")), "key no longer belongs to the tenant"},
		{"newer table with the key of another tenant", tenantTable(t, current, tenantOf("acme", 0), tenantOf("globex", 0, acmeKey)), delegation("/in/", current-1, "acme", acmeKey, names("acme")), "key no longer belongs to the tenant"},
		{"newer table without tenants", tenantTable(t, current), delegation("/in/", current-1, "acme", acmeKey, names("acme")), ""},
		{"table of an earlier version", earlier, delegation("/in/", current, "acme", acmeKey, names("acme")), "configuration of an earlier version, without tenants"},
		{"no tenant", tenantTable(t, current, tenants...), delegation("/in/", current, "", "", nil), "no tenant"},
		{"no tenant on anonymous route", tenantTable(t, current, tenants...), delegation("/open/", current, "", "", nil), ""},
		{"head with a key", tenantTable(t, current, tenants...), delegation("/open/", current, "", "", withKey(acmeKey)), "head with a key"},
		{"head with a key without tenants", tenantTable(t, current), delegation("/in/", current, "", "", withKey(acmeKey)), ""},
		{"forged tenant on anonymous route", tenantTable(t, current, tenants...), delegation("/open/", current, "", "", names("acme")), "head with another tenant"},
		{"head with another tenant", tenantTable(t, current, tenants...), delegation("/in/", current, "acme", acmeKey, names("globex")), "head with another tenant"},
		{"no digest", tenantTable(t, current, tenants...), delegation("/in/", current, "acme", "", names("acme")), "key no longer belongs to the tenant"},
	} {
		n := startTenantReceiver(t, c.table, receiver.WithQuotas(&fixedQuotas{}))
		_, err := n.ServeDelegated(t.Context(), c.delegation)
		var notAccepted *relayer.NotAcceptedError
		if c.reason != "" {
			assert.Assert(t, errors.As(err, &notAccepted), c.name)
			assert.Equal(t, notAccepted.Reason, c.reason, c.name)
			assert.Assert(t, n.relay.lastRequest.Route == nil, c.name)
			continue
		}
		assert.NilError(t, err, c.name)
		assert.Assert(t, n.relay.lastRequest.Route != nil, c.name)
		if c.delegation.Tenant != "" && c.table.Tenants() != nil {
			assert.Equal(t, n.relay.lastRequest.Tenant.Name, c.delegation.Tenant, c.name)
			assert.Equal(t, string(n.relay.lastRequest.Outbound.Properties()[3]), c.delegation.KeyDigest.String(), c.name)
		}
	}
}
