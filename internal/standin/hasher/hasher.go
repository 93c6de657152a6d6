// Package hasher derives the hits and the document counts of the simulated shards of native mode from hashes of their
// names. Package responder replies with them, and package driver computes the same values to verify answers. Nothing is
// stored.
package hasher

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"

	"apricotflow/internal/wire/encoder"
)

const (
	// hitsPerShard is the number of hits that each shard has for every query text.
	hitsPerShard = 5
	// minDocuments is the minimum number of documents in a shard; documentRange is the number of different counts.
	minDocuments, documentRange = 1000, 500
	// scoreBits is the number of bits of a score: the precision of a float64.
	scoreBits = 53
)

// DocumentCount returns the number of documents in a shard.
func DocumentCount(index string, version int, shard string) int {
	return minDocuments + int(hashOf(index, version, shard)%documentRange)
}

// Hits returns at most limit hits of one shard, best first.
func Hits(index string, version int, shard, text string, limit int) []encoder.Hit {
	hits := make([]encoder.Hit, 0, hitsPerShard)
	for i := range hitsPerShard {
		hits = append(hits, encoder.Hit{
			Document: fmt.Sprintf("%s.%d.%s.%d", index, version, shard, i),
			Score:    float64(hashOf(index, version, shard, text, i)>>(64-scoreBits)) / (1 << scoreBits),
			Shard:    shard,
		})
	}
	return topHits(hits, limit)
}

// MergedHits returns at most limit hits of several shards, best first.
func MergedHits(index string, version int, shards []string, text string, limit int) []encoder.Hit {
	hits := make([]encoder.Hit, 0, len(shards)*hitsPerShard)
	for _, s := range shards {
		hits = append(hits, Hits(index, version, s, text, limit)...)
	}
	return topHits(hits, limit)
}

func topHits(hits []encoder.Hit, limit int) []encoder.Hit {
	slices.SortFunc(hits, func(a, b encoder.Hit) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Document, b.Document))
	})
	return hits[:min(len(hits), max(limit, 0))]
}

func hashOf(parts ...any) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = fmt.Fprintf(h, "%v\x00", p)
	}
	return mixBits(h.Sum64())
}

// mixBits spreads the input over all bits. FNV alone leaves the upper bits nearly equal for inputs that differ only at
// the end.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
