package limit

import (
	"sync"
	"time"
)

const (
	// MaxGrantAge is the longest time from the grant of a request until its first byte is sent.
	MaxGrantAge = 250 * time.Millisecond
	// grantWindow is the window in which grants are bounded: one second at the endpoint, and the time between grant and
	// send.
	grantWindow = coldWindow + MaxGrantAge + 50*time.Millisecond
	// grantFraction is the fraction of an endpoint's bound that one instance grants. During a change of the granting
	// instance, two instances may grant at the same time.
	grantFraction = 0.5
)

// FleetColdLimiter bounds the requests of the whole fleet to endpoints in cold start. One instance grants them for all,
// because the fixed share of an instance is less than one request in a fleet of hundreds. An instance grants requests only
// while it reaches more than half of the fleet, because at most one side of a partition has a majority. It is safe for
// concurrent use.
type FleetColdLimiter struct {
	mu          sync.Mutex
	factor      float64
	slack       float64
	hasMajority func(now time.Time) bool
	granted     endpointWindows
}

// NewFleetColdLimiter returns the limiter. An endpoint accepts rate x factor + slack requests per second from all
// instances. hasMajority reports whether this instance reaches more than half of the fleet.
func NewFleetColdLimiter(factor, slack float64, hasMajority func(now time.Time) bool) *FleetColdLimiter {
	return &FleetColdLimiter{factor: factor, slack: slack, hasMajority: hasMajority, granted: newEndpointWindows(grantWindow)}
}

// Allows reports whether a request to the endpoint would be granted now.
func (c *FleetColdLimiter) Allows(endpoint uint32, rate float64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.allows(endpoint, rate, now)
}

func (c *FleetColdLimiter) allows(endpoint uint32, rate float64, now time.Time) bool {
	if !c.hasMajority(now) {
		return false
	}
	return float64(c.granted.count(endpoint, now)+1) <= grantFraction*(rate*c.factor+c.slack)
}

// Take grants a request to the endpoint if the bound allows it. Otherwise it returns false.
func (c *FleetColdLimiter) Take(endpoint uint32, rate float64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.allows(endpoint, rate, now) {
		return false
	}
	c.granted.add(endpoint, now)
	return true
}

// Forget deletes the counts of endpoints without a grant in the last grantWindow.
func (c *FleetColdLimiter) Forget(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.granted.forget(now)
}
