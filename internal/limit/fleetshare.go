package limit

import (
	"sync"
	"time"
)

const (
	// unknownFactor is a margin for instances that this instance does not know.
	unknownFactor = 1.5
	// startHoldOff is how long an instance has no share after its start. It does not know its peers yet, and may have used
	// its share before a restart.
	startHoldOff = 3 * time.Second
)

// FleetShare computes this instance's share of fleet-wide bounds. The share does not grow when other instances stop
// responding, because they may still use their own shares behind a partition. It is safe for concurrent use.
type FleetShare struct {
	mu           sync.Mutex
	started      time.Time
	minInstances int
	maxPeers     int
}

// NewFleetShare returns the share of an instance that starts now. The fleet is assumed to have at least minInstances
// instances.
func NewFleetShare(minInstances int, now time.Time) *FleetShare {
	return &FleetShare{started: now, minInstances: minInstances}
}

// ObservePeers records the number of live peers. Only the largest number counts.
func (f *FleetShare) ObservePeers(peers int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maxPeers = max(f.maxPeers, peers)
}

// Share returns the fraction of a fleet-wide bound that this instance may use.
func (f *FleetShare) Share(now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.started) < startHoldOff {
		return 0
	}
	return 1 / max(float64(f.minInstances), unknownFactor*float64(f.maxPeers+1), 1)
}
