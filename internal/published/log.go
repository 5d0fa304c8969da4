// Package published keeps what the platform has published, as opaque items with revisions. An instance that has read
// the changes can then pass them on to another instance.
package published

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// removalRetention is how long removals are kept. An instance that has missed older removals must read the platform
// itself.
const removalRetention = time.Minute

// Item is the latest state of one key.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	// Removed is true if the key was removed at Revision.
	Removed bool
}

// removal is a removed key with the time at which the removal was stored.
type removal struct {
	item Item
	at   time.Time
}

// Log holds the latest state of each key. It is safe for concurrent use.
type Log struct {
	mu       sync.Mutex
	items    map[string]Item
	removals []removal
	asOf     int64
	// completeAfter is the least revision after which all changes are known, including removals.
	completeAfter int64
	// confirmed is the boot-time at which the latest read of the platform began. The read confirmed all changes up to asOf.
	confirmed time.Duration
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{items: make(map[string]Item)} }

// Put stores the items that are newer than the stored state, and returns these items.
func (l *Log) Put(items []Item, now time.Time) []Item {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	var newer []Item
	for _, it := range items {
		if known, ok := l.items[it.Key]; ok && known.Revision >= it.Revision {
			continue
		}
		if l.isRemovedSince(it.Key, it.Revision) {
			continue
		}
		newer = append(newer, it)
		if !it.Removed {
			l.items[it.Key] = it
			continue
		}
		delete(l.items, it.Key)
		l.removals = append(l.removals, removal{item: it, at: now})
	}
	return newer
}

func (l *Log) isRemovedSince(key string, revision int64) bool {
	for i := range l.removals {
		if r := l.removals[i].item; r.Key == key && r.Revision >= revision {
			return true
		}
	}
	return false
}

// expire drops removals after removalRetention.
func (l *Log) expire(now time.Time) {
	expired := 0
	for expired < len(l.removals) && now.Sub(l.removals[expired].at) > removalRetention {
		l.completeAfter = max(l.completeAfter, l.removals[expired].item.Revision)
		expired++
	}
	l.removals = l.removals[expired:]
}

// Advance records that all changes up to a revision are known, from a read that began at a boot-time.
func (l *Log) Advance(asOf int64, confirmed time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asOf = max(l.asOf, asOf)
	l.confirmed = max(l.confirmed, confirmed)
}

// Listed records that all items were read at a revision. Before the call, the caller must Put a removal, at that
// revision, of each known key that no longer exists. If the log was empty, earlier removals are not known.
func (l *Log) Listed(asOf int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.asOf == 0 {
		l.completeAfter = asOf
	}
	l.asOf = max(l.asOf, asOf)
}

// Position returns the revision up to which all changes are known, and the boot-time at which that was confirmed.
func (l *Log) Position() (asOf int64, confirmed time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.asOf, l.confirmed
}

// Keys returns the keys whose last change is not after a revision.
func (l *Log) Keys(until int64) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var keys []string
	for key, it := range l.items {
		if it.Revision <= until {
			keys = append(keys, key)
		}
	}
	return keys
}

// All returns the latest state of all keys, for an instance that has read nothing yet. The result is false if this log is
// empty because nothing was read yet.
func (l *Log) All() ([]Item, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Values(l.items)), l.asOf > 0
}

// Since returns the changes after a revision. The result is false if some changes may no longer be known.
func (l *Log) Since(after int64) ([]Item, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if after < l.completeAfter {
		return nil, false
	}
	if after >= l.asOf {
		return nil, true
	}
	var items []Item
	for _, it := range l.items {
		if it.Revision > after {
			items = append(items, it)
		}
	}
	for _, r := range l.removals {
		if r.item.Revision > after {
			items = append(items, r.item)
		}
	}
	return items, true
}
