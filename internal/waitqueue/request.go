package waitqueue

import (
	"time"

	"github.com/acacialift/acacialift/internal/placement"
)

// ID identifies a waiting request: the instance that sent it and its number there.
type ID struct {
	Instance string
	Number   uint64
}

// Request is a request that waits to be placed.
type Request struct {
	ID ID
	// Rank is the urgency of the request; 0 is the highest rank, LowestRank the lowest.
	Rank int
	// Team identifies the team of the caller; 0 if it has none.
	Team uint32
	// Prompt identifies the caller's own part of the prompt; 0 if there is none.
	Prompt uint64
	// Short is true for a short prompt (placement.IsShort). Short and long prompts use different endpoints, and do not wait
	// for each other.
	Short bool
	Need  placement.Need
	// Cost is the engine time of the request, summed over all endpoints that prefill its prompt.
	Cost time.Duration
	// Prefill is the shortest time from the start to the first event, with as many helpers as the request may use.
	Prefill time.Duration
	// Returning is true for a caller that comes back at the time it was told.
	Returning bool
	Arrived   time.Time
	// OnTimeUntil is the end of the objective. A first event after it is late.
	OnTimeUntil time.Time
	// Until is the end of the useful time. A first event after it has no value.
	Until time.Time
}

// latestStart is the last time at which the request can start and be on time.
func (r *Request) latestStart() time.Time { return r.OnTimeUntil.Add(-r.Prefill) }

// lastStart is the last time at which the request can start and be useful.
func (r *Request) lastStart() time.Time { return r.Until.Add(-r.Prefill) }

// NeedAt returns the need of the request at a time, with the remaining time to the first event. Once the request can no
// longer be on time, that is the remaining useful time.
func (r *Request) NeedAt(now time.Time) placement.Need {
	need := r.Need
	need.Queued = true
	need.Objective = max(r.OnTimeUntil.Sub(now), 0)
	if now.After(r.latestStart()) {
		need.Objective = max(r.Until.Sub(now), 0)
	}
	return need
}

// LowestRank is the lowest rank. Lower ones count as this one.
const LowestRank = 9

// Capacity is the capacity of a shard for the prompts of one length class (placement.CapacityFor).
type Capacity = placement.Capacity

// Reason states why a request is refused.
type Reason string

// The reasons of a refusal.
const (
	// Infeasible means that the request cannot start in its useful time behind the requests that precede it.
	Infeasible Reason = "queue_infeasible"
	// QueueFull means that the queue has its largest number of requests.
	QueueFull Reason = "queue_full"
	// OverShare means that the request's team uses more than its fair share while capacity is short. The request was
	// refused on arrival, or displaced.
	OverShare Reason = "team_over_share"
	// Displaced means that a request which precedes this one has taken its place.
	Displaced Reason = "displaced"
	// TooLate means that the useful time has ended.
	TooLate Reason = "too_late"
	// NotRenewed means that the instance has not renewed the request. Nobody waits for the refusal.
	NotRenewed Reason = "not_renewed"
)

// Refused is a request that the queue has given up.
type Refused struct {
	Request Request
	Reason  Reason
	// Wait is the time until capacity for the request is expected, a lower bound of the return time.
	Wait time.Duration
}

// Decision is the result of Add.
type Decision struct {
	// Waits is true if the request is in the queue. Otherwise Reason and Wait state why it is refused, as in Refused.
	Waits  bool
	Reason Reason
	Wait   time.Duration
	// Displaced lists requests that left the queue in favour of this one.
	Displaced []Refused
}

// Attempt is the result of an attempt to place a request.
type Attempt struct {
	Placed bool
	// Hold lists the endpoints to hold for the request, by their keys, if it needs several endpoints and was not placed
	// (placement.EndpointsToHold). The queue decides whether it holds them.
	Hold []uint32
}
