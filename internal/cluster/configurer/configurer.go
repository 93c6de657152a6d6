// Package configurer holds the manifest and the member list in force, from which the other packages read them. It
// replaces them only by valid, newer values, and notifies subscribers. It belongs to native mode; in relay mode,
// package registrar holds the routing table instead. Fetching the values is left to its callers, packages watcher and
// gossiper, and the rules for manifests to package parser.
package configurer

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"apricotflow/internal/manifest/resolver"
	"apricotflow/internal/operator/checker"
	"apricotflow/internal/operator/recorder"
	"apricotflow/internal/wire/encoder"
)

// ManifestParser decodes and validates a raw manifest.
type ManifestParser func(raw []byte) (*resolver.Manifest, error)

// Events records changes of the configuration.
type Events interface {
	Record(kind recorder.Kind, subject, query, detail string)
}

// Checker checks invariants and reports whether they hold.
type Checker interface {
	Check(ok bool, invariant checker.Invariant, subject, detail string) bool
}

// manifestState is a manifest with its encoded form.
type manifestState struct {
	manifest *resolver.Manifest
	raw      []byte
	// appliedAt is the boot time when the manifest was applied.
	appliedAt time.Duration
}

// membersState is a member list with its encoded form.
type membersState struct {
	members *resolver.Members
	raw     []byte
}

// Configurer holds the configuration in force. It is safe for concurrent use.
type Configurer struct {
	parse    ManifestParser
	bootTime func() time.Duration
	events   Events
	checker  Checker

	// manifest is nil before the first manifest is applied; members is never nil.
	manifest atomic.Pointer[manifestState]
	members  atomic.Pointer[membersState]

	// mu serialises replacements and guards subscribers.
	mu          sync.Mutex
	subscribers []func()
}

// New creates a Configurer without a manifest and with an empty member list.
func New(parse ManifestParser, bootTime func() time.Duration, events Events, checker Checker) *Configurer {
	c := &Configurer{parse: parse, bootTime: bootTime, events: events, checker: checker}
	c.members.Store(&membersState{members: resolver.NewMembers(encoder.MemberList{})})
	return c
}

// Manifest returns the manifest in force, or nil before the first.
func (c *Configurer) Manifest() *resolver.Manifest {
	if s := c.manifest.Load(); s != nil {
		return s.manifest
	}
	return nil
}

// Members returns the member list in force, which is empty before the first.
func (c *Configurer) Members() *resolver.Members {
	return c.members.Load().members
}

// RawManifest returns the raw manifest in force, or nil; callers must not change it.
func (c *Configurer) RawManifest() []byte {
	if s := c.manifest.Load(); s != nil {
		return s.raw
	}
	return nil
}

// RawMembers returns the raw member list in force, or nil; callers must not change it.
func (c *Configurer) RawMembers() []byte {
	return c.members.Load().raw
}

// ManifestAge returns the time since the manifest in force was applied here, or 0 before the first.
func (c *Configurer) ManifestAge() time.Duration {
	if s := c.manifest.Load(); s != nil {
		return c.bootTime() - s.appliedAt
	}
	return 0
}

// Subscribe registers a function that is called after each change, without locks held. It may be called concurrently.
func (c *Configurer) Subscribe(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subscribers = append(c.subscribers, f)
}

// ApplyManifest puts the manifest in force if it is newer, and reports whether it did. The source names where the
// manifest came from, for events and errors.
func (c *Configurer) ApplyManifest(raw []byte, source string) (bool, error) {
	manifest, err := c.parse(raw)
	if err != nil {
		c.events.Record(recorder.KindManifestRefused, source, "", err.Error())
		return false, &ManifestError{Source: source, Cause: err}
	}
	if err := checkDeployment(c.Manifest(), manifest); err != nil {
		c.events.Record(recorder.KindManifestRefused, source, "", err.Error())
		return false, &ManifestError{Source: source, Cause: err}
	}
	subscribers, applied := c.replaceManifest(manifest, raw, source)
	for _, f := range subscribers {
		f()
	}
	return applied, nil
}

// checkDeployment returns an error if the manifest belongs to another deployment than the one in force, such as after a
// mix-up in the build pipeline.
func checkDeployment(current, next *resolver.Manifest) error {
	if current != nil && next.Deployment() != current.Deployment() {
		return fmt.Errorf("deployment must stay %q, not %q", current.Deployment(), next.Deployment())
	}
	return nil
}

// ApplyMembers puts the member list in force if its revision is higher, and reports whether it did.
func (c *Configurer) ApplyMembers(raw []byte, source string) (bool, error) {
	list, err := encoder.Decode[encoder.MemberList](raw)
	if err == nil {
		err = checkMembers(list)
	}
	if err != nil {
		c.events.Record(recorder.KindMembersRefused, source, "", err.Error())
		return false, &MembersError{Source: source, Cause: err}
	}
	subscribers, applied := c.replaceMembers(resolver.NewMembers(list), raw, source)
	for _, f := range subscribers {
		f()
	}
	return applied, nil
}

// replaceManifest stores the manifest if it is newer, and returns the subscribers to call and whether it did.
func (c *Configurer) replaceManifest(manifest *resolver.Manifest, raw []byte, source string) ([]func(), bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.Manifest()
	if !manifest.IsNewerThan(old) {
		return nil, false
	}
	// IsNewerThan implies this condition; the check reports a fault in IsNewerThan.
	generationRises := old == nil || manifest.Generation() >= old.Generation()
	detail := fmt.Sprintf("generation %d from %s", manifest.Generation(), source)
	if !c.checker.Check(generationRises, checker.GenerationRises, "manifest", detail) {
		return nil, false
	}
	c.manifest.Store(&manifestState{manifest: manifest, raw: slices.Clone(raw), appliedAt: c.bootTime()})
	c.events.Record(recorder.KindManifestApplied, source, "", fmt.Sprintf("generation %d", manifest.Generation()))
	c.recordDomainChanges(old, manifest)
	return slices.Clone(c.subscribers), true
}

// recordDomainChanges records the failure domains that the new manifest opens or closes.
func (c *Configurer) recordDomainChanges(old, manifest *resolver.Manifest) {
	for _, d := range manifest.FailureDomains() {
		isOpen := manifest.IsDomainOpen(d.Name)
		// Without an old manifest the failure domain counts as open, so that only closed ones are recorded at the start.
		wasOpen := old == nil || old.IsDomainOpen(d.Name)
		switch {
		case isOpen && !wasOpen:
			c.events.Record(recorder.KindFailureDomainOpen, d.Name, "", "")
		case !isOpen && wasOpen:
			c.events.Record(recorder.KindFailureDomainClosed, d.Name, "", "")
		}
	}
}

// replaceMembers stores the member list if it is newer, and returns the subscribers to call and whether it did.
func (c *Configurer) replaceMembers(members *resolver.Members, raw []byte, source string) ([]func(), bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.members.Load()
	// Only the initial empty list has no raw form; a list of revision 0 may replace it.
	if old.raw != nil && members.Revision() <= old.members.Revision() {
		return nil, false
	}
	c.members.Store(&membersState{members: members, raw: slices.Clone(raw)})
	c.events.Record(recorder.KindMembersApplied, source, "", describeMembers(members))
	return slices.Clone(c.subscribers), true
}

// describeMembers returns the revision, the number of live instances and the leaving instances of a member list.
func describeMembers(members *resolver.Members) string {
	description := fmt.Sprintf("revision %d, %d live instances", members.Revision(), len(members.LiveInstances()))
	var leaving []string
	for _, n := range members.Instances() {
		if n.State == encoder.MemberInstanceStateLeaving {
			leaving = append(leaving, n.Name)
		}
	}
	if len(leaving) > 0 {
		description += ", leaving: " + strings.Join(leaving, " ")
	}
	return description
}

// checkMembers applies the rules of the check command to a member list.
func checkMembers(list encoder.MemberList) error {
	if problems := resolver.CheckMembers(list); len(problems) > 0 {
		return errors.New(resolver.Summarize(problems))
	}
	return nil
}
