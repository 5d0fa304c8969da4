// Package logging writes one line of key=value pairs for each event.
package logging

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

// timeFormat has microseconds, so that the lines of several processes on one clock can be sorted.
const timeFormat = "2006-01-02T15:04:05.000000Z07:00"

// New returns a logger whose lines carry the instance's name and the role of the process.
func New(w io.Writer, level zerolog.Level, instance, role string) zerolog.Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	console := zerolog.ConsoleWriter{
		Out:             w,
		NoColor:         true,
		TimeFormat:      timeFormat,
		TimeLocation:    time.UTC,
		FormatTimestamp: formatTimestamp,
		FormatLevel:     func(value any) string { return fmt.Sprintf("level=%v", value) },
		FormatMessage:   func(value any) string { return fmt.Sprintf("event=%v", eventName(value)) },
	}
	return zerolog.New(console).Level(level).With().Timestamp().Str("instance", instance).Str("role", role).Logger()
}

func formatTimestamp(value any) string {
	text, _ := value.(string)
	parsed, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return fmt.Sprintf("time=%v", value)
	}
	return "time=" + parsed.UTC().Format(timeFormat)
}

// eventName keeps a line parseable when a message has spaces.
func eventName(value any) string {
	text, _ := value.(string)
	if text == "" {
		return "none"
	}
	return strings.ReplaceAll(text, " ", "_")
}
