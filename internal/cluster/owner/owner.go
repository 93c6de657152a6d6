// Package owner computes which instances own which targets and which of them must grant a lease on a group, from the
// manifest, the member list and the announcements of instances. Every instance computes the same result from the same
// inputs. It belongs to native mode: the lessor, the dispatcher and the router use it, and the watcher its rendezvous
// order, which package discoverer also uses in relay mode. The leases themselves belong to package lessor.
package owner

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"apricotflow/internal/manifest/resolver"
)

// Configuration provides the manifest and member list in force. It is implemented by configurer.Configurer.
type Configuration interface {
	Manifest() *resolver.Manifest
	Members() *resolver.Members
}

// Announcements provides the states that instances announce of themselves before the member list shows them. It is
// implemented by gossiper.Gossiper.
type Announcements interface {
	// AnnouncementVersion returns a number that changes whenever Leaving, Joining or Released changes.
	AnnouncementVersion() uint64
	// Leaving reports whether the instance is shutting down.
	Leaving(instance string) bool
	// Joining reports whether the instance may not grant or hold leases yet.
	Joining(instance string) bool
	// Released reports whether the incarnation of the instance never grants or holds a lease again.
	Released(instance string) bool
	// ReleasedAt returns the boot time before the latest request whose reply announced the release, or 0. The released
	// incarnation was still running after this time.
	ReleasedAt(instance string) time.Duration
}

// Owner computes the ownership of targets and groups as seen by one instance. It is safe for concurrent use.
type Owner struct {
	self          string
	configuration Configuration
	announcements Announcements

	cached atomic.Pointer[table]
	// buildMu serialises the construction of tables.
	buildMu sync.Mutex
}

// New creates an Owner for the named instance.
func New(self string, configuration Configuration, announcements Announcements) *Owner {
	return &Owner{self: self, configuration: configuration, announcements: announcements}
}

// Shares returns the shares of a target's owners by rank; callers must not change the result.
func (o *Owner) Shares(target string) []Share {
	return o.table().sharesByTarget[target]
}

// Grantors returns the grantors of the group: the other instances whose grants this instance needs for a lease on it.
// Callers must not change the result.
func (o *Owner) Grantors(group string) []string {
	if g := o.table().groups[group]; g != nil {
		return g.grantors
	}
	return nil
}

// Candidates returns the groups that this instance may hold a lease or static share on; callers must not change the
// result.
func (o *Owner) Candidates() []string {
	return o.table().candidates
}

// Rank returns the rank of this instance among the owners of the group, starting at 1, or 0 if it is not eligible.
func (o *Owner) Rank(group string) int {
	if g := o.table().groups[group]; g != nil {
		return g.rank
	}
	return 0
}

// MayOwn reports whether an instance may own the target or grant a lease on it.
func (o *Owner) MayOwn(instance, target string) bool {
	t := o.table()
	g := t.targets[target]
	return g != nil && (t.domains[instance] == g.domain || slices.Contains(g.otherDomainCandidates, instance))
}

// StaticOwners returns the instances, at most two, that have static shares of the group's cold limits, by rank.
func (o *Owner) StaticOwners(group string) []string {
	if g := o.table().groups[group]; g != nil {
		return g.staticOwners
	}
	return nil
}

// ReleasedAt returns the boot time before the latest request whose reply announced that the instance never grants or
// holds a lease again. It returns 0 until the table is built with this release, so that a later call of Grantors takes
// the release into account.
func (o *Owner) ReleasedAt(instance string) time.Duration {
	if !o.table().released[instance] {
		return 0
	}
	return o.announcements.ReleasedAt(instance)
}

// table returns the ownership for the current inputs, which it rebuilds after a change.
func (o *Owner) table() *table {
	if t := o.cached.Load(); o.isCurrent(t) {
		return t
	}
	o.buildMu.Lock()
	defer o.buildMu.Unlock()
	if t := o.cached.Load(); o.isCurrent(t) {
		return t
	}
	announcementVersion := o.announcements.AnnouncementVersion()
	t := newTable(o.self, o.configuration.Manifest(), o.configuration.Members(), announcementVersion, o.announcements)
	o.cached.Store(t)
	return t
}

// isCurrent reports whether the table was built from the current inputs.
func (o *Owner) isCurrent(t *table) bool {
	return t != nil && t.manifest == o.configuration.Manifest() && t.members == o.configuration.Members() &&
		t.announcementVersion == o.announcements.AnnouncementVersion()
}
