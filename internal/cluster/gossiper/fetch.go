package gossiper

import (
	"context"

	"apricotflow/internal/cluster/messenger"
	"apricotflow/internal/wire/encoder"
)

// handleFetch replies with the raw manifest or member list.
func (g *Gossiper) handleFetch(_ context.Context, _ messenger.Peer, request encoder.FetchRequest) (encoder.FetchReply, error) {
	raw := g.configuration.RawMembers()
	if request.Key == encoder.FetchRequestKeyManifest {
		raw = g.configuration.RawManifest()
	}
	return encoder.FetchReply{Value: string(raw)}, nil
}

// hasNewer reports whether the sender of the message has a newer manifest or member list.
func (g *Gossiper) hasNewer(message encoder.ExchangeMessage) bool {
	return g.isNewerManifest(message.Generation, message.Digest) || g.isNewerMembers(message.MembersRevision)
}

// isNewerManifest reports whether an announced manifest is newer than the one in force. Of two manifests of the same
// generation the one with the greater digest is newer. One that was refused before is never newer.
func (g *Gossiper) isNewerManifest(generation int, digest string) bool {
	if generation == 0 {
		return false
	}
	if _, refused := g.refusedDigests.Load(digest); refused {
		return false
	}
	m := g.configuration.Manifest()
	if m == nil || generation != m.Generation() {
		return m == nil || generation > m.Generation()
	}
	return digest > m.Digest()
}

func (g *Gossiper) isNewerMembers(revision int) bool {
	return revision > g.configuration.Members().Revision()
}

// processQueue processes the queued messages: it confirms releases and fetches newer values.
func (g *Gossiper) processQueue(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-g.messageQueue:
			if message.Released && g.ReleasedAt(message.Instance) == 0 {
				g.exchange(ctx, message.Instance)
			}
			g.fetchNewer(ctx, message)
		}
	}
}

// fetchNewer fetches the manifest and the member list from the sender of a message if they are newer there.
func (g *Gossiper) fetchNewer(ctx context.Context, message encoder.ExchangeMessage) {
	if !g.hasNewer(message) {
		return
	}
	g.fetchMu.Lock()
	defer g.fetchMu.Unlock()
	if g.isNewerManifest(message.Generation, message.Digest) {
		g.fetch(ctx, message, encoder.FetchRequestKeyManifest)
	}
	if g.isNewerMembers(message.MembersRevision) {
		g.fetch(ctx, message, encoder.FetchRequestKeyMembers)
	}
}

// fetch fetches one value from the sender of a message and applies it.
func (g *Gossiper) fetch(ctx context.Context, message encoder.ExchangeMessage, key encoder.FetchRequestKey) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := messenger.Call[encoder.FetchRequest, encoder.FetchReply](ctx, g.messenger, message.Instance, methodFetch, encoder.FetchRequest{Key: key})
	if err != nil || reply.Value == "" {
		// The next exchange announces the value again, which repeats the fetch.
		return
	}
	if key == encoder.FetchRequestKeyMembers {
		// The error is ignored: unlike a refused manifest, a refused member list is not remembered, so it is fetched again
		// after each exchange that announces it.
		_, _ = g.configuration.ApplyMembers([]byte(reply.Value), message.Instance)
		return
	}
	if _, err := g.configuration.ApplyManifest([]byte(reply.Value), message.Instance); err != nil {
		g.refusedDigests.Store(message.Digest, true)
	}
}
