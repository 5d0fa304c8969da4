package controller

import (
	"time"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/lease"
	"github.com/acacialift/acacialift/internal/peer"
)

const (
	// ownerExpiry is the time after the last summary for a resource after which its owner is hidden from the gateway. It
	// tolerates two lost refreshes of an owner in another region.
	ownerExpiry = 3 * otherRegionsRefresh
	// versionBits is the number of low bits in a version that count changes; the bits above are the controller's incarnation.
	// The incarnation keeps a gateway from mistaking a version of an earlier run of the controller for one of the current run.
	versionBits = 20
)

// board holds the latest summaries of the owners of resources. The gateway uses it only to find the owner of a resource;
// the owner itself checks that its lease is valid.
type board struct {
	version uint64
	// base is the lowest version since which a view can list changes; a gateway with a lower version gets a full view.
	base      uint64
	endpoints map[string]boardEntry
	owners    map[string]boardOwner
	// live contains the instances that are listed and not dead; it is nil until they are known.
	live map[string]bool
}

type boardEntry struct {
	summary    peer.EndpointSummary
	receivedAt time.Time
	// viewSummary is the summary in the gateway's view; version is the board's version at its last change.
	viewSummary peer.EndpointSummary
	version     uint64
}

type boardOwner struct {
	instance   string
	receivedAt time.Time
	// released is true once the owner reported that it no longer holds the resource.
	released bool
	// hidden is true while the gateway's view shows no owner for the resource.
	hidden bool
	// version is the board's version at the last change of instance or hidden.
	version uint64
}

func newBoard(incarnation int64) *board {
	version := uint64(incarnation) << versionBits
	return &board{
		version: version, base: version, endpoints: make(map[string]boardEntry), owners: make(map[string]boardOwner),
	}
}

// bumpVersion increases the version and returns it.
func (b *board) bumpVersion() uint64 {
	b.version++
	return b.version
}

// restart makes the next view a full view.
func (b *board) restart() { b.base = b.bumpVersion() }

// apply stores an owner's summary.
func (b *board) apply(now time.Time, s *peer.Summary) {
	for _, endpoint := range s.Endpoints {
		endpoint.Owner = s.Owner
		b.setOwner(now, lease.EndpointResource(endpoint.Endpoint), s.Owner)
		entry, known := b.endpoints[endpoint.Endpoint]
		entry.summary, entry.receivedAt = endpoint, now
		if !known || loadChanged(&entry.viewSummary, &endpoint) {
			entry.viewSummary, entry.version = endpoint, b.bumpVersion()
		}
		b.endpoints[endpoint.Endpoint] = entry
	}
	for _, resource := range s.KeySlots {
		b.setOwner(now, resource, s.Owner)
	}
	for _, resource := range s.Gone {
		if owner, known := b.owners[resource]; known && owner.instance == s.Owner {
			owner.released = true
			b.owners[resource] = b.updateVisibility(now, owner)
		}
	}
}

func (b *board) setOwner(now time.Time, resource, instance string) {
	owner := b.owners[resource]
	if owner.instance != instance {
		owner = boardOwner{instance: instance, version: b.bumpVersion()}
	}
	owner.receivedAt, owner.released = now, false
	b.owners[resource] = b.updateVisibility(now, owner)
}

// updateVisibility returns the owner with hidden set according to its state.
func (b *board) updateVisibility(now time.Time, owner boardOwner) boardOwner {
	dead := b.live != nil && !b.live[owner.instance]
	hidden := dead || owner.released || now.Sub(owner.receivedAt) > ownerExpiry
	if hidden != owner.hidden {
		owner.hidden, owner.version = hidden, b.bumpVersion()
	}
	return owner
}

// expire hides owners that are dead or whose last summary is too old, and shows owners that are reachable again.
func (b *board) expire(now time.Time, live map[string]bool) {
	b.live = live
	for resource, owner := range b.owners {
		if updated := b.updateVisibility(now, owner); updated != owner {
			b.owners[resource] = updated
		}
	}
}

// prune removes the resources that the configuration does not contain.
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

// addChanges adds the changes since the gateway's version to a view, or the full board if that version is unknown. An owner
// without an address is treated as hidden.
func (b *board) addChanges(since uint64, view *peer.View, address func(instance string) string) {
	view.Version = b.version
	if since == b.version {
		return
	}
	view.Full = since < b.base || since > b.version
	for resource, owner := range b.owners {
		if !view.Full && owner.version <= since {
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
		if view.Full || entry.version > since {
			view.Summary = append(view.Summary, entry.viewSummary)
		}
	}
}

// viewFor returns the view for the instance's gateway; the caller holds the lock.
func (c *Controller) viewFor(request *peer.ViewRequest) peer.View {
	view := peer.View{Version: request.Version, Draining: c.table.Leaving()}
	if c.index == nil {
		return view
	}
	view.Revision = c.index.Revision()
	if request.Revision != view.Revision {
		view.Document = c.documents.bytes(peer.SubjectConfig)
	}
	c.board.addChanges(request.Version, &view, c.peerAddress)
	return view
}
