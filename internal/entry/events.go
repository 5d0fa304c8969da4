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
	// errEventOrder means that a stream does not go on after the last event.
	errEventOrder = errors.New("the events of the endpoint's stream are out of order")
)

// events splits a stream into whole events, so that a cut one is never passed on.
type events struct {
	pending []byte
	// lastID is the id of the last whole event; empty if none had one.
	lastID string
	// count is the number of whole events.
	count int
}

// feed adds received bytes and returns the whole events among the pending ones. The result is valid until the next call.
func (e *events) feed(data []byte) ([]byte, error) {
	e.pending = append(e.pending, data...)
	end := bytes.LastIndex(e.pending, []byte("\n\n"))
	if end < 0 {
		if len(e.pending) > maxEventBytes {
			return nil, errEventSize
		}
		return nil, nil
	}
	whole := e.pending[:end+2]
	e.pending = append([]byte(nil), e.pending[end+2:]...)
	for event := range bytes.SplitSeq(whole[:end], []byte("\n\n")) {
		if err := e.note(event); err != nil {
			return nil, err
		}
	}
	return whole, nil
}

// note counts an event. Ids are numbers that increase; an endpoint that begins a stream anew, where it was told to go
// on, repeats them.
func (e *events) note(event []byte) error {
	e.count++
	for line := range strings.Lines(string(event)) {
		value, found := strings.CutPrefix(strings.TrimRight(line, "\r\n"), "id:")
		if !found {
			continue
		}
		id := strings.TrimSpace(value)
		if !follows(e.lastID, id) {
			return errEventOrder
		}
		e.lastID = id
	}
	return nil
}

// follows reports whether the id may come after the last one. Only numbers can be compared.
func follows(last, id string) bool {
	a, errA := strconv.ParseInt(last, 10, 64)
	b, errB := strconv.ParseInt(id, 10, 64)
	return errA != nil || errB != nil || b > a
}

// isWhole reports whether the stream ended after a whole event.
func (e *events) isWhole() bool { return len(e.pending) == 0 }

// restart drops a cut event before the stream goes on elsewhere.
func (e *events) restart() { e.pending = nil }
