// Package registrar holds the directory of targets and the routing table that are in force on an instance. Each change
// produces a new immutable view. The packages that route requests read the views; reading the platform's store, or
// another instance, is left to package follower.
package registrar

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"apricotflow/internal/manifest/mapper"
)

// Target is an entry of the platform's directory of targets.
type Target struct {
	// ID identifies one run of the target.
	ID            string
	Service       string
	Address       string
	FailureDomain string
	// Slots is the number of requests that the target runs concurrently; 0 if unknown.
	Slots int
	// Draining reports whether the target is draining; it gets no new work.
	Draining bool
	// Started is the start time of the target in Unix milliseconds; 0 if unknown.
	Started int
	// Withdrawn reports whether another target has answered at the address of this one; it gets no new work.
	Withdrawn bool
	// ColdUntil is the time at which the target is expected to be warm.
	ColdUntil time.Time
}

// View is a consistent, immutable state of the routing table and the directory.
type View struct {
	revision int
	// serial is incremented by each change on this instance.
	serial int
	// history holds the latest changes that led to this view, oldest first.
	history []historyEntry
	table   *mapper.Table
	targets map[string]Target
	// missing holds the ids of targets that left the directory while removals were not trusted.
	missing map[string]bool
	// closed holds the failure domains that are out of service.
	closed map[string]bool
	// serving holds the targets that may get new work, by service and sorted by id.
	serving map[string][]Target
}

// Revision returns the revision of the platform's store that the view reflects; 0 if none is known.
func (v *View) Revision() int { return v.revision }

// Serial returns the number of changes on this instance that led to the view.
func (v *View) Serial() int { return v.serial }

// Table returns the routing table; nil before the first one.
func (v *View) Table() *mapper.Table { return v.table }

// Serving returns the targets of a service that may get new work, sorted by id. The caller must not modify the slice.
func (v *View) Serving(service string) []Target { return v.serving[service] }

// Target returns the target with the id, if the directory has it.
func (v *View) Target(id string) (Target, bool) {
	t, found := v.targets[id]
	return t, found
}

// Targets returns all targets of the directory, sorted by id.
func (v *View) Targets() []Target {
	targets := make([]Target, 0, len(v.targets))
	for _, t := range v.targets {
		targets = append(targets, t)
	}
	slices.SortFunc(targets, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return targets
}

// Usable reports whether the target may still get new work.
func (v *View) Usable(id string) bool {
	t, found := v.targets[id]
	return found && v.mayServe(t)
}

func (v *View) mayServe(t Target) bool {
	return !t.Draining && !t.Withdrawn && !v.closed[t.FailureDomain]
}

// MissingCount returns the number of targets that left the directory while removals were not trusted.
func (v *View) MissingCount() int { return len(v.missing) }

// ClosedDomains returns the failure domains that are out of service, sorted; their targets get no new work.
func (v *View) ClosedDomains() []string {
	domains := make([]string, 0, len(v.closed))
	for d := range v.closed {
		domains = append(domains, d)
	}
	slices.Sort(domains)
	return domains
}

// Change describes a change of the platform's store. Empty fields leave the state as it is.
type Change struct {
	// Revision is the revision after the change.
	Revision int
	// Table is nil if it has not changed.
	Table *mapper.Table
	// Put holds the new and changed targets.
	Put []Target
	// Removed holds the ids of the targets that left the directory.
	Removed []string
	// Closed and Opened hold the failure domains that were taken out of service or returned to it.
	Closed []string
	Opened []string
	// Complete reports whether the change names all targets and closed failure domains, so that the others are gone.
	Complete bool
}

// PutTarget adds a new or changed target and discards an earlier change of it.
func (c *Change) PutTarget(t Target) {
	c.drop(t.ID)
	c.Put = append(c.Put, t)
}

// Remove adds the id of a target that left the directory and discards an earlier change of it.
func (c *Change) Remove(id string) {
	c.drop(id)
	c.Removed = append(c.Removed, id)
}

func (c *Change) drop(id string) {
	c.Put = slices.DeleteFunc(c.Put, func(t Target) bool { return t.ID == id })
	c.Removed = slices.DeleteFunc(c.Removed, func(removed string) bool { return removed == id })
}

// SetDomain takes a failure domain out of service or returns it, and discards an earlier change of it.
func (c *Change) SetDomain(domain string, closed bool) {
	same := func(d string) bool { return d == domain }
	c.Closed, c.Opened = slices.DeleteFunc(c.Closed, same), slices.DeleteFunc(c.Opened, same)
	if closed {
		c.Closed = append(c.Closed, domain)
		return
	}
	c.Opened = append(c.Opened, domain)
}

// Registrar holds the view in force and replaces it with each change.
type Registrar struct {
	mu   sync.Mutex
	view atomic.Pointer[View]
	// changed is closed by the next change.
	changed chan struct{}
}

// New creates a registrar with an empty view.
func New() *Registrar {
	r := &Registrar{changed: make(chan struct{})}
	r.view.Store(&View{})
	return r
}

// View returns the view in force.
func (r *Registrar) View() *View {
	return r.view.Load()
}

// Apply applies a change and returns the new view. If removals are not trusted, targets that left without draining stay
// in use until RemoveMissing, because their entries may have expired during an outage of the store. A table with an
// older version than the current one is ignored.
func (r *Registrar) Apply(change Change, trusted bool) *View {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.view.Load()
	v := &View{
		revision: max(old.revision, change.Revision), table: newerTable(old.table, change.Table),
		targets: make(map[string]Target, len(old.targets)+len(change.Put)),
		missing: make(map[string]bool), closed: make(map[string]bool),
	}
	removed := v.applyTargets(old, change)
	for _, id := range removed {
		v.remove(id, trusted)
	}
	v.applyDomains(old, change)
	v.indexServing()
	v.record(old, change)
	r.view.Store(v)
	close(r.changed)
	r.changed = make(chan struct{})
	return v
}

// Changed returns a channel that is closed when the view changes. To miss no change, callers get the channel before the
// view that they examine.
func (r *Registrar) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// applyTargets sets the targets of the view after the change and returns the ids of those that left.
func (v *View) applyTargets(old *View, change Change) []string {
	for id, t := range old.targets {
		v.targets[id] = t
	}
	for id := range old.missing {
		v.missing[id] = true
	}
	removed := slices.Clone(change.Removed)
	if change.Complete {
		listed := make(map[string]bool, len(change.Put))
		for _, t := range change.Put {
			listed[t.ID] = true
		}
		for id := range old.targets {
			if !listed[id] {
				removed = append(removed, id)
			}
		}
	}
	for _, t := range change.Put {
		before := v.targets[t.ID]
		if t.Started != 0 && t.Started < before.Started {
			// The entry is a late one of an earlier start.
			continue
		}
		if change.Complete && before.Withdrawn && t.Address == before.Address && t.Started == before.Started {
			// A complete change repeats old entries; only a changed entry shows that the target is alive.
			t.Withdrawn = true
		}
		v.targets[t.ID] = t
		delete(v.missing, t.ID)
	}
	return removed
}

// remove removes a target, or marks it as missing if removals are not trusted and the target is not draining.
func (v *View) remove(id string, trusted bool) {
	t, found := v.targets[id]
	if !found {
		return
	}
	if trusted || t.Draining {
		delete(v.targets, id)
		delete(v.missing, id)
		return
	}
	v.missing[id] = true
}

// applyDomains sets the closed failure domains of the view after the change.
func (v *View) applyDomains(old *View, change Change) {
	if !change.Complete {
		for d := range old.closed {
			v.closed[d] = true
		}
	}
	for _, d := range change.Closed {
		v.closed[d] = true
	}
	for _, d := range change.Opened {
		delete(v.closed, d)
	}
}

// indexServing groups the targets that may get new work by service.
func (v *View) indexServing() {
	v.serving = make(map[string][]Target)
	for _, t := range v.targets {
		if v.mayServe(t) {
			v.serving[t.Service] = append(v.serving[t.Service], t)
		}
	}
	for _, targets := range v.serving {
		slices.SortFunc(targets, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// Withdraw takes a target out of use until the directory reports a change of its entry, because another target has
// answered at its address. It reports whether the target was in use at that address.
func (r *Registrar) Withdraw(id, address string) bool {
	t, found := r.View().targets[id]
	if !found || t.Withdrawn || t.Address != address {
		return false
	}
	t.Withdrawn = true
	r.Apply(Change{Put: []Target{t}}, true)
	return true
}

// RemoveMissing removes the targets that left while removals were not trusted and have not come back.
func (r *Registrar) RemoveMissing() *View {
	old := r.View()
	if len(old.missing) == 0 {
		return old
	}
	removed := make([]string, 0, len(old.missing))
	for id := range old.missing {
		removed = append(removed, id)
	}
	return r.Apply(Change{Removed: removed}, true)
}

// newerTable returns the table with the higher version, or a if both have the same one.
func newerTable(a, b *mapper.Table) *mapper.Table {
	if a == nil || b != nil && b.Version() > a.Version() {
		return b
	}
	return a
}
