package emulator

import (
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/pace"
	"github.com/acacialift/acacialift/internal/placement"
)

// request is one request of a load and its state.
type request struct {
	// randomRank is the random number that the request keeps for its placement.
	randomRank float64
	arrival
	instance int
	// shard is the shard whose scheduler places the request.
	shard int
	// home is the shard to which the request was sent first.
	home int
	// prompt identifies the request to the schedules of return times. precedes is true if it goes before newcomers, because it
	// has kept to the time that it was told.
	prompt   uint64
	precedes bool
	// outputTokens is the memory of the response in tokens.
	outputTokens int64
	retried      bool
	// retriesAtOnce counts the retries at once of an impatient team.
	retriesAtOnce int
	// arrivedAt is the time of the last attempt.
	arrivedAt      time.Duration
	inFlight       *load.Request
	primary        *endpoint
	reserved       map[*fleet.Endpoint]int64
	primaryPart    *part
	partsRemaining int
	eventsDecoded  int
	firstEventAt   time.Duration
	lastEventAt    time.Duration
	gapExceeded    bool
	// choice is the result of the placement.
	choice placement.Choice
	// paced observes the endpoints of the request, which were chosen at pacedAt; nil without pace. onSlow is true if one of
	// them was slow then, and pauses are those between its events.
	paced   *pace.Request
	pacedAt time.Duration
	onSlow  bool
	pauses  pace.Pauses
}

// output returns the number of tokens of the response. Each event has stride tokens, as many as a pass of the engine
// decodes per stream.
func (r *request) output(stride int) int64 { return int64(r.events * stride) }

func (r *request) memoryTokens() int64 { return r.tokens + r.outputTokens }

// reservedTokens returns the memory of the request at its helpers.
func (r *request) reservedTokens() int64 {
	var reserved int64
	for _, tokens := range r.reserved {
		reserved += tokens
	}
	return min(reserved, r.memoryTokens())
}

// value returns the value of the request, which grows with the length of the prompt. base is the value of a request with a
// prompt of mean length.
func (r *request) value(base float64) float64 {
	return min(base*(0.3+0.7*float64(r.tokens)/r.kind.Prompt.Mean), 4*base)
}

// isInLargestTenth reports whether the prompt belongs to about the largest tenth of its kind.
func (r *request) isInLargestTenth() bool {
	const ninthDecile = 1.28
	s := r.kind.Prompt
	return float64(r.tokens) > quantile(s, ninthDecile)
}
