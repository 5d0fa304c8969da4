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

// Failed returns the attempt of a request that placement has refused. need is the need that was refused.
func Failed(
	e *fleet.Engine, r *Request, need placement.Need, candidates []placement.Candidate, held Held, refusal *placement.Refusal,
) Attempt {
	if r.Short {
		// The backlog of an endpoint does not shrink faster than the time that is left.
		return Attempt{Missed: refusal.Reason == placement.TooLate}
	}
	var attempt Attempt
	for _, endpoint := range placement.EndpointsToHold(e, candidates, need, held.Free()) {
		attempt.Hold = append(attempt.Hold, endpoint.Key())
	}
	return attempt
}
