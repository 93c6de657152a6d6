package server_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/caller/server"
	"apricotflow/internal/manifest/authenticator"
	"apricotflow/internal/wire/encoder"
)

// fakeQuotas admits a number of queries and records the tenants.
type fakeQuotas struct {
	left  int
	asked []string
}

func (q *fakeQuotas) Admit(_ context.Context, tenant string, _, _ float64) (bool, time.Duration) {
	q.asked = append(q.asked, tenant)
	q.left--
	return q.left >= 0, 1500 * time.Millisecond
}

func withTenants(t *testing.T) server.Option {
	t.Helper()
	tenants := authenticator.New([]encoder.Tenant{
		{Name: "acme", KeyDigests: []string{authenticator.NewDigest("k1").String()}, Rate: 5},
		{Name: "globex", KeyDigests: []string{authenticator.NewDigest("k2").String(), authenticator.NewDigest("").String()}},
	}, func(path, message string) { t.Error(path, message) })
	return server.WithTenants(func() *authenticator.Tenants { return tenants })
}

// postAs sends a body with the Authorization header, unless that is empty.
func (i instance) postAs(t *testing.T, authorization, path, body string) (int, string, http.Header) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, i.url+path, strings.NewReader(body))
	assert.NilError(t, err)
	if authorization != "" {
		request.Header.Set("Authorization", authorization)
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	raw, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return response.StatusCode, string(raw), response.Header
}

// Guards against queries and tickets for callers without a valid key, and against a refusal that says that a ticketed query
// has not run, which may have run before.
func TestKeyIsRequiredUnlessQueryClassAllowsAnonymous(t *testing.T) {
	f := &fakes{execute: executeWithOutcome(encoder.QueryOutcomeComplete)}
	i := startServer(t, f, withTenants(t))
	for _, c := range []struct {
		authorization, class string
		status               int
	}{
		{"", "q", 401},
		{"", "none", 401},
		{"", "open", 200},
		{"Token k3", "q", 401},
		{"Token k3", "open", 401},
		{"Bearer k1", "q", 401},
		{"Token ", "q", 401},
		{"Token k1", "q", 200},
		{"token k2", "q", 200},
	} {
		before := f.executions.Load()
		status, body, header := i.postAs(t, c.authorization, "/v1/queries", `{"query-class":"`+c.class+`"}`)
		assert.Equal(t, status, c.status, "%v %s", c, body)
		assert.Equal(t, f.executions.Load() > before, c.status == 200)
		if status != 200 {
			assert.Equal(t, header.Get("WWW-Authenticate"), "Token")
			assert.Assert(t, strings.Contains(body, `"unauthorized"`) && strings.Contains(body, `"unknown"`), body)
		}
		ticketStatus, _, _ := i.postAs(t, c.authorization, "/v1/tickets", `{"query-class":"`+c.class+`"}`)
		assert.Equal(t, ticketStatus, c.status, "%v", c)
	}
}

// Guards against queries above the limit of a tenant, and against a ticketed query that counts when it is sent again: it
// would be refused as not run although it has.
func TestQueryAboveLimitIsRefusedAndTicketCountsOnce(t *testing.T) {
	f := &fakes{execute: executeWithOutcome(encoder.QueryOutcomeComplete)}
	quotas := &fakeQuotas{left: 1}
	i := startServer(t, f, withTenants(t), server.WithQuotas(quotas))
	_, body, _ := i.postAs(t, "Token k1", "/v1/tickets", `{"query-class":"order"}`)
	var ticket encoder.TicketReply
	assert.NilError(t, json.Unmarshal([]byte(body), &ticket))
	order := fmt.Sprintf(`{"query-class":"order","ticket":%q}`, ticket.Ticket)
	for range 3 {
		status, body, _ := i.postAs(t, "Token k1", "/v1/queries", order)
		assert.Equal(t, status, 200, body)
	}
	status, body, header := i.postAs(t, "Token k1", "/v1/queries", `{"query-class":"q"}`)
	assert.Equal(t, status, http.StatusTooManyRequests)
	assert.Equal(t, header.Get("Retry-After"), "2")
	assert.Assert(t, strings.Contains(body, `"not-run"`), body)
	status, _, _ = i.postAs(t, "Token k2", "/v1/queries", `{"query-class":"q"}`)
	assert.Equal(t, status, 200)
	assert.DeepEqual(t, quotas.asked, []string{"acme", "acme"})
	assert.Equal(t, f.executions.Load(), int64(2))
	// A ticket of this instance that arrives through another one counts for the tenant that was determined there.
	_, body, _ = i.postAs(t, "Token k1", "/v1/tickets", `{"query-class":"order"}`)
	assert.NilError(t, json.Unmarshal([]byte(body), &ticket))
	tenant := "acme"
	message := encoder.RunTicketRequest{Request: encoder.QueryRequest{QueryClass: "order", Ticket: &ticket.Ticket}, DeadlineMs: 100, Tenant: &tenant}
	reply := i.RunForwardedTicket(t.Context(), message)
	assert.Equal(t, reply.Status, http.StatusTooManyRequests)
	assert.Equal(t, *reply.RetryAfterMs, 1500)
}
