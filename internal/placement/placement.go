// Package placement chooses the endpoints of a request from the work that all instances have placed. Its functions do no
// I/O and read no clock.
package placement

import (
	"slices"
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/pace"
)

const (
	// maxShortPrefill is the longest prefill time of a short prompt, which may share an endpoint with short streams.
	maxShortPrefill = 160 * time.Millisecond
	// The short group gets as many endpoints as short streams need if they use shortSlotFraction of each endpoint's slots.
	// The passes of an endpoint with that many streams stay well below the max gap of short streams.
	shortSlotFraction = 0.75
	// gapFraction is the fraction of a stream's max gap that a prefill on its endpoint may use.
	gapFraction = 0.85
	// objectiveFraction is the fraction of the objective that a prediction may use. The remaining time is a margin for its
	// error.
	objectiveFraction = 0.9
	// idlePassTime is the time until an endpoint without streams starts new work.
	idlePassTime = 15 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the advised delay of a refusal.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 4500 * time.Millisecond
)

// Planner places requests.
type Planner struct {
	// IntN returns a random number in [0, n). It must be safe for concurrent use if the planner is used concurrently.
	IntN func(n int) int
}

// Candidate is an endpoint with the work that all instances have placed on it.
type Candidate struct {
	Endpoint *fleet.Endpoint
	load.Entry
	// Cold is true for an endpoint in cold start. It gets no long prompts and no parts of them, and other requests only if
	// no other endpoint has capacity.
	Cold bool
	// Full is true if the endpoint accepts no further request from this instance now, because it limits its request rate. It
	// may still be a helper, because the requests of parts come from the primary endpoint.
	Full bool
	// Held is true for an endpoint that is held for another request. It gets no long prompts and no parts of them.
	Held bool
	// Slowdown is how much slower the endpoint is than the model of its engine predicts: 2 means half as fast, 0 means 1.
	Slowdown float64
	// Window bounds the streams of an endpoint in a slow start; zero if its slots alone bound them. An endpoint with a used
	// window gets neither requests nor parts.
	Window int
	// Probe is true if the endpoint may get one short prompt although Slowdown is above 1, to find out whether it has recovered.
	Probe bool
}

// Need describes a request.
type Need struct {
	// Tokens is the length of the prompt, Output the largest number of output tokens.
	Tokens, Output int64
	// Objective is the remaining time to the first event within which the request is on time. For a request that can no
	// longer be on time, it is the time within which the response still has value.
	Objective time.Duration
	// MaxGap is the target for the time between two events of a stream. A stream that exceeds it is not on time.
	MaxGap time.Duration
	// Unseen is the expected number of requests of this kind that peer instances place before their counts arrive here.
	// RandomRank is a number from 0 to 1 that is drawn once per request. All instances count the same free capacity. This
	// request may use it only if RandomRank times Unseen is less than the number of requests for which there is capacity.
	Unseen, RandomRank float64
	// ExactCounts is true if the candidates' counts include the work of all instances at this time. The best endpoint can
	// then be chosen without sampling.
	ExactCounts bool
	// PeersUnknown is true while the work of the peer instances is not known.
	PeersUnknown bool
	// Rank is the urgency of the request among those of its service; 0 is the highest rank.
	Rank int
	// Queued is true for a request that is placed through a wait queue.
	Queued bool
}

// Choice is the result of a placement.
type Choice struct {
	Primary *fleet.Endpoint
	Helpers []*fleet.Endpoint
	// Reservations lists the memory to reserve at helpers for a prompt that exceeds the free memory of the primary endpoint.
	Reservations []Reservation
	// Part is the prefill time of each endpoint, Predicted the time to the first event.
	Part, Predicted time.Duration
	// shares holds the predicted time to the first event as far as it depends on each endpoint, the primary first.
	shares []pace.Share
}

// Reservation is memory of a helper for a part of a prompt.
type Reservation struct {
	Endpoint *fleet.Endpoint
	Tokens   int64
}

// Work describes a request with this choice and the given time left, for tracking its load.
func (c Choice) Work(need Need, limit time.Duration) load.Work {
	w := load.Work{
		Primary: c.Primary, Helpers: c.Helpers, Tokens: need.Tokens + need.Output, Part: c.Part, Predicted: c.Predicted,
		MaxGap: need.MaxGap, Objective: need.Objective, Limit: limit,
		Reserved: make(map[*fleet.Endpoint]int64, len(c.Reservations)),
	}
	for _, r := range c.Reservations {
		w.Reserved[r.Endpoint] = r.Tokens
		w.Tokens = max(w.Tokens-r.Tokens, 0)
	}
	return w
}

// Reason states why a request cannot be placed.
type Reason string

// The reasons of a refusal.
const (
	NoEndpoint Reason = "no_endpoint"
	TooLarge   Reason = "prompt_too_large"
	// EndpointsBackOff means that all endpoints have requested a back-off.
	EndpointsBackOff Reason = "endpoints_rest"
	SlotsFull        Reason = "slots_full"
	TooLate          Reason = "too_late"
	// PrefillBusy means that the endpoints with capacity could not prefill the prompt without making earlier prompts late.
	PrefillBusy Reason = "readers_busy"
)

// Refusal is the result if a request cannot be placed now.
type Refusal struct {
	Reason Reason
	// RetryAfter is the time until free capacity is expected.
	RetryAfter time.Duration
	// Predicted is the shortest predicted time to the first event; zero if there was no prediction.
	Predicted time.Duration
	// Candidates is the number of endpoints that were considered.
	Candidates int
	// Told is true if a scheduler expects the caller after RetryAfter. Returning is true if the caller has kept to such a time.
	Told, Returning bool
}

// IsShort reports whether a prompt may be prefilled on endpoints with short streams.
func IsShort(e *fleet.Engine, need Need) bool { return e.PrefillTime(need.Tokens) <= maxShortPrefill }

// PlaceModel places a request on the engines of a service. The candidates have the same order on all instances. Short
// prompts fill the order from its start and long prompts from its end, so they rarely share an endpoint.
func (p Planner) PlaceModel(e *fleet.Engine, candidates []Candidate, need Need) (Choice, *Refusal) {
	choice, refusal := p.placeModel(e, candidates, need)
	if refusal != nil {
		refusal.Candidates = len(candidates)
	}
	return choice, refusal
}

func (p Planner) placeModel(e *fleet.Engine, candidates []Candidate, need Need) (Choice, *Refusal) {
	if len(candidates) == 0 {
		return Choice{}, &Refusal{Reason: NoEndpoint, RetryAfter: minRetryAfter}
	}
	if need.Tokens+need.Output > int64(len(candidates))*e.MemoryTokens {
		return Choice{}, &Refusal{Reason: TooLarge}
	}
	group := shortGroupSize(e, candidates)
	if IsShort(e, need) {
		if need.PeersUnknown {
			// All instances start at the same time after a power loss, and would fill the same few endpoints.
			group = len(candidates)
		}
		return p.placeShort(e, withProbes(candidates), group, need)
	}
	if need.Queued && need.ExactCounts {
		candidates = withPrefillLeft(candidates)
	}
	return p.placeLong(e, candidates, group, need)
}

// withPrefillLeft returns the candidates with PrefillLeft in place of PrefillBacklog. An endpoint without prefill left has no
// earlier prompt that a part could delay. Short prompts are not placed by this estimate: their objectives are shorter than its
// error.
func withPrefillLeft(candidates []Candidate) []Candidate {
	candidates = slices.Clone(candidates)
	for i := range candidates {
		c := &candidates[i]
		c.PrefillBacklog = c.PrefillLeft
		if c.PrefillLeft == 0 {
			c.PrefillDueIn = 0
		}
	}
	return candidates
}

// retryAfter returns the advised retry delay if capacity is expected after the given time.
func (p Planner) retryAfter(excess time.Duration) time.Duration {
	return p.randomDelay(min(max(excess, minRetryAfter), maxRetryAfter*2/3), maxRetryAfter)
}

// RetryAfter returns the advised retry delay of a refusal if capacity is expected after the given time.
func (p Planner) RetryAfter(wait time.Duration) time.Duration { return p.retryAfter(wait) }

// randomDelay returns a random time between the bounds, near the lower one. It keeps callers from retrying at the same
// time.
func (p Planner) randomDelay(least, most time.Duration) time.Duration {
	width := max(min(most-least, least), time.Millisecond)
	return least + time.Duration(p.IntN(int(width)))
}
