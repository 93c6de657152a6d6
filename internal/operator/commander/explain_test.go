package commander_test

import (
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"apricotflow/internal/operator/commander"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/operator/server"
	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/wire/encoder"
)

// Guards against figures, exclusions or refusals that the text leaves out, and against JSON that differs from the reply.
func TestExplainPrintsDecisionAsTextOrJSON(t *testing.T) {
	explained := encoder.ExplainReply{
		Version: 7, Route: "search", Tenant: "acme", TenantRate: 50, TenantBurst: 10, InFlight: 3, InFlightLimit: 100, TenantInFlight: 2, TenantShare: 50,
		Refusals: []encoder.ExplainedRefusal{{Status: 503, Reason: "queue too long", RetryAfterMs: 120}}, Notes: []string{"a note"},
		Services: []encoder.ExplainedService{{
			Service: "s0", PreferredDomain: "east", MedianMs: 12.5, HedgeDelayMs: 30, Ahead: 4, TenantGot: 9.25, LimitWaitMs: 40,
			Candidates: []encoder.ExplainedCandidate{
				{
					Target: "t1", FailureDomain: "east", ScoreMs: 114.2, LatencyMs: 14.2, ByCost: true, WorkMs: 9.1, WaitMs: 4.5, InFlight: 1, Limit: 5, RelativeLatency: 1.1,
					OtherRequests: 2.5, Cold: true, BacklogPenaltyMs: 1, DomainPenaltyMs: 2, OverduePenaltyMs: 3, FailurePenaltyMs: 4, LimitPenaltyMs: 5,
				},
				{Target: "t2", FailureDomain: "west", Excluded: "draining"},
			},
		}},
	}
	clock := timekeeper.NewHybridClock(time.Now)
	s := server.New(server.Identity{Instance: "a"}, recorder.New("a", clock, 1), fakeTotals{}, clock,
		server.WithExplain(func(host, path, tenant, id string) encoder.ExplainReply {
			reply := explained
			reply.Host, reply.Path, reply.RequestId = host, path, id
			assert.Check(t, tenant == "acme")
			return reply
		}))
	api := httptest.NewServer(s.Handler())
	t.Cleanup(api.Close)
	arguments := []string{"explain", "--address", api.Listener.Addr().String(), "--host", "h", "--path", "/p", "--tenant", "acme", "--id", "r1"}
	text := runCommand(nil, arguments...)
	assert.Equal(t, text.code, commander.ExitSuccess, text.errOut)
	for _, part := range []string{
		"instance   a, version 7", "route      search", "acme, 50 requests/s with a burst of 10", "3 of 100, 2 of the tenant, whose share is 50",
		"refused by 503: queue too long, retry after 120ms", "note       a note",
		"service s0: median 12.5ms, hedge after 30ms, 4 waiting go first, tenant got 9.2, preferred domain east, request limits allow one after 40ms",
		"114.2ms", " 14.2ms", "9.1ms", "4.5ms", "1/5", "1.10", "2.5", "left out: draining",
		"cold, backlog +1ms, other domain +2ms, overdue reply +3ms, failures +4ms, request limit +5ms",
	} {
		assert.Assert(t, strings.Contains(text.out, part), "%q in %s", part, text.out)
	}
	var reply encoder.ExplainReply
	assert.NilError(t, json.Unmarshal([]byte(runCommand(nil, append(arguments, "--json")...).out), &reply))
	explained.Instance, explained.Host, explained.Path, explained.RequestId = "a", "h", "/p", "r1"
	assert.DeepEqual(t, reply, explained)
	assert.Equal(t, runCommand(nil, "explain", "--address", "127.0.0.1:1", "--host", "h", "--path", "/p").code, commander.ExitFailed)
	assert.Equal(t, runCommand(nil, "explain", "--address", "127.0.0.1:1", "--host", "h", "--path", "p").code, commander.ExitUsage)
	assert.Equal(t, runCommand(nil, "explain", "--address", "127.0.0.1:1", "--path", "/p").code, commander.ExitUsage)
}
