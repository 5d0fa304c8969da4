package limit

import (
	"sync"
	"time"
)

// coldWindow is the window in which requests to an endpoint in cold start are bounded.
const coldWindow = time.Second

// ColdLimiter bounds this instance's requests to endpoints in cold start by its share of the fleet-wide bound. It is safe
// for concurrent use.
type ColdLimiter struct {
	mu     sync.Mutex
	factor float64
	slack  float64
	fleet  *FleetShare
	sent   endpointWindows
}

// NewColdLimiter returns the limiter. An endpoint accepts rate x factor + slack requests per second from all instances.
func NewColdLimiter(factor, slack float64, fleet *FleetShare) *ColdLimiter {
	return &ColdLimiter{factor: factor, slack: slack, fleet: fleet, sent: newEndpointWindows(coldWindow)}
}

// Allows reports whether a request may be sent now to the endpoint.
func (c *ColdLimiter) Allows(endpoint uint32, rate float64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.allows(endpoint, rate, now)
}

func (c *ColdLimiter) allows(endpoint uint32, rate float64, now time.Time) bool {
	share := safetyFactor * (rate*c.factor + c.slack) * c.fleet.Share(now)
	return share >= 1 && float64(c.sent.count(endpoint, now)+1) <= share
}

// Take counts a request to the endpoint if this instance's share allows it. Otherwise it returns false.
func (c *ColdLimiter) Take(endpoint uint32, rate float64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.allows(endpoint, rate, now) {
		return false
	}
	c.sent.add(endpoint, now)
	return true
}

// Forget deletes the counts of endpoints without a request in the last coldWindow.
func (c *ColdLimiter) Forget(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent.forget(now)
}
