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
	loads := p.loads(available, now)
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
	var shares []Share
	left := parts
	for _, l := range loads[:used] {
		// Rounded up, because what is left over by many instances would add up here.
		n := min(int(math.Ceil(finish*float64(l.instance.Thousandths)-l.parts)), left)
		if n < minBatch {
			continue
		}
		shares = append(shares, Share{Instance: l.instance, Parts: n})
		left -= n
	}
	return shares
}

// ChooseAmong returns the instance with the shortest time for a number of parts, among those available.
func (p *Placer) ChooseAmong(parts int, available []enroller.Capacity, now time.Time) (best enroller.Capacity, found bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var shortest time.Duration
	start := 0
	if len(available) > 0 {
		start = rand.IntN(len(available))
	}
	for n := range available {
		c := available[(start+n)%len(available)]
		if c.Thousandths <= 0 || p.isSuspended(c.Instance, now) {
			continue
		}
		if t := p.timeOn(c, parts, now); !found || t < shortest {
			best, shortest, found = c, t, true
		}
	}
	return best, found
}

// loads returns the instances that may get parts, those that would finish a batch first at the front.
func (p *Placer) loads(available []enroller.Capacity, now time.Time) []load {
	p.mu.Lock()
	defer p.mu.Unlock()
	var loads []load
	for _, c := range available {
		if c.Thousandths <= 0 || float64(c.Thousandths) < minCapacityShare*float64(p.own.Thousandths) || p.isSuspended(c.Instance, now) {
			continue
		}
		parts := float64(p.timeOn(c, batchParts, now)) / float64(processorTime(1, c.Thousandths))
		loads = append(loads, load{instance: c, parts: parts})
	}
	// Instances with equal loads take turns by chance, so that small instances do not all load the same ones.
	rand.Shuffle(len(loads), func(i, j int) { loads[i], loads[j] = loads[j], loads[i] })
	slices.SortStableFunc(loads, func(a, b load) int {
		return cmp.Compare(a.parts/float64(a.instance.Thousandths), b.parts/float64(b.instance.Thousandths))
	})
	return loads
}
