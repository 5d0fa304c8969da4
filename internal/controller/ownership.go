package controller

import (
	"context"
	"strings"
	"time"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/credit"
	"github.com/acacialift/acacialift/internal/engine"
	"github.com/acacialift/acacialift/internal/lease"
	"github.com/acacialift/acacialift/internal/peer"
)

const (
	// maxLeaseInterval is the longest time between two rounds of claims; a due claim or a membership change starts a round
	// earlier. An account that is opened only in the next round delays no grant, because a new owner grants nothing for
	// lease.WaitBeforeGrant, which is longer than this interval.
	maxLeaseInterval = 250 * time.Millisecond
	// minLeaseInterval is the shortest delay until the next scheduled round.
	minLeaseInterval = 20 * time.Millisecond
	claimTimeout     = lease.LeaseLength
	// handOffDelay is the time for which another instance must be preferred before the lease on a resource is dropped, so
	// that a short suspicion of a member does not interrupt the ownership of an endpoint.
	handOffDelay = 3 * time.Second
)

// ownership caches the resources that this instance should hold, with the revisions and the membership version from which
// they were computed.
type ownership struct {
	revision      uint64
	listRevision  uint64
	memberVersion uint64
	resources     map[string]lease.Info
	wanted        map[string]bool
	// unwantedSince holds, for a held resource, the time since which another instance is preferred.
	unwantedSince map[string]time.Time
}

// ownedAccount is the account of an endpoint that this instance owns.
type ownedAccount struct {
	account    *credit.Account
	endpoint   *config.Endpoint
	acquiredAt time.Time
	// polledAt is the time of the last request for a load report; polling is true while a request is in flight.
	polledAt time.Time
	polling  bool
	// shortIntervalUntil is the time until which load reports are requested every shortReportInterval.
	shortIntervalUntil time.Time
	// loggedState is the endpoint state in the last log line.
	loggedState peer.EndpointState
	// report is the last load report, which contains the engine's fence.
	report     engine.LoadReport
	reportedAt time.Time
	// cancelledAt holds, for each orphaned stream, the time of the last cancel order.
	cancelledAt map[string]time.Time
}

func (c *Controller) serveLeases(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case <-c.leaseTrigger:
		}
		timer.Reset(c.leaseRound(ctx))
	}
}

// triggerLeaseRound starts a round of claims without waiting for the timer.
func (c *Controller) triggerLeaseRound() {
	select {
	case c.leaseTrigger <- struct{}{}:
	default:
	}
}

// leaseRound sends the claims that are due and returns the time until the next round.
func (c *Controller) leaseRound(ctx context.Context) time.Duration {
	now := time.Now()
	c.mu.Lock()
	if c.index == nil || c.list == nil {
		c.mu.Unlock()
		return maxLeaseInterval
	}
	c.updateWanted(now)
	claims := c.dueClaims(now)
	c.reconcileAccounts(now)
	delay := maxLeaseInterval
	if next, wanted := c.holder.NextClaim(now); wanted {
		delay = min(maxLeaseInterval, max(minLeaseInterval, next.Sub(now)))
	}
	c.mu.Unlock()
	for _, claim := range claims {
		go c.claim(ctx, claim)
	}
	return delay
}

// addressedClaim is a claim with the peer address of its voter.
type addressedClaim struct {
	lease.Outgoing
	address string
}

// dueClaims returns the claims and releases that are due; the caller holds the lock.
func (c *Controller) dueClaims(now time.Time) []addressedClaim {
	due := c.holder.Claims(now, now.UnixMilli())
	claims := make([]addressedClaim, 0, len(due))
	for _, outgoing := range due {
		claims = append(claims, addressedClaim{Outgoing: outgoing, address: c.peerAddress(outgoing.Voter)})
	}
	return claims
}

func (c *Controller) claim(ctx context.Context, outgoing addressedClaim) {
	if outgoing.Voter == c.settings.Instance {
		c.mu.Lock()
		defer c.mu.Unlock()
		now := time.Now()
		promise := c.voter.Answer(now, now.UnixMilli(), outgoing.Claim)
		c.holder.HandlePromise(now, now.UnixMilli(), outgoing.Voter, promise)
		return
	}
	if outgoing.address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	var promise peer.Promise
	if err := c.node.Call(ctx, outgoing.address, peer.KindClaim, outgoing.Claim, &promise); err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.holder.HandlePromise(now, now.UnixMilli(), outgoing.Voter, &promise)
	c.logRefusedClaims(outgoing.Voter, &promise)
}

func (c *Controller) logRefusedClaims(voter string, promise *peer.Promise) {
	for _, item := range promise.Items {
		if !item.Granted {
			c.log.Debug().Str("resource", item.Resource).Str("voter", voter).Str("reason", item.Reason).Msg("claim_refused")
		}
	}
}

// updateWanted sets the resources that the holder claims, and drops a resource once another instance has been preferred for
// handOffDelay. The preferred holders are computed again only if the configuration, the instance list or the set of live
// instances changed. The caller holds the lock.
func (c *Controller) updateWanted(now time.Time) {
	o := &c.ownership
	memberVersion := c.table.Version()
	revision, listRevision := c.revisions()
	if o.resources == nil || o.revision != revision {
		o.resources = lease.Describe(c.index)
	}
	if o.wanted == nil || o.revision != revision || o.listRevision != listRevision || o.memberVersion != memberVersion {
		o.wanted = c.preferredResources(c.table.Live())
		o.revision, o.listRevision, o.memberVersion = revision, listRevision, memberVersion
	}
	if o.unwantedSince == nil {
		o.unwantedSince = make(map[string]time.Time)
	}
	for resource := range o.wanted {
		delete(o.unwantedSince, resource)
		c.holder.Want(now, resource)
	}
	for _, resource := range c.holder.Wanted() {
		if !o.wanted[resource] {
			c.dropAfterDelay(now, resource)
		}
	}
}

func (c *Controller) preferredResources(live []config.Instance) map[string]bool {
	wanted := make(map[string]bool)
	for resource, info := range c.ownership.resources {
		if info.Refusal == "" && lease.Preferred(resource, info, live) == c.settings.Instance {
			wanted[resource] = true
		}
	}
	return wanted
}

// dropAfterDelay drops a resource once another instance has been preferred for handOffDelay. A leaving instance keeps its
// leases until its gateway has no open request.
func (c *Controller) dropAfterDelay(now time.Time, resource string) {
	if c.table.Leaving() {
		return
	}
	since, known := c.ownership.unwantedSince[resource]
	if !known {
		c.ownership.unwantedSince[resource] = now
		return
	}
	if now.Sub(since) < handOffDelay {
		return
	}
	delete(c.ownership.unwantedSince, resource)
	c.holder.Drop(resource)
	c.log.Info().Str("resource", resource).Str("reason", "another_instance_preferred").Msg("lease_dropped")
}

// reconcileAccounts opens accounts for newly acquired leases and discards the accounts of expired leases; the caller holds
// the lock.
func (c *Controller) reconcileAccounts(now time.Time) {
	for _, resource := range c.holder.Wanted() {
		held, ok := c.holder.Holds(now, resource)
		if !ok {
			continue
		}
		if name, isEndpoint := strings.CutPrefix(resource, lease.EndpointResource("")); isEndpoint {
			c.openAccount(name, &held)
		}
	}
	c.closeAccounts(now)
}

func (c *Controller) openAccount(name string, held *lease.Lease) {
	if existing := c.accounts[name]; existing != nil && existing.acquiredAt.Equal(held.AcquiredAt) {
		return
	}
	endpoint := c.index.Endpoint(name)
	if endpoint == nil {
		return
	}
	service := c.index.Service(endpoint.Service)
	c.accounts[name] = &ownedAccount{
		account: credit.New(credit.Options{
			Endpoint:   name,
			Owner:      c.settings.Instance,
			Fence:      held.AcquiredWallMS,
			Limits:     c.limits(service),
			AcquiredAt: held.AcquiredAt,
		}),
		endpoint:    endpoint,
		acquiredAt:  held.AcquiredAt,
		cancelledAt: make(map[string]time.Time),
	}
	c.log.Info().Str("endpoint", name).Str("domain", endpoint.Domain).Int64("fence", held.AcquiredWallMS).
		Msg("owner_acquired")
}

// limits returns a service's limits. All accounts share one map of team weights: with thousands of teams, a map for each
// account would be the largest part of the process's memory. The caller holds the lock.
func (c *Controller) limits(service *config.Service) credit.Limits {
	limits := credit.LimitsOf(service, nil)
	limits.Weights = c.weights
	return limits
}

func (c *Controller) closeAccounts(now time.Time) {
	for name := range c.accounts {
		if _, ok := c.holder.Holds(now, lease.EndpointResource(name)); !ok {
			delete(c.accounts, name)
			c.log.Info().Str("endpoint", name).Msg("owner_ended")
		}
	}
}

// applyLimits applies a new configuration to the accounts; the caller holds the lock.
func (c *Controller) applyLimits() {
	for name, owned := range c.accounts {
		endpoint := c.index.Endpoint(name)
		if endpoint == nil {
			owned.account.SetLeaving(true)
			continue
		}
		owned.endpoint = endpoint
		domain := c.index.Domain(endpoint.Domain)
		owned.account.SetOutOfService(domain == nil || domain.OutOfService)
		owned.account.SetLeaving(endpoint.Leaving)
		owned.account.SetLimits(c.limits(c.index.Service(endpoint.Service)))
	}
}
