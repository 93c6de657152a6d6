package owner_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"apricotflow/internal/cluster/owner"
	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/wire/encoder"
)

func init() {
	// Property tests use a fixed seed unless the flag overrides it.
	_ = flag.Set("rapid.seed", "1")
}

// configuration implements owner.Configuration and owner.Announcements with settable values.
type configuration struct {
	manifest *resolver.Manifest
	members  *resolver.Members
	leaving  map[string]bool
	joining  map[string]bool
	released map[string]bool
	version  uint64
}

func (c *configuration) Manifest() *resolver.Manifest    { return c.manifest }
func (c *configuration) Members() *resolver.Members      { return c.members }
func (c *configuration) AnnouncementVersion() uint64     { return c.version }
func (c *configuration) Joining(name string) bool        { return c.joining[name] }
func (c *configuration) Released(name string) bool       { return c.released[name] }
func (c *configuration) ReleasedAt(string) time.Duration { return 1 }
func (c *configuration) Leaving(name string) bool        { return c.leaving[name] }

func newManifest(t assert.TestingT, owners, slots int) *resolver.Manifest {
	wire := encoder.Manifest{Generation: 1, Deployment: "test", Limits: encoder.Limits{Owners: owners, LeaseMs: 3000}}
	for i, domain := range []string{"a", "b", "c"} {
		wire.FailureDomains = append(wire.FailureDomains, encoder.FailureDomain{Name: domain, Region: "r", State: "open"})
		for j := range 8 {
			wire.Services = append(wire.Services, encoder.Service{Name: fmt.Sprintf("s%d%s", j, domain), Targets: []encoder.Target{{
				Name: fmt.Sprintf("%s%d", domain, j), Address: fmt.Sprintf("127.0.0.1:%d%d", i+1, j), FailureDomain: domain,
				State: "serving", Slots: slots, Connections: 25, ColdLimit: 1,
			}}})
		}
	}
	m, problems := resolver.New(wire, "d")
	assert.Equal(t, len(problems), 0)
	return m
}

func newInstance(name, domain string) encoder.MemberInstance {
	return encoder.MemberInstance{Name: name, FailureDomain: domain, State: encoder.MemberInstanceStateLive}
}

func instanceLists() *rapid.Generator[[]encoder.MemberInstance] {
	return rapid.Custom(func(t *rapid.T) []encoder.MemberInstance {
		names := rapid.SliceOfNDistinct(rapid.IntRange(0, 99), 1, 8, rapid.ID).Draw(t, "names")
		list := make([]encoder.MemberInstance, len(names))
		for i, n := range names {
			list[i] = newInstance(fmt.Sprintf("n%d", n), rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "domain"))
		}
		return list
	})
}

func newOwner(self string, m *resolver.Manifest, list []encoder.MemberInstance) (*owner.Owner, *configuration) {
	c := &configuration{manifest: m, members: resolver.NewMembers(encoder.MemberList{Instances: list}), leaving: make(map[string]bool), joining: make(map[string]bool), released: make(map[string]bool)}
	return owner.New(self, c, c), c
}

// Guards against instances that disagree on the owners of a target and exceed its slots together.
func TestSameMembershipGivesSameOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := instanceLists().Draw(t, "list")
		m := newManifest(t, rapid.IntRange(1, 4).Draw(t, "owners"), rapid.IntRange(1, 5).Draw(t, "slots"))
		first, _ := newOwner(list[0].Name, m, list)
		shuffled := rapid.Permutation(list).Draw(t, "shuffled")
		other, _ := newOwner(list[len(list)-1].Name, m, shuffled)
		for _, target := range m.Targets() {
			assert.DeepEqual(t, first.Shares(target.Name), other.Shares(target.Name))
		}
	})
}

// Guards against shares that do not add up to the slots, and against a remote owner that ranks before a local one and
// adds latency.
func TestSharesDivideSlotsWithLocalOwnersFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := instanceLists().Draw(t, "list")
		owners, slots := rapid.IntRange(1, 4).Draw(t, "owners"), rapid.IntRange(1, 5).Draw(t, "slots")
		m := newManifest(t, owners, slots)
		o, c := newOwner(list[0].Name, m, list)
		for _, target := range m.Targets() {
			shares, sum, outside := o.Shares(target.Name), 0, false
			assert.Equal(t, len(shares), min(owners, slots, len(list)))
			for i, s := range shares {
				assert.Equal(t, s.Rank, i+1)
				assert.Assert(t, s.Slots >= 1 && s.Slots <= shares[0].Slots)
				sum += s.Slots
				n, _ := c.members.Instance(s.Instance)
				assert.Assert(t, !outside || n.FailureDomain != target.FailureDomain)
				outside = outside || n.FailureDomain != target.FailureDomain
			}
			assert.Equal(t, sum, slots)
		}
	})
}

// Guards against the loss of one instance that makes the targets of other instances change owners.
func TestRemovalMovesOnlyGroupsOfRemovedInstance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := instanceLists().Draw(t, "list")
		m := newManifest(t, 1, 2)
		before, _ := newOwner("n", m, list)
		after, c := newOwner("n", m, list)
		removed := list[rapid.IntRange(0, len(list)-1).Draw(t, "removed")].Name
		switch rapid.IntRange(0, 2).Draw(t, "cause") {
		case 0:
			c.leaving[removed], c.version = true, 1
		case 1:
			c.joining[removed], c.version = true, 1
		default:
			rest := slices.DeleteFunc(slices.Clone(list), func(n encoder.MemberInstance) bool { return n.Name == removed })
			c.members = resolver.NewMembers(encoder.MemberList{Instances: rest})
		}
		for _, target := range m.Targets() {
			old, now := before.Shares(target.Name), after.Shares(target.Name)
			if old[0].Instance != removed {
				assert.DeepEqual(t, old, now)
			}
			for _, s := range now {
				// The only instance stays an owner while it leaves or joins.
				assert.Assert(t, s.Instance != removed || len(list) == 1)
			}
		}
	})
}

// Guards against two instances that hold a lease on a group at the same time because neither asks the other nor a
// common third one. An instance that has released its leases does not count as the common one.
func TestPossibleHoldersShareAGrantor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := instanceLists().Draw(t, "list")
		m := newManifest(t, 2, 2)
		for _, g := range m.Groups() {
			var holders [][]string
			gone := make(map[string]bool)
			for _, n := range list {
				gone[n.Name] = rapid.IntRange(0, 3).Draw(t, "gone") == 0
			}
			for _, n := range list {
				o, c := newOwner(n.Name, m, list)
				for _, other := range list {
					// Instances learn of the releases and departures of others independently.
					c.released[other.Name] = other.Name != n.Name && gone[other.Name] && rapid.Bool().Draw(t, "released")
					c.leaving[other.Name] = c.released[other.Name] || rapid.Bool().Draw(t, "leaving")
				}
				if gone[n.Name] {
					continue
				}
				if slices.Contains(o.Candidates(), g.Name) {
					holders = append(holders, append([]string{n.Name}, o.Grantors(g.Name)...))
				}
			}
			for _, a := range holders {
				for _, b := range holders {
					assert.Assert(t, slices.ContainsFunc(a, func(name string) bool { return !gone[name] && slices.Contains(b, name) }), "%v %v", a, b)
				}
			}
		}
	})
}

// Guards against an instance outside the failure domain that uses a static share while an instance inside holds the
// lease for the whole cold limit. The holder of the lease may not know the instance outside.
func TestStaticOwnersAreInFailureDomainWhenItHasInstances(t *testing.T) {
	leaving := newInstance("n1", "a")
	leaving.State = encoder.MemberInstanceStateLeaving
	o, _ := newOwner("n2", newManifest(t, 2, 2), []encoder.MemberInstance{leaving, newInstance("n2", "b"), newInstance("n3", "b")})
	assert.DeepEqual(t, o.StaticOwners("s0a@a"), []string{"n1"})
	assert.Equal(t, len(o.StaticOwners("s0b@b")), 2)
	assert.Equal(t, len(o.StaticOwners("s0c@c")), 2)
}

// Guards against a second static owner without rounds: it would never notice that the first one is unresponsive, and the
// group would have no owner.
func TestStaticOwnersAreCandidates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := instanceLists().Draw(t, "list")
		m := newManifest(t, 2, 2)
		for _, n := range list {
			o, _ := newOwner(n.Name, m, list)
			for _, g := range m.Groups() {
				if slices.Contains(o.StaticOwners(g.Name), n.Name) {
					assert.Assert(t, slices.Contains(o.Candidates(), g.Name), "%s is a static owner of %s", n.Name, g.Name)
				}
			}
		}
	})
}

// Guards against a cached table that survives a change of the configuration and routes to former owners.
func TestSharesFollowConfigurationChanges(t *testing.T) {
	m := newManifest(t, 2, 2)
	o, c := newOwner("n1", m, []encoder.MemberInstance{newInstance("n1", "a"), newInstance("n2", "a")})
	assert.Equal(t, len(o.Shares("a1")), 2)
	c.members = resolver.NewMembers(encoder.MemberList{Instances: []encoder.MemberInstance{newInstance("n1", "a")}})
	assert.DeepEqual(t, o.Shares("a1"), []owner.Share{{Instance: "n1", Slots: 2, Rank: 1}})
	c.leaving["n1"], c.version = true, 1
	assert.DeepEqual(t, o.Shares("a1"), []owner.Share{{Instance: "n1", Slots: 2, Rank: 1}})
	c.manifest = nil
	assert.Equal(t, len(o.Candidates()), 0)
}

// Guards against a restart that changes the first owner of a group more than twice, which makes the timeline of events
// hard to read.
func TestFirstOwnerChangesAtMostTwiceOnRestart(t *testing.T) {
	m := newManifest(t, 2, 2)
	o, c := newOwner("n1", m, []encoder.MemberInstance{newInstance("n1", "a"), newInstance("n2", "a")})
	first, changes := make(map[string]bool), make(map[string]int)
	for step, change := range []func(){
		func() {}, func() { c.leaving["n2"] = true }, func() { c.leaving["n2"], c.joining["n2"] = false, true }, func() { c.joining["n2"] = false },
	} {
		change()
		c.version = uint64(step)
		for _, g := range m.Groups() {
			if now := o.Rank(g.Name) == 1; now != first[g.Name] {
				first[g.Name] = now
				changes[g.Name]++
			}
		}
	}
	assert.Equal(t, len(changes), len(m.Groups()))
	for group, n := range changes {
		assert.Assert(t, n <= 2, "%s: %d", group, n)
	}
}

// Guards against owners or grantors that do not get the facts about a target. Facts about targets that are not draining
// go only to instances for which MayOwn is true, since facts for all others would cost bytes on every instance.
func TestMayOwnIsTrueForOwnersAndGrantors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := instanceLists().Draw(t, "list")
		m := newManifest(t, 2, 2)
		o, _ := newOwner(list[0].Name, m, list)
		for _, target := range m.Targets() {
			for _, name := range o.Grantors(target.Group) {
				inside := slices.ContainsFunc(list, func(n encoder.MemberInstance) bool { return n.FailureDomain == target.FailureDomain })
				assert.Assert(t, o.MayOwn(name, target.Name) || !inside || !slices.Contains(o.Candidates(), target.Group))
			}
			for _, s := range o.Shares(target.Name) {
				assert.Assert(t, o.MayOwn(s.Instance, target.Name))
			}
		}
		assert.Assert(t, !o.MayOwn("unknown", "a1"))
	})
}

// Guards against a computation or allocation on the path of every sub-query while nothing changes.
func TestSharesDoNotAllocateWhenConfigurationIsUnchanged(t *testing.T) {
	o, _ := newOwner("n1", newManifest(t, 2, 2), []encoder.MemberInstance{newInstance("n1", "a"), newInstance("n2", "a")})
	assert.Equal(t, testing.AllocsPerRun(100, func() { o.Shares("a1") }), 0.0)
}

// Guards against CountPreceding and RendezvousOrder that disagree on the rendezvous order.
func TestCountPrecedingReturnsPositionInRendezvousOrder(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	for _, key := range []string{"", "x", "target-1"} {
		for i, name := range owner.RendezvousOrder(key, names) {
			others := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
			assert.Equal(t, owner.CountPreceding(key, name, others), i)
		}
	}
}
