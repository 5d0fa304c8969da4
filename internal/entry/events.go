package entry

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 256 << 10

var (
	errEventSize = errors.New("an event of the endpoint's stream is too large")
	// errEventOrder means that a stream does not continue after the last event that was forwarded.
	errEventOrder = errors.New("the events of the endpoint's stream are out of order")
)

// events splits a stream into complete events, because a truncated event must not be forwarded.
type events struct {
	pending []byte
	// lastID is the id of the last complete event that had one; empty if none had.
	lastID string
	// count is the number of complete events.
	count int
}

// add appends received bytes to the pending ones and removes the complete events from them. It returns these events; the
// result is valid until the next call.
func (e *events) add(data []byte) ([]byte, error) {
	e.pending = append(e.pending, data...)
	end := bytes.LastIndex(e.pending, []byte("\n\n"))
	if end < 0 {
		if len(e.pending) > maxEventBytes {
			return nil, errEventSize
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

// record counts an event and checks its id. Ids are increasing numbers: they repeat if an endpoint starts a stream from the
// beginning although it was asked to resume.
func (e *events) record(event []byte) error {
	e.count++
	for line := range strings.Lines(string(event)) {
		value, found := strings.CutPrefix(strings.TrimRight(line, "\r\n"), "id:")
		if !found {
			continue
		}
		id := strings.TrimSpace(value)
		if !isNextID(e.lastID, id) {
			return errEventOrder
		}
		e.lastID = id
	}
	return nil
}

// isNextID reports whether the id may follow the last one. Ids that are not numbers are not compared.
func isNextID(last, id string) bool {
	a, errA := strconv.ParseInt(last, 10, 64)
	b, errB := strconv.ParseInt(id, 10, 64)
	return errA != nil || errB != nil || b > a
}

// isComplete reports whether all received bytes belong to complete events.
func (e *events) isComplete() bool { return len(e.pending) == 0 }

// dropPartial discards a truncated event before the stream is resumed at another endpoint.
func (e *events) dropPartial() { e.pending = nil }
