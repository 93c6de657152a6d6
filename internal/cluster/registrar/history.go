package registrar

import "maps"

// maxHistoryEntries is the maximum number of changes that a view keeps for the instances that follow this one. It
// suffices because changes come at most a few times a second and followers ask again at once.
const maxHistoryEntries = 64

// historyEntry describes one change of the view.
type historyEntry struct {
	// serial is the serial of the view after the change.
	serial int
	// tableChanged reports whether the change replaced the routing table.
	tableChanged bool
	// ids holds the targets that were added, changed or removed.
	ids []string
}

// Since returns the change that leads from the view with the given serial to this one. The change is complete if the
// serial is unknown or older than the history.
func (v *View) Since(serial int) Change {
	if serial <= 0 || serial > v.serial || serial < v.serial && (len(v.history) == 0 || v.history[0].serial > serial+1) {
		return v.completeChange()
	}
	change := Change{Revision: v.revision, Closed: v.ClosedDomains()}
	changed := make(map[string]bool)
	for _, e := range v.history {
		if e.serial <= serial {
			continue
		}
		if e.tableChanged {
			change.Table = v.table
		}
		for _, id := range e.ids {
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
	return Change{Revision: v.revision, Table: v.table, Put: v.Targets(), Closed: v.ClosedDomains(), Complete: true}
}

// record sets the serial and the history after a change of the old view. A complete change restarts the history.
func (v *View) record(old *View, change Change) {
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
		e.ids = append(e.ids, id)
	}
	kept := old.history
	if len(kept) >= maxHistoryEntries {
		kept = kept[len(kept)-maxHistoryEntries+1:]
	}
	v.history = append(append(make([]historyEntry, 0, len(kept)+1), kept...), e)
}
