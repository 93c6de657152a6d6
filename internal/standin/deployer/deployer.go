// Package deployer generates the manifests of the deployments on the design page.
package deployer

import (
	"fmt"
	"time"

	"apricotflow/internal/standin/hasher"
	"apricotflow/internal/wire/encoder"
)

// Names of the deployments.
const (
	Ulaanbaatar = "ulaanbaatar"
	DarEsSalaam = "dar-es-salaam"
)

const (
	// firstPort is the port of the first target when the plan gets no addresses.
	firstPort = 21000
	// coldLimit is the load that a cold target bears.
	coldLimit = 1
	// replicas is the number of targets that hold a shard, each in another failure domain.
	replicas = 2
)

// Plan is a generated deployment with what a manifest does not hold.
type Plan struct {
	Manifest encoder.Manifest
	// DomainLatency and ClientLatency are one-way.
	DomainLatency, ClientLatency time.Duration
	// Connect holds the delay of a new connection by target.
	Connect map[string]time.Duration
}

// TargetFlags returns the flags of "standin target" for the latency, the service time and the stragglers, about 1 in
// 100 sub-queries.
func (p Plan) TargetFlags() []string {
	return []string{
		"--latency-ms", fmt.Sprint(p.DomainLatency.Seconds() * 1000),
		"--service-ms", "1", "--straggler-percent", "1", "--straggler-ms", "20",
	}
}

// UnknownDeploymentError reports a name that is not a deployment.
type UnknownDeploymentError struct {
	Name string
}

func (e *UnknownDeploymentError) Error() string {
	return fmt.Sprintf("deployer: unknown deployment %q", e.Name)
}

// shape is a deployment at full size.
type shape struct {
	domains                      int
	domainLatency, clientLatency time.Duration
	groups                       []group
}

// group is a number of services that hold one index together.
type group struct {
	name string
	// services is the number of services, leaves the number of targets of each.
	services, leaves   int
	slots, connections int
	connect            time.Duration
	classes            []encoder.QueryClass
}

func class(name string, p encoder.QueryClassPriority, r encoder.QueryClassRouting, deadline int) encoder.QueryClass {
	return encoder.QueryClass{Name: name, Priority: p, Routing: r, DeadlineMs: deadline, Idempotent: true}
}

// once returns a non-idempotent class.
func once(name string, deadline int) encoder.QueryClass {
	c := class(name, encoder.QueryClassPriorityUrgent, encoder.QueryClassRoutingKey, deadline)
	c.Idempotent = false
	return c
}

func shapes() map[string]shape {
	const (
		urgent, normal, background = encoder.QueryClassPriorityUrgent, encoder.QueryClassPriorityNormal, encoder.QueryClassPriorityBackground
		all, key                   = encoder.QueryClassRoutingAll, encoder.QueryClassRoutingKey
	)
	return map[string]shape{
		Ulaanbaatar: {
			domains: 4, domainLatency: 500 * time.Microsecond, clientLatency: 3 * time.Millisecond,
			groups: []group{
				{"counter-search", 20, 2, 2, 25, 6 * time.Millisecond, []encoder.QueryClass{
					class("counter-lookup", urgent, all, 500), once("order-charge", 2000),
				}},
				{"owner-reports", 30, 2, 2, 25, 6 * time.Millisecond, []encoder.QueryClass{class("owner-report", background, all, 2000)}},
				{"receipt-reprint", 1, 10, 3, 100, time.Millisecond, []encoder.QueryClass{class("receipt-reprint", urgent, key, 500)}},
				{"price-list", 1, 4, 3, 100, time.Millisecond, []encoder.QueryClass{
					class("price-list", normal, all, 800), class("stock-check", normal, all, 800),
				}},
			},
		},
		DarEsSalaam: {
			domains: 3, domainLatency: time.Millisecond, clientLatency: 3 * time.Millisecond,
			groups: []group{
				{"buyer-portal", 20, 2, 2, 25, 6 * time.Millisecond, []encoder.QueryClass{class("buyer-search", normal, all, 800)}},
				{"payments", 30, 2, 2, 25, 6 * time.Millisecond, []encoder.QueryClass{
					once("order-place", 2000), class("order-lookup", urgent, key, 500),
				}},
				{"workshop-app", 1, 12, 3, 40, time.Millisecond, []encoder.QueryClass{class("workshop-app", normal, all, 800)}},
				{"dispatch-board", 1, 6, 3, 40, time.Millisecond, []encoder.QueryClass{
					class("dispatch-board", urgent, all, 500), class("stock-check", urgent, all, 800),
				}},
			},
		},
	}
}

// New generates a deployment with the number of services and leaves divided by scale. The addresses of targets
// come from address, or are consecutive ports when it is nil.
func New(deployment string, scale int, address func() string) (Plan, error) {
	s, found := shapes()[deployment]
	if !found {
		return Plan{}, &UnknownDeploymentError{Name: deployment}
	}
	if address == nil {
		port := firstPort - 1
		address = func() string {
			port++
			return fmt.Sprintf("127.0.0.1:%d", port)
		}
	}
	g := &generator{
		scale:   max(scale, 1),
		address: address,
		plan: Plan{
			DomainLatency: s.domainLatency, ClientLatency: s.clientLatency, Connect: make(map[string]time.Duration),
			Manifest: encoder.Manifest{
				Deployment: deployment, Generation: 1,
				Limits: encoder.Limits{ExtraLoadPercent: 2, HedgeQuantilePercent: 95, LeaseMs: 3000, Owners: 2, TicketMs: 30000},
			},
		},
	}
	for i := range s.domains {
		name := fmt.Sprintf("%s-%c", deployment, 'a'+i)
		g.plan.Manifest.FailureDomains = append(g.plan.Manifest.FailureDomains, encoder.FailureDomain{
			Name: name, Region: deployment, State: encoder.FailureDomainStateOpen,
		})
	}
	for _, group := range s.groups {
		g.add(group)
	}
	return g.plan, nil
}

type generator struct {
	plan    Plan
	scale   int
	address func() string
	// placed is the number of services placed so far; it spreads them over the failure domains.
	placed int
}

func (g *generator) add(p group) {
	m := &g.plan.Manifest
	services := max(1, divide(p.services, g.scale))
	leaves := max(replicas, divide(p.leaves, g.scale))
	if p.services > 1 {
		leaves = p.leaves
	}
	shards := make([]encoder.Shard, 0, services*leaves)
	for i := range services {
		name := p.name
		if services > 1 {
			name = fmt.Sprintf("%s-%02d", p.name, i+1)
		}
		s := g.service(name, leaves, p)
		m.Services = append(m.Services, s)
		shards = append(shards, shardsOf(s, p.name, len(shards))...)
	}
	m.Indexes = append(m.Indexes, encoder.Index{
		Name: p.name, Versions: []encoder.IndexVersion{{Version: 1, Shards: shards}},
	})
	for _, c := range p.classes {
		c.Index = p.name
		m.QueryClasses = append(m.QueryClasses, c)
	}
}

// service places the leaves of a service on failure domains in turn; neighbours are in different ones.
func (g *generator) service(name string, leaves int, p group) encoder.Service {
	domains := g.plan.Manifest.FailureDomains
	s := encoder.Service{Name: name}
	for i := range leaves {
		t := encoder.Target{
			Name: fmt.Sprintf("%s-%c", name, 'a'+i), Address: g.address(),
			FailureDomain: domains[(g.placed+i)%len(domains)].Name,
			Slots:         p.slots, Connections: p.connections, ColdLimit: coldLimit, State: encoder.TargetStateServing,
		}
		s.Targets = append(s.Targets, t)
		g.plan.Connect[t.Name] = p.connect
	}
	g.placed++
	return s
}

// shardsOf gives a service as many shards as replicas allow, each on the targets of different failure domains.
func shardsOf(s encoder.Service, index string, first int) []encoder.Shard {
	count := len(s.Targets)
	if count == replicas {
		count = 1
	}
	shards := make([]encoder.Shard, 0, count)
	for i := range count {
		name := fmt.Sprintf("s%03d", first+i)
		shards = append(shards, encoder.Shard{
			Name: name, Documents: hasher.Documents(index, 1, name),
			Replicas: []string{s.Targets[i].Name, s.Targets[partner(s.Targets, i)].Name},
		})
	}
	return shards
}

// partner returns the next target in another failure domain than target i.
func partner(targets []encoder.Target, i int) int {
	for step := 1; step < len(targets); step++ {
		n := (i + step) % len(targets)
		if targets[n].FailureDomain != targets[i].FailureDomain {
			return n
		}
	}
	return i
}

// divide rounds up.
func divide(n, by int) int {
	return (n + by - 1) / by
}
