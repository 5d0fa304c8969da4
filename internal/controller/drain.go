package controller

import (
	"context"
	"time"
)

const (
	drainTick = 200 * time.Millisecond
	// gatewayTimeout is the time without a view request after which the instance's gateway is considered stopped.
	gatewayTimeout = 2 * time.Second
)

// StartDrain announces that the instance is leaving. Its gateway refuses new requests once the load balancer has had time
// to notice; leases are kept until the gateway has no open request.
func (c *Controller) StartDrain(reason string) {
	c.mu.Lock()
	first := !c.table.Leaving()
	if first {
		c.table.SetLeaving()
	}
	c.mu.Unlock()
	if !first {
		return
	}
	c.log.Info().Str("reason", reason).Msg("drain_started")
	c.triggerHeartbeatRound()
	go c.finishDrain()
}

// Drained returns a channel that is closed when the process may exit in a graceful shutdown.
func (c *Controller) Drained() <-chan struct{} { return c.drained }

// finishDrain releases the leases once the gateway has no open request or has stopped, or once the load balancer's lag and
// the longest time budget have passed.
func (c *Controller) finishDrain() {
	started := time.Now()
	for !c.gatewayDone(started) {
		time.Sleep(drainTick)
	}
	c.releaseLeases()
	c.drainOnce.Do(func() { close(c.drained) })
}

func (c *Controller) gatewayDone(started time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(started) > c.longestBudget()+c.settings.BalancerLag.Std() {
		return true
	}
	unresponsive := time.Since(c.gateway.receivedAt) > gatewayTimeout
	idle := c.gateway.stats.Open == 0 && time.Since(started) > c.settings.BalancerLag.Std()+gatewayTimeout
	return unresponsive || idle
}

// longestBudget returns the largest time budget of any profile, which bounds a drain; the caller holds the lock.
func (c *Controller) longestBudget() time.Duration {
	longest := time.Duration(0)
	if c.index == nil {
		return longest
	}
	for i := range c.index.Document.Profiles {
		longest = max(longest, c.index.Document.Profiles[i].MaxBudget.Std())
	}
	return longest
}

// releaseLeases drops all leases and sends the releases to the voters, for at most claimTimeout.
func (c *Controller) releaseLeases() {
	c.mu.Lock()
	for _, resource := range c.holder.Wanted() {
		c.holder.Drop(resource)
	}
	claims := c.dueClaims(time.Now())
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	for _, claim := range claims {
		c.claim(ctx, claim)
	}
	c.log.Info().Msg("leases_released")
}
