package relayer

import (
	"math/rand/v2"
	"time"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/query/placer"
	"apricotflow/internal/target/concentrator"
	"apricotflow/internal/target/transporter"
)

// choice is the target picked for the first request of a part.
type choice struct {
	part   int
	target registrar.Target
}

// sendFirst sends the first request of every part. Requests to another failure domain go through an instance there if
// that saves bytes; many requests to targets in the own failure domain are divided among its instances. Where queries are
// placed by CPU capacity, the capacities decide on the instances.
func (f *forwarder) sendFirst() {
	f.caution.trial = f.caution.active
	if f.request.PriorRuns > 0 {
		f.sendRepeated()
		return
	}
	chosen := make(map[string][]choice)
	first := rand.IntN(len(f.parts))
	for n := range f.parts {
		i := (first + n) % len(f.parts)
		p := f.parts[i]
		f.sender.RecordNeeded(p.service.Name, f.request.tenantName())
		if !p.isPending() || f.caution.active && len(chosen) > 0 {
			continue
		}
		if !f.sender.MayTake(p.service.Name, f.rank(), nil) {
			f.waitForCapacity(i)
			continue
		}
		target, found := f.sender.Pick(p.service, f.latency, f.preferredDomain, func(string) bool { return false })
		if !found {
			f.waitForCapacity(i)
			continue
		}
		chosen[target.FailureDomain] = append(chosen[target.FailureDomain], choice{part: i, target: target})
	}
	divided := f.request.Route.IsSharded() && f.placement.isActive(placer.NewQuery(f.request.Route))
	for domain, choices := range chosen {
		switch {
		case !f.request.Route.IsSharded():
			f.sendDirectly(choices)
		case divided:
			f.sendDivided(domain, choices)
		case domain == f.sender.OwnDomain():
			f.sendWithinDomain(domain, choices)
		default:
			f.sendToOtherDomain(domain, choices)
		}
	}
}

// sendRepeated sends a request that targets may have run already, as far as the budget for repetitions allows.
func (f *forwarder) sendRepeated() {
	for i := range f.parts {
		if f.parts[i].isPending() && f.maySend() {
			f.send(i, false)
		}
	}
}

func (f *forwarder) sendDirectly(choices []choice) {
	for _, c := range choices {
		f.sendTo(c.part, c.target)
	}
}

// sendWithinDomain sends up to maxLocalRequests requests itself and the rest through peers in the own failure domain,
// if one can take them. The processor time of sending and receiving them all would delay the last ones otherwise.
func (f *forwarder) sendWithinDomain(domain string, choices []choice) {
	for len(choices) > maxLocalRequests {
		share := choices[:maxLocalRequests]
		peer, found := f.concentrator.ChoosePeer(domain, len(share), f.request.Outbound)
		if !found {
			break
		}
		f.sendBatch(peer, share, func() {})
		choices = choices[maxLocalRequests:]
	}
	f.sendDirectly(choices)
}

func (f *forwarder) sendToOtherDomain(domain string, choices []choice) {
	peer, found := f.concentrator.ChoosePeer(domain, len(choices), f.request.Outbound)
	if !found {
		f.sendDirectly(choices)
		return
	}
	f.sendBatch(peer, choices, func() {})
}

// sendBatch sends the requests through the given peer. The function replied is called when the peer has replied for the
// first time, and possibly again.
func (f *forwarder) sendBatch(peer string, choices []choice, replied func()) {
	batch := concentrator.Batch{
		Peer: peer, Request: f.request.Outbound, Route: f.request.Route.Name, MaxRecords: f.request.Route.TopRecords,
		FlushAfter: f.flushAfter(), Deadline: f.request.Deadline,
	}
	if f.request.Tenant != nil {
		batch.Tenant, batch.KeyDigest, batch.Version = f.request.Tenant.Name, f.request.KeyDigest, f.request.Table.Version()
	}
	ends := make([]func(transporter.Result), len(choices))
	for n, c := range choices {
		p := f.parts[c.part]
		p.recordRequest(c.target)
		f.sender.CountRequest(c.target, f.request.tenantName())
		// A reply through a peer takes longer, so the hedge delay starts later.
		p.hedgeDelayStart = p.hedgeDelayStart.Add(peerHopTime)
		batch.Targets = append(batch.Targets, c.target)
		ends[n] = f.sender.Track(c.target, f.request.Route.Name, f.latency, f.request.Outbound.ID)
	}
	go f.concentrator.Send(f.sendCtx, batch, func(parts concentrator.PartialResults) {
		replied()
		received := resultBatch{merged: true, records: parts.Records}
		if len(choices) == 1 {
			// The records are those of one reply. A part may be sent in several such batches, and only one reply counts.
			received = resultBatch{}
		}
		for n, result := range parts.Results {
			if !received.merged && result.CanBeMerged() {
				result.Reply.Body = parts.Records
			}
			ends[n](result)
			received.results = append(received.results, partResult{part: choices[n].part, target: choices[n].target, result: result})
		}
		f.resultBatches <- received
	})
}

// flushAfter returns the time after which the peer returns the results it has: before a hedge is due here,
// and before the query is answered.
func (f *forwarder) flushAfter() time.Duration {
	flushAfter := time.Duration(flushFraction * float64(f.latency.HedgeDelay))
	if !f.cutoff.IsZero() {
		flushAfter = min(flushAfter, time.Until(f.cutoff)-peerHopTime)
	}
	return max(flushAfter, 0)
}
