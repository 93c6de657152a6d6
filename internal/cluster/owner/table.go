package owner

import (
	"slices"

	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/wire/encoder"
)

// Share is the part of a target's slots that one owner uses.
type Share struct {
	Instance string
	// Slots is at least 1.
	Slots int
	// Rank is 1 for the first owner.
	Rank int
}

// spareOutside is the number of rivals outside the failure domain while an instance is released. Instances whose
// lists differ then need not have a common rival left; the further rivals make them meet unless the lists differ by more
// than two instances outside.
const spareOutside = 3

// nearOwners is the number of instances that may soon own a group of another failure domain.
const nearOwners = 4

// table is the ownership for one manifest, member list and set of announcements; it never changes.
type table struct {
	manifest *resolver.Manifest
	members  *resolver.Members
	version  uint64
	groups   map[string]*place
	// targets holds the place of each target's group, and domains the failure domain of each listed instance.
	targets map[string]*place
	domains map[string]string
	shares  map[string][]Share
	// released holds the listed instances that announced that they never grant or hold a lease again.
	released map[string]bool
	// candidates are the groups that this instance may own, sorted by name.
	candidates []string
}

// place is what this instance knows of one group.
type place struct {
	domain string
	// near holds the first owners and the first instances outside the failure domain.
	near   []string
	rivals []string
	// rank starts at 1; 0 means none.
	rank int
	// static holds at most two instances.
	static []string
}

func newTable(self string, manifest *resolver.Manifest, members *resolver.Members, version uint64, a Announcements) *table {
	t := &table{
		manifest: manifest, members: members, version: version,
		groups: make(map[string]*place), targets: make(map[string]*place), domains: make(map[string]string), shares: make(map[string][]Share),
		released: make(map[string]bool),
	}
	if manifest == nil {
		return t
	}
	live := eligible(members.Instances(), a)
	listed := members.Listed()
	for _, n := range listed {
		t.domains[n.Name] = n.FailureDomain
		if a.Released(n.Name) {
			t.released[n.Name] = true
		}
	}
	for _, g := range manifest.Groups() {
		t.addGroup(self, g, live, listed)
	}
	return t
}

func (t *table) addGroup(self string, g resolver.Group, live, listed []encoder.MemberInstance) {
	liveInside, liveOutside := domainOrder(g.Name, g.FailureDomain, live)
	owners := slices.Concat(liveInside, liveOutside)
	inside, outside := domainOrder(g.Name, g.FailureDomain, listed)
	static := staticOrder(inside, outside)
	limit := t.manifest.Limits().Owners
	near := max(nearOwners, limit)
	p := &place{
		domain: g.FailureDomain,
		near:   slices.Concat(owners[:min(near, len(owners))], outside[:min(near, len(outside))]),
		rivals: t.rivals(self, inside, outside),
		rank:   slices.Index(owners, self) + 1,
		static: static[:min(2, len(static))],
	}
	t.groups[g.Name] = p
	if slices.Contains(inside, self) || p.rank == 1 || len(outside) > 0 && outside[0] == self {
		t.candidates = append(t.candidates, g.Name)
	}
	bySlots := make(map[int][]Share)
	for _, name := range g.Targets {
		target, _ := t.manifest.Target(name)
		shares, found := bySlots[target.Slots]
		if !found {
			shares = divide(target.Slots, limit, owners)
			bySlots[target.Slots] = shares
		}
		t.shares[name] = shares
		t.targets[name] = p
	}
}

// eligible returns the live instances that take part in the ownership order: those that are neither leaving nor joining
// or, if there are none, all.
func eligible(live []encoder.MemberInstance, a Announcements) []encoder.MemberInstance {
	settled := slices.DeleteFunc(slices.Clone(live), func(n encoder.MemberInstance) bool {
		return a.Leaving(n.Name) || a.Joining(n.Name)
	})
	if len(settled) == 0 {
		return live
	}
	return settled
}

// rivals returns every other listed instance of the group's failure domain and the first other one from outside; an
// instance from outside also asks all that precede it, so that of two possible holders with the same list at least one
// asks the other. Without a listed instance in the failure domain all listed instances are rivals, since the first
// outside one may differ between two member lists. Released instances do not count.
func (t *table) rivals(self string, inside, outside []string) []string {
	others := func(names []string) []string {
		return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == self })
	}
	rest := others(outside)
	if len(inside) == 0 {
		return rest
	}
	released := func(name string) bool { return t.released[name] }
	count := 1
	if slices.ContainsFunc(inside, released) || slices.ContainsFunc(outside, released) {
		count = spareOutside
	}
	preceding := slices.Index(outside, self)
	taken := 0
	for taken < len(rest) && (count > 0 || taken < preceding) {
		if !released(rest[taken]) {
			count--
		}
		taken++
	}
	return slices.Concat(others(inside), rest[:taken])
}

// staticOrder returns the instances that static shares are divided among. It holds leaving instances too, since
// another instance may not know yet that they leave. An instance outside the failure domain has no static share
// while an instance inside is listed, since the inner one need not ask it when their lists differ.
func staticOrder(inside, outside []string) []string {
	if len(inside) > 0 {
		return inside
	}
	return outside
}

// divide gives the first owners the larger parts.
func divide(slots, limit int, owners []string) []Share {
	k := min(limit, slots, len(owners))
	shares := make([]Share, 0, max(k, 0))
	for i := range k {
		part := slots / k
		if i < slots%k {
			part++
		}
		shares = append(shares, Share{Instance: owners[i], Slots: part, Rank: i + 1})
	}
	return shares
}
