// Package combiner merges the records of several replies and keeps the greatest ones, in relay mode. A record is a
// fixed number of bytes in the body of a reply, and records are ordered by their bytes. The relayer uses it for the
// answer to a caller, and the concentrator for the batches of peers. Merging in several steps gives the same result as
// in one.
package combiner

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"slices"
)

// recordBytes is the size of a record. A shorter remainder at the end of the merged bytes is ignored.
const recordBytes = 16

// record is a record as two big-endian numbers, which have the same order as its bytes.
type record struct {
	high uint64
	low  uint64
}

func (r record) compare(o record) int {
	return cmp.Or(cmp.Compare(r.high, o.high), cmp.Compare(r.low, o.low))
}

// Combiner keeps the greatest of all added records. The smallest of them is at the root of the heap.
type Combiner struct {
	maxRecords int
	records    recordHeap
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

// New returns a Combiner that keeps up to maxRecords records.
func New(maxRecords int) *Combiner {
	return &Combiner{maxRecords: maxRecords, records: make(recordHeap, 0, max(maxRecords, 0))}
}

// Add merges the records of the body of a reply, or those that another Combiner has returned.
func (c *Combiner) Add(raw []byte) {
	for ; len(raw) >= recordBytes; raw = raw[recordBytes:] {
		r := record{high: binary.BigEndian.Uint64(raw), low: binary.BigEndian.Uint64(raw[recordBytes/2:])}
		switch {
		case len(c.records) < c.maxRecords:
			heap.Push(&c.records, r)
		case c.maxRecords > 0 && r.compare(c.records[0]) > 0:
			c.records[0] = r
			heap.Fix(&c.records, 0)
		}
	}
}

// Bytes returns the kept records in descending order. It sorts them in place, so Add must not be called afterwards.
func (c *Combiner) Bytes() []byte {
	slices.SortFunc(c.records, func(a, b record) int { return b.compare(a) })
	raw := make([]byte, 0, len(c.records)*recordBytes)
	for _, r := range c.records {
		raw = binary.BigEndian.AppendUint64(raw, r.high)
		raw = binary.BigEndian.AppendUint64(raw, r.low)
	}
	return raw
}
