package registrar

import "time"

// departureMemory is how long a removed target is remembered. A copy from which the store comes back may still list it.
const departureMemory = time.Minute

// departure describes the latest known entry of a removed target.
type departure struct {
	entry Target
	// epoch is the epoch of the store in which the target was removed.
	epoch int
	at    time.Time
}

// precedes reports whether t is an older entry of the same target than the other one, by the counters that the target
// itself keeps. Entries without them are never older.
func (t Target) precedes(other Target) bool {
	if t.Started == 0 || other.Started == 0 {
		return false
	}
	if t.Started != other.Started {
		return t.Started < other.Started
	}
	return t.Seq < other.Seq
}

// recordDeparture remembers the entry of a removed target.
func (v *View) recordDeparture(t Target) {
	if t.Started != 0 {
		v.departed[t.ID] = departure{entry: t, epoch: v.position.Epoch, at: time.Now()}
	}
}

// keepDepartures copies the departures of the old view that are still remembered.
func (v *View) keepDepartures(old *View) {
	v.departed = make(map[string]departure, len(old.departed))
	for id, d := range old.departed {
		if time.Since(d.at) < departureMemory {
			v.departed[id] = d
		}
	}
}

// isDeparted reports whether the entry is an old one that a copy of the store still listed after the target had been
// removed. Within the epoch of the removal, an entry is always a newer one. In a later epoch, a complete change repeats
// what the copy listed, and a partial one names what was written since.
func (v *View) isDeparted(t Target, complete bool) bool {
	d, found := v.departed[t.ID]
	if !found || v.position.Epoch <= d.epoch {
		return false
	}
	return t.precedes(d.entry) || complete && !d.entry.precedes(t)
}
