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
	g.peers.version.Add(1)
	g.exchangeAll(ctx, g.names())
}

// AnnounceReleased tells the rivals that this incarnation never grants or holds a lease again, and waits until those that
// answer have asked back, at most until the context ends.
func (g *Gossiper) AnnounceReleased(ctx context.Context) {
	g.released.Store(true)
	g.peers.version.Add(1)
	rivals := g.rivals()
	g.exchangeAll(ctx, rivals)
	for ctx.Err() == nil && slices.ContainsFunc(rivals, g.unconfirmed) {
		timekeeper.Sleep(ctx, confirmPoll)
	}
}

// unconfirmed reports whether a rival that answers has not asked since the release.
func (g *Gossiper) unconfirmed(rival string) bool {
	_, asked := g.confirmed.Load(rival)
	return !asked && g.Reachable(rival)
}

// confirmRelease asks an instance that announced its release: only the time of an own request bounds the age of the
// answer.
func (g *Gossiper) confirmRelease(message encoder.ExchangeMessage) {
	if g.released.Load() {
		g.confirmed.Store(message.Instance, true)
	}
	if !message.Released || g.ReleasedAt(message.Instance) > 0 {
		return
	}
	select {
	case g.announced <- message:
	default:
		// The next exchange asks again.
	}
}

// changed is called after each change of the configuration.
func (g *Gossiper) changed() {
	select {
	case g.push <- struct{}{}:
	default:
	}
}

func (g *Gossiper) pushChanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.push:
		}
		members := g.configuration.Members()
		g.peers.prune(func(name string) bool {
			_, found := members.Instance(name)
			return found
		})
		g.spreader.prune(func(name string) bool {
			_, found := g.peers.get(name)
			return found
		})
		g.exchangeAll(ctx, PushTargets(g.behind(), g.failed, rand.Shuffle))
	}
}

// names returns all other instances that are listed or reachable.
func (g *Gossiper) names() []string {
	names := make(map[string]bool)
	for _, n := range g.configuration.Members().Listed() {
		names[n.Name] = true
	}
	for _, s := range g.Peers() {
		if s.Reachable {
			names[s.Instance] = true
		}
	}
	delete(names, g.instance)
	return slices.Sorted(maps.Keys(names))
}

// behind returns the instances that are not known to have the configuration in force.
func (g *Gossiper) behind() []string {
	manifest, members := g.configuration.Manifest(), g.configuration.Members()
	return slices.DeleteFunc(g.names(), func(name string) bool {
		s, found := g.peers.get(name)
		if !found || s.MembersRevision < members.Revision() {
			return false
		}
		return manifest == nil || s.Generation > manifest.Generation() ||
			s.Generation == manifest.Generation() && s.Digest >= manifest.Digest()
	})
}

// failed reports whether the peer does not answer; one that was never asked may.
func (g *Gossiper) failed(name string) bool {
	s, found := g.peers.get(name)
	return found && !s.Reachable
}
