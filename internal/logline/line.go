// Package logline reads the decision logs of gateways and controllers: one line of key=value pairs per event.
package logline

import (
	"strconv"
	"strings"
	"time"
)

// The keys that have a meaning of their own.
const (
	KeyRequestID = "request_id"
	KeyTime      = "time"
	KeyLevel     = "level"
	KeyInstance  = "instance"
	KeyProcess   = "process"
)

// messageKeys are the keys under which loggers write the message.
var messageKeys = []string{"message", "msg", "event"}

// Pair is one key with its unquoted value.
type Pair struct {
	Key   string
	Value string
}

// Line is one event.
type Line struct {
	// Time is zero if the line has none that can be read.
	Time time.Time
	// Message is the value of the key message, msg or event, or the words without a key.
	Message string
	// Pairs are the pairs in the order of the line, without time and message.
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

// Parse reads a line. Values with spaces are quoted as Go strings. A word without a key is taken as the time if it is
// the first and reads as one, otherwise as a part of the message; no line is refused, because logs may be cut or mixed.
func Parse(text string) Line {
	var line Line
	var words []string
	for i, field := range fields(text) {
		key, value, isPair := strings.Cut(field, "=")
		switch {
		case !isPair || key == "" || strings.HasPrefix(key, `"`):
			if at, ok := parseTime(field); ok && i == 0 {
				line.Time = at
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
	if at, ok := parseTime(value); ok && key == KeyTime {
		l.Time = at
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

// fields splits at spaces outside of quotes.
func fields(text string) []string {
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

// parseTime reads RFC 3339 and Unix milliseconds.
func parseTime(value string) (time.Time, bool) {
	if at, err := time.Parse(time.RFC3339Nano, value); err == nil {
		return at, true
	}
	const leastMilliseconds = 1e12
	if ms, err := strconv.ParseInt(value, 10, 64); err == nil && ms >= leastMilliseconds {
		return time.UnixMilli(ms).UTC(), true
	}
	return time.Time{}, false
}
