package scheduler

import (
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
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

// placedPace is what an observation of a placed request is compared with. It is zero if the pace of its service is not tracked.
type placedPace struct {
	engine *fleet.Engine
	// endpoints holds the primary endpoint and the helpers.
	endpoints []uint32
	// predicted is the time to the first event that the model predicted, without the slowdown of the endpoints.
	predicted time.Duration
	// overtaken is true if an engine prefills a part of a later prompt first, or had such a request before this one. The
	// prediction does not hold then.
	overtaken bool
	done      bool
}

// paces reports whether the pace of the service's endpoints is tracked.
func (s *Scheduler) paces(snapshot *fleet.Snapshot, service *fleet.Service) bool {
	return s.options.Pace != nil && s.options.PaceMode.Enabled(snapshot.Catalog.IsRanked(service.Name))
}

// trackPace records what the first event of a placed request is compared with. Engines prefill parts of split prompts before all
// other prompts.
func (s *Scheduler) trackPace(
	snapshot *fleet.Snapshot, service *fleet.Service, state *shardState, p *placedRequest, choice *placement.Choice, now time.Time,
) {
	if !s.paces(snapshot, service) {
		return
	}
	tracked := placedPace{engine: service.Engine, endpoints: append([]uint32{choice.Primary.Key()}, keysOf(choice.Helpers)...)}
	slowdown := 1.0
	for _, endpoint := range tracked.endpoints {
		slowdown = max(slowdown, s.options.Pace.Slowdown(endpoint, now))
	}
	tracked.predicted = time.Duration(float64(choice.Predicted) / slowdown)
	isSplit := len(choice.Helpers) > 0
	for _, other := range state.requests {
		if other == p || other.pace.done || !overlaps(other.pace.endpoints, tracked.endpoints) {
			continue
		}
		if isSplit {
			other.pace.overtaken = true
			continue
		}
		tracked.overtaken = tracked.overtaken || other.pace.overtaken
	}
	p.pace = tracked
}

func overlaps(a, b []uint32) bool {
	for _, x := range a {
		for _, y := range b {
			if x == y {
				return true
			}
		}
	}
	return false
}

// Observe applies what an instance has observed of a request that this scheduler placed.
func (s *Scheduler) Observe(shard Shard, from string, number load.Number, o Observation, now time.Time) {
	if s.options.Pace == nil || o == (Observation{}) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.find(shard, from, number)
	if p == nil || p.pace.engine == nil {
		return
	}
	primary := p.pace.endpoints[0]
	if o.First > 0 && !p.pace.done {
		p.pace.done = true
		if !p.pace.overtaken || o.First <= p.pace.predicted {
			s.options.Pace.ObserveGroup(p.pace.endpoints, p.pace.predicted, o.First, now)
		}
	}
	if o.Pause > 0 {
		totals, _ := s.shards[shard].tracker.Totals(now)
		e := totals.Entries[primary]
		s.options.Pace.ObservePauses(primary, p.pace.engine.PassTime(max(e.Streams, 1), e.UsedTokens), o.Pause, now)
	}
	if o.Failed {
		s.options.Pace.Failed(primary, now)
	}
}
