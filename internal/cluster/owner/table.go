package owner

import (
	"slices"

	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/wire/encoder"
)

// Share is the number of a target's slots that one owner uses.
type Share struct {
	Instance string
	// Slots is at least 1.
	Slots int
	// Rank is 1 for the first owner.
	Rank int
}

// outsideGrantorsAfterRelease is the number of grantors outside the failure domain while an instance is released.
// Usually one is enough. But a released instance does not count, so that two instances with different member lists
// might have no grantor in common. Three prevent this, unless the lists differ by more than two instances outside the
// failure domain.
const outsideGrantorsAfterRelease = 3

// minOtherDomainCandidates is the minimum number of instances counted as possible owners of a group regardless of their
// failure domain.
const minOtherDomainCandidates = 4

// table is the ownership computed from one manifest, member list and version of the announcements. It is immutable.
type table struct {
	manifest            *resolver.Manifest
	members             *resolver.Members
	announcementVersion uint64
	groups              map[string]*groupOwnership
	// targets maps each target to its group, and domains each listed instance to its failure domain.
	targets        map[string]*groupOwnership
	domains        map[string]string
	sharesByTarget map[string][]Share
	// released holds the listed instances whose incarnations never grant or hold a lease again.
	released map[string]bool
	// candidates holds the groups that this instance may hold a lease or static share on, sorted by name: those in its own
	// failure domain, those that it is the first owner or a static owner of, and those for which it is the first listed
	// instance outside the failure domain.
	candidates []string
}

// groupOwnership is the ownership of one group as seen by this instance.
type groupOwnership struct {
	domain string
	// otherDomainCandidates holds the instances that may own the group or grant a lease on it although they may be outside
	// its failure domain: the first owners and the first listed instances outside.
	otherDomainCandidates []string
	// grantors holds the other instances whose grants this instance needs for a lease on the group.
	grantors []string
	// rank is the rank of this instance among the owners, 1 for the first owner; 0 means that it is not eligible.
	rank int
	// staticOwners holds the instances, at most two, that have static shares of the cold limits, in order.
	staticOwners []string
}

func newTable(self string, manifest *resolver.Manifest, members *resolver.Members, announcementVersion uint64, a Announcements) *table {
	t := &table{
		manifest: manifest, members: members, announcementVersion: announcementVersion,
		groups: make(map[string]*groupOwnership), targets: make(map[string]*groupOwnership), domains: make(map[string]string), sharesByTarget: make(map[string][]Share),
		released: make(map[string]bool),
	}
	if manifest == nil {
		return t
	}
	live := eligibleOwners(members.LiveInstances(), a)
	listed := members.Instances()
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

// addGroup computes the ownership of one group and its targets.
func (t *table) addGroup(self string, g resolver.TargetGroup, live, listed []encoder.MemberInstance) {
	liveInside, liveOutside := orderByDomain(g.Name, g.FailureDomain, live)
	owners := slices.Concat(liveInside, liveOutside)
	inside, outside := orderByDomain(g.Name, g.FailureDomain, listed)
	staticOwners := staticOwnerCandidates(inside, outside)
	limit := t.manifest.Limits().Owners
	candidateLimit := max(minOtherDomainCandidates, limit)
	ownership := &groupOwnership{
		domain:                g.FailureDomain,
		otherDomainCandidates: slices.Concat(owners[:min(candidateLimit, len(owners))], outside[:min(candidateLimit, len(outside))]),
		grantors:              t.selectGrantors(self, inside, outside),
		rank:                  slices.Index(owners, self) + 1,
		staticOwners:          staticOwners[:min(2, len(staticOwners))],
	}
	t.groups[g.Name] = ownership
	if slices.Contains(inside, self) || ownership.rank == 1 || len(outside) > 0 && outside[0] == self || slices.Contains(ownership.staticOwners, self) {
		t.candidates = append(t.candidates, g.Name)
	}
	bySlots := make(map[int][]Share)
	for _, name := range g.Targets {
		target, _ := t.manifest.Target(name)
		shares, found := bySlots[target.Slots]
		if !found {
			shares = divideSlots(target.Slots, limit, owners)
			bySlots[target.Slots] = shares
		}
		t.sharesByTarget[name] = shares
		t.targets[name] = ownership
	}
}

// eligibleOwners returns the live instances that are neither leaving nor joining or, if there are none, all live ones.
func eligibleOwners(live []encoder.MemberInstance, a Announcements) []encoder.MemberInstance {
	active := slices.DeleteFunc(slices.Clone(live), func(n encoder.MemberInstance) bool {
		return a.Leaving(n.Name) || a.Joining(n.Name)
	})
	if len(active) == 0 {
		return live
	}
	return active
}

// selectGrantors returns every other listed instance of the group's failure domain and the first other one outside of
// it. For an instance outside, all outside instances that precede it are grantors too, so that of two possible holders
// with the same member list at least one asks the other. If the failure domain has no listed instance, all other listed
// instances are grantors, since the first one outside may differ between two member lists. Released instances are
// included but do not count towards the number outside.
func (t *table) selectGrantors(self string, inside, outside []string) []string {
	others := func(names []string) []string {
		return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == self })
	}
	candidates := others(outside)
	if len(inside) == 0 {
		return candidates
	}
	released := func(name string) bool { return t.released[name] }
	missing := 1
	if slices.ContainsFunc(inside, released) || slices.ContainsFunc(outside, released) {
		missing = outsideGrantorsAfterRelease
	}
	ownPosition := slices.Index(outside, self)
	taken := 0
	for taken < len(candidates) && (missing > 0 || taken < ownPosition) {
		if !released(candidates[taken]) {
			missing--
		}
		taken++
	}
	return slices.Concat(others(inside), candidates[:taken])
}

// staticOwnerCandidates returns the instances that are considered for static shares, in order. They include leaving
// instances, since another instance may not know yet that they leave. An instance outside the failure domain has no
// static share while an instance inside is listed, since the one inside may hold the lease without a grant from the one
// outside when their member lists differ.
func staticOwnerCandidates(inside, outside []string) []string {
	if len(inside) > 0 {
		return inside
	}
	return outside
}

// divideSlots divides the slots evenly among the first owners, up to the limit, and gives the remainder to the first.
func divideSlots(slots, limit int, owners []string) []Share {
	count := min(limit, slots, len(owners))
	shares := make([]Share, 0, max(count, 0))
	for i := range count {
		share := slots / count
		if i < slots%count {
			share++
		}
		shares = append(shares, Share{Instance: owners[i], Slots: share, Rank: i + 1})
	}
	return shares
}
