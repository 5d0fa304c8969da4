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
	// position is the point up to which all changes are known. All items and removals belong to its era.
	position Position
	// completeAfter is the least revision after which all changes are known, including removals.
	completeAfter int64
	// confirmed is the boot-time at which the latest read of the platform began. The read confirmed all changes up to position.
	confirmed time.Duration
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{items: make(map[string]Item)} }

// Put stores the items of the current era that are newer than the stored state, and returns these items.
func (l *Log) Put(items []Item, now time.Time) []Item {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	var newer []Item
	for _, it := range items {
		if it.Era != l.position.Era {
			continue
		}
		known, ok := l.items[it.Key]
		if ok && known.Revision >= it.Revision {
			continue
		}
		if l.isRemovedSince(it.Key, it.Revision) {
			continue
		}
		if it.Removed && ok {
			it.Replaced = known.Revision
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
	l.position.Revision = max(l.position.Revision, asOf)
	l.confirmed = max(l.confirmed, confirmed)
}

// Listed records that all items were read at a revision. Before the call, the caller must Put a removal, at that
// revision, of each known key that no longer exists. If the log was empty, earlier removals are not known.
func (l *Log) Listed(asOf int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.position.Revision == 0 {
		l.completeAfter = asOf
	}
	l.position.Revision = max(l.position.Revision, asOf)
}

// Replace begins an era with the whole content of the platform at a position. It returns the previous state of each key,
// including the removals that are still kept.
func (l *Log) Replace(items []Item, at Position) (previous map[string]Item) {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous = l.items
	for _, r := range l.removals {
		if known, ok := previous[r.item.Key]; !ok || known.Revision < r.item.Revision {
			previous[r.item.Key] = r.item
		}
	}
	l.items, l.removals = make(map[string]Item, len(items)), nil
	for _, it := range items {
		l.items[it.Key] = it
	}
	l.position, l.completeAfter = at, at.Revision
	return previous
}

// Item returns the latest state of a key. A key that is not known, or whose removal is no longer kept, is returned as removed at
// revision 0.
func (l *Log) Item(key string) Item {
	l.mu.Lock()
	defer l.mu.Unlock()
	if it, ok := l.items[key]; ok {
		return it
	}
	for _, r := range slices.Backward(l.removals) {
		if r.item.Key == key {
			return r.item
		}
	}
	return Item{Key: key, Removed: true, Era: l.position.Era}
}

// Position returns the point up to which all changes are known, and the boot-time at which that was confirmed.
func (l *Log) Position() (position Position, confirmed time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.position, l.confirmed
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

// UpdateAfter returns what an instance at a position needs: the changes after it, or the whole content if the instance has read
// nothing yet or its position belongs to an earlier era. The result is false if some changes may no longer be known, or the
// position says nothing about this log. An instance whose version of acacialift knows no eras states era 0.
func (l *Log) UpdateAfter(after Position) (Update, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	isEarlierEra := after.Era > 0 && after.Era < l.position.Era
	switch {
	case after.Revision == 0 || isEarlierEra:
		return Update{Items: slices.Collect(maps.Values(l.items)), Era: l.position.Era, Whole: true}, l.position.Revision > 0
	case after.Era != l.position.Era || after.Revision < l.completeAfter:
		return Update{}, false
	}
	return Update{Items: l.since(after.Revision), Era: l.position.Era}, true
}

func (l *Log) since(after int64) []Item {
	if after >= l.position.Revision {
		return nil
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
	return items
}
