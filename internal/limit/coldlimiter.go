package limit

import (
	"sync"
	"time"
)

// coldWindow is the length of the sliding window in which requests to an endpoint in cold start are counted.
const coldWindow = time.Second

// ColdLimiter bounds this instance's requests to endpoints in cold start by its share of the fleet-wide bound. It is used
// for requests that this instance places itself; FleetColdLimiter is used for requests that a scheduler places. It is safe
// for concurrent use.
type ColdLimiter struct {
	mu sync.Mutex
	// factor multiplies the cold start rate of the service. slack is in requests per second.
	factor float64
	slack  float64
	share  *FleetShare
	taken  endpointWindows
}

// NewColdLimiter returns the limiter. All instances together may send rate x factor + slack requests per second to an
// endpoint, where rate is the ColdRate of its service.
func NewColdLimiter(factor, slack float64, share *FleetShare) *ColdLimiter {
	return &ColdLimiter{factor: factor, slack: slack, share: share, taken: newEndpointWindows(coldWindow)}
}

// Allows reports whether a request may be sent now to the endpoint.
func (c *ColdLimiter) Allows(endpoint uint32, rate float64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.allows(endpoint, rate, now)
}

func (c *ColdLimiter) allows(endpoint uint32, rate float64, now time.Time) bool {
	bound := safetyFactor * (rate*c.factor + c.slack) * c.share.Share(now)
	return bound >= 1 && float64(c.taken.count(endpoint, now)+1) <= bound
}

// Take counts a request that is about to be sent to the endpoint if this instance's share allows it. Otherwise it returns
// false.
func (c *ColdLimiter) Take(endpoint uint32, rate float64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.allows(endpoint, rate, now) {
		return false
	}
	c.taken.add(endpoint, now)
	return true
}

// Forget deletes the counts of endpoints without a request in the last coldWindow.
func (c *ColdLimiter) Forget(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.taken.forget(now)
}
