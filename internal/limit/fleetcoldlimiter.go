package limit

import (
	"sync"
	"time"
)

const (
	// MaxGrantAge is the longest time from the grant of a request until its first byte is sent. An older grant must not be
	// used. Senders measure the time from their placement request, which is earlier than the grant.
	MaxGrantAge = 250 * time.Millisecond
	// grantWindow is the length of the sliding window in which grants are counted. Requests that are sent to an endpoint
	// within coldWindow were granted within coldWindow and MaxGrantAge. 50 ms are a margin.
	grantWindow = coldWindow + MaxGrantAge + 50*time.Millisecond
	// grantFraction is the fraction of an endpoint's bound that one instance may grant. It is one half, because during a
	// change of the endpoint's scheduler two instances may grant requests to the endpoint.
	grantFraction = 0.5
)

// FleetColdLimiter bounds the requests of the whole fleet to endpoints in cold start. The scheduler of an endpoint grants
// them for all instances, because in a fleet of hundreds the share of one instance (ColdLimiter) is less than one request
// per second. An instance grants requests only while it and the live instances that it knows are more than half of the
// fleet, because at most one side of a partition has a majority. It is safe for concurrent use.
type FleetColdLimiter struct {
	mu sync.Mutex
	// factor multiplies the cold start rate of the service. slack is in requests per second.
	factor      float64
	slack       float64
	hasMajority func(now time.Time) bool
	granted     endpointWindows
}

// NewFleetColdLimiter returns the limiter. All instances together may send rate x factor + slack requests per second to an
// endpoint, where rate is the ColdRate of its service. hasMajority reports whether this instance and the live instances
// that it knows are more than half of the largest fleet that it has known.
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
