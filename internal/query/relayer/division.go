package relayer

import (
	"sync"
	"time"

	"apricotflow/internal/cluster/enroller"
	"apricotflow/internal/query/placer"
)

// sendDivided sends the requests to targets of one failure domain where queries are placed by CPU capacity. Those of the own
// domain are divided among this instance and peers in proportion to their capacity; those of another domain go through peers
// there that have time for them.
func (f *forwarder) sendDivided(domain string, choices []choice) {
	p := f.placement.placer
	peers := f.usablePeers(domain)
	now := time.Now()
	var shares []placer.Share
	if domain == f.sender.OwnDomain() {
		shares = p.Divide(len(choices), f.sender.InProgress(), peers, now)
	} else {
		query := queryOf(f.request.Route)
		query.Parts = len(choices)
		shares = p.Spread(query, peers, now)
	}
	for _, s := range shares {
		run := p.Begin(s.Instance, placer.Query{Parts: s.Parts}, now)
		f.sendBatch(s.Instance.Instance, choices[:s.Parts], sync.OnceFunc(run.End))
		choices = choices[s.Parts:]
	}
	f.sendDirectly(choices)
}

// usablePeers returns the capacities of the peers in a failure domain that can take a batch. Those that are not connected
// count only if they could run the whole query, because it takes time to connect to them.
func (f *forwarder) usablePeers(domain string) []enroller.Capacity {
	capacities := f.placement.fleet.Capacities()
	query := queryOf(f.request.Route)
	var large []string
	for _, c := range capacities {
		if c.FailureDomain == domain && c.Thousandths > 0 && !c.Suspected && !placer.IsTooWide(query, c.Thousandths) {
			large = append(large, c.Instance)
		}
	}
	usable := make(map[string]bool)
	for _, name := range f.concentrator.UsablePeers(domain, large, f.request.Outbound) {
		usable[name] = true
	}
	var peers []enroller.Capacity
	for _, c := range capacities {
		if c.FailureDomain == domain && usable[c.Instance] {
			peers = append(peers, c)
		}
	}
	return peers
}
