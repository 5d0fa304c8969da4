package scheduler

import (
	"sync/atomic"
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/placement"
	"github.com/acacialift/acacialift/internal/waitqueue"
)

// HoldTime is the longest time for which a scheduler defers its reply to a request that may wait.
const HoldTime = 250 * time.Millisecond

// WaitTerms states how a request may wait for capacity.
type WaitTerms struct {
	// Rank is the urgency of the request; 0 is the highest rank.
	Rank int
	// Team is a hash of the caller's team, and Prompt of the caller's own part of the prompt; zero if there is none.
	Team   uint32
	Prompt uint64
	// Used is the time since the caller's first attempt.
	Used time.Duration
	// FullObjective is the objective counted from the caller's first attempt. If it is zero, Need.Objective holds whenever
	// the request is placed.
	FullObjective time.Duration
	// Useful is the remaining time in which the first event has any value.
	Useful time.Duration
	// Try is true if the request must not wait: it is placed at once, if no waiting request precedes it, or refused.
	Try bool
	// Hold is how long the reply may be deferred; at most HoldTime. If it is zero, a request that begins to wait is told at once.
	Hold time.Duration
	// Returning is true if the caller keeps to a time that its instance has told it. It is not sent to schedulers.
	Returning bool
	// Failed is the scheduler of the shard that did not reply, if another instance is asked in its place.
	Failed string
}

// Outcome is the reply to a request that may wait. The request is placed if no field but Choice and Held is set.
type Outcome struct {
	Choice  placement.Choice
	Refusal *placement.Refusal
	// Waiting is true if the request is still waiting. It leaves the queue unless it is renewed.
	Waiting bool
	// NotReady is true if this instance cannot decide.
	NotReady bool
	// Held is the time from the receipt of the request, or of its last renewal, to the decision.
	Held time.Duration
}

// isPlaced reports whether the request was placed.
func (o *Outcome) isPlaced() bool { return o.Refusal == nil && !o.Waiting && !o.NotReady }

// QueueStats counts what has become of the waiting requests.
type QueueStats struct {
	// PlacedAfterWaiting counts the requests that were placed after they had waited.
	PlacedAfterWaiting atomic.Int64
	// Displaced counts the requests that left the queue in favour of others, Infeasible those that could not be served in
	// their useful time behind the waiting ones, and Refused all that a queue has refused.
	Displaced, Infeasible, Refused atomic.Int64
	// NotRenewed counts the requests that left the queue because they were not renewed.
	NotRenewed atomic.Int64
}

// countRefused counts a refusal of a queue.
func (s *QueueStats) countRefused(reason waitqueue.Reason) {
	switch reason {
	case waitqueue.NotRenewed:
		s.NotRenewed.Add(1)
		return
	case waitqueue.Displaced:
		s.Displaced.Add(1)
	case waitqueue.Infeasible:
		s.Infeasible.Add(1)
	}
	s.Refused.Add(1)
}

// queuedRequest returns the entry of a request in a wait queue.
func queuedRequest(r *PlaceRequest, e *fleet.Engine, endpoints int, now time.Time) waitqueue.Request {
	need, onTime := r.Need, r.Need.Objective
	if r.Terms.FullObjective > 0 {
		need.Objective, onTime = r.Terms.FullObjective, r.Terms.FullObjective-r.Terms.Used
	}
	need.Rank = r.Terms.Rank
	return waitqueue.Request{
		ID: r.id(), Rank: r.Terms.Rank, Team: r.Terms.Team, Prompt: r.Terms.Prompt, Returning: r.Terms.Returning, Short: placement.IsShort(e, need), Need: need,
		Cost: placement.EngineTime(e, need), Prefill: placement.ShortestPrefill(e, need, endpoints),
		Arrived: now.Add(-r.Terms.Used), OnTimeUntil: now.Add(onTime), Until: now.Add(min(r.Terms.Useful, r.Limit)),
	}
}

// id identifies the request in a wait queue.
func (r *PlaceRequest) id() waitqueue.ID {
	return waitqueue.ID{Instance: r.From, Number: uint64(r.Number)}
}

// queueRefusal returns the refusal of a request that a queue has given up.
func queueRefusal(planner placement.Planner, reason waitqueue.Reason, wait time.Duration, candidates int) *placement.Refusal {
	return &placement.Refusal{
		Reason: placement.Reason(reason), RetryAfter: planner.RetryAfter(wait), Candidates: candidates,
	}
}
