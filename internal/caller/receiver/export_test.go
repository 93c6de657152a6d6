package receiver

import (
	"context"

	"apricotflow/internal/query/relayer"
)

// Occupancy counts the requests in flight of each tenant.
type Occupancy struct{ *occupancy }

// NewOccupancy returns an Occupancy with a limit of requests in flight.
func NewOccupancy(limit int) Occupancy { return Occupancy{newOccupancy(limit)} }

// Enter reports whether the tenant may have another request beside those in flight.
func (o Occupancy) Enter(tenant string, inFlight int) bool { return o.enter(tenant, inFlight) }

// Leave ends a request of the tenant.
func (o Occupancy) Leave(tenant string) { o.leave(tenant) }

// Holders returns the number of tenants that are counted.
func (o Occupancy) Holders() int { return len(o.held) }

// RelayInTurn relays the request as one of those in flight.
func (rc *Receiver) RelayInTurn(ctx context.Context, request relayer.Request) relayer.Answer {
	rc.inFlight.Add(1)
	defer rc.inFlight.Add(-1)
	return rc.relayInTurn(ctx, request)
}
