package entry

import (
	"context"
	"time"

	"github.com/acacialift/acacialift/internal/clock"
	"github.com/acacialift/acacialift/internal/limit"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/placement"
	"github.com/acacialift/acacialift/internal/scheduler"
)

const (
	// placeInterval is the pause between two tries to place a waiting request.
	placeInterval = 10 * time.Millisecond
	// acquaintTime is how long after its start an instance expects to hear from others. One that hears from none later on
	// takes its own work for all.
	acquaintTime = 3 * time.Second
	// askInterval is the pause between two tries of a request that schedulers have no room for.
	askInterval = 25 * time.Millisecond
	// shardsAsked is the number of shards whose schedulers are asked in one try.
	shardsAsked = 3
	// lots is the number of different random numbers that a request may draw for its placement.
	lots = 1 << 16
)

// placed is a place for one attempt.
type placed struct {
	placement.Choice
	number load.Number
	// grant is nil unless a scheduler has placed the attempt; scheduler names it then.
	grant     *scheduler.Placement
	scheduler string
	// asked is the boot-time at which the scheduler was asked.
	asked   time.Duration
	askTook time.Duration
}

// place chooses endpoints, and waits a moment for room. It returns a refusal if there is none.
func (x *exchange) place(ctx context.Context) (placed, *placement.Refusal) {
	x.countArrival()
	for {
		p, refusal := x.placeNow(ctx, x.objectiveLeft(time.Now()))
		if refusal == nil {
			return p, nil
		}
		pause := placeInterval
		if x.scheduled {
			pause = askInterval
		}
		until := x.received.Add(placement.WaitLimit(refusal.Reason, x.profile.Objective))
		if time.Now().Add(pause).After(until) {
			return p, refusal
		}
		select {
		case <-ctx.Done():
			return p, refusal
		case <-time.After(pause):
		}
	}
}

// objectiveLeft returns the time to the first event that the placement aims at.
func (x *exchange) objectiveLeft(now time.Time) time.Duration {
	return placement.ObjectiveLeft(placement.Timing{
		Objective: x.profile.Objective, TimeLimit: x.profile.TimeLimit, Budget: x.call.Budget, Waited: now.Sub(x.received),
		Resumed: x.started,
	})
}

// placeNow places the call or refuses it: by a scheduler if there are some and one answers, otherwise by the counts that
// this instance has.
func (x *exchange) placeNow(ctx context.Context, objective time.Duration) (placed, *placement.Refusal) {
	h := x.handler.options
	x.scheduled = false
	if x.service.Engine != nil && h.Schedulers != nil && h.Schedulers.Enabled(time.Now()) {
		if p, refusal, ok := x.askSchedulers(ctx, objective); ok {
			x.scheduled = true
			return p, refusal
		}
	}
	choice, refusal := x.placeOnCandidates(objective)
	if refusal != nil && refusal.Reason == placement.NoEndpoint && x.leastRest > 0 {
		// The caller may come back when the first rest is over.
		refusal.Reason, refusal.RetryAfter = placement.EndpointsBackOff, x.leastRest
	}
	return placed{Choice: choice, number: h.Load.NextNumber()}, refusal
}

// askSchedulers asks the scheduler of a random shard, and others if it refuses or does not answer. It reports false if none
// has answered.
func (x *exchange) askSchedulers(ctx context.Context, objective time.Duration) (placed, *placement.Refusal, bool) {
	h := x.handler.options
	ask := scheduler.PlaceRequest{Need: x.need(), Limit: x.limit - time.Since(x.received), Avoid: x.avoided(time.Now())}
	ask.Need.Objective = objective
	ask.Suspects = h.Health.Suspects(time.Now())
	count := scheduler.ShardCount(len(h.State.Snapshot().Endpoints[x.service.Name]))
	first := h.Planner.IntN(int(count))
	var refused *placement.Refusal
	for i := range min(int(count), shardsAsked) {
		ask.Number = h.Load.NextNumber()
		asked := clock.Boot()
		ask.Shard = scheduler.Shard{Service: x.service.Key(), Index: uint8((first + i) % int(count)), Count: count}
		answer, ok := h.Schedulers.Place(ctx, ask)
		switch {
		case !ok:
		case answer.Refusal != nil:
			refused = answer.Refusal
			x.refusedBy = answer.Scheduler
		default:
			return placed{
				Choice: answer.Choice, number: ask.Number, grant: answer.Placement, scheduler: answer.Scheduler, asked: asked,
				askTook: answer.Latency,
			}, nil, true
		}
	}
	return placed{}, refused, refused != nil
}

// avoided returns the endpoints that must not be chosen for this call at this instance.
func (x *exchange) avoided(now time.Time) []uint32 {
	h := x.handler.options
	var avoided []uint32
	for _, e := range h.State.Snapshot().Endpoints[x.service.Name] {
		if e.Leaving || x.tried[e.ID] || h.Health.BackOffLeft(e.Key(), now) > 0 {
			avoided = append(avoided, e.Key())
		}
	}
	return avoided
}

func (x *exchange) placeOnCandidates(objective time.Duration) (placement.Choice, *placement.Refusal) {
	now := time.Now()
	candidates, instances := x.candidates(now)
	e := x.service.Engine
	if e == nil {
		return x.handler.options.Planner.PlacePlain(candidates, x.handler.options.Domain)
	}
	need := x.need()
	need.Objective = objective
	need.RandomRank, need.Unseen = x.lot, x.unseen(now)
	need.PeersUnknown = instances == 0 && now.Sub(x.handler.started) < acquaintTime
	return x.handler.options.Planner.PlaceModel(e, candidates, need)
}

// need describes the request apart from its time.
func (x *exchange) need() placement.Need {
	return placement.Need{Tokens: x.call.PromptTokens, Output: x.call.MaxOutput, MaxGap: x.profile.MaxGap}
}

// countArrival counts a short prompt for a model service, of which the other instances are told, once.
func (x *exchange) countArrival() {
	if x.service.Engine == nil || x.counted || !placement.IsShort(x.service.Engine, x.need()) {
		return
	}
	x.counted = true
	x.lot = float64(x.handler.options.Planner.IntN(lots)) / lots
	x.handler.options.Load.CountArrival(x.service.Key(), time.Now())
}

// unseen returns how many short prompts the other instances place while their counts are on the way.
func (x *exchange) unseen(now time.Time) float64 {
	h := x.handler
	return h.options.Load.PeerDemand(x.service.Key(), now) * h.options.CountsAge(now).Seconds()
}

// candidates returns the endpoints of the service that may get the request, and the number of other instances whose work
// is known.
func (x *exchange) candidates(now time.Time) ([]placement.Candidate, int) {
	h := x.handler
	x.leastRest = 0
	snapshot := h.options.State.Snapshot()
	totals, instances := h.options.Load.Totals(now)
	var candidates []placement.Candidate
	for _, e := range snapshot.Endpoints[x.service.Name] {
		if e.Leaving || snapshot.OutOfService[e.Domain] || x.tried[e.ID] {
			continue
		}
		if rest := h.options.Health.BackOffLeft(e.Key(), now); rest > 0 {
			x.leastRest = shorterRest(x.leastRest, rest)
			continue
		}
		c := placement.Candidate{Endpoint: e, Entry: totals.Entries[e.Key()]}
		c.Suspect = c.Suspect || h.options.Health.IsSuspect(e.Key(), now)
		c.Cold = x.service.ColdRate > 0 && e.IsCold(now)
		if c.Cold && !h.options.ColdLimiter.Allows(e.Key(), x.service.ColdRate, now) {
			continue
		}
		candidates = append(candidates, c)
	}
	return candidates, instances
}

// shorterRest returns the shorter of two times, of which the first may be zero for none.
func shorterRest(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}

// takeCold counts a request against the cold start of its endpoint and reports whether it may be sent. A scheduler has
// counted those that it has placed.
func (x *exchange) takeCold(p *placed, now time.Time) bool {
	if x.service.ColdRate <= 0 || !p.Primary.IsCold(now) || p.grant != nil {
		return true
	}
	return x.handler.options.ColdLimiter.Take(p.Primary.Key(), x.service.ColdRate, now)
}

// isGrantOver reports whether the scheduler's grant of a request to an endpoint in cold start is too old: it may belong to
// another second than the one in which it was counted.
func (x *exchange) isGrantOver(p *placed) bool {
	isCold := x.service.ColdRate > 0 && p.Primary.IsCold(time.Now())
	return isCold && p.grant != nil && clock.Boot()-p.asked > limit.MaxGrantAge
}
