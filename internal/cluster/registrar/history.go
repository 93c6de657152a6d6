package registrar

import "maps"

// maxHistoryEntries is the maximum number of changes that a view keeps for the instances that get the state from this
// one instead of from the store (see package feeder). It suffices because changes come at most a few times a second and
// these instances ask again at once.
const maxHistoryEntries = 64

// historyEntry describes one change of the view.
type historyEntry struct {
	// serial is the serial of the view after the change.
	serial int
	// tableChanged reports whether the change replaced the routing table.
	tableChanged bool
	// targetIDs holds the targets that were added, changed or removed.
	targetIDs []string
}

// ChangeSince returns what has changed since the view with the given serial. The change is complete if the serial is
// unknown or older than the history. In any case, its Closed field holds all closed failure domains and Opened is
// empty: the receiver has to compare them with the domains that are closed in its own view.
func (v *View) ChangeSince(serial int) Change {
	if serial <= 0 || serial > v.serial || serial < v.serial && (len(v.history) == 0 || v.history[0].serial > serial+1) {
		return v.completeChange()
	}
	change := Change{Position: v.position, Closed: v.ClosedDomains()}
	changed := make(map[string]bool)
	for _, e := range v.history {
		if e.serial <= serial {
			continue
		}
		if e.tableChanged {
			change.Table = v.table
		}
		for _, id := range e.targetIDs {
			changed[id] = true
		}
	}
	for id := range changed {
		if t, found := v.targets[id]; found {
			change.Put = append(change.Put, t)
			continue
		}
		change.Removed = append(change.Removed, id)
	}
	return change
}

// completeChange returns a change that describes the whole view.
func (v *View) completeChange() Change {
	return Change{Position: v.position, Table: v.table, Put: v.Targets(), Closed: v.ClosedDomains(), Complete: true}
}

// recordChange sets the view's serial and the history after a change of the old view. A complete change restarts the
// history.
func (v *View) recordChange(old *View, change Change) {
	v.serial = old.serial + 1
	if change.Complete {
		return
	}
	e := historyEntry{serial: v.serial, tableChanged: v.table != old.table}
	ids := make(map[string]bool)
	for _, t := range change.Put {
		ids[t.ID] = true
	}
	for _, id := range change.Removed {
		ids[id] = true
	}
	for id := range maps.Keys(ids) {
		e.targetIDs = append(e.targetIDs, id)
	}
	kept := old.history
	if len(kept) >= maxHistoryEntries {
		kept = kept[len(kept)-maxHistoryEntries+1:]
	}
	v.history = append(append(make([]historyEntry, 0, len(kept)+1), kept...), e)
}
