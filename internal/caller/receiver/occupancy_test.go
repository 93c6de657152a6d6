package receiver_test

import (
	"io"
	"testing"
	"testing/synctest"

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

// Guards against a flood of one tenant that uses all requests in flight, against a refusal of others meanwhile or without a
// time to return, against counts that stay after the requests, and against limits for tenants where none are configured.
func TestFloodOfTenantLeavesRoomForOthersWhenTenantsAreConfigured(t *testing.T) {
	for _, configured := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			table, problems := mapper.New(encoder.RoutingTable{Version: 1, Tenants: &encoder.TenantList{Configured: configured}})
			assert.Equal(t, len(problems), 0)
			r := &fakeRelay{answer: relayedAnswer, release: make(chan struct{})}
			rc := receiver.New(platform.CallerHeaders{}, registrar.New(), r, 20, log.New(io.Discard), tally.NoopScope)
			answers := make(chan relayer.Answer, 40)
			send := func(tenant string, n int) {
				for range n {
					go func() {
						answers <- rc.RelayInTurn(t.Context(), relayer.Request{Table: table, Tenant: &authenticator.Tenant{Name: tenant}})
					}()
					synctest.Wait()
				}
			}
			send("flood", 18)
			refused := 0
			if configured {
				refused = 3
				for range refused {
					answer := <-answers
					assert.Equal(t, answer.Outcome, relayer.NotRun)
					assert.Assert(t, answer.RetryAfter > 0)
				}
			}
			assert.Equal(t, rc.InFlight(), 18-refused)
			send("other", 1)
			send("third", 1)
			assert.Equal(t, rc.InFlight(), 20-refused)
			close(r.release)
			for range 20 - refused {
				assert.Equal(t, (<-answers).Outcome, relayer.Relayed)
			}
			assert.Equal(t, rc.CountedTenants(), 0)
		})
	}
}
