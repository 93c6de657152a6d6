package merger

import (
	"cmp"
	"container/heap"
	"slices"

	"apricotflow/internal/wire/encoder"
)

// hitHeap is a heap of the best hits with the worst of them at the root.
type hitHeap []encoder.Hit

// Len implements heap.Interface.
func (h hitHeap) Len() int { return len(h) }

// Less implements heap.Interface; it orders the worst hit first.
func (h hitHeap) Less(i, j int) bool { return compareHits(h[i], h[j]) > 0 }

// Swap implements heap.Interface.
func (h hitHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *hitHeap) Push(x any) { *h = append(*h, x.(encoder.Hit)) }

// Pop implements heap.Interface.
func (h *hitHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// add keeps the hit if it is among the best maxHits hits.
func (h *hitHeap) add(hit encoder.Hit, maxHits int) {
	if len(*h) < maxHits {
		heap.Push(h, hit)
		return
	}
	if maxHits == 0 || compareHits(hit, (*h)[0]) >= 0 {
		return
	}
	(*h)[0] = hit
	heap.Fix(h, 0)
}

// sorted returns a copy of the hits, best first.
func (h hitHeap) sorted() []encoder.Hit {
	hits := make([]encoder.Hit, len(h))
	copy(hits, h)
	slices.SortFunc(hits, compareHits)
	return hits
}

// compareHits orders the better hit first. Ties are broken independently of the order of arrival.
func compareHits(a, b encoder.Hit) int {
	return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Document, b.Document), cmp.Compare(a.Shard, b.Shard))
}
