package allotter

import (
	"maps"
	"slices"
	"time"

	"apricotflow/internal/cluster/owner"
)

// JoinTime is the age of a process from which it is expected to know all instances.
const JoinTime = 8 * time.Second

const (
	// countMemory is the time for which the largest number of instances is remembered, so that a side of a partition does
	// not take itself for the whole after it has forgotten the other side.
	countMemory = 10 * time.Minute
	// minorityGrace is the time for which the custodians on a side with half of the instances or fewer go on. It ends long
	// before the other side forgets these instances, which it does 20 s after it has suspected them.
	minorityGrace = 5 * time.Second
	// standstillTime is the time without an update after which the instance counts as frozen meanwhile. Updates are at most
	// a fraction of a second apart.
	standstillTime = 2 * time.Second
	// listSettleTime is how long the list must have been the same before a process below JoinTime issues tokens.
	listSettleTime = time.Second
	// maxHistory is the number of earlier lists from which the start of a custody is found.
	maxHistory = 8
)

// Member is an instance in the list of instances.
type Member struct {
	Name          string
	FailureDomain string
	// Suspected reports whether the instance is suspected to be lost, or out of reach.
	Suspected bool
	// Ignorant reports whether the instance runs a version without quotas, so that it issues no tokens.
	Ignorant bool
}

// Fleet is an immutable list of the instances, this one included.
type Fleet struct {
	// names holds the instances that know quotas, and domains the failure domain of each.
	names   []string
	domains map[string]string
	// domainCount is the number of failure domains.
	domainCount int
	total       int
	// since is the time of the change that led to this list.
	since time.Duration
}

// newFleet returns the list with the members, sorted by name.
func newFleet(members []Member, now time.Duration) *Fleet {
	f := &Fleet{domains: make(map[string]string, len(members)), total: len(members), since: now}
	seen := make(map[string]bool)
	for _, m := range members {
		seen[m.FailureDomain] = true
		if !m.Ignorant {
			f.names = append(f.names, m.Name)
			f.domains[m.Name] = m.FailureDomain
		}
	}
	slices.Sort(f.names)
	f.domainCount = len(seen)
	return f
}

// sameInstances reports whether the other list has the same instances in the same failure domains.
func (f *Fleet) sameInstances(other *Fleet) bool {
	if f.total != other.total || !slices.Equal(f.names, other.names) {
		return false
	}
	for name, domain := range f.domains {
		if other.domains[name] != domain {
			return false
		}
	}
	return true
}

// holds reports whether the instance is a custodian of a tenant whose limit has the given number of portions.
func (f *Fleet) holds(name, tenant string, portions int) bool {
	return owner.CountPreceding(tenant, name, slices.DeleteFunc(slices.Clone(f.names), func(n string) bool { return n == name })) < portions
}

// Placement names the instances that issue the tokens of a tenant.
type Placement struct {
	// Custodians holds the instance of each portion. With fewer instances than portions, names repeat.
	Custodians []string
	// Spares holds the instance of each spare. It is fixed by the list alone, so that differing opinions on who can be
	// reached never lead to more spares.
	Spares []string
	// CutOff is the instance that issues the tokens of this instance's failure domain while that is cut off.
	CutOff string
	// successors holds the instances that were custodians before as many instances as there are portions came into the list.
	successors []string
}

// Place returns the placement of the tokens of a tenant. The custodians are the first instances in rendezvous order,
// including suspected ones, since a suspected custodian may go on issuing.
func (f *Fleet) Place(tenant string, plan Plan, ownDomain string) Placement {
	order := owner.RendezvousOrder(tenant, f.names)
	var p Placement
	for i := range plan.Portions {
		p.Custodians = append(p.Custodians, order[i%len(order)])
	}
	for i := range plan.Spares {
		p.Spares = append(p.Spares, order[(plan.Portions+i)%len(order)])
	}
	for _, name := range order {
		if f.domains[name] == ownDomain {
			p.CutOff = name
			break
		}
	}
	if len(order) > plan.Portions {
		p.successors = order[plan.Portions:min(2*plan.Portions, len(order))]
	}
	return p
}

// Tracker follows the list of instances and what of it can be reached, as one instance sees it. It is not safe for
// concurrent use.
type Tracker struct {
	own, ownDomain string
	started        time.Duration
	// fleet is the current list, and history the lists before it, the latest first.
	fleet   *Fleet
	history []*Fleet
	// countPeaks holds the largest number of instances in each minute of countMemory, by minute.
	countPeaks map[int64]int
	reachable  int
	// minoritySince is the time since which this instance reaches half of the instances or fewer; negative if it reaches
	// more.
	minoritySince time.Duration
	// hadMajority reports whether this process has ever reached more than half of the instances. Until then, its list may
	// have only its own side of a partition, so that it holds nothing.
	hadMajority bool
	// resumedAt is the time of the latest end of a standstill or of an exclusion by minorityGrace; the start of the process
	// before.
	resumedAt time.Duration
	seenAt    time.Duration
}

// NewTracker returns a tracker whose list has only the own instance.
func NewTracker(own, ownDomain string, now time.Duration) *Tracker {
	return &Tracker{
		own: own, ownDomain: ownDomain, started: now, resumedAt: now, seenAt: now, minoritySince: -1, reachable: 1,
		fleet: newFleet([]Member{{Name: own, FailureDomain: ownDomain}}, now), countPeaks: make(map[int64]int),
	}
}

// Fleet returns the current list.
func (t *Tracker) Fleet() *Fleet { return t.fleet }

// Observe notices a standstill of this instance. It must be called before each decision.
func (t *Tracker) Observe(now time.Duration) {
	if now-t.seenAt > standstillTime {
		t.resumedAt = now
	}
	t.seenAt = max(t.seenAt, now)
}

// Seeds is the number of instances that the settings name, and how many of them this instance reaches.
type Seeds struct {
	Total, Reached int
}

// Update sets the list, which must include this instance.
func (t *Tracker) Update(now time.Duration, members []Member, seeds Seeds) {
	t.Observe(now)
	if next := newFleet(members, now); !next.sameInstances(t.fleet) {
		t.history = slices.Insert(t.history, 0, t.fleet)
		t.history = t.history[:min(len(t.history), maxHistory)]
		t.fleet = next
	}
	minute := int64(now / time.Minute)
	t.countPeaks[minute] = max(t.countPeaks[minute], len(members), seeds.Total)
	for m := range t.countPeaks {
		if m < minute-int64(countMemory/time.Minute) {
			delete(t.countPeaks, m)
		}
	}
	t.reachable = 0
	for _, m := range members {
		if !m.Suspected || m.Name == t.own {
			t.reachable++
		}
	}
	minority := 2*t.reachable <= t.count() && t.count() > 1
	if now-t.started < countMemory && seeds.Total > 0 && 2*seeds.Reached <= seeds.Total {
		// A process that has started during a partition does not know how many instances there are. The seeds are the same
		// for all, and two sides cannot both have more than half of them.
		minority = true
	}
	t.hadMajority = t.hadMajority || !minority
	switch {
	case minority && t.minoritySince < 0:
		t.minoritySince = now
	case !minority && t.minoritySince >= 0:
		if now-t.minoritySince > minorityGrace {
			t.resumedAt = now
		}
		t.minoritySince = -1
	}
}

// count returns the largest number of instances known within countMemory.
func (t *Tracker) count() int {
	n := t.fleet.total
	for _, peak := range t.countPeaks {
		n = max(n, peak)
	}
	return n
}

// inMajority reports whether this instance reaches more than half of the instances.
func (t *Tracker) inMajority() bool { return t.minoritySince < 0 }

// mayHold reports whether this instance may issue tokens as a custodian.
func (t *Tracker) mayHold(now time.Duration) bool {
	if t.minoritySince >= 0 && (!t.hadMajority || now-t.minoritySince > minorityGrace) {
		return false
	}
	return !t.isJoining(now) || now-t.fleet.since >= listSettleTime
}

// isJoining reports whether this process may not know all instances yet.
func (t *Tracker) isJoining(now time.Duration) bool { return now-t.started <= JoinTime }

// InitialIssuer returns the instance that issues the initial tokens of a tenant, of the instances at the addresses of the
// seeds: after a start of all instances, the seeds are all that each of them knows alike. It is empty if it is not known yet.
func InitialIssuer(tenant string, seeds map[string]string) string {
	if len(seeds) == 0 {
		return ""
	}
	return seeds[owner.RendezvousOrder(tenant, slices.Sorted(maps.Keys(seeds)))[0]]
}

// custodySince returns the time since which this instance is a custodian without interruption, as far as it is known. The
// current list must make it one.
func (t *Tracker) custodySince(tenant string, portions int) time.Duration {
	since := t.fleet.since
	for _, f := range t.history {
		if !f.holds(t.own, tenant, portions) {
			break
		}
		since = f.since
	}
	return max(since, t.resumedAt)
}

// domainFraction returns the fraction of all instances that are in the own failure domain.
func (t *Tracker) domainFraction() float64 {
	n := 0
	for _, domain := range t.fleet.domains {
		if domain == t.ownDomain {
			n++
		}
	}
	return float64(n) / float64(max(t.count(), 1))
}
