package gauger

import (
	"fmt"
	"time"

	"apricotflow/internal/standin/deployer"
	"apricotflow/internal/standin/hasher"
	"apricotflow/internal/wire/encoder"
)

// QueryClass is the only query class of a plan. It queries all shards of the index "index".
const QueryClass = "search"

// NewPlan returns a deployment in which every service holds one shard, with one target in each failure domain. At the
// design size, 13,000 targets in 13 failure domains hold 1,000 shards in this way; the query benchmarks use 970.
func NewPlan(domains, targets int, address func(i int) string) deployer.Plan {
	m := encoder.Manifest{
		Deployment: "capacity", Generation: 1,
		Limits:       encoder.Limits{ExtraLoadPercent: 2, HedgeQuantilePercent: 95, LeaseMs: 3000, Owners: 2, TicketMs: 30000},
		QueryClasses: []encoder.QueryClass{{Name: QueryClass, Index: "index", Priority: "urgent", Idempotent: true, Routing: "all", DeadlineMs: 1000}},
	}
	for i := range domains {
		m.FailureDomains = append(m.FailureDomains, encoder.FailureDomain{
			Name: domainName(i), Region: fmt.Sprintf("region-%d", i%6), State: encoder.FailureDomainStateOpen,
		})
	}
	version := encoder.IndexVersion{Version: 1}
	for i := range targets {
		service, domain := i/domains, i%domains
		if domain == 0 {
			name := fmt.Sprintf("shard-%04d", service)
			m.Services = append(m.Services, encoder.Service{Name: name})
			version.Shards = append(version.Shards, encoder.Shard{Name: name, Documents: hasher.DocumentCount("index", 1, name)})
		}
		t := encoder.Target{
			Name: fmt.Sprintf("leaf-%04d-%02d", service, domain), Address: address(i), FailureDomain: domainName(domain),
			State: encoder.TargetStateServing, Slots: 3, Connections: 40, ColdLimit: 1,
		}
		m.Services[service].Targets = append(m.Services[service].Targets, t)
		version.Shards[service].Replicas = append(version.Shards[service].Replicas, t.Name)
	}
	m.Indexes = []encoder.Index{{Name: "index", Versions: []encoder.IndexVersion{version}}}
	return deployer.Plan{Manifest: m, ConnectDelays: make(map[string]time.Duration)}
}

// NewMemberList returns a member list whose instances are spread over the failure domains.
func NewMemberList(domains, instances int) encoder.MemberList {
	list := encoder.MemberList{Revision: 1, Targets: []encoder.MemberTarget{}}
	for i := range instances {
		list.Instances = append(list.Instances, encoder.MemberInstance{
			Name: fmt.Sprintf("instance-%04d", i), FailureDomain: domainName(i % domains), State: encoder.MemberInstanceStateLive,
			PeerAddress: fmt.Sprintf("10.%d.%d.1:7100", i/250, i%250), AdminAddress: fmt.Sprintf("10.%d.%d.1:7200", i/250, i%250),
		})
	}
	return list
}

// UnusedAddress returns the address of a target that is never called.
func UnusedAddress(i int) string {
	return fmt.Sprintf("10.%d.%d.2:7000", 100+i/250, i%250)
}

func domainName(i int) string {
	return fmt.Sprintf("domain-%02d", i)
}
