// Package hasher derives the answers of the target stand-in, so that a checker can recompute them.
package hasher

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"

	"apricotflow/internal/wire/encoder"
)

const (
	// hitsPerShard is the number of hits that each shard has for every text.
	hitsPerShard = 5
	// minDocuments and documentSpread bound the size of a shard.
	minDocuments, documentSpread = 1000, 500
	// scoreBits is the precision of a float64.
	scoreBits = 53
)

// Documents returns the number of documents in a shard.
func Documents(index string, version int, shard string) int {
	return minDocuments + int(sum(index, version, shard)%documentSpread)
}

// Hits returns the best hits of one shard, best first.
func Hits(index string, version int, shard, text string, limit int) []encoder.Hit {
	hits := make([]encoder.Hit, 0, hitsPerShard)
	for n := range hitsPerShard {
		hits = append(hits, encoder.Hit{
			Document: fmt.Sprintf("%s.%d.%s.%d", index, version, shard, n),
			Score:    float64(sum(index, version, shard, text, n)>>(64-scoreBits)) / (1 << scoreBits),
			Shard:    shard,
		})
	}
	return best(hits, limit)
}

// Merge returns the best hits over several shards, best first.
func Merge(index string, version int, shards []string, text string, limit int) []encoder.Hit {
	hits := make([]encoder.Hit, 0, len(shards)*hitsPerShard)
	for _, s := range shards {
		hits = append(hits, Hits(index, version, s, text, limit)...)
	}
	return best(hits, limit)
}

func best(hits []encoder.Hit, limit int) []encoder.Hit {
	slices.SortFunc(hits, func(a, b encoder.Hit) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Document, b.Document))
	})
	return hits[:min(len(hits), max(limit, 0))]
}

func sum(parts ...any) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = fmt.Fprintf(h, "%v\x00", p)
	}
	return mix(h.Sum64())
}

// mix spreads the bits: FNV leaves the upper ones of inputs that differ only at the end nearly equal.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
