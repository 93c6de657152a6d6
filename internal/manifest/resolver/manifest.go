// Package resolver defines the manifest and the member list as immutable values with look-ups by name, and validates
// the rules across their fields. In native mode, packages such as planner, dispatcher, selector and hedger look up
// targets, indexes and query classes in them. Only the command line uses CheckSuccessor, which compares two manifests.
// Decoding and the checks of the schema are left to package parser.
package resolver

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"apricotflow/internal/manifest/authenticator"
	"apricotflow/internal/wire/encoder"
)

// Target is a target of the manifest with its service and target group.
type Target struct {
	encoder.Target
	// Service is the name of the service that the target belongs to.
	Service string
	// Group is the name of the target group that the target belongs to.
	Group string
}

// TargetGroup is a target group: the targets of one service in one failure domain. It is the unit of ownership.
type TargetGroup struct {
	// Name is unique in a manifest.
	Name          string
	Service       string
	FailureDomain string
	// Targets holds the names of the targets in the order of the manifest.
	Targets []string
}

// Manifest is a valid manifest. It is immutable.
type Manifest struct {
	wire   encoder.Manifest
	digest string
	// domains, targets, classes and indexes hold the parts of the manifest by name.
	domains map[string]encoder.FailureDomain
	targets map[string]Target
	classes map[string]encoder.QueryClass
	indexes map[string]encoder.Index
	// serving holds the names of the targets that may get new work. It saves two look-ups per replica of a query.
	serving map[string]bool
	// groups is sorted by name.
	groups []TargetGroup
	// tenants is nil if the manifest has none.
	tenants *authenticator.Tenants
}

// New validates the rules across the fields of a manifest, and returns the manifest or every problem found.
func New(wire encoder.Manifest, digest string) (*Manifest, []Problem) {
	if problems := validate(wire); len(problems) > 0 {
		return nil, problems
	}
	m := &Manifest{
		wire:    wire,
		digest:  digest,
		domains: make(map[string]encoder.FailureDomain, len(wire.FailureDomains)),
		targets: make(map[string]Target),
		classes: make(map[string]encoder.QueryClass, len(wire.QueryClasses)),
		indexes: make(map[string]encoder.Index, len(wire.Indexes)),
		serving: make(map[string]bool),
	}
	for _, d := range wire.FailureDomains {
		m.domains[d.Name] = d
	}
	for _, c := range wire.QueryClasses {
		m.classes[c.Name] = c
	}
	for _, x := range wire.Indexes {
		x.Versions = slices.Clone(x.Versions)
		slices.SortFunc(x.Versions, func(a, b encoder.IndexVersion) int { return cmp.Compare(a.Version, b.Version) })
		m.indexes[x.Name] = x
	}
	m.addTargets()
	m.tenants = newTenants(wire.Tenants, func(string, string) {})
	return m, nil
}

// newTenants creates the tenants of a manifest and reports their problems; it returns nil if the manifest has no list.
func newTenants(listed []encoder.ManifestTenant, report func(path, message string)) *authenticator.Tenants {
	if listed == nil {
		return nil
	}
	tenants := make([]encoder.Tenant, 0, len(listed))
	for _, t := range listed {
		tenants = append(tenants, encoder.Tenant{
			Name: t.Name, KeyDigests: t.KeyDigests, Priority: valueOrZero(t.Priority), Rate: valueOrZero(t.Rate), Burst: valueOrZero(t.Burst),
		})
	}
	return authenticator.New(tenants, report)
}

func valueOrZero[T any](value *T) T {
	if value == nil {
		var zero T
		return zero
	}
	return *value
}

// Tenants returns the tenants; nil if the manifest has none, so that requests need no API key. m may be nil.
func (m *Manifest) Tenants() *authenticator.Tenants {
	if m == nil {
		return nil
	}
	return m.tenants
}

// Generation returns the generation, which rises with every manifest.
func (m *Manifest) Generation() int {
	return m.wire.Generation
}

// Digest returns the digest of the raw manifest.
func (m *Manifest) Digest() string {
	return m.digest
}

// Deployment returns the name of the deployment.
func (m *Manifest) Deployment() string {
	return m.wire.Deployment
}

// IsNewerThan reports whether m replaces o, which may be nil. Manifests are ordered by generation, then digest, so that
// instances that receive two manifests of one generation in different order converge on the same one.
func (m *Manifest) IsNewerThan(o *Manifest) bool {
	if o == nil {
		return true
	}
	if m.wire.Generation != o.wire.Generation {
		return m.wire.Generation > o.wire.Generation
	}
	return m.digest > o.digest
}

// Target returns the target with the name.
func (m *Manifest) Target(name string) (Target, bool) {
	t, found := m.targets[name]
	return t, found
}

// Targets returns all targets sorted by name.
func (m *Manifest) Targets() []Target {
	return slices.SortedFunc(maps.Values(m.targets), func(a, b Target) int { return cmp.Compare(a.Name, b.Name) })
}

// QueryClass returns the query class with the name.
func (m *Manifest) QueryClass(name string) (encoder.QueryClass, bool) {
	c, found := m.classes[name]
	return c, found
}

// QueryClasses returns the query classes in the order of the manifest.
func (m *Manifest) QueryClasses() []encoder.QueryClass {
	return slices.Clone(m.wire.QueryClasses)
}

// Index returns the index with the name. Its versions are in ascending order.
func (m *Manifest) Index(name string) (encoder.Index, bool) {
	x, found := m.indexes[name]
	return x, found
}

// FailureDomains returns the failure domains in the order of the manifest.
func (m *Manifest) FailureDomains() []encoder.FailureDomain {
	return slices.Clone(m.wire.FailureDomains)
}

// IsDomainOpen reports whether the failure domain is known and open for new work.
func (m *Manifest) IsDomainOpen(name string) bool {
	return m.domains[name].State == encoder.FailureDomainStateOpen
}

// IsServing reports whether the manifest allows new work for the target: it is listed as serving in an open failure
// domain.
func (m *Manifest) IsServing(name string) bool {
	return m.serving[name]
}

// Groups returns the target groups sorted by name. Callers must not modify the slice.
func (m *Manifest) Groups() []TargetGroup {
	return m.groups
}

// Limits returns the limits for the whole deployment.
func (m *Manifest) Limits() encoder.Limits {
	return m.wire.Limits
}

// defaultLease is the lease duration before the first manifest.
const defaultLease = 3 * time.Second

// LeaseDuration returns the duration of a lease, which is on a target group and limits sub-queries to its cold targets.
// m may be nil.
func (m *Manifest) LeaseDuration() time.Duration {
	if m == nil {
		return defaultLease
	}
	return time.Duration(m.wire.Limits.LeaseMs) * time.Millisecond
}

func (m *Manifest) addTargets() {
	groups := make(map[string]*TargetGroup)
	for _, s := range m.wire.Services {
		for _, t := range s.Targets {
			name := s.Name + "@" + t.FailureDomain
			m.targets[t.Name] = Target{Target: t, Service: s.Name, Group: name}
			if t.State == encoder.TargetStateServing && m.IsDomainOpen(t.FailureDomain) {
				m.serving[t.Name] = true
			}
			g, found := groups[name]
			if !found {
				g = &TargetGroup{Name: name, Service: s.Name, FailureDomain: t.FailureDomain}
				groups[name] = g
			}
			g.Targets = append(g.Targets, t.Name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		m.groups = append(m.groups, *groups[name])
	}
}
