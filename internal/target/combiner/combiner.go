// Package combiner keeps the greatest records of several parts.
package combiner

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"slices"
)

// recordBytes is the size of a record; a remainder of a part that is shorter is not a record.
const recordBytes = 16

// record is a record as two big-endian numbers, which compare like its bytes.
type record struct {
	high uint64
	low  uint64
}

func (r record) compare(o record) int {
	return cmp.Or(cmp.Compare(r.high, o.high), cmp.Compare(r.low, o.low))
}

// Combiner keeps the greatest records of all parts; the least of them is at the root of the heap.
type Combiner struct {
	top     int
	records recordHeap
}

type recordHeap []record

// Len is part of heap.Interface.
func (h recordHeap) Len() int { return len(h) }

// Less is part of heap.Interface.
func (h recordHeap) Less(i, j int) bool { return h[i].compare(h[j]) < 0 }

// Swap is part of heap.Interface.
func (h recordHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is part of heap.Interface.
func (h *recordHeap) Push(r any) { *h = append(*h, r.(record)) }

// Pop is part of heap.Interface.
func (h *recordHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// New creates a combiner that keeps up to top records.
func New(top int) *Combiner {
	return &Combiner{top: top, records: make(recordHeap, 0, max(top, 0))}
}

// Add takes the records of a part.
func (c *Combiner) Add(part []byte) {
	for ; len(part) >= recordBytes; part = part[recordBytes:] {
		r := record{high: binary.BigEndian.Uint64(part), low: binary.BigEndian.Uint64(part[recordBytes/2:])}
		switch {
		case len(c.records) < c.top:
			heap.Push(&c.records, r)
		case c.top > 0 && r.compare(c.records[0]) > 0:
			c.records[0] = r
			heap.Fix(&c.records, 0)
		}
	}
}

// Bytes returns the greatest records in falling order.
func (c *Combiner) Bytes() []byte {
	slices.SortFunc(c.records, func(a, b record) int { return b.compare(a) })
	raw := make([]byte, 0, len(c.records)*recordBytes)
	for _, r := range c.records {
		raw = binary.BigEndian.AppendUint64(raw, r.high)
		raw = binary.BigEndian.AppendUint64(raw, r.low)
	}
	return raw
}
