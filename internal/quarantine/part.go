// Package quarantine finds the parts of prompts under which endpoints crash, by the crashes that all instances observe, and
// keeps requests with these parts away from the endpoints.
package quarantine

import (
	"strconv"
	"strings"
)

// Part identifies a part of a prompt, such as a system prompt or the earlier turns of a session, that requests may share.
type Part uint64

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
