package limit

import (
	"sync"
	"time"
)

const (
	// unknownPeersFactor multiplies the number of known instances, because this instance may not know all of them.
	unknownPeersFactor = 1.5
	// startDelay is the time after the start of an instance during which its share is zero. The instance does not know its
	// peers yet, and may have used its share before a restart.
	startDelay = 3 * time.Second
)

// FleetShare computes this instance's share of fleet-wide bounds. The share does not grow when other instances stop
// responding, because they may still use their own shares behind a partition. It is safe for concurrent use.
type FleetShare struct {
	mu           sync.Mutex
	started      time.Time
	minInstances int
	maxPeers     int
}

// NewFleetShare returns the share of an instance that started at the given time. The bounds are divided by minInstances or
// more.
func NewFleetShare(minInstances int, now time.Time) *FleetShare {
	return &FleetShare{started: now, minInstances: minInstances}
}

// ObservePeers records the number of live peers. The share is computed from the largest number since the start.
func (f *FleetShare) ObservePeers(peers int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maxPeers = max(f.maxPeers, peers)
}

// Share returns the fraction of a fleet-wide bound that this instance may use.
func (f *FleetShare) Share(now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.started) < startDelay {
		return 0
	}
	return 1 / max(float64(f.minInstances), unknownPeersFactor*float64(f.maxPeers+1), 1)
}
