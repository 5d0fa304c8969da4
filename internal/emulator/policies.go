package emulator

import (
	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/placement"
)

// PlannerPolicy places requests by placement.Planner, as the product does.
func PlannerPolicy(
	p placement.Planner, e *fleet.Engine, candidates []placement.Candidate, need placement.Need,
) (placement.Choice, *placement.Refusal) {
	return p.PlaceModel(e, candidates, need)
}

// LeastRequests takes the endpoint with the fewest requests and refuses only what no endpoint has room for.
func LeastRequests(p placement.Planner, e *fleet.Engine, candidates []placement.Candidate, need placement.Need) (placement.Choice, *placement.Refusal) {
	best := -1
	for i, c := range candidates {
		if best < 0 || c.Streams < candidates[best].Streams {
			best = i
		}
	}
	return single(p, e, candidates, best, need)
}

// RandomTwo takes the endpoint with fewer requests of two random ones.
func RandomTwo(p placement.Planner, e *fleet.Engine, candidates []placement.Candidate, need placement.Need) (placement.Choice, *placement.Refusal) {
	a, b := p.IntN(len(candidates)), p.IntN(len(candidates))
	if candidates[b].Streams < candidates[a].Streams {
		a = b
	}
	return single(p, e, candidates, a, need)
}

// single places a request on one endpoint without helpers.
func single(p placement.Planner, e *fleet.Engine, candidates []placement.Candidate, at int, need placement.Need) (placement.Choice, *placement.Refusal) {
	const queued = 2
	if need.Tokens+need.Output > e.MemoryTokens {
		return placement.Choice{}, &placement.Refusal{Reason: placement.TooLarge}
	}
	if candidates[at].Streams >= queued*e.Slots {
		return placement.Choice{}, &placement.Refusal{Reason: placement.SlotsFull, RetryAfter: need.Objective}
	}
	reading := e.PrefillTime(need.Tokens)
	return placement.Choice{Primary: candidates[at].Endpoint, Part: reading, Predicted: reading}, nil
}
