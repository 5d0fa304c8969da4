package controller

import (
	"context"
	"strings"
	"time"

	"github.com/acacialift/acacialift/internal/lease"
	"github.com/acacialift/acacialift/internal/peer"
)

const (
	summaryInterval = time.Second
	summaryTimeout  = time.Second
	// sameRegionRefresh and otherRegionsRefresh are the times after which an unchanged resource is sent again to
	// controllers of the same region and of other regions, because a message may have been lost. Each controller receives
	// every resource once in this time, which at 600 endpoints is the largest part of its traffic.
	sameRegionRefresh   = 15 * time.Second
	otherRegionsRefresh = 30 * time.Second
	// loadChangeRatio is the fraction by which free capacity or the queue must change to be sent before the refresh.
	// Gateways get the exact figures with each reply of the owner.
	loadChangeRatio = 0.25
	// queueTolerance is the change of queued prompt tokens up to which a gateway's choice stays the same.
	queueTolerance = 8_000
)

// loadChanged reports whether an endpoint's current summary differs from the one last sent by so much that gateways may
// choose another endpoint.
func loadChanged(sent, current *peer.EndpointSummary) bool {
	return sent.State != current.State || sent.Owner != current.Owner || sent.LongPrefills != current.LongPrefills ||
		amountChanged(int64(sent.FreeStreams), int64(current.FreeStreams), 0) ||
		amountChanged(sent.FreeTokens, current.FreeTokens, 0) ||
		amountChanged(sent.QueuedTokens, current.QueuedTokens, queueTolerance)
}

// amountChanged reports whether an amount changed by more than the tolerance and by more than loadChangeRatio. The ratio
// does not apply to a change to or from zero.
func amountChanged(sent, current, tolerance int64) bool {
	difference := max(sent-current, current-sent)
	if difference <= tolerance {
		return false
	}
	return sent <= 0 || current <= 0 || float64(difference) > loadChangeRatio*float64(sent)
}

// deltaTracker computes the changes of this instance's resources that a group of controllers has not been sent yet.
type deltaTracker struct {
	// refreshInterval is the time after which an unchanged resource is sent again.
	refreshInterval time.Duration
	// sendsLoad is true if changes of an endpoint's load are sent before the refresh.
	sendsLoad bool
	sent      map[string]sentEntry
}

type sentEntry struct {
	summary peer.EndpointSummary
	sentAt  time.Time
}

func newDeltaTracker(refreshInterval time.Duration, sendsLoad bool) *deltaTracker {
	return &deltaTracker{refreshInterval: refreshInterval, sendsLoad: sendsLoad, sent: make(map[string]sentEntry)}
}

// delta returns the summary to send to the group now and records it as sent. It returns nil if nothing is to be sent.
func (d *deltaTracker) delta(now time.Time, current *peer.Summary) *peer.Summary {
	delta := &peer.Summary{Owner: current.Owner}
	held := make(map[string]bool, len(current.Endpoints)+len(current.KeySlots))
	for _, endpoint := range current.Endpoints {
		resource := lease.EndpointResource(endpoint.Endpoint)
		held[resource] = true
		last, known := d.sent[resource]
		changed := d.sendsLoad && loadChanged(&last.summary, &endpoint)
		if !known || changed || now.Sub(last.sentAt) >= d.refreshInterval {
			d.sent[resource] = sentEntry{summary: endpoint, sentAt: now}
			delta.Endpoints = append(delta.Endpoints, endpoint)
		}
	}
	for _, resource := range current.KeySlots {
		held[resource] = true
		if last, known := d.sent[resource]; !known || now.Sub(last.sentAt) >= d.refreshInterval {
			d.sent[resource] = sentEntry{sentAt: now}
			delta.KeySlots = append(delta.KeySlots, resource)
		}
	}
	for resource := range d.sent {
		if !held[resource] {
			delete(d.sent, resource)
			delta.Gone = append(delta.Gone, resource)
		}
	}
	if len(delta.Endpoints)+len(delta.KeySlots)+len(delta.Gone) == 0 {
		return nil
	}
	return delta
}

// summaries records which resources the other controllers have been sent.
type summaries struct {
	sameRegion   *deltaTracker
	otherRegions *deltaTracker
	// syncedIncarnation maps the name of a controller to its latest incarnation that was sent all resources.
	syncedIncarnation map[string]int64
}

func newSummaries() *summaries {
	return &summaries{
		sameRegion:        newDeltaTracker(sameRegionRefresh, true),
		otherRegions:      newDeltaTracker(otherRegionsRefresh, false),
		syncedIncarnation: make(map[string]int64),
	}
}

func (c *Controller) serveSummaries(ctx context.Context) error {
	return runEvery(ctx, summaryInterval, c.sendSummaries)
}

// addressedSummary is a summary for one controller.
type addressedSummary struct {
	name    string
	address string
	summary *peer.Summary
}

// sendSummaries sends the other controllers the changes of the resources that this instance holds.
func (c *Controller) sendSummaries(ctx context.Context) {
	now := time.Now()
	c.mu.Lock()
	outgoing := c.outgoingSummaries(now)
	c.mu.Unlock()
	frames := make(map[*peer.Summary][]byte)
	for i := range outgoing {
		summary := outgoing[i].summary
		if frames[summary] == nil {
			frame, err := peer.EncodeFrame(peer.KindSummary, 0, false, summary)
			if err != nil {
				c.log.Error().Err(err).Msg("summary_not_encoded")
				return
			}
			frames[summary] = frame
		}
		go c.sendSummary(ctx, &outgoing[i], frames[summary])
	}
}

// outgoingSummaries updates the local board and returns the summaries to send; the caller holds the lock. A controller that
// was restarted or unreachable is sent all resources.
func (c *Controller) outgoingSummaries(now time.Time) []addressedSummary {
	current := c.localSummary(now)
	sameRegion, otherRegions := c.summaries.sameRegion.delta(now, current), c.summaries.otherRegions.delta(now, current)
	live := make(map[string]bool)
	var outgoing []addressedSummary
	for _, m := range c.table.Members() {
		name := m.Instance.Name
		if m.State == peer.MemberDead {
			delete(c.summaries.syncedIncarnation, name)
			continue
		}
		live[name] = true
		if name == c.settings.Instance {
			continue
		}
		summary := otherRegions
		if m.Instance.Region == c.settings.Region {
			summary = sameRegion
		}
		if incarnation, known := c.summaries.syncedIncarnation[name]; !known || incarnation != m.Incarnation {
			c.summaries.syncedIncarnation[name] = m.Incarnation
			summary = current
		}
		if summary != nil && len(summary.Endpoints)+len(summary.KeySlots)+len(summary.Gone) > 0 {
			outgoing = append(outgoing, addressedSummary{name: name, address: m.Instance.PeerAddress, summary: summary})
		}
	}
	c.board.apply(now, current)
	if sameRegion != nil {
		c.board.apply(now, &peer.Summary{Owner: current.Owner, Gone: sameRegion.Gone})
	}
	c.board.expire(now, live)
	return outgoing
}

func (c *Controller) sendSummary(ctx context.Context, outgoing *addressedSummary, frame []byte) {
	ctx, cancel := context.WithTimeout(ctx, summaryTimeout)
	defer cancel()
	if err := c.node.SendFrame(ctx, outgoing.address, frame); err != nil {
		// The next round sends the controller all resources.
		c.mu.Lock()
		delete(c.summaries.syncedIncarnation, outgoing.name)
		c.mu.Unlock()
	}
}

// localSummary lists the accounts and key slots of this instance; the caller holds the lock.
func (c *Controller) localSummary(now time.Time) *peer.Summary {
	summary := &peer.Summary{Owner: c.settings.Instance}
	for _, resource := range c.holder.Wanted() {
		if _, held := c.holder.Holds(now, resource); !held {
			continue
		}
		name, isEndpoint := strings.CutPrefix(resource, lease.EndpointResource(""))
		if !isEndpoint {
			summary.KeySlots = append(summary.KeySlots, resource)
		} else if owned := c.accounts[name]; owned != nil {
			entry := owned.account.Summary(now)
			entry.Owner = ""
			summary.Endpoints = append(summary.Endpoints, entry)
		}
	}
	return summary
}
