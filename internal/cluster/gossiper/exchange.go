package gossiper

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"apricotflow/internal/cluster/messenger"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/wire/encoder"
)

func (g *Gossiper) exchangeRandom(ctx context.Context) {
	names := g.names()
	if len(names) == 0 {
		g.connectSeeds(ctx)
		return
	}
	g.exchange(ctx, names[rand.IntN(len(names))])
}

func (g *Gossiper) exchangeRivals(ctx context.Context) {
	// An exchange carries the state of both ends, so one that the other end began lately stands for one from here.
	recent := g.peers.clock() - g.rivalInterval()/2
	g.exchangeAll(ctx, slices.DeleteFunc(g.rivals(), func(name string) bool {
		s, found := g.peers.get(name)
		return found && s.Reachable && s.Exchanged > recent
	}))
}

// rivals returns the instances that compete with this one for any group.
func (g *Gossiper) rivals() []string {
	rivals := make(map[string]bool)
	for _, group := range g.ownership.Candidates() {
		for _, name := range g.ownership.Rivals(group) {
			rivals[name] = true
		}
	}
	return slices.Sorted(maps.Keys(rivals))
}

// Tell exchanges with the instances now and reports whether all answered.
func (g *Gossiper) Tell(ctx context.Context, instances []string) bool {
	var missed atomic.Bool
	var running sync.WaitGroup
	for _, name := range instances {
		running.Go(func() {
			if !g.exchange(ctx, name) {
				missed.Store(true)
			}
		})
	}
	running.Wait()
	return !missed.Load()
}

func (g *Gossiper) exchangeAll(ctx context.Context, names []string) {
	var running sync.WaitGroup
	free := make(chan struct{}, pushParallel)
	for _, name := range names {
		free <- struct{}{}
		running.Go(func() {
			defer func() { <-free }()
			g.exchange(ctx, name)
		})
	}
	running.Wait()
}

// exchange sends the state of this instance to another one and takes its state.
func (g *Gossiper) exchange(ctx context.Context, name string) bool {
	timeout, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sent := g.peers.clock()
	message, facts := g.message(name)
	reply, err := messenger.Call[encoder.ExchangeMessage, encoder.ExchangeMessage](timeout, g.messenger, name, methodExchange, message)
	if err != nil {
		if ctx.Err() == nil {
			g.peers.failed(name)
		}
		return false
	}
	g.spreader.delivered(name, reply.Incarnation, facts)
	g.answered(reply, sent)
	g.learn(reply)
	g.fetchNewer(ctx, reply)
	return true
}

func (g *Gossiper) answerExchange(_ context.Context, peer messenger.Peer, message encoder.ExchangeMessage) (encoder.ExchangeMessage, error) {
	if message.Instance != peer.Instance || message.Incarnation != peer.Incarnation {
		return encoder.ExchangeMessage{}, &SenderError{Expected: peer.Instance, Actual: message.Instance}
	}
	reply, _ := g.message(message.Instance)
	g.heard(message)
	g.learn(message)
	g.confirmRelease(message)
	if g.newer(message) {
		select {
		case g.announced <- message:
		default:
			// The next exchange announces the value again.
		}
	}
	return reply, nil
}

// view tells which facts a peer is to be sent: after a change of it, all again.
func (g *Gossiper) view(incarnation string) view {
	return view{
		incarnation: incarnation, manifest: g.configuration.Manifest(), members: g.configuration.Members(),
		announcements: g.AnnouncementVersion(),
	}
}

// message returns the message to a peer, and the facts in it.
func (g *Gossiper) message(to string) (encoder.ExchangeMessage, batch) {
	facts := slices.DeleteFunc(g.targets.Facts(), func(fact encoder.TargetFact) bool {
		return fact.State != encoder.LoadStateDraining && !g.ownership.MayOwn(to, fact.Target)
	})
	peer, _ := g.peers.get(to)
	b := g.spreader.batch(to, g.view(peer.Incarnation), facts)
	message := encoder.ExchangeMessage{
		Instance: g.instance, Incarnation: g.incarnation,
		Leaving: g.leaving.Load(), Joining: g.joining.Load(), Released: g.released.Load(),
		MembersRevision: g.configuration.Members().Revision(), Targets: b.changed,
	}
	if m := g.configuration.Manifest(); m != nil {
		message.Generation, message.Digest = m.Generation(), m.Digest()
	}
	return message, b
}

// heard notes a message of another instance.
func (g *Gossiper) heard(message encoder.ExchangeMessage) {
	if g.peers.heard(message) {
		g.recordLeaving(message)
	}
}

// answered notes a reply to a request sent at the boot time.
func (g *Gossiper) answered(reply encoder.ExchangeMessage, sent time.Duration) {
	if g.peers.answered(reply, sent) {
		g.recordLeaving(reply)
	}
}

func (g *Gossiper) recordLeaving(message encoder.ExchangeMessage) {
	g.events.Record(recorder.KindPeerLeaving, message.Instance, "", message.Incarnation)
}

// learn takes what another instance knows of targets.
func (g *Gossiper) learn(message encoder.ExchangeMessage) {
	for _, fact := range message.Targets {
		g.targets.Learn(fact, message.Instance)
	}
}

func (g *Gossiper) rivalInterval() time.Duration {
	return g.configuration.Manifest().Lease() / exchangesPerLease
}
