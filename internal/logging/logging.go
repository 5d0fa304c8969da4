// Package logging writes one line of key=value pairs for each event.
package logging

import (
	"fmt"
	"io"
	"strings"
	"time"

	nbiologging "github.com/lesismal/nbio/logging"
	"github.com/rs/zerolog"
)

// timeFormat has microseconds to allow sorting the lines of several processes on one machine.
const timeFormat = "2006-01-02T15:04:05.000000Z07:00"

// New returns a logger that adds the instance's name and the role of the process to each line.
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

// eventName replaces the spaces of a message, because the event is written without quotes.
func eventName(value any) string {
	text, _ := value.(string)
	if text == "" {
		return "none"
	}
	return strings.ReplaceAll(text, " ", "_")
}

// RouteNbio sends the log of the nbio library to the given logger as event "nbio".
func RouteNbio(log zerolog.Logger) { nbiologging.SetLogger(nbioLogger{log}) }

// nbioLogger implements nbio's logging.Logger.
type nbioLogger struct{ log zerolog.Logger }

// SetLevel does nothing; the level of the zerolog logger applies.
func (nbioLogger) SetLevel(int) {}

// Debug implements logging.Logger.
func (l nbioLogger) Debug(format string, v ...any) { l.write(zerolog.DebugLevel, format, v) }

// Info implements logging.Logger. It logs at debug level, because the start and stop of nbio's engines are of interest only
// there.
func (l nbioLogger) Info(format string, v ...any) { l.write(zerolog.DebugLevel, format, v) }

// Warn implements logging.Logger.
func (l nbioLogger) Warn(format string, v ...any) { l.write(zerolog.WarnLevel, format, v) }

// Error implements logging.Logger.
func (l nbioLogger) Error(format string, v ...any) { l.write(zerolog.ErrorLevel, format, v) }

func (l nbioLogger) write(level zerolog.Level, format string, v []any) {
	l.log.WithLevel(level).Str("detail", strings.TrimSpace(fmt.Sprintf(format, v...))).Msg("nbio")
}
