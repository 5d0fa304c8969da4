package controller

import (
	"time"

	"github.com/acacialift/acacialift/internal/lease"
	"github.com/acacialift/acacialift/internal/peer"
)

type ownedSlot struct{}

func (c *Controller) openSlot(string, *lease.Lease) {}
func (c *Controller) closeSlots(time.Time)          {}

func (c *Controller) handleKeyClaim(peer.Hello, *peer.KeyClaim) any {
	return peer.KeyReply{Verdict: peer.KeyRefused}
}
func (c *Controller) handleKeyEnd(*peer.KeyEnd) any { return peer.Ack{} }
