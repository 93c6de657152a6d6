package resolver

import (
	"cmp"
	"maps"
	"slices"

	"apricotflow/internal/wire/encoder"
)

// Members is the platform's list of instances and targets. It is immutable.
type Members struct {
	revision int
	// live holds the live instances sorted by name.
	live []encoder.MemberInstance
	// listed holds live and leaving instances sorted by name.
	listed []encoder.MemberInstance
	// instances holds live and leaving instances by name.
	instances      map[string]encoder.MemberInstance
	leavingTargets map[string]bool
}

// NewMembers creates a Members from a valid member list.
func NewMembers(wire encoder.MemberList) *Members {
	m := &Members{
		revision:       wire.Revision,
		instances:      make(map[string]encoder.MemberInstance, len(wire.Instances)),
		leavingTargets: make(map[string]bool),
	}
	for _, n := range wire.Instances {
		m.instances[n.Name] = n
		if n.State == encoder.MemberInstanceStateLive {
			m.live = append(m.live, n)
		}
	}
	m.listed = slices.SortedFunc(maps.Values(m.instances), func(a, b encoder.MemberInstance) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(m.live, func(a, b encoder.MemberInstance) int { return cmp.Compare(a.Name, b.Name) })
	for _, t := range wire.Targets {
		if t.State == encoder.MemberTargetStateLeaving {
			m.leavingTargets[t.Name] = true
		}
	}
	return m
}

// Revision returns the revision, which rises with every change of the list.
func (m *Members) Revision() int {
	return m.revision
}

// LiveInstances returns the live instances sorted by name. Callers must not modify the slice.
func (m *Members) LiveInstances() []encoder.MemberInstance {
	return m.live
}

// Instances returns the live and leaving instances sorted by name. Callers must not modify the slice.
func (m *Members) Instances() []encoder.MemberInstance {
	return m.listed
}

// Instance returns the live or leaving instance with the name.
func (m *Members) Instance(name string) (encoder.MemberInstance, bool) {
	n, found := m.instances[name]
	return n, found
}

// IsTargetLeaving reports whether the platform lists the target as leaving.
func (m *Members) IsTargetLeaving(name string) bool {
	return m.leavingTargets[name]
}
