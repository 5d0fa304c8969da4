// Package placement chooses the endpoints of a request from the work that all instances have placed. Its functions do
// no I/O and read no clock.
package placement

import (
	"math/rand/v2"
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/load"
)

const (
	// maxReaders is the number of endpoints that read one prompt: the first one and at most 16 helpers.
	maxReaders = 17
	// shortReading is the longest reading time of a prompt that may share an endpoint with short streams.
	shortReading = 160 * time.Millisecond
	// shortStreams is the number of short streams at which an endpoint's passes stay well within their pauses.
	shortStreams = 11
	// pauseShare is the part of a stream's longest pause that reading on its endpoint may use.
	pauseShare = 0.85
	// objectiveShare is the part of the objective that a prediction may use, as margin for its error.
	objectiveShare = 0.9
	// readerOverhead is the extra time that a further reader must save.
	readerOverhead = 4 * time.Millisecond
	// idlePass is the time until an endpoint without streams takes up new work.
	idlePass = 15 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the advised delay of a refusal.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// Candidate is an endpoint with the work that all instances have placed on it.
type Candidate struct {
	Endpoint *fleet.Endpoint
	load.Entry
	// Cold endpoints get requests only if there is no other one, and never parts of prompts.
	Cold bool
	// Reserve endpoints are used only if no other one can serve the request.
	Reserve bool
}

// Need describes a request.
type Need struct {
	// Tokens is the length of the prompt, Output the longest answer in tokens.
	Tokens, Output int64
	// Objective is what is left of the time to the first event within which the request is on time; a request that
	// cannot be on time any more has the time within which it is still worth its place.
	Objective time.Duration
	// MaxPause is the longest pause between two events of a stream on time.
	MaxPause time.Duration
}

// Choice is the result of a placement.
type Choice struct {
	First   *fleet.Endpoint
	Helpers []*fleet.Endpoint
	// Part is the reading time of each endpoint, Predicted the time to the first event.
	Part, Predicted time.Duration
}

// Reason tells why a request cannot be placed.
type Reason string

// The reasons of a refusal.
const (
	NoEndpoint Reason = "no_endpoint"
	TooLarge   Reason = "prompt_too_large"
	SlotsFull  Reason = "slots_full"
	TooLate    Reason = "too_late"
)

// Refusal is the result if a request cannot be placed now.
type Refusal struct {
	Reason Reason
	// RetryAfter is when room is expected.
	RetryAfter time.Duration
	// Predicted is the best time to the first event, if there was one.
	Predicted time.Duration
}

// IsShort reports whether a prompt is read beside short streams.
func IsShort(e *fleet.Engine, need Need) bool { return e.PromptTime(need.Tokens) <= shortReading }

// Model places a request on the engines of a service. The candidates have the same order on all instances: short
// prompts fill it from its start and long ones from its end, so that they rarely share an endpoint.
func Model(e *fleet.Engine, candidates []Candidate, need Need) (Choice, *Refusal) {
	if len(candidates) == 0 {
		return Choice{}, &Refusal{Reason: NoEndpoint, RetryAfter: minRetryAfter}
	}
	if need.Tokens+need.Output > e.Memory {
		return Choice{}, &Refusal{Reason: TooLarge}
	}
	group := shortGroup(candidates)
	if IsShort(e, need) {
		return placeShort(e, candidates, group, need)
	}
	return placeLong(e, candidates, group, need)
}

// shortGroup returns the number of endpoints, from the start of the order, that short streams need.
func shortGroup(candidates []Candidate) int {
	streams := 0
	for i := range candidates {
		if candidates[i].Pause > 0 && candidates[i].Pause <= shortPause {
			streams += candidates[i].Streams
		}
	}
	return min(2+(streams*5/4)/shortStreams, len(candidates))
}

// shortPause is the longest pause of streams that count as short.
const shortPause = 400 * time.Millisecond

// placeShort takes the endpoint with the earliest first event in the short group, or in the rest if the group has none
// in time.
func placeShort(e *fleet.Engine, candidates []Candidate, group int, need Need) (Choice, *Refusal) {
	reading := e.PromptTime(need.Tokens)
	limit := time.Duration(objectiveShare * float64(need.Objective))
	for _, part := range [][]Candidate{preferred(candidates[:group]), preferred(candidates[group:]), candidates} {
		best, predicted := earliest(e, part, need, reading)
		if best != nil && predicted <= limit {
			return Choice{First: best.Endpoint, Part: reading, Predicted: predicted}, nil
		}
	}
	best, predicted := earliest(e, candidates, need, reading)
	if best == nil {
		return Choice{}, &Refusal{Reason: SlotsFull, RetryAfter: spread(minRetryAfter, 2*need.Objective)}
	}
	return Choice{}, &Refusal{Reason: TooLate, RetryAfter: retryAfter(predicted - limit), Predicted: predicted}
}

// preferred returns the candidates that are neither cold nor a reserve.
func preferred(candidates []Candidate) []Candidate {
	var kept []Candidate
	for _, c := range candidates {
		if !c.Cold && !c.Reserve && !c.Suspect {
			kept = append(kept, c)
		}
	}
	return kept
}

// earliest returns the candidate with room and the earliest first event. Near-equal ones have the same chance, so that
// instances that decide at the same moment spread their choices.
func earliest(e *fleet.Engine, candidates []Candidate, need Need, reading time.Duration) (*Candidate, time.Duration) {
	const nearEqual = 12 * time.Millisecond
	var best *Candidate
	var bestTime time.Duration
	ties := 0
	for i := range candidates {
		c := &candidates[i]
		if !hasRoom(e, c, need) {
			continue
		}
		predicted := firstEvent(e, c, reading) + time.Duration(c.Streams)*time.Millisecond
		switch {
		case best == nil || predicted < bestTime-nearEqual:
			best, bestTime, ties = c, predicted, 1
		case predicted <= bestTime+nearEqual:
			ties++
			if rand.IntN(ties) == 0 {
				best = c
			}
			bestTime = min(bestTime, predicted)
		}
	}
	return best, bestTime
}

// hasRoom reports whether the engine can take the request as its first endpoint without queueing it.
func hasRoom(e *fleet.Engine, c *Candidate, need Need) bool {
	return c.Streams < e.Slots && c.Context+need.Tokens+need.Output <= e.Memory
}

// firstEvent predicts the time to the first event of a prompt with the given reading time on the endpoint.
func firstEvent(e *fleet.Engine, c *Candidate, reading time.Duration) time.Duration {
	pass := passDelay(e, c)
	return pass/2 + c.Unread + reading + pass
}

// passDelay is the time of one pass apart from its reading.
func passDelay(e *fleet.Engine, c *Candidate) time.Duration {
	if c.Streams == 0 {
		return idlePass
	}
	return e.PassTime(c.Streams, c.Context)
}

// fitsPause reports whether reading on the endpoint leaves its streams within their pauses.
func fitsPause(e *fleet.Engine, c *Candidate, part time.Duration) bool {
	if c.Pause == 0 {
		return true
	}
	return c.Unread+part+passDelay(e, c) <= time.Duration(pauseShare*float64(c.Pause))
}

// placeLong finds the number of readers with the earliest first event. The prompt is read in even parts.
func placeLong(e *fleet.Engine, candidates []Candidate, group int, need Need) (Choice, *Refusal) {
	usable := longCandidates(candidates, group)
	reading := e.PromptTime(need.Tokens)
	var best Choice
	var bestCost time.Duration
	for readers := 1; readers <= min(maxReaders, len(usable)); readers++ {
		choice, ok := withReaders(e, usable, need, reading, readers)
		cost := choice.Predicted + time.Duration(readers)*readerOverhead
		if ok && (best.First == nil || cost < bestCost) {
			best, bestCost = choice, cost
		}
	}
	limit := time.Duration(objectiveShare * float64(need.Objective))
	switch {
	case best.First == nil:
		return Choice{}, &Refusal{Reason: SlotsFull, RetryAfter: spread(minRetryAfter, maxRetryAfter)}
	case best.Predicted > limit:
		return Choice{}, &Refusal{Reason: TooLate, RetryAfter: retryAfter(best.Predicted - limit), Predicted: best.Predicted}
	}
	return best, nil
}

// longCandidates returns the endpoints for long prompts, from the end of the order. Endpoints of the short group are
// left out, and others that still have short streams too unless nothing else is left.
func longCandidates(candidates []Candidate, group int) []Candidate {
	var free, mixed []Candidate
	for i := len(candidates) - 1; i >= 0; i-- {
		c := candidates[i]
		switch {
		case c.Cold || c.Reserve || c.Suspect:
		case i < group && c.Streams > 0 || c.Pause > 0 && c.Pause <= shortPause:
			mixed = append(mixed, c)
		case i >= group:
			free = append(free, c)
		}
	}
	if len(free) == 0 {
		return mixed
	}
	return free
}

// withReaders returns the choice with a given number of readers.
func withReaders(e *fleet.Engine, usable []Candidate, need Need, reading time.Duration, readers int) (Choice, bool) {
	part := reading / time.Duration(readers)
	first := firstOf(e, usable, need, part)
	if first == nil {
		return Choice{}, false
	}
	choice := Choice{First: first.Endpoint, Part: part, Predicted: firstEvent(e, first, part)}
	taken := map[*fleet.Endpoint]bool{first.Endpoint: true}
	for len(choice.Helpers) < readers-1 {
		helper := helperOf(e, usable, taken, part)
		if helper == nil {
			return Choice{}, false
		}
		taken[helper.Endpoint] = true
		choice.Helpers = append(choice.Helpers, helper.Endpoint)
		choice.Predicted = max(choice.Predicted, firstEvent(e, helper, part))
	}
	return choice, true
}

// firstOf returns the endpoint that holds the memory and writes. Endpoints that have long streams already are
// preferred, because each stream bounds how much may be read beside it.
func firstOf(e *fleet.Engine, usable []Candidate, need Need, part time.Duration) *Candidate {
	var best *Candidate
	for i := range usable {
		c := &usable[i]
		if !hasRoom(e, c, need) || !fitsPause(e, c, part) {
			continue
		}
		if best == nil || betterFirst(c, best) {
			best = c
		}
	}
	return best
}

func betterFirst(a, b *Candidate) bool {
	aBusy, bBusy := a.Streams > 0, b.Streams > 0
	if aBusy != bBusy {
		return aBusy
	}
	return a.Unread < b.Unread
}

// helperOf returns the untaken endpoint that is free to read first.
func helperOf(e *fleet.Engine, usable []Candidate, taken map[*fleet.Endpoint]bool, part time.Duration) *Candidate {
	var best *Candidate
	for i := range usable {
		c := &usable[i]
		if taken[c.Endpoint] || !fitsPause(e, c, part) {
			continue
		}
		if best == nil || firstEvent(e, c, part) < firstEvent(e, best, part) {
			best = c
		}
	}
	return best
}

// Plain places a request on the endpoints of a plain service: the one with the fewest requests, the own domain first
// among equals.
func Plain(candidates []Candidate, domain string) (Choice, *Refusal) {
	var best *Candidate
	for i := range candidates {
		c := &candidates[i]
		if c.Streams >= c.Endpoint.Slots*2 {
			continue
		}
		if best == nil || plainCost(c, domain) < plainCost(best, domain) {
			best = c
		}
	}
	switch {
	case best != nil:
		return Choice{First: best.Endpoint}, nil
	case len(candidates) == 0:
		return Choice{}, &Refusal{Reason: NoEndpoint, RetryAfter: minRetryAfter}
	}
	return Choice{}, &Refusal{Reason: SlotsFull, RetryAfter: spread(minRetryAfter/2, minRetryAfter)}
}

// plainCost orders the endpoints of a plain service. Requests queue from the number of slots on.
func plainCost(c *Candidate, domain string) float64 {
	cost := float64(c.Streams) / float64(max(c.Endpoint.Slots, 1))
	if c.Endpoint.Domain != domain {
		cost += 0.5
	}
	if c.Cold || c.Reserve || c.Suspect {
		cost += 2
	}
	return cost
}

// retryAfter returns the advised delay if room is expected after the given time.
func retryAfter(excess time.Duration) time.Duration {
	return spread(min(max(excess, minRetryAfter), maxRetryAfter/2), maxRetryAfter)
}

// spread returns a random time between the bounds, near the lower one, so that callers do not return together.
func spread(least, most time.Duration) time.Duration {
	width := max(min(most-least, least), time.Millisecond)
	return least + rand.N(width)
}
