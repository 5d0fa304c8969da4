package waitqueue

import (
	"time"

	"github.com/acacialift/acacialift/internal/placement"
)

const (
	// A prompt is among the largest if its engine time exceeds largestCost times its objective. It may be late by
	// largestExtension of the objective, because it can hardly be placed at all otherwise: on deployment B prompts of 1,000,000
	// tokens need 2.9 s of the objective of 4 s with 17 idle endpoints.
	largestCost      = 3
	largestExtension = 0.25
)

// onTimeEnd returns the time until which the first event counts as on time.
func (r *Request) onTimeEnd() time.Time {
	if r.Cost > largestCost*r.Need.Objective {
		return r.OnTimeUntil.Add(time.Duration(largestExtension * float64(r.Need.Objective)))
	}
	return r.OnTimeUntil
}

// latestStart is the last time at which the request can start and be on time.
func (r *Request) latestStart() time.Time { return r.onTimeEnd().Add(-r.Prefill) }

// lastStart is the last time at which the request can start and be useful.
func (r *Request) lastStart() time.Time { return r.Until.Add(-r.Prefill) }

// waitsUntil returns the end of the time for which an arriving request waits. Short prompts are served late as long as that
// has a value. Long ones are not, except for a moment if their callers return or are late already: in the emulator, late ones
// made more others late than were served in addition.
func (r *Request) waitsUntil(now time.Time) time.Time {
	if r.Short {
		return r.Until
	}
	until := r.onTimeEnd()
	if !r.Returning && !r.latestStart().Before(now) {
		return until
	}
	return later(until, earlier(now.Add(placement.LateObjective(r.Need.Objective)), r.Until))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// NeedAt returns the need of the request at a time, with the remaining time to the first event. A request that can no longer be
// on time is placed only where its first event is early (placement.LateObjective). With its whole useful time it would fill
// endpoints with prefills that make others late.
func (r *Request) NeedAt(now time.Time) placement.Need {
	need := r.Need
	need.Queued = true
	need.Objective = max(r.onTimeEnd().Sub(now), 0)
	if r.latestStart().Before(now) {
		need.Objective = max(min(placement.LateObjective(r.Need.Objective), r.Until.Sub(now)), 0)
	}
	return need
}
