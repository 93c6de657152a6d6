package concentrator_test

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/authenticator"
	"apricotflow/internal/manifest/mapper"
	"apricotflow/internal/target/concentrator"
	"apricotflow/internal/target/sender"
	"apricotflow/internal/target/transporter"
	"apricotflow/internal/wire/encoder"
)

const tenantHeader = "X-Tenant-Id"

// Guards against parts that are sent for a revoked key, or with a key or a forged tenant in the head that an instance of an
// earlier version has forwarded, against parts that are refused without a reason, and against a peer that is suspended
// because of one batch.
func TestBatchIsRefusedUnsentUnlessItsTenantHolds(t *testing.T) {
	const version = 5
	key := authenticator.NewDigest("k")
	holder := func(name string) *encoder.TenantList {
		return &encoder.TenantList{Configured: true, Entries: []encoder.Tenant{{Name: name, KeyDigests: []string{key.String()}}}}
	}
	stated := func(names ...string) http.Header { return http.Header{tenantHeader: names} }
	for _, c := range []struct {
		name    string
		tenants *encoder.TenantList
		header  http.Header
		tenant  string
		version int
		refused bool
	}{
		{"tenant", holder("acme"), stated("acme"), "acme", version - 1, false},
		{"revoked key and newer table", holder("globex"), stated("acme"), "acme", version - 1, true},
		{"unknown key and equal table", holder("globex"), stated("acme"), "acme", version, false},
		{"unknown key and older table", holder("globex"), stated("acme"), "acme", version + 1, false},
		{"no tenant", holder("acme"), nil, "", 0, false},
		{"key in the head", holder("acme"), http.Header{"Authorization": {"Token k"}}, "", 0, true},
		{"forged tenant", holder("acme"), stated("acme"), "", 0, true},
		{"other tenant in the head", holder("acme"), stated("globex"), "acme", version, true},
		{"key in the head without tenants", &encoder.TenantList{}, http.Header{"Authorization": {"Token k"}}, "", 0, false},
		{"key in the head and table of an earlier version", nil, http.Header{"Authorization": {"Token k"}}, "", 0, false},
	} {
		p := startPair(t, 4, concentrator.WithTenantHeader(tenantHeader))
		table, problems := mapper.New(encoder.RoutingTable{Version: version, Tenants: c.tenants})
		assert.Equal(t, len(problems), 0)
		p.state.Apply(registrar.Change{Position: registrar.Position{Revision: 1}, Table: table}, true)
		batch := p.batch(time.Second)
		batch.Request = transporter.NewRequest("r1", http.MethodGet, "/x", "a.example", c.header, []byte("tail-000"))
		if c.tenant != "" {
			batch.Tenant, batch.KeyDigest, batch.Version = c.tenant, key, c.version
		}
		delivered := p.send(t.Context(), batch)
		assert.Equal(t, len(delivered.results), 4, c.name)
		for _, r := range delivered.results {
			assert.Equal(t, r.Outcome == transporter.Unsent, c.refused, c.name)
			assert.Equal(t, errors.Is(r.Err, sender.ErrPeerRefused), c.refused, c.name)
		}
		assert.Equal(t, p.fakeSender.sent == 0, c.refused, c.name)
		_, usable := p.requester.ChoosePeer("east", 4, batch.Request)
		assert.Assert(t, usable, c.name)
	}
}

// Guards against a refusal that an instance of an earlier version takes for an empty reply: its requests would wait for late
// results until their deadline.
func TestRefusalIsKnownToEarlierVersions(t *testing.T) {
	p := startPair(t, 3, concentrator.WithTenantHeader(tenantHeader))
	table, problems := mapper.New(encoder.RoutingTable{Version: 1, Tenants: &encoder.TenantList{Configured: true}})
	assert.Equal(t, len(problems), 0)
	p.state.Apply(registrar.Change{Position: registrar.Position{Revision: 1}, Table: table}, true)
	reply := p.callAsEarlierVersion(t, "GET / HTTP/1.1\r\nAuthorization: Token k\r\n")
	assert.Equal(t, reply.Parts.Answered, "")
	assert.Equal(t, reply.Parts.Failed, "0 0 0 0 concentrator: head of an earlier version, with a key\n"+
		"1 0 0 0 concentrator: head of an earlier version, with a key\n2 0 0 0 concentrator: head of an earlier version, with a key\n")
}
