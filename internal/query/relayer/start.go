package relayer

import (
	"time"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/target/concentrator"
	"apricotflow/internal/target/transporter"
)

// choice is the target of the first request for a part.
type choice struct {
	part   int
	target registrar.Target
}

// start sends the first request for every part. Those to another failure domain go through an instance there if that
// saves bytes, and those to the own one are shared out among its instances if they are many.
func (f *flight) start() {
	chosen := make(map[string][]choice)
	for i, p := range f.parts {
		f.sender.Need(p.service.Name)
		target, found := f.sender.Pick(p.service, f.pace, f.domain, func(string) bool { return false })
		if !found {
			f.block(i)
			continue
		}
		chosen[target.FailureDomain] = append(chosen[target.FailureDomain], choice{part: i, target: target})
	}
	for domain, choices := range chosen {
		switch {
		case !f.request.Route.Scattered():
			f.startDirect(choices)
		case domain == f.sender.Domain():
			f.startNear(domain, choices)
		default:
			f.startDistant(domain, choices)
		}
	}
}

func (f *flight) startDirect(choices []choice) {
	for _, c := range choices {
		f.dispatch(c.part, c.target)
	}
}

// startNear leaves all but a share of many requests to other instances of the own failure domain. The processor time of
// sending and receiving would delay the last ones otherwise.
func (f *flight) startNear(domain string, choices []choice) {
	for len(choices) > nearShare {
		share := choices[:nearShare]
		peer, found := f.concentrator.Choose(domain, len(share), f.request.Wire)
		if !found {
			break
		}
		f.sendBatch(peer, share)
		choices = choices[nearShare:]
	}
	f.startDirect(choices)
}

func (f *flight) startDistant(domain string, choices []choice) {
	peer, found := f.concentrator.Choose(domain, len(choices), f.request.Wire)
	if !found {
		f.startDirect(choices)
		return
	}
	f.sendBatch(peer, choices)
}

// sendBatch sends the requests through an instance near the targets.
func (f *flight) sendBatch(peer string, choices []choice) {
	batch := concentrator.Batch{
		Peer: peer, Request: f.request.Wire, Kind: f.request.Route.Name, Top: f.request.Route.TopRecords,
		Flush: f.flush(), Deadline: f.request.Deadline,
	}
	ends := make([]func(transporter.Result), len(choices))
	for n, c := range choices {
		p := f.parts[c.part]
		p.begin(c.target)
		p.sentAt = p.sentAt.Add(hopTime)
		batch.Targets = append(batch.Targets, c.target)
		ends[n] = f.sender.Track(c.target, f.request.Route.Name, f.pace, f.request.Wire.ID)
	}
	go f.concentrator.Send(f.work, batch, func(parts concentrator.Parts) {
		a := arrival{merged: true, records: parts.Records}
		for n, result := range parts.Results {
			ends[n](result)
			a.items = append(a.items, item{part: choices[n].part, target: choices[n].target, result: result})
		}
		f.arrivals <- a
	})
}

// flush returns the time after which another instance returns the parts that are in: before a hedge is due here, and
// before the time at which the answer is given.
func (f *flight) flush() time.Duration {
	flush := time.Duration(flushShare * float64(f.pace.Hedge))
	if !f.cutoff.IsZero() {
		flush = min(flush, time.Until(f.cutoff)-hopTime)
	}
	return max(flush, 0)
}
