package receiver

import (
	"context"
	"sync"

	"apricotflow/internal/query/relayer"
)

// crowdedFraction is the fraction of the requests in flight from which a tenant may not have more than its fair share. The
// rest is left to tenants that hold less, also when a single tenant sends without end.
const crowdedFraction = 0.75

// reasonTenantShare is the reason of refusals by occupancy.
const reasonTenantShare = "tenant has more than its fair share of the requests in flight"

// occupancy counts the requests in flight of each tenant and decides which tenant may have another one. Anonymous
// requests count as those of one tenant without a name.
type occupancy struct {
	// limit is the maximum number of requests in flight.
	limit int

	mu sync.Mutex
	// held holds the number of requests in flight of each tenant that has any.
	held map[string]int
}

func newOccupancy(limit int) *occupancy { return &occupancy{limit: limit, held: make(map[string]int)} }

// fairShare returns the number of requests in flight that the tenant may have while the instance is crowded: an equal
// part, with one part left for a tenant that has none yet. The caller holds the lock.
func (o *occupancy) fairShare(tenant string) int {
	holders := len(o.held)
	if o.held[tenant] == 0 {
		holders++
	}
	return max(o.limit/(holders+1), 1)
}

// mayEnter reports whether the tenant may have another request in flight beside the given number of all. The caller
// holds the lock.
func (o *occupancy) mayEnter(tenant string, inFlight int) bool {
	return float64(inFlight) < crowdedFraction*float64(o.limit) || o.held[tenant] < o.fairShare(tenant)
}

// enter counts another request of the tenant, and reports whether it may have one. The number of all requests in flight
// does not include it.
func (o *occupancy) enter(tenant string, inFlight int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.mayEnter(tenant, inFlight) {
		return false
	}
	o.held[tenant]++
	return true
}

// describe returns how many requests in flight the tenant has and may have while the instance is crowded, and whether it
// may have another one beside those in flight.
func (o *occupancy) describe(tenant string, inFlight int) (held, share int, mayEnter bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.held[tenant], o.fairShare(tenant), o.mayEnter(tenant, inFlight)
}

func (o *occupancy) leave(tenant string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.held[tenant]--; o.held[tenant] <= 0 {
		delete(o.held, tenant)
	}
}

// relayInTurn relays the request, or refuses it if the instance is crowded and its tenant has more requests in flight than
// its fair share. Without tenants in the configuration, it refuses none.
func (rc *Receiver) relayInTurn(ctx context.Context, request relayer.Request) relayer.Answer {
	if request.Table.Tenants() == nil {
		return rc.relay.Relay(ctx, request)
	}
	tenant := ""
	if request.Tenant != nil {
		tenant = request.Tenant.Name
	}
	if !rc.occupancy.enter(tenant, int(rc.inFlight.Load())-1) {
		rc.scope.Counter("receiver-overload").Inc(1)
		return relayer.Answer{
			Outcome: relayer.NotRun, RetryAfter: overloadRetryAfter,
			Decisions: []relayer.Decision{{Event: reasonTenantShare}},
		}
	}
	defer rc.occupancy.leave(tenant)
	return rc.relay.Relay(ctx, request)
}
