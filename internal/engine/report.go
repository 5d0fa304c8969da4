package engine

import (
	"fmt"
	"time"
)

// Phase is the progress of a stream on an engine.
type Phase string

// The phases of a stream.
const (
	PhaseQueued  Phase = "queued"
	PhasePrefill Phase = "prefill"
	PhaseDecode  Phase = "decode"
	// PhaseExported marks a prompt segment whose KV cache waits for its import or release.
	PhaseExported Phase = "exported"
)

// MaxClockSkew is the largest accepted difference between the wall clocks of an engine and of an instance that reads its
// load reports.
const MaxClockSkew = 250 * time.Millisecond

// Stream is one stream or exported segment on an engine.
type Stream struct {
	// ID is the X-Request-Id of the request that opened the stream, or the ID of the segment.
	ID string `json:"id"`
	// Tokens is the KV memory reserved for the stream: the complete prompt and the maximum output, from the acceptance of
	// the stream on. If the count grew with the prefill, a new owner of the engine could grant the same memory twice.
	Tokens int64 `json:"tokens"`
	Phase  Phase `json:"phase"`
	AgeMS  int64 `json:"age_ms"`
}

// LoadReport is an engine's response to GET /load. It describes the engine at AtMS, not at the time of the response.
type LoadReport struct {
	// StartID changes with each start of the engine.
	StartID string `json:"start_id"`
	// AtMS is the sample time on the engine's wall clock, in milliseconds since the Unix epoch.
	AtMS         int64 `json:"at_ms"`
	MemoryTokens int64 `json:"memory_tokens"`
	// UsedTokens is the KV memory in use, except cache entries that the engine can evict.
	UsedTokens int64    `json:"used_tokens"`
	Streams    []Stream `json:"streams"`
	Fence      int64    `json:"fence"`
	Warm       bool     `json:"warm"`
}

// ClockError reports an engine whose wall clock is ahead of the local one by more than MaxClockSkew.
type ClockError struct {
	Ahead time.Duration
}

// Error implements the error interface.
func (e *ClockError) Error() string {
	return fmt.Sprintf("load report is %v ahead of the local wall clock (at most %v is accepted)", e.Ahead, MaxClockSkew)
}

// SampleTime converts the sample time to the local monotonic clock. now is the arrival time of the response. The result is
// not later than the sample if the wall clocks differ by at most MaxClockSkew. If the report is further in the future, its
// age is unknown and the report must not be treated as current: SampleTime returns a ClockError.
func (r *LoadReport) SampleTime(now time.Time) (time.Time, error) {
	lag := time.Duration(now.UnixMilli()-r.AtMS) * time.Millisecond
	if lag < -MaxClockSkew {
		return time.Time{}, &ClockError{Ahead: -lag}
	}
	return now.Add(-lag - MaxClockSkew), nil
}
