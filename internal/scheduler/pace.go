package scheduler

import (
	"time"

	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/placement"
)

// Observation is what an instance has observed of the endpoints of a request. Zero values are not observed.
type Observation struct {
	// First is the time from the sending of the request to its first event.
	First time.Duration
	// Pause is a low quantile of the latest pauses between events.
	Pause time.Duration
	// Failed is true if the request failed at its primary endpoint.
	Failed bool
}

func observationOf(m *peer.PlaceUpdateExtension) Observation {
	return Observation{First: microseconds(m.FirstUS), Pause: microseconds(m.PauseUS), Failed: m.Failed}
}

// Observe sets what the next update reports to the scheduler.
func (p *Placement) Observe(o Observation) {
	if p != nil {
		p.observed = o
	}
}

// Report reports an observation of a request that goes on.
func (p *Placement) Report(o Observation) {
	if p != nil {
		p.observed = o
		p.notify(false)
	}
}

func (p *Placement) takeObserved() Observation {
	observed := p.observed
	p.observed = Observation{}
	return observed
}

// update returns the message of an update. It has an extension only if there is an observation, and is sent by its address only
// then.
func (p *Placement) update(ended bool) any {
	m := peer.PlaceUpdate{From: p.client.options.Self, Number: uint64(p.number), Shard: p.shard.message(), Ended: ended}
	observed := p.takeObserved()
	if observed == (Observation{}) {
		return m
	}
	m.Extension = peer.PlaceUpdateExtension{
		FirstUS: observed.First.Microseconds(), PauseUS: observed.Pause.Microseconds(), Failed: observed.Failed,
	}
	return &m
}

// paces reports whether the pace of the service's endpoints is tracked.
func (s *Scheduler) paces(v *shardView) bool {
	return s.options.Pace != nil && s.options.PaceMode.Enabled(v.snapshot.Catalog, v.service.Name)
}

// trackPace records a placed request, so that its answers are compared with the prediction.
func (s *Scheduler) trackPace(v *shardView, p *placedRequest, choice *placement.Choice, now time.Time) {
	if s.paces(v) {
		p.engine, p.primary = v.service.Engine, choice.Primary.Key()
		p.pace = s.options.Pace.Place(choice.Shares(), choice.Part, true, now)
	}
}

// Observe applies what an instance has observed of a request that this scheduler placed.
func (s *Scheduler) Observe(shard Shard, from string, number load.Number, o Observation, now time.Time) {
	if s.options.Pace == nil || o == (Observation{}) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.find(shard, from, number)
	if p == nil || p.pace == nil {
		return
	}
	if o.First > 0 {
		p.pace.FirstEvent(o.First, now)
	}
	if o.Pause > 0 {
		totals, _ := s.shards[shard].tracker.Totals(now)
		e := totals.Entries[p.primary]
		p.pace.Pauses(p.engine.PassTime(max(e.Streams, 1), e.UsedTokens), o.Pause, now)
	}
	if o.Failed {
		p.pace.Failed(now)
	}
}
