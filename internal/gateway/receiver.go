package gateway

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/httpserver"
	"github.com/acacialift/acacialift/internal/outcome"
	"github.com/acacialift/acacialift/internal/peer"
)

const (
	// maxBufferedAnswer bounds an answer that is not streamed; it is sent to the caller only when it is whole.
	maxBufferedAnswer = 4 << 20
	refusedHeader     = "X-Refused"
	eventStreamType   = "text/event-stream"
	// eventGapBytes is the length of the longest end of an event, CR LF CR LF.
	eventGapBytes = 4
)

// terminalEvent ends a whole stream of server-sent events.
var terminalEvent = []byte("data: [DONE]")

// answerReceiver passes an endpoint's answer to the caller.
type answerReceiver struct {
	ctx     context.Context
	x       *exchange
	granted *credited
	// sent is the time of the dispatch.
	sent   time.Time
	status int
	header http.Header
	stream bool
	first  time.Time
	// held is the end of a stream that may be its terminal event. It goes to the caller when the HTTP answer is whole,
	// so that a stream cut by the endpoint never shows the terminal event.
	held      []byte
	buffered  []byte
	bodyBytes int64
	// endedByEndpoint is true if the endpoint itself reported an error inside the stream or ended it early.
	endedByEndpoint bool
	// whole is true once the endpoint's answer is whole.
	whole bool
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
	if r.needsTerminal() {
		data = append(r.held, data...)
		at := terminalStart(data)
		r.held = append([]byte(nil), data[at:]...)
		data = data[:at]
	}
	if len(data) == 0 {
		return nil
	}
	return r.write(data)
}

// needsTerminal tells whether the answer is a stream whose end must be marked by the terminal event.
func (r *answerReceiver) needsTerminal() bool {
	return r.stream && r.x.service.Kind == config.KindModel
}

// terminalStart returns the position from which the data may be the terminal event, or its length.
func terminalStart(data []byte) int {
	text := bytes.TrimRight(data, "\r\n")
	start := bytes.LastIndexByte(text, '\n') + 1
	line := text[start:]
	cutLine := len(text) == len(data) && bytes.HasPrefix(terminalEvent, line)
	if cutLine || bytes.Equal(line, terminalEvent) {
		return start
	}
	return len(data)
}

// blockedWriteGrace lets a write that is not blocked end when the time budget ends, so that the caller gets the error event
// instead of a reset.
const blockedWriteGrace = 100 * time.Millisecond

// write sends a part of the answer to the caller. A write that blocks until the time budget ends is reset: the budget
// bounds the request, whatever its caller reads.
func (r *answerReceiver) write(data []byte) error {
	written := make(chan struct{})
	defer close(written)
	stop := context.AfterFunc(r.ctx, func() {
		select {
		case <-written:
		case <-time.After(blockedWriteGrace):
			httpserver.Abort(r.x.w)
		}
	})
	defer stop()
	if !r.x.headSent {
		r.x.headSent = true
		copyHeader(r.x.w.Header(), r.header)
		r.x.w.Header().Set("X-Request-Id", r.x.id.String())
		if !r.stream {
			r.x.w.Header().Set("Content-Length", r.contentLength())
		}
		r.x.w.WriteHeader(r.status)
	}
	if _, err := r.x.w.Write(data); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return errCallerLeft
	}
	flush(r.x.w)
	end := append(r.x.sentEnd, data[max(0, len(data)-eventGapBytes):]...)
	r.x.sentEnd = end[max(0, len(end)-eventGapBytes):]
	if httpserver.WriteError(r.x.w) != nil {
		return errCallerLeft
	}
	return nil
}

// contentLength returns the length of a buffered answer. An answer to HEAD declares a length without a body.
func (r *answerReceiver) contentLength() string {
	if declared := r.header.Get("Content-Length"); r.x.req.Method == http.MethodHead && declared != "" {
		return declared
	}
	return strconv.Itoa(len(r.buffered))
}

// complete is called when the endpoint's HTTP answer is whole. It checks a stream's end and sends what is buffered.
func (r *answerReceiver) complete() error {
	if r.needsTerminal() && !bytes.HasPrefix(r.held, terminalEvent) {
		r.endedByEndpoint = true
		return errIncompleteBody
	}
	r.whole = true
	if r.stream {
		return r.write(r.held)
	}
	return r.write(r.buffered)
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
	// Only the gateway states an outcome.
	outcome.HeaderName: true,
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
