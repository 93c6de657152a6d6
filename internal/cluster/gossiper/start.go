package gossiper

import (
	"context"
	"slices"
	"sync"

	"apricotflow/internal/operator/timekeeper"
)

// awaitSettled waits until this instance may grant and hold leases, and then announces that it is no longer joining.
func (g *Gossiper) awaitSettled(ctx context.Context) {
	for !g.settled() {
		timekeeper.Sleep(ctx, settledPollInterval)
		if ctx.Err() != nil {
			return
		}
	}
	g.joining.Store(false)
	g.peers.announcementVersion.Add(1)
	g.exchangeWithAll(ctx, g.otherInstances())
}

// fetchInitialConfiguration queries the platform, the seeds and all known peers until this instance has the newest
// known manifest and is ready. Without any manifest it is never ready.
func (g *Gossiper) fetchInitialConfiguration(ctx context.Context) {
	for ctx.Err() == nil {
		g.queryAllSources(ctx)
		if ctx.Err() == nil && g.hasNewestManifest() {
			g.ready.Store(true)
			return
		}
		timekeeper.Sleep(ctx, startRetryDelay)
	}
}

// hasNewestManifest reports whether this instance has a manifest and no reachable peer is known to have a newer one.
func (g *Gossiper) hasNewestManifest() bool {
	if g.configuration.Manifest() == nil {
		return false
	}
	return !slices.ContainsFunc(g.Peers(), func(s PeerState) bool {
		return s.Reachable && g.isNewerManifest(s.Generation, s.Digest)
	})
}

// queryAllSources fetches from the platform and the seeds, and then exchanges with all instances known from them.
func (g *Gossiper) queryAllSources(ctx context.Context) {
	var wg sync.WaitGroup
	// The error is ignored: while the platform is down, the seeds provide the member list.
	wg.Go(func() { _ = g.platform.Fetch(ctx) })
	wg.Go(func() { g.connectSeeds(ctx) })
	wg.Wait()
	asked := make(map[string]bool)
	for {
		// A reply may lead to a member list with more peers.
		otherInstances := slices.DeleteFunc(g.otherInstances(), func(name string) bool { return asked[name] })
		if len(otherInstances) == 0 {
			return
		}
		for _, name := range otherInstances {
			asked[name] = true
		}
		g.exchangeWithAll(ctx, otherInstances)
	}
}

// connectSeeds connects to the seed addresses and exchanges with the instances found there.
func (g *Gossiper) connectSeeds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, seed := range g.seeds {
		wg.Go(func() {
			peer, err := g.messenger.Connect(ctx, seed)
			if err != nil {
				return
			}
			g.exchange(ctx, peer.Instance)
		})
	}
	wg.Wait()
}
