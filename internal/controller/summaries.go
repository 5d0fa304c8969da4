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
	// nearRefresh and farRefresh are the times after which an unchanged resource is told again to controllers of the
	// same and of other regions. They repair what a lost message left behind; each daemon receives every resource once
	// in this time, which at 600 endpoints is the largest part of its traffic.
	nearRefresh = 15 * time.Second
	farRefresh  = 30 * time.Second
	// loadRatio is the part by which free or queued work must change to be told before the refresh. Gateways learn the
	// exact figures with each reply of the owner.
	loadRatio = 0.25
	// queueNoise is the change of queued prompt tokens that makes no difference to a gateway's choice.
	queueNoise = 8_000
)

// loadChanged tells whether an endpoint's figures differ so much from those that were told that gateways would choose
// differently.
func loadChanged(told, current *peer.EndpointSummary) bool {
	return told.State != current.State || told.Owner != current.Owner || told.LongPrefills != current.LongPrefills ||
		amountChanged(int64(told.FreeStreams), int64(current.FreeStreams), 0) ||
		amountChanged(told.FreeTokens, current.FreeTokens, 0) ||
		amountChanged(told.QueuedTokens, current.QueuedTokens, queueNoise)
}

// amountChanged compares two amounts. The step to or from zero always counts unless it is noise.
func amountChanged(told, current, noise int64) bool {
	difference := max(told-current, current-told)
	if difference <= noise {
		return false
	}
	return told <= 0 || current <= 0 || float64(difference) > loadRatio*float64(told)
}

// outbox remembers what a group of controllers was told of this instance's resources.
type outbox struct {
	// refresh is the time after which an unchanged resource is told again.
	refresh time.Duration
	// load is true if changes of an endpoint's load are told before the refresh.
	load bool
	told map[string]toldEntry
}

type toldEntry struct {
	summary peer.EndpointSummary
	at      time.Time
}

func newOutbox(refresh time.Duration, load bool) *outbox {
	return &outbox{refresh: refresh, load: load, told: make(map[string]toldEntry)}
}

// delta returns what to tell the group now, or nil.
func (o *outbox) delta(now time.Time, current *peer.Summary) *peer.Summary {
	delta := &peer.Summary{Owner: current.Owner}
	held := make(map[string]bool, len(current.Endpoints)+len(current.KeySlots))
	for _, endpoint := range current.Endpoints {
		resource := lease.EndpointResource(endpoint.Endpoint)
		held[resource] = true
		told, known := o.told[resource]
		changed := o.load && loadChanged(&told.summary, &endpoint)
		if !known || changed || now.Sub(told.at) >= o.refresh {
			o.told[resource] = toldEntry{summary: endpoint, at: now}
			delta.Endpoints = append(delta.Endpoints, endpoint)
		}
	}
	for _, resource := range current.KeySlots {
		held[resource] = true
		if told, known := o.told[resource]; !known || now.Sub(told.at) >= o.refresh {
			o.told[resource] = toldEntry{at: now}
			delta.KeySlots = append(delta.KeySlots, resource)
		}
	}
	for resource := range o.told {
		if !held[resource] {
			delete(o.told, resource)
			delta.Gone = append(delta.Gone, resource)
		}
	}
	if len(delta.Endpoints)+len(delta.KeySlots)+len(delta.Gone) == 0 {
		return nil
	}
	return delta
}

// summaries is the state of sending summaries.
type summaries struct {
	near *outbox
	far  *outbox
	// introduced maps a controller to the incarnation that was told all resources.
	introduced map[string]int64
}

func newSummaries() *summaries {
	return &summaries{
		near: newOutbox(nearRefresh, true), far: newOutbox(farRefresh, false), introduced: make(map[string]int64),
	}
}

func (c *Controller) serveSummaries(ctx context.Context) error {
	return every(ctx, summaryInterval, c.sendSummaries)
}

// addressed is a summary for one controller.
type addressed struct {
	name    string
	address string
	summary *peer.Summary
}

// sendSummaries tells the other controllers what changed among the resources that this instance holds.
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

// outgoingSummaries updates the own board and returns what to send; the caller holds the lock. A controller that
// started, or was out of reach, is told everything.
func (c *Controller) outgoingSummaries(now time.Time) []addressed {
	current := c.ownSummary(now)
	near, far := c.summaries.near.delta(now, current), c.summaries.far.delta(now, current)
	live := make(map[string]bool)
	var outgoing []addressed
	for _, m := range c.table.Members() {
		name := m.Instance.Name
		if m.State == peer.MemberDead {
			delete(c.summaries.introduced, name)
			continue
		}
		live[name] = true
		if name == c.settings.Instance {
			continue
		}
		summary := far
		if m.Instance.Region == c.settings.Region {
			summary = near
		}
		if incarnation, known := c.summaries.introduced[name]; !known || incarnation != m.Incarnation {
			c.summaries.introduced[name] = m.Incarnation
			summary = current
		}
		if summary != nil && len(summary.Endpoints)+len(summary.KeySlots)+len(summary.Gone) > 0 {
			outgoing = append(outgoing, addressed{name: name, address: m.Instance.PeerAddress, summary: summary})
		}
	}
	c.board.put(now, current)
	if near != nil {
		c.board.put(now, &peer.Summary{Owner: current.Owner, Gone: near.Gone})
	}
	c.board.expire(now, live)
	return outgoing
}

func (c *Controller) sendSummary(ctx context.Context, outgoing *addressed, frame []byte) {
	ctx, cancel := context.WithTimeout(ctx, summaryTimeout)
	defer cancel()
	if err := c.node.SendFrame(ctx, outgoing.address, frame); err != nil {
		// The controller is told everything again.
		c.mu.Lock()
		delete(c.summaries.introduced, outgoing.name)
		c.mu.Unlock()
	}
}

// ownSummary lists the accounts and key slots of this instance; the caller holds the lock.
func (c *Controller) ownSummary(now time.Time) *peer.Summary {
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
