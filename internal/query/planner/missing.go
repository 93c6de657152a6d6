package planner

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// missingVersion is an index version that a target has reported as missing.
type missingVersion struct {
	target  string
	index   string
	version int
}

// missingVersions holds the index versions that targets have reported as missing. Its entries expire, because targets
// load missing versions. It is read for every plan and changed rarely, so readers share an immutable copy.
type missingVersions struct {
	expiry time.Duration
	mu     sync.Mutex
	// expiresAt holds the time of expiry of every entry; a published map never changes.
	expiresAt atomic.Pointer[map[missingVersion]time.Time]
}

func newMissingVersions(expiry time.Duration) *missingVersions {
	v := &missingVersions{expiry: expiry}
	v.expiresAt.Store(&map[missingVersion]time.Time{})
	return v
}

func (v *missingVersions) entries() map[missingVersion]time.Time {
	return *v.expiresAt.Load()
}

// add records the entry and removes expired ones, which limits the map to the targets and versions in use.
func (v *missingVersions) add(key missingVersion) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	entries := v.entries()
	// Many shards on one target report the same missing version at once; one copy of the map is enough for them.
	if expiresAt, found := entries[key]; found && expiresAt.Sub(now) > v.expiry/2 {
		return
	}
	next := maps.Clone(entries)
	maps.DeleteFunc(next, func(_ missingVersion, expiresAt time.Time) bool { return !now.Before(expiresAt) })
	next[key] = now.Add(v.expiry)
	v.expiresAt.Store(&next)
}
