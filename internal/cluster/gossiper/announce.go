package gossiper

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"

	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/wire/encoder"
)

// Leave announces the shutdown of this instance to all peers.
func (g *Gossiper) Leave(ctx context.Context) {
	if !g.leaving.CompareAndSwap(false, true) {
		return
	}
	g.peers.announcementVersion.Add(1)
	g.exchangeWithAll(ctx, g.otherInstances())
}

// AnnounceReleased tells the grantors of this instance that this incarnation never grants or holds a lease again. It
// waits until all reachable ones have sent an exchange of their own, or until the context ends.
func (g *Gossiper) AnnounceReleased(ctx context.Context) {
	g.released.Store(true)
	g.peers.announcementVersion.Add(1)
	grantors := g.grantors()
	g.exchangeWithAll(ctx, grantors)
	for ctx.Err() == nil && slices.ContainsFunc(grantors, g.awaitsConfirmation) {
		timekeeper.Sleep(ctx, confirmPollInterval)
	}
}

// awaitsConfirmation reports whether a reachable grantor has not sent an exchange since the release.
func (g *Gossiper) awaitsConfirmation(grantor string) bool {
	_, asked := g.confirmedBy.Load(grantor)
	return !asked && g.Reachable(grantor)
}

// confirmRelease queues an exchange with the sender if it announced its release. The announcement in a received message
// is not enough: only a reply to an own request is known to be newer than the time of that request.
func (g *Gossiper) confirmRelease(message encoder.ExchangeMessage) {
	if g.released.Load() {
		g.confirmedBy.Store(message.Instance, true)
	}
	if !message.Released || g.ReleasedAt(message.Instance) > 0 {
		return
	}
	select {
	case g.fetchQueue <- message:
	default:
		// The queue is full; the next exchange announces the release again.
	}
}

// requestPush tells pushLoop that the configuration has changed.
func (g *Gossiper) requestPush() {
	select {
	case g.pushRequested <- struct{}{}:
	default:
	}
}

// pushLoop tells outdated instances of each change of the configuration, and prunes the state of unknown peers.
func (g *Gossiper) pushLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.pushRequested:
		}
		members := g.configuration.Members()
		g.peers.prune(func(name string) bool {
			_, found := members.Instance(name)
			return found
		})
		g.factTracker.prune(func(name string) bool {
			_, found := g.peers.get(name)
			return found
		})
		g.exchangeWithAll(ctx, SelectPushPeers(g.outdatedInstances(), g.isUnreachable, rand.Shuffle))
	}
}

// otherInstances returns all other instances that are listed or reachable.
func (g *Gossiper) otherInstances() []string {
	otherInstances := make(map[string]bool)
	for _, n := range g.configuration.Members().Instances() {
		otherInstances[n.Name] = true
	}
	for _, s := range g.Peers() {
		if s.Reachable {
			otherInstances[s.Instance] = true
		}
	}
	delete(otherInstances, g.instance)
	return slices.Sorted(maps.Keys(otherInstances))
}

// outdatedInstances returns the other instances that are not known to have the configuration in force or a newer one.
func (g *Gossiper) outdatedInstances() []string {
	manifest, members := g.configuration.Manifest(), g.configuration.Members()
	return slices.DeleteFunc(g.otherInstances(), func(name string) bool {
		s, found := g.peers.get(name)
		if !found || s.MembersRevision < members.Revision() {
			return false
		}
		return manifest == nil || s.Generation > manifest.Generation() ||
			s.Generation == manifest.Generation() && s.Digest >= manifest.Digest()
	})
}

// isUnreachable reports whether the peer is known to be unreachable; an unknown peer is not.
func (g *Gossiper) isUnreachable(name string) bool {
	s, found := g.peers.get(name)
	return found && !s.Reachable
}
