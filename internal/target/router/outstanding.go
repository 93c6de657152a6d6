package router

import (
	"cmp"
	"slices"
	"sync/atomic"

	"apricotflow/internal/target/dispatcher"
)

// outstandingCounter counts the sub-queries without a reply for one target at one of its owners. For this instance it
// includes those of its peers; for a peer, only those sent from here.
type outstandingCounter struct {
	atomic.Int64
}

// ownerTarget is the key of an outstandingCounter.
type ownerTarget struct {
	owner, target string
}

func (r *Router) outstandingAt(owner, target string) *outstandingCounter {
	key := ownerTarget{owner: owner, target: target}
	if l, found := r.outstanding.Load(key); found {
		return l.(*outstandingCounter)
	}
	l, _ := r.outstanding.LoadOrStore(key, &outstandingCounter{})
	return l.(*outstandingCounter)
}

// queueRounds estimates the number of rounds for which a new sub-query waits at an owner. In each round the target runs
// as many sub-queries as the owner has slots.
func (r *Router) queueRounds(target string, s dispatcher.OwnerShare) int64 {
	return r.outstandingAt(s.Instance, target).Load() / int64(s.Slots)
}

// leastBusyOwner returns the owner of a warm target with the shortest queue, as far as this instance knows. Among
// equals it prefers this instance, which needs no network hop. Each owner has its own slots: a sub-query queued behind
// a slow one here would wait even though another owner has a free slot.
func (r *Router) leastBusyOwner(target string, shares []dispatcher.OwnerShare) string {
	return slices.MinFunc(shares, func(a, b dispatcher.OwnerShare) int {
		if c := cmp.Compare(r.queueRounds(target, a), r.queueRounds(target, b)); c != 0 {
			return c
		}
		switch r.instance {
		case a.Instance:
			return -1
		case b.Instance:
			return 1
		}
		return r.peerLoad(a.Instance).compare(r.peerLoad(b.Instance))
	}).Instance
}
