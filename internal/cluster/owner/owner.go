package owner

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"apricotflow/internal/manifest/resolver"
)

// Configuration provides the manifest and member list in force.
type Configuration interface {
	Manifest() *resolver.Manifest
	Members() *resolver.Members
}

// Announcements are what instances tell of themselves before the member list shows it.
type Announcements interface {
	// AnnouncementVersion changes with every change of the others.
	AnnouncementVersion() uint64
	// Leaving reports an instance that is shutting down.
	Leaving(instance string) bool
	// Joining reports an instance that may not grant or hold leases yet.
	Joining(instance string) bool
	// Released reports an instance whose incarnation never grants or holds a lease again.
	Released(instance string) bool
	// ReleasedAt returns the boot time from before the latest request whose reply said so, or 0.
	ReleasedAt(instance string) time.Duration
}

// Owner answers ownership questions of one instance.
type Owner struct {
	self          string
	configuration Configuration
	announcements Announcements

	current atomic.Pointer[table]
	// building serialises the construction of tables.
	building sync.Mutex
}

// New creates an owner for the named instance.
func New(self string, configuration Configuration, announcements Announcements) *Owner {
	return &Owner{self: self, configuration: configuration, announcements: announcements}
}

// Shares returns the owners of a target in order; callers must not change the result.
func (o *Owner) Shares(target string) []Share {
	return o.table().shares[target]
}

// Rivals returns the instances that must grant a lease on the group; callers must not change the result.
func (o *Owner) Rivals(group string) []string {
	if p := o.table().groups[group]; p != nil {
		return p.rivals
	}
	return nil
}

// Candidates returns the groups that this instance may own; callers must not change the result.
func (o *Owner) Candidates() []string {
	return o.table().candidates
}

// Rank returns the place of this instance among the owners of the group, from 1, or 0.
func (o *Owner) Rank(group string) int {
	if p := o.table().groups[group]; p != nil {
		return p.rank
	}
	return 0
}

// MayOwn reports whether an instance may own the target or grant a lease on it.
func (o *Owner) MayOwn(instance, target string) bool {
	t := o.table()
	p := t.targets[target]
	return p != nil && (t.domains[instance] == p.domain || slices.Contains(p.near, instance))
}

// StaticOwners returns the instances, at most two, that have static shares of the group's cold limits, in order.
func (o *Owner) StaticOwners(group string) []string {
	if p := o.table().groups[group]; p != nil {
		return p.static
	}
	return nil
}

// ReleasedAt returns the boot time from before a request whose reply said that the instance never grants or holds a
// lease again, or 0. Rivals takes such an instance into account already.
func (o *Owner) ReleasedAt(instance string) time.Duration {
	if !o.table().released[instance] {
		return 0
	}
	return o.announcements.ReleasedAt(instance)
}

func (o *Owner) table() *table {
	if t := o.current.Load(); o.fresh(t) {
		return t
	}
	o.building.Lock()
	defer o.building.Unlock()
	if t := o.current.Load(); o.fresh(t) {
		return t
	}
	version := o.announcements.AnnouncementVersion()
	t := newTable(o.self, o.configuration.Manifest(), o.configuration.Members(), version, o.announcements)
	o.current.Store(t)
	return t
}

func (o *Owner) fresh(t *table) bool {
	return t != nil && t.manifest == o.configuration.Manifest() && t.members == o.configuration.Members() &&
		t.version == o.announcements.AnnouncementVersion()
}
