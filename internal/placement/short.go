package placement

import (
	"math"
	"slices"
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
)

// shortGroupSize returns the number of endpoints, from the start of the order, that short streams need.
func shortGroupSize(e *fleet.Engine, candidates []Candidate) int {
	streams := 0
	for i := range candidates {
		if candidates[i].MaxGap > 0 && candidates[i].MaxGap <= maxShortGap {
			streams += candidates[i].Streams
		}
	}
	perEndpoint := max(int(shortSlotFraction*float64(e.Slots)), 1)
	return min(1+streams/perEndpoint+len(candidates)/endpointsPerSpare, len(candidates))
}

// The short group has one spare endpoint per endpointsPerSpare candidates, because all instances place the first short
// prompts on the same few endpoints until the counts of their peers arrive.
const endpointsPerSpare = 20

// maxShortGap is the longest max gap of a short stream.
const maxShortGap = 400 * time.Millisecond

// maxShortPart is the longest part of a short prompt that one endpoint prefills. Longer prompts are split.
const maxShortPart = 70 * time.Millisecond

// placeShort chooses the endpoint with the earliest first event in the short group. If no endpoint of the group would be
// on time, it considers the other endpoints, then slow ones, and cold and suspect ones last.
func (p Planner) placeShort(e *fleet.Engine, candidates []Candidate, group int, need Need) (Choice, *Refusal) {
	prefill := e.PrefillTime(need.Tokens)
	endpoints := 1 + int(prefill/maxShortPart)
	limit := time.Duration(objectiveFraction * float64(need.Objective))
	// The capacity of a range includes the capacity of the ranges before it. A request whose rank exceeds the capacity
	// leaves it to requests of peer instances with lower ranks, and tries the next range.
	// Held endpoints come last, because the gap of a short stream prevents the prefill for which they are held.
	inGroup, all := preferred(candidates[:group]), slices.Clone(candidates)
	ranges := []candidateRange{
		{candidates: inGroup, capacity: freeCapacity(e, inGroup, need, limit)},
		{candidates: preferred(candidates[group:]), capacity: freeCapacity(e, preferred(candidates), need, limit)},
		{candidates: all, capacity: freeCapacity(e, all, need, limit)},
	}
	if withSlow := preferredOrSlow(candidates); withSlow != nil {
		ranges = slices.Insert(ranges, 2, candidateRange{candidates: withSlow, capacity: freeCapacity(e, withSlow, need, limit)})
	}
	for _, r := range ranges {
		if need.RandomRank*need.Unseen >= r.capacity {
			continue
		}
		for k := endpoints; k >= 1; k-- {
			choice, ok := p.shortChoice(e, r, need, k)
			if ok && choice.Predicted <= limit {
				return choice, nil
			}
		}
	}
	best, predicted := p.earliest(e, slices.Clone(candidates), need, sampleSize, prefill)
	if best == nil || predicted <= limit {
		return Choice{}, &Refusal{Reason: SlotsFull, RetryAfter: p.randomDelay(minRetryAfter, 2*need.Objective)}
	}
	return Choice{}, &Refusal{Reason: TooLate, RetryAfter: p.retryAfter(predicted - limit), Predicted: predicted}
}

// candidateRange is a part of the candidates. Its capacity is the number of prompts that fit into this and all earlier
// ranges.
type candidateRange struct {
	candidates []Candidate
	capacity   float64
}

// shortChoice returns the endpoint with the earliest first event and the helpers of the prompt.
func (p Planner) shortChoice(e *fleet.Engine, r candidateRange, need Need, endpoints int) (Choice, bool) {
	part := e.PrefillTime(need.Tokens) / time.Duration(endpoints)
	primary, predicted := p.earliest(e, r.candidates, need, sampleCount(need, r.capacity), part)
	if primary == nil || endpoints > 1 && !fitsSplit(e, primary, part, dueFraction) {
		return Choice{}, false
	}
	b := newChoiceBuilder(e, primary, part, predicted)
	ok := b.addHelpers(endpoints, func() *Candidate { return earliestHelper(e, r.candidates, b.chosen, part, dueFraction) })
	return b.choice, ok
}

// freeCapacity returns how many prompts like this one the candidates could still prefill in time.
func freeCapacity(e *fleet.Engine, candidates []Candidate, need Need, limit time.Duration) float64 {
	prefill := max(e.PrefillTime(need.Tokens), time.Millisecond)
	var capacity float64
	for i := range candidates {
		c := &candidates[i]
		spare := limit - firstEvent(e, c, prefill)
		if !hasCapacity(e, c, need) || spare < 0 {
			continue
		}
		capacity += min(float64(e.Slots-c.Streams), 1+float64(spare)/float64(prefill))
	}
	return capacity
}

// preferred returns the candidates that are neither cold nor suspect nor held nor slow.
func preferred(candidates []Candidate) []Candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.Cold || c.Suspect || c.Held || c.isSlow() })
}

// earliest samples count random candidates with capacity, and returns the one with the earliest first event. If every
// instance chose the best of all candidates, that endpoint would get the requests of all instances until the next load
// messages. The function changes the order of the candidates.
func (p Planner) earliest(
	e *fleet.Engine, candidates []Candidate, need Need, count int, prefill time.Duration,
) (*Candidate, time.Duration) {
	var best *Candidate
	var bestTime time.Duration
	remaining := count
	for i := range candidates {
		// Each round draws one of the candidates that have not been drawn yet.
		j := i + p.IntN(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
		c := &candidates[i]
		if !hasCapacity(e, c, need) {
			continue
		}
		predicted := firstEvent(e, c, prefill) + time.Duration(c.Streams)*time.Millisecond
		if best == nil || predicted < bestTime {
			best, bestTime = c, predicted
		}
		if remaining--; remaining == 0 {
			break
		}
	}
	return best, bestTime
}

// compareAll makes earliest consider every candidate.
const compareAll = math.MaxInt

// sampleSize is the number of endpoints that are compared for a short prompt.
const sampleSize = 4

// Fewer endpoints are compared if unseen requests of peer instances may use more than unseenFraction of the free capacity.
const unseenFraction = 0.125

// sampleCount returns how many endpoints are compared. The more requests of peer instances are missing in the counts, the
// more instances choose the same apparently best endpoint. A random endpoint is then the better choice.
func sampleCount(need Need, capacity float64) int {
	if need.ExactCounts {
		return compareAll
	}
	if need.Unseen <= unseenFraction*capacity {
		return sampleSize
	}
	return max(int(unseenFraction*sampleSize*capacity/need.Unseen), 1)
}

// hasCapacity reports whether the engine can run the request as its primary endpoint without queueing it.
func hasCapacity(e *fleet.Engine, c *Candidate, need Need) bool {
	return !c.Full && !c.isWindowUsed() && c.Streams < e.Slots && c.UsedTokens+need.Tokens+need.Output <= e.MemoryTokens
}

// firstEvent predicts the time to the first event of a prompt with the given prefill time on the endpoint.
func firstEvent(e *fleet.Engine, c *Candidate, prefill time.Duration) time.Duration {
	pass := passTime(e, c)
	return pass/2 + c.slowed(c.PrefillBacklog+prefill) + pass
}

// splitFirstEvent predicts the time to the first event of a prompt that is split over several endpoints, as far as it
// depends on this endpoint. Engines prefill parts of split prompts before all other prompts.
func splitFirstEvent(e *fleet.Engine, c *Candidate, part time.Duration) time.Duration {
	pass := passTime(e, c)
	return pass/2 + c.slowed(part) + pass
}

// dueFraction is the fraction of the time left until earlier prefills are due that a part which precedes them may use.
const dueFraction = 0.85

// fitsSplit reports whether the endpoint can prefill a part of a split prompt before all other prompts. The endpoint's
// streams must stay within their max gaps. The backlog, the part and one pass must take no longer than the given fraction
// of the time left until earlier prefills are due.
func fitsSplit(e *fleet.Engine, c *Candidate, part time.Duration, fraction float64) bool {
	if !fitsGap(e, c, part) {
		return false
	}
	return c.PrefillDueIn == 0 || c.slowed(c.PrefillBacklog+part)+passTime(e, c) <= time.Duration(fraction*float64(c.PrefillDueIn))
}

// passTime returns the time of one pass without its prefill.
func passTime(e *fleet.Engine, c *Candidate) time.Duration {
	if c.Streams == 0 {
		return c.slowed(idlePassTime)
	}
	return c.slowed(e.PassTime(c.Streams, c.UsedTokens))
}

// fitsGap reports whether the endpoint's streams stay within their max gaps during the prefill.
func fitsGap(e *fleet.Engine, c *Candidate, part time.Duration) bool {
	if c.MaxGap == 0 {
		return true
	}
	return c.slowed(c.PrefillBacklog+part)+passTime(e, c) <= time.Duration(gapFraction*float64(c.MaxGap))
}
