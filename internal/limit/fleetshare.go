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

// FleetShare computes this instance's share of the bounds that hold for all instances together. The share does not grow
// when other instances stop responding, because they may still use their own shares behind a partition. It is
// safe for concurrent use.
type FleetShare struct {
	mu      sync.Mutex
	started time.Time
	least   int
	seen    int
}

// NewFleetShare returns the share of an instance that starts now. The fleet is assumed to have at least the given number
// of instances.
func NewFleetShare(least int, now time.Time) *FleetShare {
	return &FleetShare{started: now, least: least}
}

// ObservePeers records the number of other live instances.
func (f *FleetShare) ObservePeers(others int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seen = max(f.seen, others)
}

// Share returns the part of a common bound that this instance may use.
func (f *FleetShare) Share(now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.started) < learnTime {
		return 0
	}
	return 1 / max(float64(f.least), unseenFactor*float64(f.seen+1), 1)
}
