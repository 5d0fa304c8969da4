package placement

import (
	"slices"
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
)

// EndpointsToHold returns the endpoints to hold for a long prompt that was not placed: those that will have free memory and
// prefill time soonest, as few as suffice and at most the given number. It returns nil if the prompt does not need several
// endpoints, or if no number of them suffices.
func EndpointsToHold(e *fleet.Engine, candidates []Candidate, need Need, most int) []*fleet.Endpoint {
	if IsShort(e, need) {
		return nil
	}
	var available []*Candidate
	for i := range candidates {
		if c := &candidates[i]; !c.Cold && !c.Suspect && !c.Held {
			available = append(available, c)
		}
	}
	slices.SortStableFunc(available, func(a, b *Candidate) int { return compareFreeTime(e, a, b) })
	count := holdCount(e, available, need, min(most, maxPrefillEndpoints, len(available)))
	if count < 2 {
		return nil
	}
	var endpoints []*fleet.Endpoint
	for _, c := range available[:count] {
		endpoints = append(endpoints, c.Endpoint)
	}
	return endpoints
}

// holdCount returns the least number of the first endpoints that have enough memory, once their streams have ended, and
// prefill the prompt within its objective.
func holdCount(e *fleet.Engine, available []*Candidate, need Need, most int) int {
	prefill := e.PrefillTime(need.Tokens)
	memory := int64(usableMemoryFraction * float64(e.MemoryTokens))
	for count := 1; count <= most; count++ {
		predicted := freeTime(e, available[count-1]) + prefill/time.Duration(count) + idlePassTime
		if int64(count)*memory >= need.Tokens+need.Output && predicted <= maxPredicted(e, need) {
			return count
		}
	}
	return 0
}

// freeTime estimates when an endpoint has free prefill time and memory: after its prefills and, in proportion to the memory
// that they use, its streams.
func freeTime(e *fleet.Engine, c *Candidate) time.Duration {
	return c.PrefillBacklog + time.Duration(float64(c.UsedTokens)/float64(max(e.MemoryTokens, 1))*float64(streamTime))
}

// streamTime is the assumed time until the streams that fill an endpoint's memory have ended.
const streamTime = time.Second

func compareFreeTime(e *fleet.Engine, a, b *Candidate) int {
	return int(freeTime(e, a) - freeTime(e, b))
}
