package entry

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/acacialift/acacialift/internal/engine"
	"github.com/acacialift/acacialift/internal/fleet"
)

var (
	errResponseSize = errors.New("the endpoint's response exceeds its size limit or the memory for buffered responses")
	errCallerWrite  = errors.New("writing to the caller's connection failed")
)

// relay receives the response of one attempt. Streams are forwarded event by event. Other responses are buffered until they
// are complete, because a truncated response must not look complete to the caller.
type relay struct {
	x *exchange
	// endpoint is the endpoint that responds.
	endpoint *fleet.Endpoint
	// began is the boot-time of the start of the attempt.
	began time.Duration
	// sentAt is the time immediately before the first byte of the request was sent.
	sentAt time.Time
	// classification is set when the head has arrived. classified is then true unless the response is Mismatched.
	classification Classification
	classified     bool
	status         int
	header         http.Header
	body           bufferedResponse
	streaming      bool
	// reserved is the memory that endpoints have reserved for the attempt.
	reserved *reservationSet
	// reused is true if the connection has carried an earlier request.
	reused bool
	// unframed is true if only the end of the connection ends the response.
	unframed bool
	// ctx is the context of the attempt. witness is nil unless the end of the response may have to be confirmed by it.
	ctx     context.Context
	witness *witness
	// isOpen reports whether a response without length has not ended yet.
	isOpen func() bool
	// sinceData is the time from the arrival of the last data of a response without length to the notice of its end.
	sinceData time.Duration
	// onEvents is called at each event of a stream, or at the end of a response that is not a stream.
	onEvents func()
	// firstEventAt is the time of the first event of the attempt.
	firstEventAt time.Time
	// isEstablished is true once the response has gone on for long enough that the endpoint will not crash because of the prompt.
	isEstablished bool
}

const (
	// A stream is established after establishedEvents and establishedTime. A part of the prompt that crashes endpoints may let them write
	// some events before. Longer ones would delay the evidence for sound parts.
	establishedEvents = 8
	establishedTime   = time.Second
)

// OnHead implements engine.Receiver.
func (r *relay) OnHead(status int, header http.Header) error {
	classification := r.x.handler.options.Protocol.Classify(r.x.call, status, header)
	if classification.Verdict == Mismatched {
		r.classification = classification
		return engine.ErrMismatchedResponse
	}
	if r.reused && !classification.NamesCall {
		// The response may be a second copy of one to an earlier request. Then this request may be running.
		classification = Classification{Verdict: Invalid, Reason: "response_without_id_on_reused_connection"}
	}
	r.classification, r.classified = classification, true
	if classification.Verdict == Accepted || classification.Verdict == NotRun {
		endpointStatus := r.x.handler.options.Protocol.EndpointStatus(status, header)
		r.x.applyStatus(r.endpoint, endpointStatus)
		if !endpointStatus.HasMaxRate && endpointStatus.InvalidMaxRate == "" {
			r.x.observeRateEnd(r.endpoint, r.sentAt)
		}
	}
	r.status, r.header = status, header
	if classification.Verdict != Accepted {
		return nil
	}
	r.streaming = status == http.StatusOK && r.x.profile.Kind == fleet.Streaming && isEventStream(header)
	return nil
}

// OnReused implements engine.MatchingReceiver.
func (r *relay) OnReused() { r.reused = true }

// IsMatched implements engine.MatchingReceiver.
func (r *relay) IsMatched() bool { return r.classification.NamesCall }

// OnUnframed implements engine.UnframedReceiver.
func (r *relay) OnUnframed(isOpen func() bool) {
	r.unframed = true
	r.observeUnframed(isOpen)
}

// OnUnframedEnd implements engine.UnframedReceiver.
func (r *relay) OnUnframedEnd(sinceData time.Duration) { r.sinceData = sinceData }

// framing names what ends the response, for the log. It is empty if no head has arrived that belongs to the call.
func (r *relay) framing() string {
	switch {
	case !r.classified:
		return ""
	case r.unframed:
		return "connection"
	case r.header.Get("Content-Length") != "":
		return "length"
	}
	return "chunks"
}

func isEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

// OnBody implements engine.Receiver.
func (r *relay) OnBody(data []byte) error {
	r.refreshWitness(time.Now())
	if r.streaming {
		return r.forwardEvents(data)
	}
	return r.body.add(data)
}

// forwardEvents sends the events that are complete to the caller, also those that arrived together with one out of order: the stream is
// resumed after them.
func (r *relay) forwardEvents(data []byte) error {
	before := r.x.events.count
	complete, orderErr := r.x.events.add(data)
	if len(complete) == 0 {
		return orderErr
	}
	if r.x.events.count > before {
		r.x.observeEvent(time.Now())
	}
	r.onEvents()
	r.observeEvents(time.Now())
	if err := r.x.sendEvents(r.header, complete); err != nil {
		return errors.Join(errCallerWrite, err)
	}
	return orderErr
}

// observeEvents checks whether the stream is established by the events so far.
func (r *relay) observeEvents(now time.Time) {
	if r.firstEventAt.IsZero() {
		r.firstEventAt = now
	}
	if !r.isEstablished && r.x.attemptEvents() >= establishedEvents && now.Sub(r.firstEventAt) >= establishedTime {
		r.isEstablished = true
		r.x.observeServed()
	}
}

// showsSound reports whether a complete response shows that the endpoint does not crash because of the prompt: it has processed the
// prompt, and not refused it or only confirmed that the stream has ended.
func (r *relay) showsSound() bool {
	if r.streaming {
		return r.x.attemptEvents() > 0
	}
	return isSuccess(r.status)
}

// copyHeader copies the header of an endpoint's response without the headers that belong to a single connection. Those of the caller's
// connection stay.
func copyHeader(to, from http.Header) {
	forwarded := from.Clone()
	engine.RemoveHopHeaders(forwarded)
	maps.Copy(to, forwarded)
}

// sendBuffered forwards a buffered response.
func (r *relay) sendBuffered(w http.ResponseWriter) error {
	copyHeader(w.Header(), r.header)
	length := strconv.Itoa(r.body.size)
	if r.x.call.Method == http.MethodHead && r.header.Get("Content-Length") != "" {
		length = r.header.Get("Content-Length")
	}
	w.Header().Set("Content-Length", length)
	w.WriteHeader(r.status)
	return r.body.writeTo(w)
}
