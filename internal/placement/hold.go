package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
)

// holdObjectiveFraction is the fraction of the objective within which held endpoints are expected to have prefilled a prompt.
// The rest is a margin for streams that end later than assumed.
const holdObjectiveFraction = 0.6

// EndpointsToHold returns the endpoints to hold for a prompt that was not placed and exceeds the memory of one engine: those
// of the long group that will have free memory and prefill time soonest, as few as suffice and at most the given number. It
// returns none if no number of them suffices. Holds for smaller prompts made fewer prompts of all sizes succeed in the emulator.
func EndpointsToHold(e *fleet.Engine, candidates []Candidate, need Need, most int) []*fleet.Endpoint {
	if need.Tokens+need.Output <= e.MemoryTokens {
		return nil
	}
	var available []*Candidate
	for i := shortGroupSize(e, candidates); i < len(candidates); i++ {
		if c := &candidates[i]; !c.Cold && !c.Suspect && !c.Held {
			available = append(available, c)
		}
	}
	slices.SortStableFunc(available, func(a, b *Candidate) int { return cmp.Compare(freeTime(e, a), freeTime(e, b)) })
	count := holdCount(e, available, need, min(most, maxPrefillEndpoints, len(available)))
	endpoints := make([]*fleet.Endpoint, 0, count)
	for _, c := range available[:count] {
		endpoints = append(endpoints, c.Endpoint)
	}
	return endpoints
}

// holdCount returns the least number of the first endpoints whose memory suffices and that are expected to prefill the prompt
// in time; zero if there is none. If the time suffices for no number, the one with the earliest first event is chosen.
func holdCount(e *fleet.Engine, available []*Candidate, need Need, most int) int {
	prefill := e.PrefillTime(need.Tokens)
	memory := int64(usableMemoryFraction * float64(e.MemoryTokens))
	target := time.Duration(holdObjectiveFraction * float64(need.Objective))
	best, bestTime := 0, maxPredicted(e, need)
	for count := 1; count <= most; count++ {
		predicted := freeTime(e, available[count-1]) + prefill/time.Duration(count) + idlePassTime
		if int64(count)*memory < need.Tokens+need.Output || predicted > bestTime {
			continue
		}
		best, bestTime = count, predicted
		if predicted <= target {
			break
		}
	}
	return best
}

// freeTime estimates when an endpoint has free prefill time and memory: after its prefills and, in proportion to the memory
// that they use, its streams.
func freeTime(e *fleet.Engine, c *Candidate) time.Duration {
	return c.PrefillBacklog + time.Duration(float64(c.UsedTokens)/float64(max(e.MemoryTokens, 1))*float64(streamTime))
}

// streamTime is the assumed time until the streams that fill an endpoint's memory have ended.
const streamTime = time.Second
