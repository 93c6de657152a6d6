package router

import (
	"cmp"
	"slices"
	"sync/atomic"

	"apricotflow/internal/target/dispatcher"
)

// counter counts the outstanding sub-queries for one target at one of its owners: all at this instance, and those sent
// from here at a peer.
type counter struct {
	atomic.Int64
}

// ownerTarget is the key of a counter.
type ownerTarget struct {
	owner, target string
}

func (r *Router) outstandingAt(owner, target string) *counter {
	key := ownerTarget{owner: owner, target: target}
	if l, found := r.outstanding.Load(key); found {
		return l.(*counter)
	}
	l, _ := r.outstanding.LoadOrStore(key, &counter{})
	return l.(*counter)
}

// rounds is how many rounds of the owner's slots a new sub-query waits for.
func (r *Router) rounds(target string, s dispatcher.Share) int64 {
	return r.outstandingAt(s.Instance, target).Load() / int64(s.Slots)
}

// best returns the owner of a warm target with the shortest queue, as far as is known here. Among equals this instance
// comes first, because it needs no hop. Every owner has its own slots, so that a sub-query behind a straggler here would
// wait although a slot of the other owner is free.
func (r *Router) best(target string, shares []dispatcher.Share) string {
	return slices.MinFunc(shares, func(a, b dispatcher.Share) int {
		if c := cmp.Compare(r.rounds(target, a), r.rounds(target, b)); c != 0 {
			return c
		}
		switch r.instance {
		case a.Instance:
			return -1
		case b.Instance:
			return 1
		}
		return r.load(a.Instance).compare(r.load(b.Instance))
	}).Instance
}
