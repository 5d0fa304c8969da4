package placement

import (
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
)

// Capacity is the capacity of a shard for the prompts of one length class.
type Capacity struct {
	// Shard is the number of candidates, Endpoints the number of those that may prefill such prompts.
	Shard, Endpoints int
	// Backlog is the prefill time that these endpoints still owe to placed requests, summed over the endpoints.
	Backlog time.Duration
}

// CapacityFor returns the capacity for prompts of the need's length class. Short prompts may use all endpoints that are
// neither cold nor suspect, and precede the backlog of long ones; long prompts may use those outside the short group.
func CapacityFor(e *fleet.Engine, candidates []Candidate, need Need) Capacity {
	capacity := Capacity{Shard: len(candidates)}
	group, short := shortGroupSize(e, candidates), IsShort(e, need)
	for i := range candidates {
		c := &candidates[i]
		switch {
		case c.Cold || c.Suspect:
		case short:
			capacity.Endpoints++
		case i >= group:
			capacity.Endpoints++
			capacity.Backlog += c.PrefillBacklog
		}
	}
	return capacity
}

// EngineTime returns the time of an engine that a request uses: the prefill of its prompt, and its part of the time in
// which the engine's slots decode its output. Both are bounded, because callers state the lengths.
func EngineTime(e *fleet.Engine, need Need) time.Duration {
	events := (need.Output + int64(e.Stride) - 1) / int64(max(e.Stride, 1))
	decode := float64(events) * float64(e.PassTime(e.Slots, need.Tokens)) / float64(max(e.Slots, 1))
	return e.PrefillTime(need.Tokens) + time.Duration(min(decode, float64(fleet.MaxEngineTime)))
}

// ShortestPrefill returns the shortest time to the first event of a prompt on idle endpoints of a shard, with as many helpers
// as a prompt may have.
func ShortestPrefill(e *fleet.Engine, need Need, endpoints int) time.Duration {
	prefill := e.PrefillTime(need.Tokens)
	most := max(min(maxPrefillEndpoints, endpoints), 1)
	if IsShort(e, need) {
		most = min(most, 1+int(prefill/maxShortPart))
	}
	return prefill/time.Duration(most) + idlePassTime
}
