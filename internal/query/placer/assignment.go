package placer

import (
	"slices"
	"sync"

	"apricotflow/internal/cluster/enroller"
	"apricotflow/internal/cluster/owner"
	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/manifest/mapper"
)

const (
	// largeShare is the minimum capacity of a large instance, relative to the largest one. Large instances run the queries
	// that are too wide for others.
	largeShare = 0.5
	// smallPoolShare is the maximum share of the connections of a target that small instances hold together. They use them
	// when no large instance has room.
	smallPoolShare = 0.5
	// ownDomainWeight is the weight of large instances in the failure domain of a target for its connections. They send for
	// the instances of other domains too.
	ownDomainWeight = 3
)

// Fleet lists the other instances with their CPU capacities. A slice is not changed: after a change of the instances,
// another one is returned.
type Fleet interface {
	Capacities() []enroller.Capacity
}

// Assigner decides which instances hold the connections to the targets of sharded queries, and how the limits of these
// targets are divided. It assigns nothing unless a query is too wide for an instance. It is safe for concurrent use.
type Assigner struct {
	own   enroller.Capacity
	fleet Fleet
	table func() *mapper.Table
	// joining reports whether this instance may not know most of the others yet.
	joining func() bool

	mu      sync.Mutex
	current *assignment
}

// assignment holds what is decided for a routing table and a list of instances.
type assignment struct {
	table  *mapper.Table
	others []enroller.Capacity
	// shards holds the services whose targets run only parts of queries; nil if no query is too wide for an instance.
	shards map[string]bool
	// large and small are the numbers of large instances and of others with a known capacity, including this one.
	large, small int
	// isLarge reports whether this instance is large, and isTooSmall whether a query is too wide for it.
	isLarge, isTooSmall bool
	// connections caches the connections of this instance.
	connections map[connectionsKey]int
}

type connectionsKey struct {
	target, domain string
	usable         int
}

// NewAssigner returns an Assigner for this instance. The function table returns the routing table in force, or nil.
func NewAssigner(own enroller.Capacity, fleet Fleet, table func() *mapper.Table, opts ...Option) *Assigner {
	a := &Assigner{own: own, fleet: fleet, table: table, joining: func() bool { return false }}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Option configures an Assigner.
type Option func(*Assigner)

// WithJoining sets the function that reports whether this instance may not know most of the others yet.
func WithJoining(joining func() bool) Option {
	return func(a *Assigner) { a.joining = joining }
}

// assignment returns the current assignment. The lock must be held.
func (a *Assigner) assignment() *assignment {
	table, others := a.table(), a.fleet.Capacities()
	if c := a.current; c != nil && c.table == table && isSame(c.others, others) {
		return c
	}
	next := &assignment{table: table, others: others, connections: make(map[connectionsKey]int)}
	a.current = next
	if table == nil || a.own.Thousandths <= 0 || !isAnyTooWide(table, append(slices.Clone(others), a.own)) {
		return next
	}
	next.shards = shardsOf(table)
	threshold := largeThreshold(append(slices.Clone(others), a.own))
	next.isLarge, next.isTooSmall = isLarge(a.own, threshold), isAnyTooWide(table, []enroller.Capacity{a.own})
	for _, c := range append(slices.Clone(others), a.own) {
		switch {
		case isLarge(c, threshold):
			next.large++
		case c.Thousandths > 0:
			next.small++
		}
	}
	return next
}

// isSame reports whether two lists are the same slice.
func isSame(a, b []enroller.Capacity) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func isAnyTooWide(table *mapper.Table, instances []enroller.Capacity) bool {
	return slices.ContainsFunc(table.ShardedRoutes(), func(r *mapper.Route) bool {
		return slices.ContainsFunc(instances, func(c enroller.Capacity) bool { return IsTooWide(NewQuery(r), c.Thousandths) })
	})
}

// shardsOf returns the services whose targets run only parts of queries.
func shardsOf(table *mapper.Table) map[string]bool {
	shards := make(map[string]bool)
	for _, r := range table.ShardedRoutes() {
		for _, s := range r.Shards {
			shards[s] = !table.IsDestination(s)
		}
	}
	return shards
}

// largeThreshold returns the minimum capacity of a large instance.
func largeThreshold(instances []enroller.Capacity) int {
	largest := 0
	for _, c := range instances {
		largest = max(largest, c.Thousandths)
	}
	return int(largeShare * float64(largest))
}

func isLarge(c enroller.Capacity, threshold int) bool {
	return c.Thousandths > 0 && c.Thousandths >= threshold
}

// Connections returns the number of connections that this instance may have to a target, of those that all instances together
// may use. It returns false if they are not assigned, because each instance may have one or the target runs more than parts
// of queries.
func (a *Assigner) Connections(t registrar.Target, usable, instances int) (connections int, assigned bool) {
	if a.own.Thousandths <= 0 {
		return 0, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	current := a.assignment()
	switch {
	case !current.shards[t.Service]:
		return 0, false
	case usable >= instances && current.isTooSmall && a.joining():
		// After a start of all instances, each one would divide the connections by the few others that it knows.
		return 1, true
	case usable >= instances:
		return 0, false
	}
	key := connectionsKey{target: t.ID, domain: t.FailureDomain, usable: usable}
	n, found := current.connections[key]
	if !found {
		n = Assign(a.own, current.others, t.ID, t.FailureDomain, usable)
		current.connections[key] = n
	}
	return n, true
}

// Holders returns those of the given instances that hold connections to a target.
func (a *Assigner) Holders(t registrar.Target, usable int, instances []enroller.Capacity) []enroller.Capacity {
	all := append(slices.Clone(a.fleet.Capacities()), a.own)
	var holders []enroller.Capacity
	for _, c := range instances {
		others := slices.DeleteFunc(slices.Clone(all), func(other enroller.Capacity) bool { return other.Instance == c.Instance })
		if Assign(c, others, t.ID, t.FailureDomain, usable) > 0 {
			holders = append(holders, c)
		}
	}
	return holders
}

// IsLarge reports whether another instance is large.
func (a *Assigner) IsLarge(c enroller.Capacity) bool {
	return isLarge(c, largeThreshold(append(slices.Clone(a.fleet.Capacities()), a.own)))
}

// Divisor returns the number by which this instance divides what all instances share for a service. For targets of queries,
// the large instances, which run most of the queries, share one half and the small ones the other. Each instance of unknown
// capacity takes an equal share.
func (a *Assigner) Divisor(service string, instances int) int {
	if a.own.Thousandths <= 0 {
		return instances
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	current := a.assignment()
	if !current.shards[service] || current.large == 0 || current.small == 0 {
		return instances
	}
	class := current.small
	if current.isLarge {
		class = current.large
	}
	known := min(current.large+current.small, instances)
	// Rounded up, so that the shares do not add up to more than the whole.
	return (2*class*instances + known - 1) / known
}

// ColdAllowance returns the number of requests that this instance may send to a cold target, of a total for all instances.
// It returns false if the total is divided equally.
func (a *Assigner) ColdAllowance(t registrar.Target, total, instances int) (allowance int, assigned bool) {
	divisor := a.Divisor(t.Service, instances)
	a.mu.Lock()
	defer a.mu.Unlock()
	current := a.assignment()
	if !current.shards[t.Service] || current.large == 0 || current.small == 0 {
		return 0, false
	}
	if total >= divisor {
		return total / divisor, true
	}
	// Less than one request for each instance of the class: the first ones in the rendezvous order send one each. If there
	// is not one for each large instance, the small ones send none.
	threshold := largeThreshold(append(slices.Clone(current.others), a.own))
	class := slices.DeleteFunc(slices.Clone(current.others), func(c enroller.Capacity) bool { return isLarge(c, threshold) != current.isLarge })
	limit := total * (current.large + current.small) / max(instances, 1)
	switch {
	case limit < 2*current.large && !current.isLarge:
		limit = 0
	case limit >= 2*current.large:
		limit /= 2
	}
	if countPreceding(t.ID, a.own, class) < limit {
		return 1, true
	}
	return 0, true
}

// Assign returns the number of connections of an instance to a target of a failure domain, of those that all instances may
// use. All instances that know the same others assign the same, so that they never exceed the usable ones together. The
// large instances hold most of them, those in the domain of the target more than others. Of the small ones, those in the
// domain of the target come first, and then the others, in the rendezvous order for the target; each holds one.
func Assign(own enroller.Capacity, others []enroller.Capacity, target, domain string, usable int) int {
	threshold := largeThreshold(append(slices.Clone(others), own))
	class := func(c enroller.Capacity) int {
		rank := 0
		if !isLarge(c, threshold) {
			rank = 2
		}
		if c.FailureDomain != domain {
			rank++
		}
		return rank
	}
	var sizes [4]int
	preceding := 0
	ownClass := class(own)
	var peers []enroller.Capacity
	for _, c := range others {
		k := class(c)
		sizes[k]++
		switch {
		case k < ownClass:
			preceding++
		case k == ownClass:
			peers = append(peers, c)
		}
	}
	sizes[ownClass]++
	preceding += countPreceding(target, own, peers)
	large, small := sizes[0]+sizes[1], sizes[2]+sizes[3]
	if large >= usable {
		if preceding < usable {
			return 1
		}
		return 0
	}
	smallPool := min(small, int(smallPoolShare*float64(usable)), usable-large)
	if ownClass >= 2 {
		if preceding-large < smallPool {
			return 1
		}
		return 0
	}
	weight, total := 1, ownDomainWeight*sizes[0]+sizes[1]
	if ownClass == 0 {
		weight = ownDomainWeight
	}
	return 1 + (usable-smallPool-large)*weight/total
}

// countPreceding returns the number of others that come before an instance in the rendezvous order.
func countPreceding(key string, own enroller.Capacity, others []enroller.Capacity) int {
	names := make([]string, len(others))
	for i, c := range others {
		names[i] = c.Instance
	}
	return owner.CountPreceding(key, own.Instance, names)
}
