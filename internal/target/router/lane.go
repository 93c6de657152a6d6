package router

import (
	"cmp"
	"slices"
	"sync/atomic"

	"apricotflow/internal/target/dispatcher"
)

// lane is the number of sub-queries for one target at one of its owners: all of them at this instance, and those sent
// from here at a peer.
type lane struct {
	atomic.Int64
}

// laneKey names a lane.
type laneKey struct {
	owner, target string
}

func (r *Router) lane(owner, target string) *lane {
	key := laneKey{owner: owner, target: target}
	if l, found := r.lanes.Load(key); found {
		return l.(*lane)
	}
	l, _ := r.lanes.LoadOrStore(key, &lane{})
	return l.(*lane)
}

// waves is how many rounds of the owner's slots a new sub-query waits for.
func (r *Router) waves(target string, s dispatcher.Share) int64 {
	return r.lane(s.Instance, target).Load() / int64(s.Slots)
}

// best returns the owner of a warm target with the shortest queue, as far as is known here. Among equals this instance
// comes first, because it needs no hop. Every owner has its own slots, so that a sub-query behind a straggler here would
// wait although a slot of the other owner is free.
func (r *Router) best(target string, shares []dispatcher.Share) string {
	return slices.MinFunc(shares, func(a, b dispatcher.Share) int {
		if c := cmp.Compare(r.waves(target, a), r.waves(target, b)); c != 0 {
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
