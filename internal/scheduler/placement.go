package scheduler

import (
	"time"

	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/peer"
)

// Placement is a request that a scheduler has placed.
type Placement struct {
	client    *Client
	scheduler string
	shard     Shard
	number    load.Number
	observed  Observation
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
	if p.scheduler == c.options.Self {
		c.options.Local.Observe(p.shard, c.options.Self, p.number, p.takeObserved(), time.Now())
	}
	switch {
	case p.scheduler != c.options.Self:
		c.send(p.scheduler, peer.KindPlaceUpdate, p.update(ended))
	case ended:
		c.options.Local.End(p.shard, c.options.Self, p.number)
	default:
		c.options.Local.PrefillDone(p.shard, c.options.Self, p.number)
	}
}
