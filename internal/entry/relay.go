package entry

import (
	"errors"
	"net/http"
	"strconv"
	"strings"

	"github.com/acacialift/acacialift/internal/engine"
	"github.com/acacialift/acacialift/internal/fleet"
)

var (
	errAnswerSize  = errors.New("the endpoint's answer is too large")
	errCallerWrite = errors.New("the caller's connection broke")
)

// relay receives the answer of one attempt. Streams are passed on event by event; other answers are held until they are
// whole, so that a cut one never looks complete.
type relay struct {
	x *exchange
	// endpoint is the one that answers.
	endpoint *fleet.Endpoint
	// judgement is set with the head.
	judgement Classification
	judged    bool
	status    int
	header    http.Header
	body      bufferedResponse
	streaming bool
	// onFirst is called with the first event or the end of another answer.
	onFirst func()
}

// OnHead implements engine.Receiver.
func (r *relay) OnHead(status int, header http.Header) error {
	judgement := r.x.handler.options.Protocol.Classify(r.x.call, status, header)
	if judgement.Verdict == Mismatched {
		r.judgement = judgement
		return engine.ErrMismatchedResponse
	}
	r.judgement, r.judged = judgement, true
	if judgement.Verdict == Accepted || judgement.Verdict == NotRun {
		r.x.heed(r.endpoint, r.x.handler.options.Protocol.EndpointStatus(status, header))
	}
	r.status, r.header = status, header
	if judgement.Verdict != Accepted {
		return nil
	}
	r.streaming = status == http.StatusOK && r.x.profile.Kind == fleet.Streaming && isEventStream(header)
	return nil
}

func isEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

// OnBody implements engine.Receiver.
func (r *relay) OnBody(data []byte) error {
	if r.streaming {
		return r.passEvents(data)
	}
	return r.body.add(data)
}

// passEvents sends the whole events to the caller.
func (r *relay) passEvents(data []byte) error {
	whole, err := r.x.events.feed(data)
	if err != nil || len(whole) == 0 {
		return err
	}
	r.onFirst()
	if err := r.x.sendEvents(r.header, whole); err != nil {
		return errors.Join(errCallerWrite, err)
	}
	return nil
}

// copyHeader copies what concerns the answer itself.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
	engine.RemoveHopHeaders(to)
}

// sendWhole passes a held answer on.
func (r *relay) sendWhole(w http.ResponseWriter) error {
	copyHeader(w.Header(), r.header)
	w.Header().Set("Content-Length", strconv.Itoa(r.body.size))
	w.WriteHeader(r.status)
	return r.body.writeTo(w)
}
