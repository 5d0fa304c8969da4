package emulator

import (
	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/placement"
)

// PlannerPolicy places requests with placement.Planner, as entry instances do.
func PlannerPolicy(
	p placement.Planner, e *fleet.Engine, candidates []placement.Candidate, need placement.Need,
) (placement.Choice, *placement.Refusal) {
	return p.PlaceModel(e, candidates, need)
}

// LeastRequests chooses the endpoint with the fewest requests. It refuses a request only if that endpoint has no capacity
// for it.
func LeastRequests(p placement.Planner, e *fleet.Engine, candidates []placement.Candidate, need placement.Need) (placement.Choice, *placement.Refusal) {
	best := -1
	for i, c := range candidates {
		if best < 0 || c.Streams < candidates[best].Streams {
			best = i
		}
	}
	return placeOnOne(p, e, candidates, best, need)
}

// RandomTwo chooses the endpoint with fewer requests out of two random ones.
func RandomTwo(p placement.Planner, e *fleet.Engine, candidates []placement.Candidate, need placement.Need) (placement.Choice, *placement.Refusal) {
	a, b := p.IntN(len(candidates)), p.IntN(len(candidates))
	if candidates[b].Streams < candidates[a].Streams {
		a = b
	}
	return placeOnOne(p, e, candidates, a, need)
}

// placeOnOne places a request on one endpoint without helpers.
func placeOnOne(p placement.Planner, e *fleet.Engine, candidates []placement.Candidate, index int, need placement.Need) (placement.Choice, *placement.Refusal) {
	const maxStreamsPerSlot = 2
	if need.Tokens+need.Output > e.MemoryTokens {
		return placement.Choice{}, &placement.Refusal{Reason: placement.TooLarge}
	}
	if candidates[index].Streams >= maxStreamsPerSlot*e.Slots {
		return placement.Choice{}, &placement.Refusal{Reason: placement.SlotsFull, RetryAfter: need.Objective}
	}
	prefillTime := e.PrefillTime(need.Tokens)
	return placement.Choice{Primary: candidates[index].Endpoint, Part: prefillTime, Predicted: prefillTime}, nil
}
