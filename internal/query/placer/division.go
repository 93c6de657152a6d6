package placer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"apricotflow/internal/cluster/enroller"
)

const (
	// batchParts is what a batch costs its sender and its receiver, in parts.
	batchParts = 3
	// minBatch is the minimum number of parts in a batch. Fewer cost as much as the batch itself.
	minBatch = 3
	// minCapacityShare is the minimum capacity of an instance that gets parts, relative to this one.
	minCapacityShare = 0.5
	// spreadLimitShare is the share of its time limit that the parts of a query for another failure domain may take the
	// instances there. It is half of what makes a query too wide.
	spreadLimitShare = maxLimitShare / 2
)

// Share is the number of parts that an instance gets.
type Share struct {
	Instance enroller.Capacity
	Parts    int
}

// load is an instance with its outstanding work in parts, including the excess and the batch.
type load struct {
	instance enroller.Capacity
	parts    float64
}

// Divide returns the shares of other instances in a number of parts of a query, so that all finish at the same time. This
// instance, where a number of parts are in progress, runs the rest. Only the available instances get parts, those with too
// little capacity none.
func (p *Placer) Divide(parts, inProgress int, available []enroller.Capacity, now time.Time) []Share {
	if p.own.Thousandths <= 0 {
		return nil
	}
	loads := p.loads(available, minCapacityShare*float64(p.own.Thousandths), now)
	own := float64(inProgress)
	total, work := float64(p.own.Thousandths), own+float64(parts)
	finish := work / total
	used := 0
	for n, l := range loads {
		// The sender needs its processor for the batches too.
		total, work = total+float64(l.instance.Thousandths), work+l.parts+batchParts
		next := work / total
		if next >= finish || next*float64(p.own.Thousandths) < own+float64(batchParts*(n+1)) || next*float64(l.instance.Thousandths)-l.parts < minBatch {
			break
		}
		finish, used = next, n+1
	}
	return shares(loads[:used], parts, finish)
}

// Spread returns the shares of instances of another failure domain in a number of parts of a query, of which this instance
// runs none. It takes as few instances as can finish within a part of the time limit of the query, because each batch and
// its reply cross between failure domains. It returns none if there are too few parts or no instance is available.
func (p *Placer) Spread(q Query, available []enroller.Capacity, now time.Time) []Share {
	if q.Parts < minBatch {
		return nil
	}
	loads := p.loads(available, 0, now)
	var total, work float64
	used := 0
	for n, l := range loads {
		capacity := float64(l.instance.Thousandths)
		next := (work + l.parts + float64(q.Parts)) / (total + capacity)
		if n > 0 && next*capacity-l.parts < minBatch {
			break
		}
		total, work, used = total+capacity, work+l.parts, n+1
		if time.Duration(next*float64(processorTime(1, 1))) <= time.Duration(spreadLimitShare*float64(q.Limit)) {
			break
		}
	}
	if used == 0 {
		return nil
	}
	return shares(loads[:used], q.Parts, (work+float64(q.Parts))/total)
}

// Best returns the instance with the shortest time for a number of parts.
func (p *Placer) Best(parts int, available []enroller.Capacity, now time.Time) (best enroller.Capacity, found bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	shortest := time.Duration(math.MaxInt64)
	for _, i := range rand.Perm(len(available)) {
		c := available[i]
		if c.Thousandths <= 0 || p.isSuspended(c.Instance, now) {
			continue
		}
		if t := p.timeOn(c, parts, now) + p.tripTo(c); t < shortest {
			best, shortest, found = c, t, true
		}
	}
	return best, found
}

// shares returns the parts of each instance if all finish at the given time, in parts for each unit of capacity. It rounds
// up, because what is left over by many instances would add up on this one.
func shares(loads []load, parts int, finish float64) []Share {
	var shares []Share
	for _, l := range loads {
		n := min(int(math.Ceil(finish*float64(l.instance.Thousandths)-l.parts)), parts)
		if n < minBatch {
			continue
		}
		shares = append(shares, Share{Instance: l.instance, Parts: n})
		parts -= n
	}
	return shares
}

// loads returns the instances with at least the given capacity that may get parts. Those that would finish a batch first are
// at the front, and the largest ones among them.
func (p *Placer) loads(available []enroller.Capacity, minCapacity float64, now time.Time) []load {
	p.mu.Lock()
	defer p.mu.Unlock()
	var loads []load
	for _, c := range available {
		if c.Thousandths <= 0 || float64(c.Thousandths) < minCapacity || p.isSuspended(c.Instance, now) {
			continue
		}
		parts := float64(p.timeOn(c, batchParts, now)) / float64(processorTime(1, c.Thousandths))
		loads = append(loads, load{instance: c, parts: parts})
	}
	// Instances with equal loads take turns by chance, so that small instances do not all load the same ones.
	rand.Shuffle(len(loads), func(i, j int) { loads[i], loads[j] = loads[j], loads[i] })
	slices.SortStableFunc(loads, func(a, b load) int {
		return cmp.Or(cmp.Compare(a.parts/float64(a.instance.Thousandths), b.parts/float64(b.instance.Thousandths)), cmp.Compare(b.instance.Thousandths, a.instance.Thousandths))
	})
	return loads
}
