package limit

import (
	"sync"
	"time"
)

const (
	// unseenFactor allows for instances that this one has not heard of.
	unseenFactor = 1.5
	// learnTime is how long a starting instance has no share, because it does not know the others yet and may have used
	// up its share before a restart.
	learnTime = 3 * time.Second
)

// Fleet tells this instance's share of the bounds that hold for all instances together. The share does not grow when
// other instances fall silent: they may go on with their own shares behind a partition. It is safe for concurrent use.
type Fleet struct {
	mu      sync.Mutex
	started time.Time
	least   int
	seen    int
}

// NewFleet returns the shares of an instance that starts now. The fleet counts as having at least the given number of
// instances.
func NewFleet(least int, now time.Time) *Fleet { return &Fleet{started: now, least: least} }

// Seen notes the number of other instances that are alive.
func (f *Fleet) Seen(others int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seen = max(f.seen, others)
}

// Share returns the part of a common bound that this instance may use.
func (f *Fleet) Share(now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.started) < learnTime {
		return 0
	}
	return 1 / max(float64(f.least), unseenFactor*float64(f.seen+1), 1)
}
