package controller

import (
	"context"
	"time"
)

const (
	drainTick = 200 * time.Millisecond
	// gatewayGone is the silence after which the instance's gateway is taken for stopped.
	gatewayGone = 2 * time.Second
)

// StartDrain announces that the instance leaves. Its gateway refuses new work after the balancer's lag; leases are kept
// until the gateway has no open request.
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
	c.kickHeartbeats()
	go c.waitForDrain()
}

// Drained is closed when a planned stop may end the process.
func (c *Controller) Drained() <-chan struct{} { return c.drained }

// waitForDrain hands the leases over once the gateway is done, or once the longest time budget has passed.
func (c *Controller) waitForDrain() {
	began := time.Now()
	for !c.gatewayDone(began) {
		time.Sleep(drainTick)
	}
	c.releaseLeases()
	c.drainOnce.Do(func() { close(c.drained) })
}

func (c *Controller) gatewayDone(began time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(began) > c.longestBudget()+c.settings.BalancerLag.Std() {
		return true
	}
	silent := time.Since(c.gateway.at) > gatewayGone
	idle := c.gateway.stats.Open == 0 && time.Since(began) > c.settings.BalancerLag.Std()+gatewayGone
	return silent || idle
}

// longestBudget bounds a drain; the caller holds the lock.
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

// releaseLeases gives all leases up and waits until the releases had time to arrive.
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
