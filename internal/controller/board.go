package controller

import (
	"time"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/lease"
	"github.com/acacialift/acacialift/internal/peer"
)

const (
	// ownerExpiry is the time after which an owner that sent no summary is not named to the gateway any more. It allows
	// for two lost refreshes by an owner of another region.
	ownerExpiry = 3 * farRefresh
	// versionBits leaves room below the incarnation in the versions of a board, so that a gateway never takes a version
	// of an earlier run for one of the present run.
	versionBits = 20
)

// board holds what owners said last. It only tells the gateway whom to ask; an owner checks its lease itself.
type board struct {
	version uint64
	// base is the lowest version from which a gateway can continue with changes only.
	base      uint64
	endpoints map[string]boardEntry
	owners    map[string]boardOwner
	// live names the instances that are listed and not dead; nil until it is known.
	live map[string]bool
}

type boardEntry struct {
	summary peer.EndpointSummary
	at      time.Time
	// shown is the summary that the gateway gets, of the given version.
	shown   peer.EndpointSummary
	version uint64
}

type boardOwner struct {
	instance string
	at       time.Time
	// gone is true once the owner said that it holds the resource no longer.
	gone bool
	// hidden is true while the gateway is told that no owner is known.
	hidden  bool
	version uint64
}

func newBoard(incarnation int64) *board {
	version := uint64(incarnation) << versionBits
	return &board{
		version: version, base: version, endpoints: make(map[string]boardEntry), owners: make(map[string]boardOwner),
	}
}

// touch makes the next view differ from the ones before.
func (b *board) touch() uint64 {
	b.version++
	return b.version
}

// restart makes the next view a full one.
func (b *board) restart() { b.base = b.touch() }

// put takes over an owner's summary.
func (b *board) put(now time.Time, s *peer.Summary) {
	for _, endpoint := range s.Endpoints {
		endpoint.Owner = s.Owner
		b.setOwner(now, lease.EndpointResource(endpoint.Endpoint), s.Owner)
		entry, known := b.endpoints[endpoint.Endpoint]
		entry.summary, entry.at = endpoint, now
		if !known || loadChanged(&entry.shown, &endpoint) {
			entry.shown, entry.version = endpoint, b.touch()
		}
		b.endpoints[endpoint.Endpoint] = entry
	}
	for _, resource := range s.KeySlots {
		b.setOwner(now, resource, s.Owner)
	}
	for _, resource := range s.Gone {
		if owner, known := b.owners[resource]; known && owner.instance == s.Owner {
			owner.gone = true
			b.owners[resource] = b.judge(now, owner)
		}
	}
}

func (b *board) setOwner(now time.Time, resource, instance string) {
	owner := b.owners[resource]
	if owner.instance != instance {
		owner = boardOwner{instance: instance, version: b.touch()}
	}
	owner.at, owner.gone = now, false
	b.owners[resource] = b.judge(now, owner)
}

// judge decides whether the gateway is told of an owner.
func (b *board) judge(now time.Time, owner boardOwner) boardOwner {
	dead := b.live != nil && !b.live[owner.instance]
	hidden := dead || owner.gone || now.Sub(owner.at) > ownerExpiry
	if hidden != owner.hidden {
		owner.hidden, owner.version = hidden, b.touch()
	}
	return owner
}

// expire hides owners that are dead or have been silent, and shows those that returned.
func (b *board) expire(now time.Time, live map[string]bool) {
	b.live = live
	for resource, owner := range b.owners {
		if judged := b.judge(now, owner); judged != owner {
			b.owners[resource] = judged
		}
	}
}

// prune forgets the resources that a configuration does not have.
func (b *board) prune(index *config.Index) {
	resources := lease.Describe(index)
	for resource := range b.owners {
		if _, ok := resources[resource]; !ok {
			delete(b.owners, resource)
		}
	}
	for name := range b.endpoints {
		if index.Endpoint(name) == nil {
			delete(b.endpoints, name)
		}
	}
}

// changes adds to a view what changed since the version that the gateway has. An owner without an address is shown as
// none.
func (b *board) changes(asked uint64, view *peer.View, address func(instance string) string) {
	view.Version = b.version
	if asked == b.version {
		return
	}
	view.Full = asked < b.base || asked > b.version
	for resource, owner := range b.owners {
		if !view.Full && owner.version <= asked {
			continue
		}
		entry := peer.OwnerView{Resource: resource}
		if !owner.hidden {
			entry.Instance, entry.Address = owner.instance, address(owner.instance)
		}
		if view.Full && entry.Address == "" {
			continue
		}
		view.Owners = append(view.Owners, entry)
	}
	for _, entry := range b.endpoints {
		if view.Full || entry.version > asked {
			view.Summary = append(view.Summary, entry.shown)
		}
	}
}

// view answers the instance's gateway; the caller holds the lock.
func (c *Controller) view(ask *peer.ViewRequest) peer.View {
	view := peer.View{Version: ask.Version, Draining: c.table.Leaving()}
	if c.index == nil {
		return view
	}
	view.Revision = c.index.Revision()
	if ask.Revision != view.Revision {
		view.Document = c.documents.bytes(peer.SubjectConfig)
	}
	c.board.changes(ask.Version, &view, c.peerAddress)
	return view
}
