package placement

import (
	"math"
	"slices"
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
)

// shortGroup returns the number of endpoints, from the start of the order, that short streams need.
func shortGroup(e *fleet.Engine, candidates []Candidate) int {
	streams := 0
	for i := range candidates {
		if candidates[i].MaxGap > 0 && candidates[i].MaxGap <= shortPause {
			streams += candidates[i].Streams
		}
	}
	perEndpoint := max(int(shortSlots*float64(e.Slots)), 1)
	return min(1+streams/perEndpoint+len(candidates)/groupReserve, len(candidates))
}

// groupReserve gives one more endpoint to the short group for each so many: when short prompts set in, all instances
// place them at the same few endpoints until the first counts of the others arrive.
const groupReserve = 20

// shortPause is the longest pause of streams that count as short.
const shortPause = 400 * time.Millisecond

// maxShortPart is the longest part of a short prompt that one endpoint reads; longer ones are split.
const maxShortPart = 70 * time.Millisecond

// placeShort takes the endpoint with the earliest first event in the short group, or in the rest if the group has none
// in time.
func (p Planner) placeShort(e *fleet.Engine, candidates []Candidate, group int, need Need) (Choice, *Refusal) {
	reading := e.PrefillTime(need.Tokens)
	readers := 1 + int(reading/maxShortPart)
	limit := time.Duration(objectiveShare * float64(need.Objective))
	// Each range holds the places of the ones before it: a request whose number is beyond them leaves these to others,
	// here or at other instances, and goes on to the next range.
	inGroup, all := preferred(candidates[:group]), slices.Clone(candidates)
	for _, r := range []placeRange{
		{candidates: inGroup, places: freePlaces(e, inGroup, need, limit)},
		{candidates: preferred(candidates[group:]), places: freePlaces(e, preferred(candidates), need, limit)},
		{candidates: all, places: freePlaces(e, all, need, limit)},
	} {
		if need.RandomRank*need.Unseen >= r.places {
			continue
		}
		for k := readers; k >= 1; k-- {
			choice, ok := p.shortChoice(e, r, need, k)
			if ok && choice.Predicted <= limit {
				return choice, nil
			}
		}
	}
	best, predicted := p.earliest(e, slices.Clone(candidates), need, sampled, reading)
	if best == nil || predicted <= limit {
		return Choice{}, &Refusal{Reason: SlotsFull, RetryAfter: p.spread(minRetryAfter, 2*need.Objective)}
	}
	return Choice{}, &Refusal{Reason: TooLate, RetryAfter: p.retryAfter(predicted - limit), Predicted: predicted}
}

// placeRange is a part of the candidates, with the number of free places up to its end.
type placeRange struct {
	candidates []Candidate
	places     float64
}

// shortChoice returns the earliest endpoint and the helpers that read the prompt with it.
func (p Planner) shortChoice(e *fleet.Engine, r placeRange, need Need, readers int) (Choice, bool) {
	part := e.PrefillTime(need.Tokens) / time.Duration(readers)
	first, predicted := p.earliest(e, r.candidates, need, compared(need, r.places), part)
	if first == nil || readers > 1 && !fitsShared(e, first, part, dueShare) {
		return Choice{}, false
	}
	a := newAssembly(e, first, part, predicted)
	whole := a.fill(readers, func() *Candidate { return earliestReader(e, r.candidates, a.taken, part, dueShare) })
	return a.choice, whole
}

// freePlaces returns how many prompts like this one the candidates could still read in time.
func freePlaces(e *fleet.Engine, candidates []Candidate, need Need, limit time.Duration) float64 {
	reading := max(e.PrefillTime(need.Tokens), time.Millisecond)
	var places float64
	for i := range candidates {
		c := &candidates[i]
		spare := limit - firstEvent(e, c, reading)
		if !hasRoom(e, c, need) || spare < 0 {
			continue
		}
		places += min(float64(e.Slots-c.Streams), 1+float64(spare)/float64(reading))
	}
	return places
}

// preferred returns the candidates that are neither cold nor suspected.
func preferred(candidates []Candidate) []Candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.Cold || c.Suspect })
}

// earliest returns the candidate with room and the earliest first event of the given number of random ones. The best one of all would
// draw the requests of all instances until their next messages.
func (p Planner) earliest(e *fleet.Engine, candidates []Candidate, need Need, count int, reading time.Duration) (*Candidate, time.Duration) {
	var best *Candidate
	var bestTime time.Duration
	left := count
	for at := range candidates {
		// Draws the candidates without repetition, in random order.
		other := at + p.IntN(len(candidates)-at)
		candidates[at], candidates[other] = candidates[other], candidates[at]
		c := &candidates[at]
		if !hasRoom(e, c, need) {
			continue
		}
		predicted := firstEvent(e, c, reading) + time.Duration(c.Streams)*time.Millisecond
		if best == nil || predicted < bestTime {
			best, bestTime = c, predicted
		}
		if left--; left == 0 {
			break
		}
	}
	return best, bestTime
}

// allEndpoints compares every endpoint.
const allEndpoints = math.MaxInt

// sampled is the number of endpoints that are compared for a short prompt.
const sampled = 4

// unseenShare is the part of the free places that unseen requests may take before fewer endpoints are compared.
const unseenShare = 0.125

// compared returns how many endpoints are compared. The more requests of other instances the counts lack, the more of
// them take the endpoint that seems best, so that a random one is the better choice.
func compared(need Need, places float64) int {
	if need.Exact {
		return allEndpoints
	}
	if need.Unseen <= unseenShare*places {
		return sampled
	}
	return max(int(unseenShare*sampled*places/need.Unseen), 1)
}

// hasRoom reports whether the engine can take the request as its first endpoint without queueing it.
func hasRoom(e *fleet.Engine, c *Candidate, need Need) bool {
	return c.Streams < e.Slots && c.UsedTokens+need.Tokens+need.Output <= e.MemoryTokens
}

// firstEvent predicts the time to the first event of a prompt with the given reading time on the endpoint.
func firstEvent(e *fleet.Engine, c *Candidate, reading time.Duration) time.Duration {
	pass := passDelay(e, c)
	return pass/2 + c.PrefillBacklog + reading + pass
}

// sharedFirstEvent predicts the time to the first event of a prompt that several endpoints read, as far as it depends on
// this one. Engines read parts of such prompts before everything else.
func sharedFirstEvent(e *fleet.Engine, c *Candidate, part time.Duration) time.Duration {
	pass := passDelay(e, c)
	return pass/2 + part + pass
}

// dueShare is the part of the time left until earlier prompts must be read that a part before them may use.
const dueShare = 0.85

// fitsShared reports whether the endpoint can read a part before everything else without breaking the pause of a stream
// or the given share of the time that earlier prompts have left.
func fitsShared(e *fleet.Engine, c *Candidate, part time.Duration, share float64) bool {
	if !fitsPause(e, c, part) {
		return false
	}
	return c.PrefillDueIn == 0 || c.PrefillBacklog+part+passDelay(e, c) <= time.Duration(share*float64(c.PrefillDueIn))
}

// passDelay is the time of one pass apart from its reading.
func passDelay(e *fleet.Engine, c *Candidate) time.Duration {
	if c.Streams == 0 {
		return idlePass
	}
	return e.PassTime(c.Streams, c.UsedTokens)
}

// fitsPause reports whether reading on the endpoint leaves its streams within their pauses.
func fitsPause(e *fleet.Engine, c *Candidate, part time.Duration) bool {
	if c.MaxGap == 0 {
		return true
	}
	return c.PrefillBacklog+part+passDelay(e, c) <= time.Duration(pauseShare*float64(c.MaxGap))
}
