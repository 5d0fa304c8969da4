package entry

import (
	"bytes"
	"errors"
	"strings"
	"unicode"

	"github.com/acacialift/acacialift/internal/budget"
)

// maxPendingEventBytes bounds the bytes that are buffered for an event whose end has not arrived.
const maxPendingEventBytes = 256 << 10

var (
	errEventTooLarge = errors.New("an event of the endpoint's stream exceeds its size limit or the memory for buffered responses")
	// errEventsOutOfOrder means that the id of an event is not greater than the previous id, or that an event is missing, for example
	// because an endpoint has started a resumed stream at the wrong event.
	errEventsOutOfOrder = errors.New("the events of the endpoint's stream are out of order")
	// errNoEvent means that bytes in the place of an event are none, for example the text of a failure.
	errNoEvent = errors.New("the endpoint's stream contains bytes that are no event")
)

// eventEnd ends an event.
var eventEnd = []byte("\n\n")

// eventSplitter splits a stream into events, because only complete events are forwarded. An event must end with two line
// feeds; two CR LF do not end it.
type eventSplitter struct {
	pending []byte
	// budget bounds the memory of the incomplete events and the buffered responses of the process, except the first
	// uncountedResponseBytes of each. reserved is the part of pending that counts toward it.
	budget   *budget.Budget
	reserved int64
	// lastID is the id of the last complete event with an id, or the one after which the caller resumes the stream; empty if there was
	// none.
	lastID string
	// isResuming is true from the start of an attempt that resumes the stream until its first event with an id. If mustFollow is true
	// too, that id must be the next number.
	isResuming, mustFollow bool
	numbering              numbering
	// isUnnumbered is true if the last complete event had no id, so that no endpoint can continue after it.
	isUnnumbered bool
	// count is the number of complete events in all attempts of the request. Comments and times for a reconnection do not count.
	count int
}

// add appends received bytes and returns the events that are complete now, with their separators. The remaining bytes stay
// pending. If an event is out of order, add returns the ones before it with the error.
func (e *eventSplitter) add(data []byte) ([]byte, error) {
	// The end of an event may begin with the last byte of what was pending.
	searched := max(len(e.pending)-len(eventEnd)+1, 0)
	e.pending = append(e.pending, data...)
	var err error
	complete := 0
	for err == nil {
		length := bytes.Index(e.pending[searched:], eventEnd)
		if length < 0 {
			break
		}
		if err = e.record(e.pending[complete : searched+length]); err == nil {
			complete = searched + length + len(eventEnd)
			searched = complete
		}
	}
	events := e.pending[:complete]
	if complete > 0 {
		e.pending = append([]byte(nil), e.pending[complete:]...)
	}
	if err == nil && (len(e.pending) > maxPendingEventBytes || !e.reserve()) {
		err = errEventTooLarge
	}
	return events, err
}

// reserve adjusts the reserved memory to that of the incomplete event. It returns false if the budget is used up.
func (e *eventSplitter) reserve() bool {
	counted := max(int64(cap(e.pending))-uncountedResponseBytes, 0)
	if counted > e.reserved && !e.budget.Reserve(counted-e.reserved) {
		return false
	}
	if counted < e.reserved {
		e.budget.Release(e.reserved - counted)
	}
	e.reserved = counted
	return true
}

// beginAttempt prepares for the events of another endpoint. consecutive is true if streams of the service have consecutive numbers.
func (e *eventSplitter) beginAttempt(consecutive bool) {
	e.isResuming = e.lastID != ""
	e.mustFollow = e.numbering.isConsecutive() || consecutive && !e.numbering.hasGaps
}

// record counts an event and checks that a numeric id is greater than the previous id. An endpoint that starts a stream
// from the beginning, although the request had a Last-Event-Id, would repeat ids, and one that starts too late would leave some out.
// Bytes that follow an event must be an event too, and the first one of an attempt that resumes the stream must have an id: an
// endpoint may send the text of a failure in its place, with the status and the content type of a stream.
func (e *eventSplitter) record(event []byte) error {
	lastID := e.lastID
	isComment, isNumbered, isEvent := true, false, false
	for line := range strings.Lines(string(event)) {
		line = strings.TrimRight(line, "\r\n")
		if (e.count > 0 || e.isResuming) && !isField(line) {
			return errNoEvent
		}
		isComment = isComment && strings.HasPrefix(line, ":")
		isEvent = isEvent || carriesEvent(line)
		value, _ := strings.CutPrefix(line, "id:")
		id := strings.TrimSpace(value)
		if value == line || id == "" {
			continue
		}
		if !e.mayFollow(lastID, id) {
			return errEventsOutOfOrder
		}
		if !e.isResuming {
			e.numbering.observe(lastID, id)
		}
		lastID, e.isResuming, isNumbered = id, false, true
	}
	if e.isResuming && !isComment {
		return errNoEvent
	}
	e.lastID = lastID
	if isEvent {
		e.count++
		e.isUnnumbered = !isNumbered
	}
	return nil
}

// carriesEvent reports whether a line belongs to an event that callers see, and not only to a comment or a time for a reconnection.
func carriesEvent(line string) bool {
	return line != "" && !strings.HasPrefix(line, ":") && !strings.HasPrefix(line, "retry:")
}

// isField reports whether a line of an event is a field or a comment: a name of letters, digits and hyphens, or none, before a colon.
// A name without a colon is a field without a value only if the specification of event streams defines it.
func isField(line string) bool {
	name, _, found := strings.Cut(line, ":")
	if !found {
		return name == "data" || name == "event" || name == "id" || name == "retry"
	}
	return strings.IndexFunc(name, func(r rune) bool {
		return r != '-' && !unicode.IsLetter(r) && !unicode.IsDigit(r)
	}) < 0
}

// mayFollow reports whether the id is greater than the last one, and at a resumption the next one if the numbers are consecutive. Ids
// that are no numbers have no order; they must differ.
func (e *eventSplitter) mayFollow(last, id string) bool {
	a, b, ok := numbers(last, id)
	switch {
	case last == "":
		return true
	case !ok:
		return !isNumber(last) && id != last
	case e.isResuming && e.mustFollow:
		return b == a+1
	}
	return b > a
}

// canResume reports whether another endpoint can continue the stream after the last complete event, or begin it. After an id that is
// no number, events that the caller has could not be told from the next ones.
func (e *eventSplitter) canResume() bool {
	return e.count == 0 || !e.isUnnumbered && isNumber(e.lastID)
}

// isComplete reports whether no incomplete event is pending.
func (e *eventSplitter) isComplete() bool { return len(e.pending) == 0 }

// dropPending discards an incomplete event before the stream is resumed at another endpoint.
func (e *eventSplitter) dropPending() {
	e.pending = nil
	e.budget.Release(e.reserved)
	e.reserved = 0
}
