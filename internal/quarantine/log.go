package quarantine

import (
	"strings"

	"github.com/rs/zerolog"
)

// Log writes the beginning or the end of a quarantine with the evidence for it. endpointID returns the id of the endpoint with
// a key, or an empty string.
func (c Change) Log(event *zerolog.Event, endpointID func(key uint32) string) {
	responding, refuted := 0, 0
	endpoints := make([]string, 0, len(c.Crashes))
	for _, crash := range c.Crashes {
		if crash.Responding {
			responding++
		}
		if crash.Refuted {
			refuted++
		}
		if id := endpointID(crash.Endpoint); id != "" {
			endpoints = append(endpoints, id)
		}
	}
	event = event.Str("part", c.Part.String()).Str("with", Join(c.Companions)).Int("crashes", len(c.Crashes)).Int("responding", responding).
		Int("refuted", refuted).Bool("served", c.Served).Str("endpoints", strings.Join(endpoints, ","))
	if len(c.Crashes) > 0 {
		event = event.Dur("first_age_ms", c.Crashes[0].Age).Dur("last_age_ms", c.Crashes[len(c.Crashes)-1].Age)
	}
	if c.Quarantined {
		event.Msg("part_quarantined")
		return
	}
	event.Msg("part_released")
}
