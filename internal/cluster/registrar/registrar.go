// Package registrar holds the known targets and the routing table that are in force on an instance in relay mode. Each
// change produces a new immutable view, which the packages that route requests read. Package follower gets the changes
// from the platform's store, or from a peer, and applies them here.
package registrar

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"apricotflow/internal/manifest/mapper"
)

// Target is a target as the platform's store lists it.
type Target struct {
	// ID is the id under which the store lists the target; Started tells starts with the same id apart.
	ID            string
	Service       string
	Address       string
	FailureDomain string
	// Slots is the number of requests that the target runs concurrently; 0 if unknown.
	Slots int
	// Draining reports whether the store lists the target as draining; it gets no new requests.
	Draining bool
	// Leaving reports whether the target itself has stated in a reply that it leaves; it gets no new requests until it has
	// started again.
	Leaving bool
	// Seq orders the entries that the target has written since its start; 0 if unknown.
	Seq int
	// Started is the start time of the target in Unix milliseconds; 0 if unknown.
	Started int
	// Withdrawn reports whether another target was found at the address of this one; it gets no new requests.
	Withdrawn bool
	// ColdUntil is the time at which the target is expected to be warm.
	ColdUntil time.Time
}

// View is a consistent, immutable state of the routing table, the known targets and the closed failure domains. It has
// two counters: the position orders the states of the platform's store, the serial those of this registrar.
type View struct {
	position Position
	// serial is incremented by each change on this instance.
	serial int
	// history holds the latest changes that led to this view, oldest first.
	history []historyEntry
	table   *mapper.Table
	targets map[string]Target
	// missing holds the ids of the targets that the store no longer lists, but that are kept in targets because their
	// removal was not trusted.
	missing map[string]bool
	// departed holds the targets that were removed within departureMemory.
	departed map[string]departure
	// unconfirmedDomains holds the closed failure domains that the store no longer lists, but that are kept closed because
	// their opening was not trusted.
	unconfirmedDomains map[string]bool
	// closedDomains holds the closed failure domains; their targets get no new requests.
	closedDomains map[string]bool
	// serving holds the targets that may get new requests, by service and sorted by id.
	serving map[string][]Target
}

// Position returns the position of the platform's store that the view reflects; zero if none is known.
func (v *View) Position() Position { return v.position }

// Serial returns the number of changes on this instance that led to the view.
func (v *View) Serial() int { return v.serial }

// Table returns the routing table; nil before the first one.
func (v *View) Table() *mapper.Table { return v.table }

// TableVersion returns the version of the routing table; 0 before the first one.
func (v *View) TableVersion() int {
	if v.table == nil {
		return 0
	}
	return v.table.Version()
}

// Serving returns the targets of a service that may get new requests, sorted by id. The slice must not be modified.
func (v *View) Serving(service string) []Target { return v.serving[service] }

// Target returns the target with the id, if it is known. A missing target is known.
func (v *View) Target(id string) (Target, bool) {
	t, found := v.targets[id]
	return t, found
}

// Targets returns all known targets, including missing ones, sorted by id.
func (v *View) Targets() []Target {
	targets := make([]Target, 0, len(v.targets))
	for _, t := range v.targets {
		targets = append(targets, t)
	}
	slices.SortFunc(targets, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return targets
}

// IsServing reports whether the target is known and serving: it may get new requests.
func (v *View) IsServing(id string) bool {
	t, found := v.targets[id]
	return found && v.isTargetServing(t)
}

// isTargetServing reports whether the target is neither draining, nor leaving, nor withdrawn, nor in a closed failure domain.
func (v *View) isTargetServing(t Target) bool {
	return !t.Draining && !t.Leaving && !t.Withdrawn && !v.closedDomains[t.FailureDomain]
}

// MissingCount returns the number of targets that the store no longer lists, but whose removal was not trusted.
func (v *View) MissingCount() int { return len(v.missing) }

// IsSettled reports whether the view keeps nothing that the store no longer lists.
func (v *View) IsSettled() bool { return len(v.missing)+len(v.unconfirmedDomains) == 0 }

// ClosedDomains returns the sorted names of the closed failure domains; their targets get no new requests.
func (v *View) ClosedDomains() []string {
	domains := make([]string, 0, len(v.closedDomains))
	for d := range v.closedDomains {
		domains = append(domains, d)
	}
	slices.Sort(domains)
	return domains
}

// Change describes a change of a view. Unless it is complete, empty fields leave the state as it is.
type Change struct {
	// Position is the position of the store after the change.
	Position Position
	// Table is nil if it has not changed.
	Table *mapper.Table
	// Put holds the new and changed targets.
	Put []Target
	// Removed holds the ids of the targets that are no longer listed.
	Removed []string
	// Closed and Opened hold the failure domains that were closed or opened.
	Closed []string
	Opened []string
	// Complete reports whether the change names all targets and closed failure domains, so that other targets are removed
	// and other failure domains are open.
	Complete bool
}

// SetTable sets the routing table, unless the change has one with the same or a higher version.
func (c *Change) SetTable(t *mapper.Table) {
	c.Table = newerTable(c.Table, t)
}

// PutTarget adds a new or changed target and discards an earlier change of it.
func (c *Change) PutTarget(t Target) {
	c.discardTarget(t.ID)
	c.Put = append(c.Put, t)
}

// Remove adds the id of a target that is no longer listed and discards an earlier change of it.
func (c *Change) Remove(id string) {
	c.discardTarget(id)
	c.Removed = append(c.Removed, id)
}

func (c *Change) discardTarget(id string) {
	c.Put = slices.DeleteFunc(c.Put, func(t Target) bool { return t.ID == id })
	c.Removed = slices.DeleteFunc(c.Removed, func(removed string) bool { return removed == id })
}

// SetDomain closes or opens a failure domain and discards an earlier change of it.
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

// Apply applies a change and returns the new view. Removals are not trusted after an outage of the store, because
// entries of live targets may have expired during it, or because a copy lacks what was written after it. Removed targets
// that were not draining are then kept as missing, and failure domains that a complete change does not list are kept
// closed, until RemoveMissing. A table with an older version than the current one is ignored, and so is an older entry of
// a target.
func (r *Registrar) Apply(change Change, removalsTrusted bool) *View {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.publish(r.view.Load().apply(change, removalsTrusted))
}

// publish puts a view in force. The lock must be held since the view was derived from the current one.
func (r *Registrar) publish(v *View) *View {
	r.view.Store(v)
	close(r.changed)
	r.changed = make(chan struct{})
	return v
}

// apply returns the view after the change.
func (v *View) apply(change Change, removalsTrusted bool) *View {
	next := &View{
		position: Later(v.position, change.Position), table: newerTable(v.table, change.Table),
		targets: make(map[string]Target, len(v.targets)+len(change.Put)),
		missing: make(map[string]bool), closedDomains: make(map[string]bool), unconfirmedDomains: make(map[string]bool),
	}
	next.keepDepartures(v)
	removed := next.applyTargets(v, change)
	for _, id := range removed {
		next.remove(id, removalsTrusted)
	}
	next.applyDomains(v, change, removalsTrusted)
	next.indexServing()
	next.recordChange(v, change)
	return next
}

// Changed returns a channel that is closed when the view changes. To miss no change, get the channel before the view
// that is examined.
func (r *Registrar) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// applyTargets adds the new and changed targets to those of the old view, and returns the ids of those to be removed.
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
		known, found := v.targets[t.ID]
		if found && t.precedes(known) || !found && v.isDeparted(t, change.Complete) {
			// The entry is a late one, or one of a copy, but it shows that the target is listed.
			delete(v.missing, t.ID)
			continue
		}
		if known.Leaving && t.Address == known.Address && t.Started == known.Started {
			t.Leaving = true
		}
		if change.Complete && known.Withdrawn && t.Address == known.Address && t.Started == known.Started {
			// A complete change repeats old entries; only a changed entry shows that the target is alive.
			t.Withdrawn = true
		}
		v.targets[t.ID] = t
		delete(v.missing, t.ID)
	}
	return removed
}

// remove removes a target. It marks the target as missing instead if removals are not trusted and it is neither draining
// nor leaving.
func (v *View) remove(id string, removalsTrusted bool) {
	t, found := v.targets[id]
	if !found {
		return
	}
	if removalsTrusted || t.Draining || t.Leaving {
		v.recordDeparture(t)
		delete(v.targets, id)
		delete(v.missing, id)
		return
	}
	v.missing[id] = true
}

// applyDomains sets the closed failure domains of the view after the change.
func (v *View) applyDomains(old *View, change Change, removalsTrusted bool) {
	for d := range old.closedDomains {
		switch {
		case !change.Complete:
			v.closedDomains[d] = true
			if old.unconfirmedDomains[d] {
				v.unconfirmedDomains[d] = true
			}
		case !removalsTrusted:
			v.closedDomains[d], v.unconfirmedDomains[d] = true, true
		}
	}
	for _, d := range change.Closed {
		v.closedDomains[d] = true
		delete(v.unconfirmedDomains, d)
	}
	for _, d := range change.Opened {
		delete(v.closedDomains, d)
		delete(v.unconfirmedDomains, d)
	}
}

// indexServing groups the serving targets by service.
func (v *View) indexServing() {
	v.serving = make(map[string][]Target)
	for _, t := range v.targets {
		if v.isTargetServing(t) {
			v.serving[t.Service] = append(v.serving[t.Service], t)
		}
	}
	for _, targets := range v.serving {
		slices.SortFunc(targets, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// Withdraw marks a target as withdrawn, because another target was found at its address. The mark ends with the next
// unmarked entry of the target in a partial change, or with a changed entry in a complete one. Withdraw reports whether
// the target was known at that address and not yet withdrawn.
func (r *Registrar) Withdraw(id, address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.view.Load()
	t, found := old.targets[id]
	if !found || t.Withdrawn || t.Address != address {
		return false
	}
	t.Withdrawn = true
	r.publish(old.withMark(t))
	return true
}

// MarkLeaving marks a start of a target as leaving. It reports whether that was not known before.
func (r *Registrar) MarkLeaving(id string, started int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.view.Load()
	t, found := old.targets[id]
	if !found || t.Leaving || t.Started != started {
		return false
	}
	t.Leaving = true
	r.publish(old.withMark(t))
	return true
}

// withMark returns the view with a mark of a target. The mark is no entry of the store, so the target stays missing if it
// is.
func (v *View) withMark(t Target) *View {
	next := v.apply(Change{Put: []Target{t}}, true)
	if v.missing[t.ID] {
		next.missing[t.ID] = true
	}
	return next
}

// RemoveMissing removes the targets that are still missing, and opens the failure domains that are still not listed as
// closed.
func (r *Registrar) RemoveMissing() *View {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.view.Load()
	if old.IsSettled() {
		return old
	}
	change := Change{Removed: slices.Collect(maps.Keys(old.missing)), Opened: slices.Collect(maps.Keys(old.unconfirmedDomains))}
	return r.publish(old.apply(change, true))
}

// newerTable returns the table with the higher version, or a if both have the same one.
func newerTable(a, b *mapper.Table) *mapper.Table {
	if a == nil || b != nil && b.Version() > a.Version() {
		return b
	}
	return a
}
