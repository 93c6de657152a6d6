package picker

import (
	"math"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/mapper"
)

// Assignment divides what all instances share among instances of different CPU capacity. The number of instances is the
// estimate that applies to equal shares.
type Assignment interface {
	// Connections returns the number of connections that this instance may have to a target, of the usable ones. It returns
	// false if the target's connections are not assigned.
	Connections(t registrar.Target, usable, instances int) (connections int, assigned bool)
	// Divisor returns the number by which this instance divides what all instances share for a service.
	Divisor(service string, instances int) int
	// ColdAllowance returns the number of requests within a second to a cold target, of a total for all instances. It
	// returns false if the total is divided equally.
	ColdAllowance(t registrar.Target, total, instances int) (allowance int, assigned bool)
}

// equalShares implements Assignment for instances that share everything equally.
type equalShares struct{}

func (equalShares) Connections(registrar.Target, int, int) (int, bool) { return 0, false }

func (equalShares) Divisor(_ string, instances int) int { return instances }

func (equalShares) ColdAllowance(registrar.Target, int, int) (int, bool) { return 0, false }

// UsableConnections returns the number of connections to a target of the service that all instances together may use; 0 if
// the service has no limit.
func UsableConnections(service mapper.Service) int {
	return int(float64(service.MaxConnections) * usableConnectionShare)
}

// RequestLimit returns the maximum number of requests that this instance may have in flight to a target, each on a
// connection of its own. Requests beyond the slots only queue at the target, and a target with a long queue accepts
// fewer connections.
func (p *Picker) RequestLimit(t registrar.Target, service mapper.Service) int {
	instances := p.assignment.Divisor(t.Service, p.instances())
	useful := max(int(math.Ceil(requestsPerSlot*float64(slots(t))/float64(instances))), minLimit)
	connections := p.ConnectionLimit(t, service)
	if connections == 0 {
		// Other instances hold the connections and send the requests.
		return minLimit
	}
	return min(connections, useful)
}

// ConnectionLimit returns the maximum number of connections that this instance may have to a target of the service.
// If there are not enough for all instances, each instance of another failure domain gets one. The instances in the
// domain of the target share the rest, because they also send for peers in other domains; see package concentrator. Where
// connections are assigned to instances, it may be 0.
func (p *Picker) ConnectionLimit(t registrar.Target, service mapper.Service) int {
	if service.MaxConnections <= 0 {
		return defaultConnectionLimit
	}
	usable := UsableConnections(service)
	instances := p.instances()
	if connections, assigned := p.assignment.Connections(t, usable, instances); assigned {
		return connections
	}
	if evenShare := usable / instances; evenShare >= minEvenShare {
		return evenShare
	}
	if t.FailureDomain != p.domain {
		return 1
	}
	domainInstances := max(p.fleet.CountInstancesIn(p.domain), 1)
	return max((usable-(instances-domainInstances))/domainInstances, 1)
}
