package gateway

import (
	"time"

	"github.com/acacialift/acacialift/internal/peer"
)

// Address returns the address for callers.
func (g *Gateway) Address() string { return g.server.Address() }

// Revision returns the configuration revision in force, or 0 before the first view.
func (g *Gateway) Revision() uint64 {
	current := g.views.current.Load()
	if current == nil || current.index == nil {
		return 0
	}
	return current.index.Revision()
}

// SetOwner replaces the owner of an endpoint in the gateway's current view until the next view arrives.
func (g *Gateway) SetOwner(endpoint, address string) error {
	owner := peer.OwnerView{Resource: endpointPrefix + endpoint, Instance: "other", Address: address}
	return g.views.apply(time.Now(), peer.View{Version: g.views.current.Load().version + 1, Owners: []peer.OwnerView{owner}})
}

// WithMaxTokens is withMaxTokens.
var WithMaxTokens = withMaxTokens

// SetUnresponsiveAfter changes the time after the dispatch from which a missed deadline is a failure of the endpoint.
func (g *Gateway) SetUnresponsiveAfter(d time.Duration) { g.unresponsiveAfter = d }

// Priority is priority.
var Priority = priority
