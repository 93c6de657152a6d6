package gossiper

import (
	"context"

	"apricotflow/internal/cluster/messenger"
	"apricotflow/internal/wire/encoder"
)

func (g *Gossiper) answerFetch(_ context.Context, _ messenger.Peer, request encoder.FetchRequest) (encoder.FetchReply, error) {
	raw := g.configuration.RawMembers()
	if request.Key == encoder.FetchRequestKeyManifest {
		raw = g.configuration.RawManifest()
	}
	return encoder.FetchReply{Value: string(raw)}, nil
}

// newer reports whether the other instance has a newer value.
func (g *Gossiper) newer(message encoder.ExchangeMessage) bool {
	return g.manifestNewer(message.Generation, message.Digest) || g.membersNewer(message.MembersRevision)
}

// manifestNewer compares an announced manifest with the one in force; one that was refused before does not count.
func (g *Gossiper) manifestNewer(generation int, digest string) bool {
	if generation == 0 {
		return false
	}
	if _, refused := g.refused.Load(digest); refused {
		return false
	}
	m := g.configuration.Manifest()
	if m == nil || generation != m.Generation() {
		return m == nil || generation > m.Generation()
	}
	return digest > m.Digest()
}

func (g *Gossiper) membersNewer(revision int) bool {
	return revision > g.configuration.Members().Revision()
}

func (g *Gossiper) fetchAnnounced(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-g.announced:
			if message.Released && g.ReleasedAt(message.Instance) == 0 {
				g.exchange(ctx, message.Instance)
			}
			g.fetchNewer(ctx, message)
		}
	}
}

// fetchNewer gets the values that are newer at the sender of a message.
func (g *Gossiper) fetchNewer(ctx context.Context, message encoder.ExchangeMessage) {
	if !g.newer(message) {
		return
	}
	g.fetching.Lock()
	defer g.fetching.Unlock()
	if g.manifestNewer(message.Generation, message.Digest) {
		g.fetch(ctx, message, encoder.FetchRequestKeyManifest)
	}
	if g.membersNewer(message.MembersRevision) {
		g.fetch(ctx, message, encoder.FetchRequestKeyMembers)
	}
}

func (g *Gossiper) fetch(ctx context.Context, message encoder.ExchangeMessage, key encoder.FetchRequestKey) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := messenger.Call[encoder.FetchRequest, encoder.FetchReply](ctx, g.messenger, message.Instance, methodFetch, encoder.FetchRequest{Key: key})
	if err != nil || reply.Value == "" {
		// The next exchange announces the value again.
		return
	}
	if key == encoder.FetchRequestKeyMembers {
		// A refused list is announced again with each exchange, and fetched again.
		_, _ = g.configuration.ApplyMembers([]byte(reply.Value), message.Instance)
		return
	}
	if _, err := g.configuration.ApplyManifest([]byte(reply.Value), message.Instance); err != nil {
		g.refused.Store(message.Digest, true)
	}
}
