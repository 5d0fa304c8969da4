package limit

import (
	"sync"
	"time"
)

const (
	// MaxGrantAge is how long a granted request may take until its first byte is sent.
	MaxGrantAge = 250 * time.Millisecond
	// grantWindow is the span in which grants are bounded: a second at the endpoint, and what lies between grant and send.
	grantWindow = coldWindow + MaxGrantAge + 50*time.Millisecond
	// grantShare is the part of an endpoint's bound that one instance grants. While instances change their mind about
	// which of them grants, two of them may do so at once.
	grantShare = 0.5
)

// FleetColdLimiter bounds the requests of the whole fleet to endpoints in cold start. One instance grants them, because in
// a fleet of hundreds the fixed share of an instance is less than one request. Only an instance that reaches more than
// half of the fleet grants requests, because at most one side of a partition has a majority. It is safe for concurrent
// use.
type FleetColdLimiter struct {
	mu          sync.Mutex
	factor      float64
	slack       float64
	hasMajority func(now time.Time) bool
	granted     endpointWindows
}

// NewFleetColdLimiter returns the limiter. An endpoint accepts rate x factor + slack requests a second from all instances.
// hasMajority reports whether this instance reaches more than half of the fleet.
func NewFleetColdLimiter(factor, slack float64, hasMajority func(now time.Time) bool) *FleetColdLimiter {
	return &FleetColdLimiter{factor: factor, slack: slack, hasMajority: hasMajority, granted: newEndpointWindows(grantWindow)}
}

// Allows reports whether a request to the endpoint would be granted now.
func (g *FleetColdLimiter) Allows(endpoint uint32, rate float64, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.allows(endpoint, rate, now)
}

func (g *FleetColdLimiter) allows(endpoint uint32, rate float64, now time.Time) bool {
	if !g.hasMajority(now) {
		return false
	}
	return float64(g.granted.count(endpoint, now)+1) <= grantShare*(rate*g.factor+g.slack)
}

// Take grants a request to the endpoint if that is allowed, and reports whether it did.
func (g *FleetColdLimiter) Take(endpoint uint32, rate float64, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.allows(endpoint, rate, now) {
		return false
	}
	g.granted.add(endpoint, now)
	return true
}

// Forget drops the counts of endpoints for which nothing was granted lately.
func (g *FleetColdLimiter) Forget(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.granted.forget(now)
}
