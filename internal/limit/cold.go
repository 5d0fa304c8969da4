package limit

import (
	"sync"
	"time"
)

// coldWindow is the span in which requests to an endpoint in cold start are bounded.
const coldWindow = time.Second

// Cold is this instance's share of the requests that endpoints in cold start can handle. It is safe for concurrent use.
type Cold struct {
	mu     sync.Mutex
	factor float64
	slack  float64
	fleet  *Fleet
	sent   endpointWindows
}

// NewCold returns the limiter. An endpoint accepts rate x factor + slack requests a second from all instances.
func NewCold(factor, slack float64, fleet *Fleet) *Cold {
	return &Cold{factor: factor, slack: slack, fleet: fleet, sent: newEndpointWindows(coldWindow)}
}

// Allows reports whether a request may be sent now to the endpoint.
func (c *Cold) Allows(endpoint uint32, rate float64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.allows(endpoint, rate, now)
}

func (c *Cold) allows(endpoint uint32, rate float64, now time.Time) bool {
	share := safety * (rate*c.factor + c.slack) * c.fleet.Share(now)
	return share >= 1 && float64(c.sent.count(endpoint, now)+1) <= share
}

// Take counts a request to the endpoint and reports whether the share allows it.
func (c *Cold) Take(endpoint uint32, rate float64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.allows(endpoint, rate, now) {
		return false
	}
	c.sent.add(endpoint, now)
	return true
}

// Forget drops the counts of endpoints for which nothing was sent lately.
func (c *Cold) Forget(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent.forget(now)
}
