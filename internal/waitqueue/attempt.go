package waitqueue

import (
	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/placement"
)

// Attempt is the result of an attempt to place a request.
type Attempt struct {
	Placed bool
	// Missed is true if the request can no longer be on time, also if it waits. It is then treated as late, and given up at the
	// next call of Expire if it is useless when late.
	Missed bool
	// Hold lists the endpoints to hold for the request, by their keys, if it needs several endpoints and was not placed
	// (placement.EndpointsToHold). The queue decides whether it holds them.
	Hold []uint32
}

// holdCost is the engine time of a request, in objectives, from which on endpoints are held for it. It separates the largest tenth
// of the long prompts of deployment A. In the emulator, holds for all prompts that exceed one engine's memory, a third of the
// long ones there, served fewer long prompts and fewer of the largest tenth.
const holdCost = 1.5

// Failed returns the attempt of a request that placement has refused. need is the need that was refused.
func Failed(
	e *fleet.Engine, r *Request, need placement.Need, candidates []placement.Candidate, held Held, refusal *placement.Refusal,
) Attempt {
	if r.Short {
		// The backlog of an endpoint does not shrink faster than the time that is left.
		return Attempt{Missed: refusal.Reason == placement.TooLate}
	}
	if float64(r.Cost) < holdCost*float64(r.Need.Objective) {
		return Attempt{}
	}
	var attempt Attempt
	for _, endpoint := range placement.EndpointsToHold(e, candidates, need, held.Free()) {
		attempt.Hold = append(attempt.Hold, endpoint.Key())
	}
	return attempt
}
