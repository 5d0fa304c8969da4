package gateway

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/acacialift/acacialift/internal/outcome"
	"github.com/acacialift/acacialift/internal/peer"
)

const (
	// maxBufferedAnswer bounds an answer that is not streamed; it is sent to the caller only when it is whole.
	maxBufferedAnswer = 4 << 20
	refusedHeader     = "X-Refused"
	eventStreamType   = "text/event-stream"
)

// terminalEvent ends a whole stream of server-sent events.
var terminalEvent = []byte("data: [DONE]")

// answerReceiver passes an endpoint's answer to the caller.
type answerReceiver struct {
	x       *exchange
	granted *credited
	// sent is the time of the hand-over.
	sent   time.Time
	status int
	header http.Header
	stream bool
	first  time.Time
	// tail holds the end of a stream, to find the terminal event.
	tail      []byte
	buffered  []byte
	bodyBytes int64
	// endedByEndpoint is true if the endpoint itself reported an error inside the stream or ended it early.
	endedByEndpoint bool
}

// OnHead implements engine.Receiver.
func (r *answerReceiver) OnHead(status int, header http.Header) error {
	if header.Get(refusedHeader) == string(outcome.NotRun) {
		return errRefused
	}
	r.status = status
	r.header = header
	r.stream = strings.HasPrefix(header.Get("Content-Type"), eventStreamType)
	return nil
}

// OnBody implements engine.Receiver.
func (r *answerReceiver) OnBody(data []byte) error {
	if r.first.IsZero() {
		r.first = time.Now()
		r.x.firstToken = r.first
		r.x.stage = outcome.StageDecode
		r.x.gateway.held.progress(r.granted, peer.ReportPrefill, r.firstTokenAfter())
	}
	r.bodyBytes += int64(len(data))
	if r.stream {
		return r.forward(data)
	}
	if len(r.buffered)+len(data) > maxBufferedAnswer {
		return errAnswerTooLarge
	}
	r.buffered = append(r.buffered, data...)
	return nil
}

func (r *answerReceiver) forward(data []byte) error {
	if !r.x.headSent {
		r.x.headSent = true
		copyHeader(r.x.w.Header(), r.header)
		r.x.w.Header().Set("X-Request-Id", r.x.id.String())
		r.x.w.WriteHeader(r.status)
	}
	if _, err := r.x.w.Write(data); err != nil {
		return errCallerLeft
	}
	flush(r.x.w)
	r.tail = append(r.tail, data...)
	if keep := 2 * len(terminalEvent); len(r.tail) > keep {
		r.tail = append(r.tail[:0], r.tail[len(r.tail)-keep:]...)
	}
	return nil
}

// complete is called when the endpoint's HTTP answer is whole. It sends a buffered answer and checks a stream's end.
func (r *answerReceiver) complete() error {
	if r.stream {
		if !bytes.HasSuffix(bytes.TrimRight(r.tail, "\r\n"), terminalEvent) {
			r.endedByEndpoint = true
			return errIncompleteBody
		}
		return nil
	}
	header := r.x.w.Header()
	copyHeader(header, r.header)
	header.Set("X-Request-Id", r.x.id.String())
	header.Set("Content-Length", strconv.Itoa(len(r.buffered)))
	r.x.headSent = true
	r.x.w.WriteHeader(r.status)
	if _, err := r.x.w.Write(r.buffered); err != nil {
		return errCallerLeft
	}
	return nil
}

func (r *answerReceiver) firstTokenAfter() time.Duration {
	if r.first.IsZero() {
		return 0
	}
	return r.first.Sub(r.sent)
}

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Content-Length": true, "Trailer": true,
	"Upgrade": true, "Te": true, "Proxy-Connection": true, "Date": true,
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !hopHeaders[http.CanonicalHeaderKey(name)] {
			to[http.CanonicalHeaderKey(name)] = values
		}
	}
}

func flush(w http.ResponseWriter) {
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
}
