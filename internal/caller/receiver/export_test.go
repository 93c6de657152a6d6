package receiver

import (
	"context"

	"apricotflow/internal/query/relayer"
)

// RelayInTurn relays the request as one of those in flight.
func (rc *Receiver) RelayInTurn(ctx context.Context, request relayer.Request) relayer.Answer {
	rc.inFlight.Add(1)
	defer rc.inFlight.Add(-1)
	return rc.relayInTurn(ctx, request)
}

// CountedTenants returns the number of tenants with requests in flight.
func (rc *Receiver) CountedTenants() int { return len(rc.occupancy.held) }
