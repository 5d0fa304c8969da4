// Package quarantine finds the parts of prompts under which endpoints crash, by the crashes that all instances observe, and
// keeps requests with these parts away from the endpoints.
package quarantine

import (
	"slices"
	"strconv"
	"strings"
)

// Part identifies a part of a prompt, such as a system prompt or the earlier turns of a session, that requests may share.
type Part uint64

// Prompt is what a request can be known by. No part has the number zero.
type Prompt struct {
	// Shared are the parts in order that requests of other sessions may have too.
	Shared []Part
	// Own is the part that only the request or its session has; zero if there is none.
	Own Part
}

// IsEmpty reports whether nothing is known about the prompt.
func (p Prompt) IsEmpty() bool { return len(p.Shared) == 0 && p.Own == 0 }

// includes reports whether the prompt has a part.
func (p Prompt) includes(part Part) bool { return part == p.Own || slices.Contains(p.Shared, part) }

// all calls f for each part until it returns false.
func (p Prompt) all(f func(position uint8, part Part) bool) {
	for i, part := range p.Shared {
		if !f(uint8(min(i, ownPosition-1)), part) {
			return
		}
	}
	if p.Own != 0 {
		f(ownPosition, p.Own)
	}
}

// String returns the part in the notation of the logs.
func (p Part) String() string { return strconv.FormatUint(uint64(p), 16) }

// Join returns the parts in the notation of the logs, separated by commas.
func Join(parts []Part) string {
	names := make([]string, len(parts))
	for i, p := range parts {
		names[i] = p.String()
	}
	return strings.Join(names, ",")
}
