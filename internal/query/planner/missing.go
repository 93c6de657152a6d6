package planner

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// missingVersion is an index version that a target has replied not to hold.
type missingVersion struct {
	target  string
	index   string
	version int
}

// missingVersions is read on every plan and changed rarely, so readers use an immutable copy.
type missingVersions struct {
	expiry time.Duration
	mu     sync.Mutex
	// until holds the expiry of every entry; a published map never changes.
	until atomic.Pointer[map[missingVersion]time.Time]
}

func newMissingVersions(expiry time.Duration) *missingVersions {
	v := &missingVersions{expiry: expiry}
	v.until.Store(&map[missingVersion]time.Time{})
	return v
}

func (v *missingVersions) current() map[missingVersion]time.Time {
	return *v.until.Load()
}

// add records the entry and removes the expired ones, which bounds the map by the targets and versions in use.
func (v *missingVersions) add(key missingVersion) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	current := v.current()
	// Many shards on one target report the same missing version at once; one copy of the map is enough.
	if until, found := current[key]; found && until.Sub(now) > v.expiry/2 {
		return
	}
	next := maps.Clone(current)
	maps.DeleteFunc(next, func(_ missingVersion, until time.Time) bool { return !now.Before(until) })
	next[key] = now.Add(v.expiry)
	v.until.Store(&next)
}
