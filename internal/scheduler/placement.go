package scheduler

import (
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/peer"
)

// Placement is a request that a scheduler has placed.
type Placement struct {
	client    *Client
	scheduler string
	shard     Shard
	number    load.Number
}

// PrefillDone informs the scheduler that the prefill is done.
func (p *Placement) PrefillDone() { p.notify(false) }

// End informs the scheduler that the request has ended.
func (p *Placement) End() { p.notify(true) }

func (p *Placement) notify(ended bool) {
	if p == nil {
		return
	}
	c := p.client
	switch {
	case p.scheduler != c.options.Self:
		c.send(p.scheduler, peer.KindPlaceUpdate, peer.PlaceUpdate{
			From: c.options.Self, Number: uint64(p.number), Shard: p.shard.message(), Ended: ended,
		})
	case ended:
		c.options.Local.End(p.shard, c.options.Self, p.number)
	default:
		c.options.Local.PrefillDone(p.shard, c.options.Self, p.number)
	}
}
