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

// exchangeWithRandom exchanges with a random instance, or with the seeds while no other instance is known.
func (g *Gossiper) exchangeWithRandom(ctx context.Context) {
	otherInstances := g.otherInstances()
	if len(otherInstances) == 0 {
		g.connectSeeds(ctx)
		return
	}
	g.exchange(ctx, otherInstances[rand.IntN(len(otherInstances))])
}

// exchangeWithGrantors exchanges with the grantors of this instance, except the reachable ones with a recent exchange.
func (g *Gossiper) exchangeWithGrantors(ctx context.Context) {
	// An exchange carries the state of both ends, so a recent one that the peer started makes another one unnecessary.
	recentAfter := g.peers.bootTime() - g.grantorInterval()/2
	g.exchangeWithAll(ctx, slices.DeleteFunc(g.grantors(), func(name string) bool {
		s, found := g.peers.get(name)
		return found && s.Reachable && s.ExchangedAt > recentAfter
	}))
}

// grantors returns the instances whose grants this instance needs for a lease on any of its candidate groups.
func (g *Gossiper) grantors() []string {
	grantors := make(map[string]bool)
	for _, group := range g.ownership.Candidates() {
		for _, name := range g.ownership.Grantors(group) {
			grantors[name] = true
		}
	}
	return slices.Sorted(maps.Keys(grantors))
}

// ExchangeWith exchanges with all of the instances at the same time and reports whether all of them replied.
func (g *Gossiper) ExchangeWith(ctx context.Context, instances []string) bool {
	var anyFailed atomic.Bool
	var wg sync.WaitGroup
	for _, name := range instances {
		wg.Go(func() {
			if !g.exchange(ctx, name) {
				anyFailed.Store(true)
			}
		})
	}
	wg.Wait()
	return !anyFailed.Load()
}

// exchangeWithAll exchanges with the instances, with limited parallelism.
func (g *Gossiper) exchangeWithAll(ctx context.Context, names []string) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxParallelExchanges)
	for _, name := range names {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			g.exchange(ctx, name)
		})
	}
	wg.Wait()
}

// exchange sends the state of this instance to another one, processes its state and reports whether it replied.
func (g *Gossiper) exchange(ctx context.Context, name string) bool {
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sentAt := g.peers.bootTime()
	message, facts := g.newMessage(name)
	reply, err := messenger.Call[encoder.ExchangeMessage, encoder.ExchangeMessage](callCtx, g.messenger, name, methodExchange, message)
	if err != nil {
		if ctx.Err() == nil {
			g.peers.recordFailure(name)
		}
		return false
	}
	g.factTracker.recordDelivery(name, reply.Incarnation, facts)
	g.recordReply(reply, sentAt)
	g.learnFacts(reply)
	g.fetchNewer(ctx, reply)
	return true
}

// handleExchange processes the state of a peer and replies with that of this instance.
func (g *Gossiper) handleExchange(_ context.Context, peer messenger.Peer, message encoder.ExchangeMessage) (encoder.ExchangeMessage, error) {
	if message.Instance != peer.Instance || message.Incarnation != peer.Incarnation {
		return encoder.ExchangeMessage{}, &SenderError{Expected: peer.Instance, Actual: message.Instance}
	}
	g.recordMessage(message)
	g.learnFacts(message)
	g.confirmRelease(message)
	if g.hasNewer(message) {
		select {
		case g.messageQueue <- message:
		default:
			// The queue is full; the next exchange announces the value again.
		}
	}
	// The reply is built last: if the message has confirmed the release of this instance, the reply has to announce it.
	reply, _ := g.newMessage(message.Instance)
	return reply, nil
}

// currentFactScope returns the current inputs that determine which facts are sent to the incarnation of a peer.
func (g *Gossiper) currentFactScope(incarnation string) factScope {
	return factScope{
		incarnation: incarnation, manifest: g.configuration.Manifest(), members: g.configuration.Members(),
		announcements: g.AnnouncementVersion(),
	}
}

// newMessage returns the message to send to a peer, and the batch of facts in it. Facts about draining targets go to
// every peer, all others only to those that may own the target or grant a lease on it.
func (g *Gossiper) newMessage(to string) (encoder.ExchangeMessage, factBatch) {
	candidates := slices.DeleteFunc(g.targets.Facts(), func(fact encoder.TargetFact) bool {
		return fact.State != encoder.LoadStateDraining && !g.ownership.MayOwn(to, fact.Target)
	})
	peer, _ := g.peers.get(to)
	facts := g.factTracker.nextBatch(to, g.currentFactScope(peer.Incarnation), candidates)
	message := encoder.ExchangeMessage{
		Instance: g.instance, Incarnation: g.incarnation,
		Leaving: g.leaving.Load(), Joining: g.joining.Load(), Released: g.released.Load(),
		MembersRevision: g.configuration.Members().Revision(), Targets: facts.changed,
	}
	if m := g.configuration.Manifest(); m != nil {
		message.Generation, message.Digest = m.Generation(), m.Digest()
	}
	return message, facts
}

// recordMessage records the state announced in a message of another instance.
func (g *Gossiper) recordMessage(message encoder.ExchangeMessage) {
	if g.peers.recordMessage(message) {
		g.recordLeaving(message)
	}
}

// recordReply records the state announced in a reply; sentAt is the boot time before the request was sent.
func (g *Gossiper) recordReply(reply encoder.ExchangeMessage, sentAt time.Duration) {
	if g.peers.recordReply(reply, sentAt) {
		g.recordLeaving(reply)
	}
}

func (g *Gossiper) recordLeaving(message encoder.ExchangeMessage) {
	g.events.Record(recorder.KindPeerLeaving, message.Instance, "", message.Incarnation)
}

// learnFacts passes the facts about targets in a message to the sink.
func (g *Gossiper) learnFacts(message encoder.ExchangeMessage) {
	for _, fact := range message.Targets {
		g.targets.Learn(fact, message.Instance)
	}
}

// grantorInterval returns the interval of exchanges with each grantor.
func (g *Gossiper) grantorInterval() time.Duration {
	return g.configuration.Manifest().LeaseDuration() / exchangesPerLease
}
