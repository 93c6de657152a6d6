package receiver_test

import (
	"io"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"apricotflow/internal/caller/receiver"
	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/authenticator"
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/query/relayer"
	"apricotflow/internal/wire/encoder"
	"apricotflow/platform"
)

// fakeExplainer records the last request and refuses it.
type fakeExplainer struct{ last relayer.Request }

func (e *fakeExplainer) Explain(request relayer.Request) relayer.Explanation {
	e.last = request
	return relayer.Explanation{
		Refusals: []relayer.Refusal{{Reason: "queue too long"}}, Services: []encoder.ExplainedService{{Service: "s"}}, Notes: []string{"note"},
	}
}

// Guards against an explanation that differs from what a request gets before it is sent, and against a key that is
// entered as the name of a tenant and shown.
func TestExplanationNamesRouteTenantAndRefusals(t *testing.T) {
	const key = "secret-key"
	allow := true
	table, problems := mapper.New(encoder.RoutingTable{
		Version: 4,
		Routes: []encoder.Route{
			{Name: "open", Host: "a.example", Prefix: "/open/", AllowAnonymous: &allow, Destinations: []encoder.RouteDestination{{Service: "s", Weight: 1}}},
			{Name: "shut", Host: "a.example", Prefix: "/", Destinations: []encoder.RouteDestination{{Service: "s", Weight: 1}}},
		},
		Tenants: &encoder.TenantList{Configured: true, Entries: []encoder.Tenant{
			{Name: "acme", KeyDigests: []string{authenticator.NewDigest(key).String()}, Rate: 5, Burst: 2},
		}},
	})
	assert.Equal(t, len(problems), 0)
	state, explainer := registrar.New(), &fakeExplainer{}
	rc := receiver.New(platform.CallerHeaders{}, state, &fakeRelay{}, 20, log.New(io.Discard), tally.NoopScope, receiver.WithExplainer(explainer))
	assert.Equal(t, rc.Explain("a.example", "/", "", "").Refusals[0].Reason, "no configuration")
	state.Apply(registrar.Change{Position: registrar.Position{Revision: 1}, Table: table}, true)
	for _, c := range []struct{ host, path, tenant, route, named, refusals string }{
		{"b.example", "/", "acme", "", "", "404 no route"},
		{"a.example", "/x", "acme", "shut", "acme", "503 queue too long"},
		{"a.example", "/x", "", "shut", "", "401 no key, and the route does not allow anonymous requests; 503 queue too long"},
		{"a.example", "/open/x", "", "open", "", "503 queue too long"},
		{"a.example", "/open/x", key, "open", "", "401 unknown tenant; 503 queue too long"},
	} {
		reply := rc.Explain(c.host, c.path+"?token="+key, c.tenant, "r1")
		refusals := make([]string, 0, len(reply.Refusals))
		for _, r := range reply.Refusals {
			refusals = append(refusals, map[int]string{401: "401 ", 404: "404 ", 503: "503 "}[r.Status]+r.Reason)
		}
		assert.Equal(t, strings.Join(refusals, "; "), c.refusals)
		assert.Equal(t, reply.Route+" "+reply.Tenant, c.route+" "+c.named)
		assert.Assert(t, !strings.Contains(string(encoder.Encode(reply)), key))
	}
	reply := rc.Explain("a.example", "/x", "acme", "r1")
	assert.Equal(t, reply.Version, 4)
	assert.Equal(t, reply.TenantRate, 5.0)
	assert.Equal(t, reply.TenantShare, 10)
	assert.Equal(t, len(reply.Services), 1)
	assert.Equal(t, explainer.last.Outbound.ID+explainer.last.Tenant.Name, "r1acme")
}
