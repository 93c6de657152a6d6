// Package combiner merges the records of several replies and keeps the greatest ones. The relayer uses it for the
// answer to a caller, and the concentrator for the batches of other instances. Merging in several steps gives the
// same result as in one.
package combiner

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"slices"
)

// recordBytes is the size of a record. A shorter remainder at the end of a part is ignored.
const recordBytes = 16

// record is a record as two big-endian numbers, which have the same order as its bytes.
type record struct {
	high uint64
	low  uint64
}

func (r record) compare(o record) int {
	return cmp.Or(cmp.Compare(r.high, o.high), cmp.Compare(r.low, o.low))
}

// Combiner keeps the greatest records of all parts. The smallest of them is at the root of the heap.
type Combiner struct {
	limit   int
	records recordHeap
}

type recordHeap []record

// Len implements heap.Interface.
func (h recordHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h recordHeap) Less(i, j int) bool { return h[i].compare(h[j]) < 0 }

// Swap implements heap.Interface.
func (h recordHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *recordHeap) Push(r any) { *h = append(*h, r.(record)) }

// Pop implements heap.Interface.
func (h *recordHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// New returns a Combiner that keeps up to limit records.
func New(limit int) *Combiner {
	return &Combiner{limit: limit, records: make(recordHeap, 0, max(limit, 0))}
}

// Add merges the records of a part.
func (c *Combiner) Add(part []byte) {
	for ; len(part) >= recordBytes; part = part[recordBytes:] {
		r := record{high: binary.BigEndian.Uint64(part), low: binary.BigEndian.Uint64(part[recordBytes/2:])}
		switch {
		case len(c.records) < c.limit:
			heap.Push(&c.records, r)
		case c.limit > 0 && r.compare(c.records[0]) > 0:
			c.records[0] = r
			heap.Fix(&c.records, 0)
		}
	}
}

// Bytes returns the kept records in descending order.
func (c *Combiner) Bytes() []byte {
	slices.SortFunc(c.records, func(a, b record) int { return b.compare(a) })
	raw := make([]byte, 0, len(c.records)*recordBytes)
	for _, r := range c.records {
		raw = binary.BigEndian.AppendUint64(raw, r.high)
		raw = binary.BigEndian.AppendUint64(raw, r.low)
	}
	return raw
}
