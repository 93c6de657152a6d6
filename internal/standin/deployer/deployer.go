// Package deployer generates the manifests of the sample deployments, which run in native mode, at full size or scaled
// down, and the later generations that scenarios publish. The demo, the benchmarks, the soak and the command line use
// it. It starts nothing; that is left to package launcher.
package deployer

import (
	"fmt"
	"time"

	"apricotflow/internal/standin/hasher"
	"apricotflow/internal/wire/encoder"
)

// Names of the deployments, which are described on the design page.
const (
	Ulaanbaatar = "ulaanbaatar"
	DarEsSalaam = "dar-es-salaam"
)

const (
	// firstPort is the port of the first target if New gets no function for addresses.
	firstPort = 21000
	// targetColdLimit is the cold limit of every target: the maximum number of sub-queries that the instances together
	// may have running on it while it is cold.
	targetColdLimit = 1
	// replicasPerShard is the number of targets that hold a shard, each in a different failure domain.
	replicasPerShard = 2
)

// Plan is a generated deployment: its manifest and what the stand-ins need beyond that.
type Plan struct {
	Manifest encoder.Manifest
	// DomainLatency is the one-way latency to the targets, ClientLatency the one from the callers to the instances.
	DomainLatency, ClientLatency time.Duration
	// ConnectDelays holds the delay of a new connection, by target.
	ConnectDelays map[string]time.Duration
}

// TargetFlags returns the flags of "standin target" for the latency and the service time. About 1 in 100 sub-queries is
// a straggler.
func (p Plan) TargetFlags() []string {
	return []string{
		"--latency-ms", fmt.Sprint(p.DomainLatency.Seconds() * 1000),
		"--service-ms", "1", "--straggler-percent", "1", "--straggler-ms", "20",
	}
}

// UnknownDeploymentError reports a name that isn't one of a deployment.
type UnknownDeploymentError struct {
	Name string
}

func (e *UnknownDeploymentError) Error() string {
	return fmt.Sprintf("deployer: unknown deployment %q", e.Name)
}

// deploymentSpec describes a deployment at full size.
type deploymentSpec struct {
	domains                      int
	domainLatency, clientLatency time.Duration
	indexes                      []indexSpec
}

// indexSpec describes an index and the services that hold its shards.
type indexSpec struct {
	name string
	// services is the number of services, targets the number of targets of each.
	services, targets  int
	slots, connections int
	connectDelay       time.Duration
	queryClasses       []encoder.QueryClass
}

func idempotentClass(name string, p encoder.QueryClassPriority, r encoder.QueryClassRouting, deadline int) encoder.QueryClass {
	return encoder.QueryClass{Name: name, Priority: p, Routing: r, DeadlineMs: deadline, Idempotent: true}
}

// nonIdempotentClass returns an urgent, non-idempotent query class that is routed by key.
func nonIdempotentClass(name string, deadline int) encoder.QueryClass {
	c := idempotentClass(name, encoder.QueryClassPriorityUrgent, encoder.QueryClassRoutingKey, deadline)
	c.Idempotent = false
	return c
}

func deploymentSpecs() map[string]deploymentSpec {
	const (
		urgent, normal, background = encoder.QueryClassPriorityUrgent, encoder.QueryClassPriorityNormal, encoder.QueryClassPriorityBackground
		all, key                   = encoder.QueryClassRoutingAll, encoder.QueryClassRoutingKey
	)
	return map[string]deploymentSpec{
		Ulaanbaatar: {
			domains: 4, domainLatency: 500 * time.Microsecond, clientLatency: 3 * time.Millisecond,
			indexes: []indexSpec{
				{"counter-search", 20, 2, 2, 25, 6 * time.Millisecond, []encoder.QueryClass{
					idempotentClass("counter-lookup", urgent, all, 500), nonIdempotentClass("order-charge", 2000),
				}},
				{"owner-reports", 30, 2, 2, 25, 6 * time.Millisecond, []encoder.QueryClass{idempotentClass("owner-report", background, all, 2000)}},
				{"receipt-reprint", 1, 10, 3, 100, time.Millisecond, []encoder.QueryClass{idempotentClass("receipt-reprint", urgent, key, 500)}},
				{"price-list", 1, 4, 3, 100, time.Millisecond, []encoder.QueryClass{
					idempotentClass("price-list", normal, all, 800), idempotentClass("stock-check", normal, all, 800),
				}},
			},
		},
		DarEsSalaam: {
			domains: 3, domainLatency: time.Millisecond, clientLatency: 3 * time.Millisecond,
			indexes: []indexSpec{
				{"buyer-portal", 20, 2, 2, 25, 6 * time.Millisecond, []encoder.QueryClass{idempotentClass("buyer-search", normal, all, 800)}},
				{"payments", 30, 2, 2, 25, 6 * time.Millisecond, []encoder.QueryClass{
					nonIdempotentClass("order-place", 2000), idempotentClass("order-lookup", urgent, key, 500),
				}},
				{"workshop-app", 1, 12, 3, 40, time.Millisecond, []encoder.QueryClass{idempotentClass("workshop-app", normal, all, 800)}},
				{"dispatch-board", 1, 6, 3, 40, time.Millisecond, []encoder.QueryClass{
					idempotentClass("dispatch-board", urgent, all, 500), idempotentClass("stock-check", urgent, all, 800),
				}},
			},
		},
	}
}

// New generates a deployment in which the number of services of each index is divided by divisor. If an index has a
// single service, its number of targets is divided instead, but at least two stay. The targets get their addresses from
// address, or consecutive ports on loopback if it is nil.
func New(deployment string, divisor int, address func() string) (Plan, error) {
	s, found := deploymentSpecs()[deployment]
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
		divisor: max(divisor, 1),
		address: address,
		plan: Plan{
			DomainLatency: s.domainLatency, ClientLatency: s.clientLatency, ConnectDelays: make(map[string]time.Duration),
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
	for _, spec := range s.indexes {
		g.addIndex(spec)
	}
	return g.plan, nil
}

type generator struct {
	plan    Plan
	divisor int
	address func() string
	// serviceCount is the number of services generated so far. It determines the failure domain of the next service's
	// first target, which spreads the services over the failure domains.
	serviceCount int
}

func (g *generator) addIndex(spec indexSpec) {
	m := &g.plan.Manifest
	services := max(1, ceilDivide(spec.services, g.divisor))
	targets := max(replicasPerShard, ceilDivide(spec.targets, g.divisor))
	if spec.services > 1 {
		targets = spec.targets
	}
	shards := make([]encoder.Shard, 0, services*targets)
	for i := range services {
		name := spec.name
		if services > 1 {
			name = fmt.Sprintf("%s-%02d", spec.name, i+1)
		}
		s := g.newService(name, targets, spec)
		m.Services = append(m.Services, s)
		shards = append(shards, newShards(s, spec.name, len(shards))...)
	}
	m.Indexes = append(m.Indexes, encoder.Index{
		Name: spec.name, Versions: []encoder.IndexVersion{{Version: 1, Shards: shards}},
	})
	for _, c := range spec.queryClasses {
		c.Index = spec.name
		m.QueryClasses = append(m.QueryClasses, c)
	}
}

// newService generates a service whose targets are placed on the failure domains in turn, so that consecutive targets
// are in different ones.
func (g *generator) newService(name string, targets int, spec indexSpec) encoder.Service {
	domains := g.plan.Manifest.FailureDomains
	s := encoder.Service{Name: name}
	for i := range targets {
		t := encoder.Target{
			Name: fmt.Sprintf("%s-%c", name, 'a'+i), Address: g.address(),
			FailureDomain: domains[(g.serviceCount+i)%len(domains)].Name,
			Slots:         spec.slots, Connections: spec.connections, ColdLimit: targetColdLimit, State: encoder.TargetStateServing,
		}
		s.Targets = append(s.Targets, t)
		g.plan.ConnectDelays[t.Name] = spec.connectDelay
	}
	g.serviceCount++
	return s
}

// newShards returns the shards of a service, each on two targets in different failure domains: one shard if the service
// has just those two, otherwise one for each target.
func newShards(s encoder.Service, index string, first int) []encoder.Shard {
	count := len(s.Targets)
	if count == replicasPerShard {
		count = 1
	}
	shards := make([]encoder.Shard, 0, count)
	for i := range count {
		name := fmt.Sprintf("s%03d", first+i)
		shards = append(shards, encoder.Shard{
			Name: name, Documents: hasher.DocumentCount(index, 1, name),
			Replicas: []string{s.Targets[i].Name, s.Targets[replicaPartner(s.Targets, i)].Name},
		})
	}
	return shards
}

// replicaPartner returns the index of the next target after target i that is in another failure domain, or i if there
// is none, which does not occur in the sample deployments.
func replicaPartner(targets []encoder.Target, i int) int {
	for step := 1; step < len(targets); step++ {
		n := (i + step) % len(targets)
		if targets[n].FailureDomain != targets[i].FailureDomain {
			return n
		}
	}
	return i
}

// ceilDivide divides and rounds up.
func ceilDivide(n, by int) int {
	return (n + by - 1) / by
}
