package relayer

import (
	"slices"
	"sync"
	"time"

	"apricotflow/internal/cluster/enroller"
	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/query/placer"
	"apricotflow/internal/target/picker"
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
		query := placer.NewQuery(f.request.Route)
		query.Parts = len(choices)
		shares = p.Spread(query, peers, now)
	}
	for _, s := range shares {
		run := p.Begin(s.Instance, placer.Query{Parts: s.Parts}, now)
		f.sendBatch(s.Instance.Instance, choices[:s.Parts:s.Parts], sync.OnceFunc(run.End))
		choices = choices[s.Parts:]
	}
	held := choices[:0]
	var unheld []choice
	for _, c := range choices {
		if f.holds(c.target) {
			held = append(held, c)
			continue
		}
		unheld = append(unheld, c)
	}
	f.sendDirectly(held)
	if len(unheld) > 0 && !f.sendThroughHolder(unheld) {
		f.sendDirectly(unheld)
	}
}

// holds reports whether this instance may have connections to a target.
func (f *forwarder) holds(target registrar.Target) bool {
	return f.placement.holders == nil || f.sender.HoldsConnections(target)
}

// sendThroughHolder sends requests to targets of one failure domain through a peer that holds connections to the first one,
// and reports whether there is one. It returns false if this instance holds connections itself.
func (f *forwarder) sendThroughHolder(choices []choice) bool {
	target := choices[0].target
	if !f.request.Route.IsSharded() || f.holds(target) {
		return false
	}
	peers := slices.DeleteFunc(f.usablePeers(target.FailureDomain), func(c enroller.Capacity) bool { return !f.placement.holders.IsLarge(c) })
	if len(peers) == 0 {
		usable := picker.UsableConnections(f.request.Table.Service(target.Service))
		// Small instances are rarely connected to each other, and without a connection nothing could be sent.
		inDomain := f.peersAmong(target.FailureDomain, func(c enroller.Capacity) bool { return c.Thousandths > 0 && !c.Suspected })
		peers = f.placement.holders.Holders(target, usable, inDomain)
	}
	if len(peers) == 0 {
		peers = f.largePeers()
	}
	now := time.Now()
	peer, found := f.placement.placer.Best(len(choices), peers, now)
	if !found {
		return false
	}
	run := f.placement.placer.Begin(peer, placer.Query{Parts: len(choices)}, now)
	f.sendBatch(peer.Instance, choices, sync.OnceFunc(run.End))
	return true
}

// largePeers returns the large instances of all failure domains that can take a batch.
func (f *forwarder) largePeers() []enroller.Capacity {
	var peers []enroller.Capacity
	domains := make(map[string]bool)
	for _, c := range f.placement.fleet.Capacities() {
		domains[c.FailureDomain] = true
	}
	for domain := range domains {
		for _, c := range f.usablePeers(domain) {
			if f.placement.holders.IsLarge(c) {
				peers = append(peers, c)
			}
		}
	}
	return peers
}

// usablePeers returns the capacities of the peers in a failure domain that can take a batch. Those that are not connected
// count only if they could run the whole query, because it takes time to connect to them.
func (f *forwarder) usablePeers(domain string) []enroller.Capacity {
	query := placer.NewQuery(f.request.Route)
	return f.peersAmong(domain, func(c enroller.Capacity) bool {
		return c.Thousandths > 0 && !c.Suspected && !placer.IsTooWide(query, c.Thousandths)
	})
}

// peersAmong returns the capacities of the peers in a failure domain that can take a batch: the connected ones, and those that
// may be connected to.
func (f *forwarder) peersAmong(domain string, mayConnect func(enroller.Capacity) bool) []enroller.Capacity {
	capacities := f.placement.fleet.Capacities()
	var others []string
	for _, c := range capacities {
		if c.FailureDomain == domain && mayConnect(c) {
			others = append(others, c.Instance)
		}
	}
	usable := make(map[string]bool)
	for _, name := range f.concentrator.UsablePeers(domain, others, f.request.Outbound) {
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
