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
	// leaseTick is the longest time between two rounds; a due claim or a change of the membership starts one earlier. A
	// new lease waits longer than this before it grants, so opening its account at the next tick delays nothing.
	leaseTick = 250 * time.Millisecond
	// leasePause is the shortest time between two rounds.
	leasePause   = 20 * time.Millisecond
	claimTimeout = lease.LeaseLength
	// handOffDelay is the time for which another instance must be preferred before a held resource is given up, so that
	// a short doubt about a member does not interrupt an endpoint's owner.
	handOffDelay = 3 * time.Second
)

// ownership caches which resources this instance should hold.
type ownership struct {
	revision      uint64
	listRevision  uint64
	memberVersion uint64
	resources     map[string]lease.Info
	wanted        map[string]bool
	// unwantedSince maps a held resource to the time since which another instance is preferred.
	unwantedSince map[string]time.Time
}

// ownedAccount is the account of an endpoint that this instance owns.
type ownedAccount struct {
	account  *credit.Account
	endpoint *config.Endpoint
	acquired time.Time
	// polled is the time of the last request for a load report; polling is true while one is under way.
	polled  time.Time
	polling bool
	// shortUntil is the time until which load reports are asked for at the short interval.
	shortUntil time.Time
	// state is the endpoint's state that was logged last.
	state peer.EndpointState
	// report is the last load report, with the fence that the engine reported.
	report     engine.LoadReport
	reportedAt time.Time
	// cancelled maps a stream to the time of the last cancel order.
	cancelled map[string]time.Time
}

func (c *Controller) serveLeases(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case <-c.leasesNow:
		}
		timer.Reset(c.leaseRound(ctx))
	}
}

// kickLeases asks for a round of claims without waiting for the next tick.
func (c *Controller) kickLeases() {
	select {
	case c.leasesNow <- struct{}{}:
	default:
	}
}

// leaseRound sends the claims that are due and returns the time until the next round.
func (c *Controller) leaseRound(ctx context.Context) time.Duration {
	now := time.Now()
	c.mu.Lock()
	if c.index == nil || c.list == nil {
		c.mu.Unlock()
		return leaseTick
	}
	c.chooseResources(now)
	claims := c.dueClaims(now)
	c.reconcile(now)
	pause := leaseTick
	if next, wanted := c.holder.NextClaim(now); wanted {
		pause = min(leaseTick, max(leasePause, next.Sub(now)))
	}
	c.mu.Unlock()
	for _, claim := range claims {
		go c.claim(ctx, claim)
	}
	return pause
}

// addressedClaim is a claim with the peers' address of its voter.
type addressedClaim struct {
	lease.Outgoing
	address string
}

// dueClaims returns the claims and releases to send now; the caller holds the lock.
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
	c.logPromise(outgoing.Voter, &promise)
}

func (c *Controller) logPromise(voter string, promise *peer.Promise) {
	for _, item := range promise.Items {
		if !item.Granted {
			c.log.Debug().Str("resource", item.Resource).Str("voter", voter).Str("reason", item.Reason).Msg("claim_refused")
		}
	}
}

// chooseResources tells the holder which resources to claim. The preferred holders are worked out again only if the
// configuration, the instance list or the set of live instances changed; the caller holds the lock.
func (c *Controller) chooseResources(now time.Time) {
	o := &c.ownership
	members := c.table.Version()
	revision, listRevision := c.revisions()
	if o.resources == nil || o.revision != revision {
		o.resources = lease.Describe(c.index)
	}
	if o.wanted == nil || o.revision != revision || o.listRevision != listRevision || o.memberVersion != members {
		o.wanted = c.preferredResources(c.table.Live())
		o.revision, o.listRevision, o.memberVersion = revision, listRevision, members
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
			c.giveUpLater(now, resource)
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

// giveUpLater drops a resource once another instance has been preferred for handOffDelay. A leaving instance keeps its
// leases until its gateway is done.
func (c *Controller) giveUpLater(now time.Time, resource string) {
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

// reconcile opens accounts for leases that were acquired and discards those of ended ones; the caller holds the lock.
func (c *Controller) reconcile(now time.Time) {
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
	if existing := c.accounts[name]; existing != nil && existing.acquired.Equal(held.AcquiredAt) {
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
		endpoint:  endpoint,
		acquired:  held.AcquiredAt,
		cancelled: make(map[string]time.Time),
	}
	c.log.Info().Str("endpoint", name).Str("domain", endpoint.Domain).Int64("fence", held.AcquiredWallMS).
		Msg("owner_acquired")
}

// limits returns a service's limits with the team weights that all accounts share: with thousands of teams a map of its
// own for each account would be the largest part of the process's memory. The caller holds the lock.
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

// applyLimits passes a new configuration on to the accounts; the caller holds the lock.
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
