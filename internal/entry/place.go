package entry

import (
	"context"
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/placement"
)

const (
	// placeInterval is the pause between two tries to place a waiting request.
	placeInterval = 10 * time.Millisecond
	// acquaintTime is how long after its start an instance expects to hear from others. One that hears from none later on
	// takes its own work for all.
	acquaintTime = 3 * time.Second
	// lots is the number of different random numbers that a request may draw for its placement.
	lots = 1 << 16
)

// place chooses endpoints, and waits a moment for room. It returns a refusal if there is none.
func (x *exchange) place(ctx context.Context) (placement.Choice, *placement.Refusal) {
	x.countArrival()
	for {
		choice, refusal := x.placeNow(x.objectiveLeft(time.Now()))
		if refusal == nil {
			return choice, nil
		}
		until := x.received.Add(placement.WaitLimit(refusal.Reason, x.profile.Objective))
		if time.Now().Add(placeInterval).After(until) {
			return choice, refusal
		}
		select {
		case <-ctx.Done():
			return choice, refusal
		case <-time.After(placeInterval):
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

// placeNow places the call or refuses it. If all endpoints in question have asked for a rest, the caller may come back when
// the first rest is over.
func (x *exchange) placeNow(objective time.Duration) (placement.Choice, *placement.Refusal) {
	choice, refusal := x.placeOnCandidates(objective)
	if refusal != nil && refusal.Reason == placement.NoEndpoint && x.leastRest > 0 {
		refusal.Reason, refusal.RetryAfter = placement.EndpointsRest, x.leastRest
	}
	return choice, refusal
}

func (x *exchange) placeOnCandidates(objective time.Duration) (placement.Choice, *placement.Refusal) {
	now := time.Now()
	candidates, instances := x.candidates(now)
	e := x.service.Engine
	if e == nil {
		return x.handler.options.Planner.Plain(candidates, x.handler.options.Domain)
	}
	need := x.need()
	need.Objective = objective
	need.Lot, need.Unseen = x.lot, x.unseen(now)
	need.Blind = instances == 0 && now.Sub(x.handler.started) < acquaintTime
	return x.handler.options.Planner.Model(e, candidates, need)
}

// need describes the request apart from its time.
func (x *exchange) need() placement.Need {
	return placement.Need{Tokens: x.call.PromptTokens, Output: x.call.MaxOutput, MaxPause: x.profile.MaxPause}
}

// countArrival counts a short prompt for a model service, of which the other instances are told, once.
func (x *exchange) countArrival() {
	if x.service.Engine == nil || x.counted || !placement.IsShort(x.service.Engine, x.need()) {
		return
	}
	x.counted = true
	x.lot = float64(x.handler.options.Planner.IntN(lots)) / lots
	x.handler.options.Book.Arrive(x.service.Key(), time.Now())
}

// unseen returns how many short prompts the other instances place while their counts are on the way.
func (x *exchange) unseen(now time.Time) float64 {
	h := x.handler
	return h.options.Book.OthersDemand(x.service.Key(), now) * h.options.CountsAge(now).Seconds()
}

// candidates returns the endpoints of the service that may get the request, and the number of other instances whose work
// is known.
func (x *exchange) candidates(now time.Time) ([]placement.Candidate, int) {
	h := x.handler
	x.leastRest = 0
	snapshot := h.options.State.Snapshot()
	totals, instances := h.options.Book.Totals(now)
	var candidates []placement.Candidate
	for _, e := range snapshot.Endpoints[x.service.Name] {
		if e.Leaving || snapshot.OutOfService[e.Domain] || x.tried[e.ID] {
			continue
		}
		if rest := h.options.Health.RestLeft(e.Key(), now); rest > 0 {
			x.leastRest = shorterRest(x.leastRest, rest)
			continue
		}
		c := placement.Candidate{Endpoint: e, Entry: totals.Entries[e.Key()]}
		c.Suspect = c.Suspect || h.options.Health.Suspects(e.Key(), now)
		c.Cold = x.service.ColdRate > 0 && e.IsCold(now)
		if c.Cold && !h.options.Cold.Allows(e.Key(), x.service.ColdRate, now) {
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

// takeCold counts a request against the cold start of its endpoint and reports whether it may be sent.
func (x *exchange) takeCold(e *fleet.Endpoint, now time.Time) bool {
	if x.service.ColdRate <= 0 || !e.IsCold(now) {
		return true
	}
	return x.handler.options.Cold.Take(e.Key(), x.service.ColdRate, now)
}
