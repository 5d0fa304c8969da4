package controller

import (
	"time"

	"github.com/acacialift/acacialift/internal/idem"
	"github.com/acacialift/acacialift/internal/lease"
	"github.com/acacialift/acacialift/internal/peer"
)

// maxKeys limits the key registry; at about 300 bytes per key it stays below 6 MB.
const maxKeys = 20_000

// handleKeyClaim decides whether a request with an idempotency key may run. The lease is checked by this process's clock
// under the same lock under which the claim is recorded.
func (c *Controller) handleKeyClaim(from peer.Hello, claim *peer.KeyClaim) any {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	interval, holds := c.labelInterval(now, claim)
	gateway := idem.Gateway{Name: from.Name, Incarnation: from.Incarnation}
	reply := c.keys.Claim(now, now.UnixMilli(), gateway, claim, interval, holds)
	c.count("keys." + string(reply.Verdict))
	c.log.Info().Str("request_id", claim.RequestID).Str("service", claim.Service).Str("gateway", from.Name).
		Str("verdict", string(reply.Verdict)).Str("reason", reply.Reason).Int64("label_ms", claim.LabelMS).
		Int64("interval_start_ms", interval.Start).Int64("interval_end_ms", interval.End).Bool("lease_held", holds).
		Msg("key_claim")
	return reply
}

// labelInterval returns the label interval of the lease on the key's slot, and whether this instance holds the lease; the
// caller holds the lock.
func (c *Controller) labelInterval(now time.Time, claim *peer.KeyClaim) (interval idem.Interval, holds bool) {
	key, err := idem.ParseKey(claim.Key)
	if err != nil {
		return idem.Interval{}, false
	}
	held, holds := c.holder.Holds(now, key.Resource(claim.Service))
	if !holds {
		return idem.Interval{}, false
	}
	return idem.Interval{Start: held.LabelStart, End: held.LabelEnd}, true
}

func (c *Controller) handleKeyEnd(end *peer.KeyEnd) any {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.keys.End(end) {
		c.log.Warn().Str("service", end.Service).Bool("not_run", end.NotRun).Msg("key_end_ignored")
	}
	return peer.Ack{}
}

// recordGatewayContact records that a message from a gateway arrived. Without contact, duplicates of a request that the
// gateway claimed get the verdict unknown.
func (c *Controller) recordGatewayContact(from peer.Hello) {
	if from.Role != peer.RoleGateway {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys.RecordContact(time.Now(), idem.Gateway{Name: from.Name, Incarnation: from.Incarnation})
}

// keySlotsHeld counts the leases on key slots; the caller holds the lock.
func (c *Controller) keySlotsHeld(now time.Time) int {
	count := 0
	for _, resource := range c.holder.Wanted() {
		if _, held := c.holder.Holds(now, resource); held && lease.IsKeySlot(resource) {
			count++
		}
	}
	return count
}
