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
	// ownerExpiry is the time after which an owner that sent no summary is not named to the gateway any more.
	ownerExpiry = 3 * time.Second
)

// board holds what owners said last. It only tells the gateway whom to ask; an owner checks its lease itself.
type board struct {
	version   uint64
	endpoints map[string]boardEntry
	owners    map[string]boardOwner
}

type boardEntry struct {
	summary peer.EndpointSummary
	at      time.Time
	version uint64
}

type boardOwner struct {
	instance string
	at       time.Time
}

func newBoard() *board {
	return &board{version: 1, endpoints: make(map[string]boardEntry), owners: make(map[string]boardOwner)}
}

// touch makes the next view differ from the ones before.
func (b *board) touch() { b.version++ }

// put takes over an owner's summary.
func (b *board) put(now time.Time, s *peer.Summary) {
	for _, endpoint := range s.Endpoints {
		b.setOwner(now, lease.EndpointResource(endpoint.Endpoint), s.Owner)
		old, known := b.endpoints[endpoint.Endpoint]
		entry := boardEntry{summary: endpoint, at: now, version: old.version}
		if !known || old.summary != endpoint {
			b.touch()
			entry.version = b.version
		}
		b.endpoints[endpoint.Endpoint] = entry
	}
	for _, resource := range s.KeySlots {
		b.setOwner(now, resource, s.Owner)
	}
}

func (b *board) setOwner(now time.Time, resource, owner string) {
	if b.owners[resource].instance != owner {
		b.touch()
	}
	b.owners[resource] = boardOwner{instance: owner, at: now}
}

// expire forgets owners that have been silent.
func (b *board) expire(now time.Time) {
	for resource, owner := range b.owners {
		if now.Sub(owner.at) > ownerExpiry {
			delete(b.owners, resource)
			b.touch()
		}
	}
}

func (c *Controller) serveSummaries(ctx context.Context) error {
	return every(ctx, summaryInterval, c.sendSummaries)
}

// sendSummaries tells the other controllers what this instance owns.
func (c *Controller) sendSummaries(ctx context.Context) {
	now := time.Now()
	c.mu.Lock()
	summary := c.ownSummary(now)
	c.board.put(now, summary)
	c.board.expire(now)
	members := c.table.Members()
	c.mu.Unlock()
	if len(summary.Endpoints) == 0 && len(summary.KeySlots) == 0 {
		return
	}
	for _, m := range members {
		if m.Instance.Name == c.settings.Instance || m.State == peer.MemberDead {
			continue
		}
		go c.sendSummary(ctx, m.Instance.PeerAddress, summary)
	}
}

func (c *Controller) sendSummary(ctx context.Context, address string, summary *peer.Summary) {
	ctx, cancel := context.WithTimeout(ctx, summaryTimeout)
	defer cancel()
	// A lost summary is replaced by the next one.
	_ = c.node.Send(ctx, address, peer.KindSummary, summary)
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
			summary.Endpoints = append(summary.Endpoints, owned.account.Summary(now))
		}
	}
	return summary
}

// view answers the instance's gateway; the caller holds the lock.
func (c *Controller) view(now time.Time, ask *peer.ViewAsk) peer.View {
	view := peer.View{Version: c.board.version, Draining: c.table.Leaving()}
	if c.index == nil {
		return view
	}
	view.Revision = c.index.Revision()
	if ask.Revision != view.Revision {
		view.Document = c.documents.bytes(peer.SubjectConfig)
	}
	if ask.Version == view.Version {
		return view
	}
	for resource, owner := range c.board.owners {
		if address := c.peerAddress(owner.instance); address != "" {
			view.Owners = append(view.Owners, peer.OwnerView{
				Resource: resource, Instance: owner.instance, Address: address,
			})
		}
	}
	for _, entry := range c.board.endpoints {
		if entry.version > ask.Version && now.Sub(entry.at) <= ownerExpiry {
			view.Summary = append(view.Summary, entry.summary)
		}
	}
	return view
}
