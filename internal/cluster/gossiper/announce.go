package gossiper

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"

	"apricotflow/internal/operator/timekeeper"
	"apricotflow/internal/wire/encoder"
)

// AnnounceLeaving announces the shutdown of this instance to all peers. It returns when the exchanges with them have
// ended; further calls do nothing.
func (g *Gossiper) AnnounceLeaving(ctx context.Context) {
	if !g.leaving.CompareAndSwap(false, true) {
		return
	}
	g.peers.announcementVersion.Add(1)
	g.exchangeWithAll(ctx, g.otherInstances())
}

// AnnounceReleased tells the grantors of this instance that this incarnation never grants or holds a lease again. Each
// grantor confirms the release by an exchange of its own; see confirmRelease. AnnounceReleased waits for those of all
// reachable grantors, or until the context ends.
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
	_, confirmed := g.releaseConfirmedBy.Load(grantor)
	return !confirmed && g.Reachable(grantor)
}

// confirmRelease processes a received message on both sides of a release. If this instance is released, the message
// confirms that to it. If the sender is released, an exchange with it is queued, which also determines ReleasedAt: a
// time after which the sender was still running. A received message gives no such time, since it may have been delayed,
// but a reply was sent after the request of this instance.
func (g *Gossiper) confirmRelease(message encoder.ExchangeMessage) {
	if g.released.Load() {
		g.releaseConfirmedBy.Store(message.Instance, true)
	}
	if !message.Released || g.ReleasedAt(message.Instance) > 0 {
		return
	}
	select {
	case g.messageQueue <- message:
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

// pushLoop exchanges with outdated instances after each change of the configuration, so that they fetch it, and prunes
// the state of unknown peers.
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
