package entry

import (
	"bytes"
	"strings"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 256 << 10

// events splits a stream into whole events, so that a cut one is never passed on.
type events struct {
	pending []byte
	// lastID is the id of the last whole event; empty if none had one.
	lastID string
	// count is the number of whole events.
	count int
}

// feed adds received bytes and returns the whole events among the pending ones. The result is valid until the next call.
func (e *events) feed(data []byte) []byte {
	e.pending = append(e.pending, data...)
	end := bytes.LastIndex(e.pending, []byte("\n\n"))
	if end < 0 {
		return nil
	}
	whole := e.pending[:end+2]
	e.pending = append([]byte(nil), e.pending[end+2:]...)
	for event := range bytes.SplitSeq(whole[:end], []byte("\n\n")) {
		e.count++
		e.note(event)
	}
	return whole
}

func (e *events) note(event []byte) {
	for line := range strings.Lines(string(event)) {
		if id, found := strings.CutPrefix(strings.TrimRight(line, "\n"), "id:"); found {
			e.lastID = strings.TrimSpace(id)
		}
	}
}

// isWhole reports whether the stream ended after a whole event.
func (e *events) isWhole() bool { return len(e.pending) == 0 }

// isOversize reports whether an event is longer than any that is accepted.
func (e *events) isOversize() bool { return len(e.pending) > maxEventBytes }

// restart drops a cut event before the stream goes on elsewhere.
func (e *events) restart() { e.pending = nil }
