package entry

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// maxPendingEventBytes bounds the bytes that are buffered for an event whose end has not arrived.
const maxPendingEventBytes = 256 << 10

var (
	errEventTooLarge = errors.New("an event of the endpoint's stream is too large")
	// errEventsOutOfOrder means that the id of an event is not greater than the previous id, for example because an
	// endpoint has started a resumed stream from the beginning.
	errEventsOutOfOrder = errors.New("the events of the endpoint's stream are out of order")
)

// eventSplitter splits a stream into events, because only complete events are forwarded. An event must end with two line
// feeds; two CR LF do not end it.
type eventSplitter struct {
	pending []byte
	// lastID is the id of the last complete event with an id; empty if there was none.
	lastID string
	// count is the number of complete events in all attempts of the request.
	count int
}

// add appends received bytes and returns the events that are complete now, with their separators. The remaining bytes stay
// pending.
func (e *eventSplitter) add(data []byte) ([]byte, error) {
	e.pending = append(e.pending, data...)
	end := bytes.LastIndex(e.pending, []byte("\n\n"))
	if end < 0 {
		if len(e.pending) > maxPendingEventBytes {
			return nil, errEventTooLarge
		}
		return nil, nil
	}
	complete := e.pending[:end+2]
	e.pending = append([]byte(nil), e.pending[end+2:]...)
	for event := range bytes.SplitSeq(complete[:end], []byte("\n\n")) {
		if err := e.record(event); err != nil {
			return nil, err
		}
	}
	return complete, nil
}

// record counts an event and checks that a numeric id is greater than the previous id. An endpoint that starts a stream
// from the beginning, although the request had a Last-Event-Id, would repeat ids.
func (e *eventSplitter) record(event []byte) error {
	e.count++
	for line := range strings.Lines(string(event)) {
		value, found := strings.CutPrefix(strings.TrimRight(line, "\r\n"), "id:")
		if !found {
			continue
		}
		id := strings.TrimSpace(value)
		if !mayFollow(e.lastID, id) {
			return errEventsOutOfOrder
		}
		e.lastID = id
	}
	return nil
}

// mayFollow reports whether the id is greater than the last one. If either is not a number, it returns true.
func mayFollow(last, id string) bool {
	a, errA := strconv.ParseInt(last, 10, 64)
	b, errB := strconv.ParseInt(id, 10, 64)
	return errA != nil || errB != nil || b > a
}

// isComplete reports whether no incomplete event is pending.
func (e *eventSplitter) isComplete() bool { return len(e.pending) == 0 }

// dropPending discards an incomplete event before the stream is resumed at another endpoint.
func (e *eventSplitter) dropPending() { e.pending = nil }
