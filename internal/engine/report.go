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

// MaxClockSkew bounds the difference between the wall clocks of an engine and of the instance that reads its reports.
const MaxClockSkew = 250 * time.Millisecond

// Stream is one stream or exported segment on an engine.
type Stream struct {
	// ID is the X-Request-Id of the request that opened the stream, or the id of the segment.
	ID string `json:"id"`
	// Tokens is the KV memory set aside for the stream: the whole prompt and the allowed output, from the moment the
	// engine accepts the stream. A count that grew with the prefill would let a new owner grant memory twice.
	Tokens int64 `json:"tokens"`
	Phase  Phase `json:"phase"`
	AgeMS  int64 `json:"age_ms"`
}

// LoadReport is an engine's answer to GET /load. It describes the engine at AtMS, not at the time of the answer.
type LoadReport struct {
	// StartID changes with each start of the engine.
	StartID string `json:"start_id"`
	// AtMS is the sample time on the engine's wall clock, in milliseconds.
	AtMS         int64 `json:"at_ms"`
	MemoryTokens int64 `json:"memory_tokens"`
	// UsedTokens is the memory in use without cache entries that the engine can drop.
	UsedTokens int64    `json:"used_tokens"`
	Streams    []Stream `json:"streams"`
	Fence      int64    `json:"fence"`
	Warm       bool     `json:"warm"`
}

// ClockError reports an engine whose wall clock differs from the reader's by more than MaxClockSkew.
type ClockError struct {
	Ahead time.Duration
}

// Error implements the error interface.
func (e *ClockError) Error() string {
	return fmt.Sprintf("load report is %v ahead of the local wall clock (at most %v is accepted)", e.Ahead, MaxClockSkew)
}

// SampleTime returns a time on the reader's monotonic clock that is not later than the sample, provided that the clocks
// differ by at most MaxClockSkew. now is the time at which the answer arrived. A report from the future returns a
// ClockError: its age cannot be known, so it must not count as fresh.
func (r *LoadReport) SampleTime(now time.Time) (time.Time, error) {
	lag := time.Duration(now.UnixMilli()-r.AtMS) * time.Millisecond
	if lag < -MaxClockSkew {
		return time.Time{}, &ClockError{Ahead: -lag}
	}
	return now.Add(-lag - MaxClockSkew), nil
}
