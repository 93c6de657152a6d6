// Package enroller holds the list of the instances that an instance in relay mode knows, kept as in the SWIM protocol.
// Updates are piggybacked on other messages a limited number of times, an instance that does not reply is suspected,
// and only the instance itself can refute that. The load of an instance does not depend on the size of the fleet.
// Package discoverer exchanges the messages.
package enroller

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"time"

	"apricotflow/internal/cluster/registrar"
	"apricotflow/internal/wire/encoder"
)

const (
	// MaxUpdates is the maximum number of updates in one message, so that its size does not grow with the fleet.
	MaxUpdates = 16
	// retransmitFactor is the number of times that an instance sends one update, per binary logarithm of the number of
	// instances. With 3, nearly all other instances receive it.
	retransmitFactor = 3
	// SuspicionTimeout is how long a suspected instance stays in the list. It covers a partition of the usual length,
	// because instances on the other side of it still use their share of the limits that all instances share, such as the
	// budget for extra requests.
	SuspicionTimeout = 20 * time.Second
)

// Member is another instance.
type Member struct {
	Incarnation   string
	FailureDomain string
	Address       string
	// Counter orders the entries about the instance; this is the highest known one. Only the instance itself raises it, to
	// refute suspicions and entries of its previous incarnations.
	Counter int
	// SuspectedAt is the time at which the instance was first suspected with this counter; zero if it is not suspected.
	SuspectedAt time.Time
	// Position and Version are the position of the platform's store and the version of the routing table that the instance
	// reported in its latest direct message.
	Position registrar.Position
	Version  int
	// CPUCapacity is the CPU capacity of the instance in thousandths of a core; 0 if unknown.
	CPUCapacity int
}

// Capacity is the CPU capacity of an instance.
type Capacity struct {
	Instance      string
	FailureDomain string
	// Thousandths is the CPU capacity in thousandths of a core; 0 if unknown.
	Thousandths int
	Suspected   bool
}

// Suspected reports whether the instance is suspected because it did not reply to some other instance.
func (m Member) Suspected() bool { return !m.SuspectedAt.IsZero() }

// MemberChange is the kind of change to what is known about an instance.
type MemberChange string

// Kinds of changes. The values are log messages.
const (
	Unchanged MemberChange = ""
	Found     MemberChange = "instance found"
	Restarted MemberChange = "instance restarted"
	Suspected MemberChange = "instance suspected"
	Refuted   MemberChange = "instance no longer suspected"
)

// Roster holds the known instances. It is not safe for concurrent use.
type Roster struct {
	// own is this instance's own entry.
	own encoder.DiscoveryMember
	// members holds the other instances by name.
	members map[string]Member
	// domains caches the sorted names of members by failure domain; nil after a change of the members.
	domains map[string][]string
	// capacities caches the capacities of all members in the order of names; nil after a change of the members.
	capacities []Capacity
	// retransmits holds the number of times that the update about each instance is still to be sent.
	retransmits map[string]int
}

// New creates a roster that has only this instance's own entry.
func New(own encoder.DiscoveryMember) *Roster {
	return &Roster{own: own, members: make(map[string]Member), retransmits: make(map[string]int)}
}

// Own returns this instance's own entry.
func (r *Roster) Own() encoder.DiscoveryMember { return r.own }

// Len returns the number of other instances.
func (r *Roster) Len() int { return len(r.members) }

// Names returns the sorted names of the other instances.
func (r *Roster) Names() []string { return slices.Sorted(maps.Keys(r.members)) }

// OthersIn returns the sorted names of the other instances in a failure domain. The caller must not modify the slice.
func (r *Roster) OthersIn(domain string) []string {
	if r.domains == nil {
		r.domains = make(map[string][]string)
		for _, name := range r.Names() {
			d := r.members[name].FailureDomain
			r.domains[d] = append(r.domains[d], name)
		}
	}
	return r.domains[domain]
}

// Capacities returns the CPU capacities of the other instances in the order of names. The caller must not modify the
// slice.
func (r *Roster) Capacities() []Capacity {
	if r.capacities == nil {
		r.capacities = make([]Capacity, 0, len(r.members))
		for _, name := range r.Names() {
			m := r.members[name]
			r.capacities = append(r.capacities, Capacity{Instance: name, FailureDomain: m.FailureDomain, Thousandths: m.CPUCapacity, Suspected: m.Suspected()})
		}
	}
	return r.capacities
}

// Member returns the other instance with the name, if it is known.
func (r *Roster) Member(name string) (Member, bool) {
	m, found := r.members[name]
	return m, found
}

// Learn applies an entry about an instance, which any instance may have sent, and returns the kind of change. An entry
// replaces the known one if its counter is higher, or if the counters are equal and only the new entry is a suspicion.
func (r *Roster) Learn(m encoder.DiscoveryMember, now time.Time) MemberChange {
	if m.Instance == r.own.Instance {
		r.refute(m)
		return Unchanged
	}
	next := Member{
		Incarnation: m.Incarnation, FailureDomain: m.FailureDomain, Address: m.PeerAddress, Counter: m.Counter, CPUCapacity: capacityOf(m),
	}
	if m.Suspected {
		next.SuspectedAt = now
		if m.SuspectedMs != nil {
			next.SuspectedAt = now.Add(-time.Duration(*m.SuspectedMs) * time.Millisecond)
		}
	}
	known, found := r.members[m.Instance]
	switch {
	case !found && m.Suspected && now.Sub(next.SuspectedAt) > SuspicionTimeout:
		return Unchanged
	case !found:
		r.set(m.Instance, next)
		return Found
	case next.Counter < known.Counter, next.Counter == known.Counter && (known.Suspected() || !next.Suspected()):
		r.completeCapacity(m.Instance, known, m)
		return Unchanged
	}
	next.Position, next.Version = known.Position, known.Version
	if next.CPUCapacity == 0 && next.Incarnation == known.Incarnation {
		next.CPUCapacity = known.CPUCapacity
	}
	r.set(m.Instance, next)
	return changeBetween(known, next)
}

// capacityOf returns the CPU capacity in an entry; 0 if it has none.
func capacityOf(m encoder.DiscoveryMember) int {
	if m.CpuCapacity == nil {
		return 0
	}
	return max(*m.CpuCapacity, 0)
}

// completeCapacity adds the CPU capacity in an entry to the known one of the same incarnation that lacks it. Instances of
// versions without capacities pass entries on without them, with the same counter.
func (r *Roster) completeCapacity(name string, known Member, m encoder.DiscoveryMember) {
	if capacity := capacityOf(m); known.CPUCapacity == 0 && capacity > 0 && known.Incarnation == m.Incarnation {
		known.CPUCapacity = capacity
		r.set(name, known)
	}
}

// changeBetween returns the kind of change between two entries of an instance.
func changeBetween(before, after Member) MemberChange {
	switch {
	case before.Incarnation != after.Incarnation:
		return Restarted
	case !before.Suspected() && after.Suspected():
		return Suspected
	case before.Suspected() && !after.Suspected():
		return Refuted
	}
	return Unchanged
}

// LearnDirect applies the entry that an instance has sent about itself. A restarted instance does not know the counter
// of its previous incarnation, so its entry replaces the known one even if the counter is lower. The known counter is
// kept.
func (r *Roster) LearnDirect(m encoder.DiscoveryMember, now time.Time) MemberChange {
	result := r.Learn(m, now)
	known, found := r.members[m.Instance]
	if !found || result != Unchanged || known.Incarnation == m.Incarnation {
		return result
	}
	known.Incarnation, known.FailureDomain, known.Address, known.CPUCapacity = m.Incarnation, m.FailureDomain, m.PeerAddress, capacityOf(m)
	r.set(m.Instance, known)
	return Restarted
}

// SetState sets the position of the platform's store and the version of the routing table that an instance has reported.
func (r *Roster) SetState(name string, position registrar.Position, version int) {
	if m, found := r.members[name]; found {
		m.Position, m.Version = position, version
		r.members[name] = m
	}
}

// refute raises this instance's counter above that of a suspicion, or of an entry of its previous incarnation.
func (r *Roster) refute(m encoder.DiscoveryMember) {
	if m.Counter < r.own.Counter || m.Counter == r.own.Counter && !m.Suspected {
		return
	}
	r.own.Counter = m.Counter + 1
	r.scheduleUpdate(r.own.Instance)
}

// Suspect marks an instance that has not replied as suspected.
func (r *Roster) Suspect(name string, now time.Time) MemberChange {
	m, found := r.members[name]
	if !found || m.Suspected() {
		return Unchanged
	}
	m.SuspectedAt = now
	r.set(name, m)
	return Suspected
}

// Expire removes the instances that have been suspected for longer than SuspicionTimeout and returns their names.
func (r *Roster) Expire(now time.Time) []string {
	var expired []string
	for name, m := range r.members {
		if m.Suspected() && now.Sub(m.SuspectedAt) > SuspicionTimeout {
			delete(r.members, name)
			delete(r.retransmits, name)
			r.domains, r.capacities = nil, nil
			expired = append(expired, name)
		}
	}
	return expired
}

// set stores a member and schedules an update about it.
func (r *Roster) set(name string, m Member) {
	if before, found := r.members[name]; !found || before.FailureDomain != m.FailureDomain {
		r.domains = nil
	}
	r.capacities = nil
	r.members[name] = m
	r.scheduleUpdate(name)
}

// scheduleUpdate schedules an update about an instance, which replaces an earlier one.
func (r *Roster) scheduleUpdate(name string) {
	r.retransmits[name] = retransmitFactor * bits.Len(uint(len(r.members)+1))
}

// UpdatesFor returns the updates for one message to the receiver, those sent least often first. The counter is the
// latest one that the receiver has sent. If the receiver is suspected, or its previous incarnation had a higher
// counter, its own entry goes first, because only the receiver can refute it.
func (r *Roster) UpdatesFor(receiver string, counter int, now time.Time) []encoder.DiscoveryMember {
	updates := []encoder.DiscoveryMember{}
	if m, found := r.members[receiver]; found && (m.Suspected() || m.Counter > counter) {
		updates = append(updates, r.encode(receiver, now))
	}
	names := slices.SortedFunc(maps.Keys(r.retransmits), func(a, b string) int {
		return cmp.Or(cmp.Compare(r.retransmits[b], r.retransmits[a]), cmp.Compare(a, b))
	})
	for _, name := range names {
		if len(updates) >= MaxUpdates {
			break
		}
		if name == receiver {
			continue
		}
		updates = append(updates, r.encode(name, now))
		r.retransmits[name]--
		if r.retransmits[name] <= 0 {
			delete(r.retransmits, name)
		}
	}
	return updates
}

// All returns the entries of all other instances.
func (r *Roster) All(now time.Time) []encoder.DiscoveryMember {
	members := make([]encoder.DiscoveryMember, 0, len(r.members))
	for _, name := range r.Names() {
		members = append(members, r.encode(name, now))
	}
	return members
}

// encode returns the wire form of the entry of an instance.
func (r *Roster) encode(name string, now time.Time) encoder.DiscoveryMember {
	if name == r.own.Instance {
		return r.own
	}
	m := r.members[name]
	encoded := encoder.DiscoveryMember{
		Instance: name, Incarnation: m.Incarnation, FailureDomain: m.FailureDomain, PeerAddress: m.Address, Counter: m.Counter, Suspected: m.Suspected(),
	}
	if m.CPUCapacity > 0 {
		encoded.CpuCapacity = &m.CPUCapacity
	}
	if encoded.Suspected {
		age := int(now.Sub(m.SuspectedAt).Milliseconds())
		encoded.SuspectedMs = &age
	}
	return encoded
}
