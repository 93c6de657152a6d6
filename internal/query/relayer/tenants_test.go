package relayer_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"apricotflow/internal/caller/receiver"
	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/authenticator"
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/query/relayer"
	"apricotflow/internal/standin/httpresponder"
	"apricotflow/internal/target/concentrator"
	"apricotflow/internal/target/sender"
	"apricotflow/internal/target/transporter"
	"apricotflow/internal/wire/encoder"
	"apricotflow/platform"
)

const tenantKey = "acme-secret-1"

// refusingPeers records the batches and refuses them.
type refusingPeers struct {
	mu      sync.Mutex
	batches []concentrator.Batch
}

func (p *refusingPeers) ChoosePeer(string, int, *transporter.Request) (string, bool) {
	return "b", true
}

func (p *refusingPeers) UsablePeers(string, []string, *transporter.Request) []string {
	return []string{"b"}
}

func (p *refusingPeers) Send(_ context.Context, batch concentrator.Batch, deliver func(concentrator.PartialResults)) {
	p.mu.Lock()
	p.batches = append(p.batches, batch)
	p.mu.Unlock()
	results := make(map[int]transporter.Result)
	for i := range batch.Targets {
		results[i] = transporter.Result{Outcome: transporter.Unsent, Err: fmt.Errorf("%w: for a reason", sender.ErrPeerRefused)}
	}
	deliver(concentrator.PartialResults{Results: results})
}

// startTenantReceiver puts a table with one tenant in force, and returns a receiver before the relayer and its log.
func (f *fixture) startTenantReceiver() (http.Handler, *bytes.Buffer) {
	f.t.Helper()
	topRecords, leastShare := 5, 1.0
	table, problems := mapper.New(encoder.RoutingTable{
		Version: 2, Services: f.registrar.View().Table().Encoded().Services,
		Tenants: &encoder.TenantList{Configured: true, Entries: []encoder.Tenant{{Name: "acme", KeyDigests: []string{authenticator.NewDigest(tenantKey).String()}}}},
		Routes: []encoder.Route{
			{Name: "search", Host: "shop.example", Prefix: "/search/", Idempotent: true, TimeoutMs: 600, ObjectiveMs: 150, MaxTargets: 2, Shards: []string{"s0", "s1", "s2"}, TopRecords: &topRecords, LeastShare: &leastShare},
			{Name: "lookup", Host: "shop.example", Prefix: "/", Idempotent: true, TimeoutMs: 600, ObjectiveMs: 150, MaxTargets: 2, Destinations: []encoder.RouteDestination{{Service: "s0", Weight: 1}}},
		},
	})
	assert.Equal(f.t, len(problems), 0, "%v", problems)
	f.registrar.Apply(registrar.Change{Position: registrar.Position{Revision: 2}, Table: table}, true)
	logged := &bytes.Buffer{}
	return receiver.New(platform.CallerHeaders{}, f.registrar, f.relayer, 100, log.New(logged), tally.NoopScope).Handler(), logged
}

func serveWithKey(t *testing.T, handler http.Handler, path string) int {
	t.Helper()
	request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, path, nil)
	request.Host = "shop.example"
	request.Header.Set(platform.HeaderRequestID, "r1")
	request.Header.Set("Authorization", "Token "+tenantKey)
	request.Header.Set(platform.HeaderTenant, "forged")
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	response, err := io.ReadAll(recorder.Result().Body)
	assert.NilError(t, err)
	assert.Assert(t, !bytes.Contains(response, []byte("secret")))
	return recorder.Code
}

// assertNoKey checks the requests that all targets have received, of which there must be at least the given number.
func (f *fixture) assertNoKey(atLeast int) {
	f.t.Helper()
	count := 0
	for _, targets := range f.targets {
		for _, target := range targets {
			for _, r := range target.Received() {
				count++
				assert.DeepEqual(f.t, r.Header[platform.HeaderTenant], []string{"acme"})
				assert.Assert(f.t, !strings.Contains(fmt.Sprint(r), "secret"), "%v", r)
			}
		}
	}
	assert.Assert(f.t, count >= atLeast, "%d requests", count)
}

// Guards against a key that reaches a target or the log by a first request, a hedge or a retry.
func TestKeyIsNotSentByHedgeOrRetry(t *testing.T) {
	for name, behaviour := range map[string]httpresponder.Behaviour{"retry": httpresponder.Fail, "lost": httpresponder.Reset, "hedge": httpresponder.Hang} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, 2, "s0", "s1", "s2")
			handler, logged := f.startTenantReceiver()
			var count atomic.Int64
			for _, target := range f.targets["s0"] {
				target.SetBehaviour(func(*http.Request) (httpresponder.Behaviour, time.Duration) {
					if count.Add(1)%2 == 1 {
						return behaviour, 0
					}
					return httpresponder.Answer, 0
				})
			}
			for range 20 {
				serveWithKey(t, handler, "/lookup/x")
				serveWithKey(t, handler, "/search/x")
			}
			assert.Assert(t, strings.Contains(logged.String(), "decisions"), "%s: %s", name, logged)
			assert.Assert(t, !strings.Contains(logged.String(), "secret"), logged)
			f.assertNoKey(80)
		})
	}
}

// Guards against a key in a batch, a batch that does not carry what the peer has to check, and a query that fails, or is
// sent less, because a peer refuses its batch.
func TestBatchCarriesTenantAndIsSentDirectlyWhenRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, "s0", "s1", "s2")
		peers := &refusingPeers{}
		f.peers = peers
		f.buildRelayer()
		change := registrar.Change{Position: registrar.Position{Revision: 2}}
		for _, target := range f.registrar.View().Targets() {
			target.FailureDomain = "west"
			target.Seq++
			change.Put = append(change.Put, target)
		}
		f.registrar.Apply(change, true)
		handler, _ := f.startTenantReceiver()
		start := time.Now()
		assert.Equal(t, serveWithKey(t, handler, "/search/x"), http.StatusOK)
		assert.Equal(t, time.Since(start), time.Duration(0), "the targets count as tried")
		f.assertNoKey(3)
		assert.Equal(t, len(peers.batches), 1)
		batch := peers.batches[0]
		assert.Equal(t, batch.Tenant, "acme")
		assert.Equal(t, batch.KeyDigest, authenticator.NewDigest(tenantKey))
		assert.Equal(t, batch.Version, 2)
		assert.Assert(t, !bytes.Contains(batch.Request.Head(), []byte("secret")), string(batch.Request.Head()))
	})
}

// Guards against a key, or no tenant, in a request that is handed over.
func TestDelegatedRequestCarriesTenantInPlaceOfKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, "s0", "s1", "s2")
		handler, _ := f.startTenantReceiver()
		f.strandNoticed(t)
		f.delegator.takes = true
		assert.Equal(t, serveWithKey(t, handler, "/search/x"), http.StatusOK)
		request := f.delegator.requests[0]
		assert.Equal(t, request.Tenant.Name, "acme")
		assert.Equal(t, request.KeyDigest, authenticator.NewDigest(tenantKey))
		assert.Assert(t, !bytes.Contains(request.Outbound.Head(), []byte("secret")), string(request.Outbound.Head()))
	})
}

// Guards against a request of a less urgent tenant that takes a target before one of a more urgent tenant, whatever the
// priorities of their routes, and against requests without a tenant that are not ranked by their route.
func TestTenantPriorityPrecedesRoutePriority(t *testing.T) {
	tenant := func(priority int) *authenticator.Tenant { return &authenticator.Tenant{Name: "t", Priority: priority} }
	for _, c := range []struct {
		name          string
		first, second *authenticator.Tenant
		routes        [2]int
	}{
		{"tenants", tenant(1), tenant(2), [2]int{5, 0}},
		{"equal tenants", tenant(1), tenant(1), [2]int{0, 5}},
		{"tenant before a request without one", tenant(1), nil, [2]int{5, 2}},
		{"request without a tenant before a tenant", nil, tenant(3), [2]int{2, 0}},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, 1, "s0")
			// Different times, so that requests end and others begin one by one.
			var count atomic.Int64
			f.targets["s0"][0].SetBehaviour(func(*http.Request) (httpresponder.Behaviour, time.Duration) {
				return httpresponder.Answer, 10*time.Millisecond + time.Duration(count.Add(1))*100*time.Microsecond
			})
			var all sync.WaitGroup
			start := func(name string, route *mapper.Route, tenant *authenticator.Tenant) {
				all.Go(func() {
					request := f.request(route, name)
					request.Tenant, request.Due = tenant, time.Time{}
					assert.Check(t, f.relayer.Relay(t.Context(), request).Outcome == relayer.Relayed)
				})
			}
			patient := func(priority int) *mapper.Route {
				route := singleRoute(false)
				route.Priority, route.Objective, route.Timeout = priority, 2*time.Second, 5*time.Second
				return route
			}
			occupy := patient(0)
			begin := time.Now()
			for i := range 100 {
				start(fmt.Sprint("occupy", i), occupy, tenant(0))
			}
			time.Sleep(time.Millisecond)
			start("second", patient(c.routes[1]), c.second)
			time.Sleep(time.Millisecond)
			start("first", patient(c.routes[0]), c.first)
			all.Wait()
			sentAt := make(map[string]time.Duration)
			for _, r := range f.targets["s0"][0].Received() {
				if id := r.Header.Get(platform.HeaderRequestID); !strings.HasPrefix(id, "occupy") {
					sentAt[id] = r.ReadAt.Sub(begin)
					assert.Assert(t, sentAt[id] > 10*time.Millisecond, "%s did not wait", id)
				}
			}
			assert.Assert(t, sentAt["first"] <= sentAt["second"], "%s: %v", c.name, sentAt)
		})
	}
}

// Load pattern: the shards take about half of what comes, and the queries of the less urgent tenant need fewer parts.
// Guards against these being served more often than those of the more urgent tenant, because their route is more urgent.
func TestQueriesOfUrgentTenantAreServedAsOftenWhenRequestLimitsAreUsedUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		services := make([]string, 20)
		for i := range services {
			services[i] = fmt.Sprint("s", i)
		}
		f := newFixture(t, 2, services...)
		for i, service := range services {
			f.setRequestLimit(15+float64(i*7%20), service)
		}
		search, peek := shardedRoute(0.89, services...), shardedRoute(0.75, services...)
		search.Priority = 2
		peek.Name, peek.Priority = "peek", 1
		f.tenants = map[string]*authenticator.Tenant{"search": {Name: "urgent", Priority: 1}, "peek": {Name: "other", Priority: 2}}
		results := f.replay(10*time.Second, map[*mapper.Route]float64{search: 67, peek: 22})
		urgent, other := *results["search"], *results["peek"]
		t.Logf("search %+v, peek %+v", urgent, other)
		urgentShare, otherShare := float64(urgent.inTime)/float64(urgent.sent), float64(other.inTime)/float64(other.sent)
		assert.Assert(t, otherShare <= urgentShare+0.05, "in time: %.2f of the urgent queries, %.2f of the others", urgentShare, otherShare)
	})
}
