package gossiper

import (
	"context"
	"slices"
	"sync"

	"apricotflow/internal/operator/timekeeper"
)

// awaitSettled announces that this instance may grant and hold leases once it may.
func (g *Gossiper) awaitSettled(ctx context.Context) {
	for !g.settled() {
		timekeeper.Sleep(ctx, settledPoll)
		if ctx.Err() != nil {
			return
		}
	}
	g.joining.Store(false)
	g.peers.version.Add(1)
	g.exchangeAll(ctx, g.names())
}

// start asks the platform and all known peers until there is a manifest. An instance without any answer is not ready.
func (g *Gossiper) start(ctx context.Context) {
	for ctx.Err() == nil {
		g.startOnce(ctx)
		if ctx.Err() == nil && g.newest() {
			g.ready.Store(true)
			return
		}
		timekeeper.Sleep(ctx, startRetry)
	}
}

// newest reports whether there is a manifest and no reachable peer is known to have a newer one.
func (g *Gossiper) newest() bool {
	if g.configuration.Manifest() == nil {
		return false
	}
	return !slices.ContainsFunc(g.Peers(), func(s PeerState) bool {
		return s.Reachable && g.manifestNewer(s.Generation, s.Digest)
	})
}

func (g *Gossiper) startOnce(ctx context.Context) {
	var running sync.WaitGroup
	// Without the platform, the peers are known from the seeds.
	running.Go(func() { _ = g.platform.Fetch(ctx) })
	running.Go(func() { g.connectSeeds(ctx) })
	running.Wait()
	asked := make(map[string]bool)
	for {
		// An answer may bring a member list with further peers.
		names := slices.DeleteFunc(g.names(), func(name string) bool { return asked[name] })
		if len(names) == 0 {
			return
		}
		for _, name := range names {
			asked[name] = true
		}
		g.exchangeAll(ctx, names)
	}
}

func (g *Gossiper) connectSeeds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var running sync.WaitGroup
	for _, seed := range g.seeds {
		running.Go(func() {
			peer, err := g.messenger.Connect(ctx, seed)
			if err != nil {
				return
			}
			g.exchange(ctx, peer.Instance)
		})
	}
	running.Wait()
}
