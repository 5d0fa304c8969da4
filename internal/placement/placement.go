// Package placement chooses the endpoints of a request from the work that all instances have placed. Its functions do
// no I/O and read no clock.
package placement

import (
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/load"
)

const (
	// shortReading is the longest reading time of a prompt that may share an endpoint with short streams.
	shortReading = 160 * time.Millisecond
	// shortSlots is the part of an endpoint's slots that short streams take while its passes stay well within their pauses.
	shortSlots = 0.75
	// pauseShare is the part of a stream's longest pause that reading on its endpoint may use.
	pauseShare = 0.85
	// objectiveShare is the part of the objective that a prediction may use, as margin for its error.
	objectiveShare = 0.9
	// idlePass is the time until an endpoint without streams takes up new work.
	idlePass = 15 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the advised delay of a refusal.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 4500 * time.Millisecond
)

// Planner places requests.
type Planner struct {
	// IntN returns a random number below n. It must be safe for concurrent use if the planner is used so.
	IntN func(n int) int
}

// Candidate is an endpoint with the work that all instances have placed on it.
type Candidate struct {
	Endpoint *fleet.Endpoint
	load.Entry
	// Cold endpoints get requests only if there is no other one, and never parts of prompts.
	Cold bool
}

// Need describes a request.
type Need struct {
	// Tokens is the length of the prompt, Output the longest answer in tokens.
	Tokens, Output int64
	// Objective is what is left of the time to the first event within which the request is on time; a request that
	// cannot be on time any more has the time within which it is still worth its place.
	Objective time.Duration
	// MaxGap is the longest time between two events of a stream that is on time.
	MaxGap time.Duration
	// Unseen is the expected number of requests of this kind that other instances place before their counts arrive here,
	// and RandomRank a random number from 0 to 1 that the request keeps: all instances see the same free places, and each
	// takes its share of them.
	Unseen, RandomRank float64
	// Exact is true if the counts of the candidates are those of all instances at this moment, so that the best endpoint may
	// be taken.
	Exact bool
	// PeersUnknown is true while the work of the peer instances is not known.
	PeersUnknown bool
}

// Choice is the result of a placement.
type Choice struct {
	Primary *fleet.Endpoint
	Helpers []*fleet.Endpoint
	// Reservations lists the memory to reserve at helpers for a prompt that exceeds the free memory of the primary endpoint.
	Reservations []Reservation
	// Part is the prefill time of each endpoint, Predicted the time to the first event.
	Part, Predicted time.Duration
}

// Reservation is memory of a helper for a part of a prompt.
type Reservation struct {
	Endpoint *fleet.Endpoint
	Tokens   int64
}

// Work describes a request with this choice, which has the given time left, to those who count placed work.
func (c Choice) Work(need Need, limit time.Duration) load.Work {
	w := load.Work{
		Primary: c.Primary, Helpers: c.Helpers, Tokens: need.Tokens + need.Output, Part: c.Part, Predicted: c.Predicted,
		MaxGap: need.MaxGap, Objective: need.Objective, Limit: limit,
		Reserved: make(map[*fleet.Endpoint]int64, len(c.Reservations)),
	}
	for _, h := range c.Reservations {
		w.Reserved[h.Endpoint] = h.Tokens
		w.Tokens = max(w.Tokens-h.Tokens, 0)
	}
	return w
}

// Reason tells why a request cannot be placed.
type Reason string

// The reasons of a refusal.
const (
	NoEndpoint Reason = "no_endpoint"
	TooLarge   Reason = "prompt_too_large"
	// EndpointsBackOff means that all endpoints have asked for a back-off.
	EndpointsBackOff Reason = "endpoints_rest"
	SlotsFull        Reason = "slots_full"
	TooLate          Reason = "too_late"
	// PrefillBusy means that the endpoints with room could not prefill the prompt without making earlier ones late.
	PrefillBusy Reason = "readers_busy"
)

// Refusal is the result if a request cannot be placed now.
type Refusal struct {
	Reason Reason
	// RetryAfter is when room is expected.
	RetryAfter time.Duration
	// Predicted is the best time to the first event, if there was one.
	Predicted time.Duration
	// Candidates is the number of endpoints that were considered.
	Candidates int
}

// IsShort reports whether a prompt is read beside short streams.
func IsShort(e *fleet.Engine, need Need) bool { return e.PrefillTime(need.Tokens) <= shortReading }

// PlaceModel places a request on the engines of a service. The candidates have the same order on all instances: short
// prompts fill it from its start and long ones from its end, so that they rarely share an endpoint.
func (p Planner) PlaceModel(e *fleet.Engine, candidates []Candidate, need Need) (Choice, *Refusal) {
	choice, refusal := p.model(e, candidates, need)
	if refusal != nil {
		refusal.Candidates = len(candidates)
	}
	return choice, refusal
}

func (p Planner) model(e *fleet.Engine, candidates []Candidate, need Need) (Choice, *Refusal) {
	if len(candidates) == 0 {
		return Choice{}, &Refusal{Reason: NoEndpoint, RetryAfter: minRetryAfter}
	}
	if need.Tokens+need.Output > int64(len(candidates))*e.MemoryTokens {
		return Choice{}, &Refusal{Reason: TooLarge}
	}
	group := shortGroup(e, candidates)
	if IsShort(e, need) {
		if need.PeersUnknown {
			// All instances start at once after a loss of power, and would fill the same few endpoints.
			group = len(candidates)
		}
		return p.placeShort(e, candidates, group, need)
	}
	return p.placeLong(e, candidates, group, need)
}

// retryAfter returns the advised delay if room is expected after the given time.
func (p Planner) retryAfter(excess time.Duration) time.Duration {
	return p.spread(min(max(excess, minRetryAfter), maxRetryAfter*2/3), maxRetryAfter)
}

// spread returns a random time between the bounds, near the lower one, so that callers do not return together.
func (p Planner) spread(least, most time.Duration) time.Duration {
	width := max(min(most-least, least), time.Millisecond)
	return least + time.Duration(p.IntN(int(width)))
}
