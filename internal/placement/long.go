package placement

import (
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
)

// placeLong finds the number of readers with the earliest first event. The prompt is read in even parts.
func (p Planner) placeLong(e *fleet.Engine, candidates []Candidate, group int, need Need) (Choice, *Refusal) {
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
		return Choice{}, &Refusal{Reason: SlotsFull, RetryAfter: p.spread(minRetryAfter, maxRetryAfter)}
	case best.Predicted > limit:
		return Choice{}, &Refusal{Reason: TooLate, RetryAfter: p.retryAfter(best.Predicted - limit), Predicted: best.Predicted}
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
