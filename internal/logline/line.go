// Package logline parses the logs of gateways and controllers, which have one line of key=value pairs per event.
package logline

import (
	"strconv"
	"strings"
	"time"
)

// The keys that are not shown as details of an event.
const (
	KeyRequestID = "request_id"
	KeyTime      = "time"
	KeyLevel     = "level"
	KeyInstance  = "instance"
	KeyProcess   = "process"
)

// messageKeys are the keys that loggers use for the message.
var messageKeys = []string{"message", "msg", "event"}

// Pair is one key with its unquoted value.
type Pair struct {
	Key   string
	Value string
}

// Line is one parsed log line.
type Line struct {
	// Time is zero if the line has no valid time.
	Time time.Time
	// Message is the value of the key message, msg or event, or the words without a key.
	Message string
	// Pairs contains the key=value pairs in the order of the line, without time and message.
	Pairs []Pair
}

// Value returns the value of a key, or an empty string.
func (l Line) Value(key string) string {
	for _, pair := range l.Pairs {
		if pair.Key == key {
			return pair.Value
		}
	}
	return ""
}

// Parse parses a line. Values with spaces are quoted as Go strings. A word without a key is part of the message, except
// that the first word is the time if it can be parsed as a time. Parse accepts any text, because logs may be truncated or
// contain lines in other formats.
func Parse(text string) Line {
	var line Line
	var words []string
	for i, field := range splitFields(text) {
		key, value, isPair := strings.Cut(field, "=")
		switch {
		case !isPair || key == "" || strings.HasPrefix(key, `"`):
			if parsed, ok := parseTime(field); ok && i == 0 {
				line.Time = parsed
				continue
			}
			words = append(words, unquote(field))
		default:
			line.add(key, unquote(value))
		}
	}
	if line.Message == "" {
		line.Message = strings.Join(words, " ")
	}
	return line
}

func (l *Line) add(key, value string) {
	if parsed, ok := parseTime(value); ok && key == KeyTime {
		l.Time = parsed
		return
	}
	for _, messageKey := range messageKeys {
		if key == messageKey && l.Message == "" {
			l.Message = value
			return
		}
	}
	l.Pairs = append(l.Pairs, Pair{Key: key, Value: value})
}

// splitFields splits the text at spaces and tabs outside of quotes.
func splitFields(text string) []string {
	var result []string
	start := -1
	quoted := false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case c == '\\' && quoted:
			i++
		case c == '"':
			quoted = !quoted
			if start < 0 {
				start = i
			}
		case (c == ' ' || c == '\t') && !quoted:
			if start >= 0 {
				result = append(result, text[start:i])
			}
			start = -1
		case start < 0:
			start = i
		}
	}
	if start >= 0 {
		result = append(result, text[start:])
	}
	return result
}

func unquote(value string) string {
	if unquoted, err := strconv.Unquote(value); err == nil {
		return unquoted
	}
	return value
}

// parseTime parses a time in RFC 3339 format or in Unix milliseconds.
func parseTime(value string) (time.Time, bool) {
	if parsed, err := time.Parse(time.RFC3339Nano, value); err == nil {
		return parsed, true
	}
	const minUnixMilli = 1e12
	if ms, err := strconv.ParseInt(value, 10, 64); err == nil && ms >= minUnixMilli {
		return time.UnixMilli(ms).UTC(), true
	}
	return time.Time{}, false
}
