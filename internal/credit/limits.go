// Package credit implements the admission control of one endpoint at its owner: reservations, the cold-start ramp, limits
// per length class and fair shares of the teams. It does no I/O; times are passed in and must come from one monotonic clock.
package credit

import (
	"math"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/peer"
)

const (
	defaultLongPrefills = 1
	defaultShortShare   = 0.25
	// maxSteps bounds the ramp of a service whose cold limit is 0, because doubling 0 never reaches the warm limit.
	maxSteps = 32
)

// Limits are the limits of one endpoint under one configuration revision.
type Limits struct {
	// Plain is true for plain services: only streams count and no engine reports are expected.
	Plain bool
	// Cold is the limit at the first step of the ramp, Warm the limit at the last step.
	Cold config.Limit
	Warm config.Limit
	// LongPrefills is the number of long prompts that may be in prefill at once.
	LongPrefills int
	// ShortShare is the fraction of the tokens and streams that is reserved for short prompts, 0 to 1.
	ShortShare float64
	// PrefillRate is the expected prefill speed in tokens per second; 0 disables all time estimates.
	PrefillRate float64
	// Weights are the teams' weights; a missing or non-positive weight is treated as 1.
	Weights map[string]int
}

// LimitsOf returns the limits of a service's endpoints, with defaults filled in.
func LimitsOf(service *config.Service, teams []config.Team) Limits {
	limits := Limits{
		Plain:        service.Kind == config.KindPlain,
		Cold:         service.Cold,
		Warm:         service.Warm,
		LongPrefills: service.LongPrefills,
		ShortShare:   defaultShortShare,
		PrefillRate:  service.PrefillRate,
		Weights:      WeightsOf(teams),
	}
	if limits.LongPrefills <= 0 {
		limits.LongPrefills = defaultLongPrefills
	}
	if service.ShortShare != nil {
		limits.ShortShare = math.Min(math.Max(*service.ShortShare, 0), 1)
	}
	return limits
}

// WeightsOf returns the weights by team. Accounts only read them, so all accounts of a process can share one map.
func WeightsOf(teams []config.Team) map[string]int {
	weights := make(map[string]int, len(teams))
	for _, team := range teams {
		weights[team.Name] = team.Weight
	}
	return weights
}

func (l Limits) weight(team string) float64 {
	if weight := l.Weights[team]; weight > 0 {
		return float64(weight)
	}
	return 1
}

// limitAt returns the limit at a step of the ramp: the cold limit doubled step times, but at most the warm limit.
func (l Limits) limitAt(step int) config.Limit {
	limit := config.Limit{Streams: min(l.Cold.Streams, l.Warm.Streams), Tokens: min(l.Cold.Tokens, l.Warm.Tokens)}
	for range step {
		limit.Streams = min(2*limit.Streams, l.Warm.Streams)
		limit.Tokens = min(2*limit.Tokens, l.Warm.Tokens)
	}
	return limit
}

// lastStep returns the first step at which the limit reaches the warm limit.
func (l Limits) lastStep() int {
	step := 0
	for step < maxSteps && !l.covers(l.limitAt(step), l.Warm) {
		step++
	}
	return step
}

// covers reports whether limit is at least needed in streams and, for model services, in tokens.
func (l Limits) covers(limit, needed config.Limit) bool {
	return limit.Streams >= needed.Streams && (l.Plain || limit.Tokens >= needed.Tokens)
}

// MaxTokens returns the largest number of tokens that one reservation of the class can get on a warm endpoint.
func (l Limits) MaxTokens(class peer.LengthClass) int64 { return l.forClass(l.Warm, class).Tokens }

// forClass returns the part of limit that prompts of the class may use: short prompts all of it, medium and long ones
// together what ShortShare leaves. If the limit is a single stream, none is reserved for short prompts, because no
// other prompt could ever run.
func (l Limits) forClass(limit config.Limit, class peer.LengthClass) config.Limit {
	if l.Plain || class == peer.ClassShort {
		return limit
	}
	streams := int(math.Ceil(l.ShortShare * float64(limit.Streams)))
	streams = min(streams, max(limit.Streams-1, 0))
	tokens := int64(math.Ceil(l.ShortShare * float64(limit.Tokens)))
	return config.Limit{Streams: limit.Streams - streams, Tokens: limit.Tokens - tokens}
}
