package emulator

import (
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/placement"
)

// request is one call in the emulator.
type request struct {
	// lot is the random number that the request keeps for its placement.
	lot float64
	arrival
	instance int
	// shard is the part of the endpoints whose scheduler is asked.
	shard int
	// outputTokens is the memory of the answer.
	outputTokens int64
	returned     bool
	arrived      time.Duration
	holding      *load.Request
	first        *endpoint
	held         map[*fleet.Endpoint]int64
	ownPart      *part
	partsLeft    int
	written      int
	firstAt      time.Duration
	lastAt       time.Duration
	paused       bool
	// place tells how the request was placed, for a trace.
	place placement.Choice
}

// output returns the tokens of the answer; each event has as many as a pass of the engine writes.
func (r *request) output(stride int) int64 { return int64(r.events * stride) }

func (r *request) memory() int64 { return r.tokens + r.outputTokens }

// heldTokens returns the memory of the request at other endpoints than the first.
func (r *request) heldTokens() int64 {
	var held int64
	for _, tokens := range r.held {
		held += tokens
	}
	return min(held, r.memory())
}

// worth returns the credit of the request: it grows with the size of the prompt.
func (r *request) worth(of float64) float64 {
	return min(of*(0.3+0.7*float64(r.tokens)/r.kind.Prompt.Mean), 4*of)
}

// isLarge reports a prompt of about the largest tenth of its kind.
func (r *request) isLarge() bool {
	const ninthDecile = 1.28
	s := r.kind.Prompt
	return float64(r.tokens) > quantile(s, ninthDecile)
}
