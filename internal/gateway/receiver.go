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
	// maxBufferedResponse bounds a response that is not streamed, which is sent to the caller only when it is complete.
	maxBufferedResponse = 4 << 20
	refusedHeader       = "X-Refused"
	eventStreamType     = "text/event-stream"
	// maxSeparatorBytes is the length of the longest separator between events, CR LF CR LF.
	maxSeparatorBytes = 4
)

// terminalEvent marks the end of a complete stream of server-sent events.
var terminalEvent = []byte("data: [DONE]")

// responseReceiver forwards an endpoint's response to the caller.
type responseReceiver struct {
	ctx     context.Context
	x       *exchange
	granted *grantedCredit
	// sentAt is the time of the dispatch.
	sentAt      time.Time
	status      int
	header      http.Header
	stream      bool
	firstBodyAt time.Time
	// withheld is the end of the received stream if it may be the terminal event. It is sent to the caller only when the
	// HTTP response is complete, because a truncated stream must not contain the terminal event.
	withheld  []byte
	buffered  []byte
	bodyBytes int64
	// endedByEndpoint is true if the endpoint ended the HTTP response without the terminal event, for example after an
	// error event.
	endedByEndpoint bool
	// complete is true once the endpoint's response is complete.
	complete bool
}

// OnHead implements engine.Receiver.
func (r *responseReceiver) OnHead(status int, header http.Header) error {
	if header.Get(refusedHeader) == string(outcome.NotRun) {
		return errRefused
	}
	r.status = status
	r.header = header
	r.stream = strings.HasPrefix(header.Get("Content-Type"), eventStreamType)
	return nil
}

// OnBody implements engine.Receiver.
func (r *responseReceiver) OnBody(data []byte) error {
	if r.firstBodyAt.IsZero() {
		r.firstBodyAt = time.Now()
		r.x.firstTokenAt = r.firstBodyAt
		r.x.stage = outcome.StageDecode
		r.x.gateway.credits.reportState(r.granted, peer.ReportPrefill, r.firstTokenLatency())
	}
	r.bodyBytes += int64(len(data))
	if r.stream {
		return r.forward(data)
	}
	if len(r.buffered)+len(data) > maxBufferedResponse {
		return errResponseTooLarge
	}
	r.buffered = append(r.buffered, data...)
	return nil
}

func (r *responseReceiver) forward(data []byte) error {
	if r.needsTerminalEvent() {
		data = append(r.withheld, data...)
		start := terminalEventStart(data)
		r.withheld = append([]byte(nil), data[start:]...)
		data = data[:start]
	}
	if len(data) == 0 {
		return nil
	}
	return r.write(data)
}

// needsTerminalEvent reports whether the response is a stream that must end with the terminal event.
func (r *responseReceiver) needsTerminalEvent() bool {
	return r.stream && r.x.service.Kind == config.KindModel
}

// terminalEventStart returns the position at which the data ends with the terminal event or a prefix of it, or the data's
// length if it does not.
func terminalEventStart(data []byte) int {
	text := bytes.TrimRight(data, "\r\n")
	start := bytes.LastIndexByte(text, '\n') + 1
	line := text[start:]
	partialLine := len(text) == len(data) && bytes.HasPrefix(terminalEvent, line)
	if partialLine || bytes.Equal(line, terminalEvent) {
		return start
	}
	return len(data)
}

// blockedWriteGrace is the time for which a write may continue after the time budget ended. A write that is not blocked
// completes in that time, and the caller gets the error event instead of a reset.
const blockedWriteGrace = 100 * time.Millisecond

// write sends a part of the response to the caller. If a write still blocks when the time budget ends, the connection is
// reset, because the budget also bounds a request whose caller does not read.
func (r *responseReceiver) write(data []byte) error {
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
	tail := append(r.x.sentTail, data[max(0, len(data)-maxSeparatorBytes):]...)
	r.x.sentTail = tail[max(0, len(tail)-maxSeparatorBytes):]
	if httpserver.WriteError(r.x.w) != nil {
		return errCallerLeft
	}
	return nil
}

// contentLength returns the Content-Length of a buffered response. A response to HEAD declares a length without a body.
func (r *responseReceiver) contentLength() string {
	if declared := r.header.Get("Content-Length"); r.x.req.Method == http.MethodHead && declared != "" {
		return declared
	}
	return strconv.Itoa(len(r.buffered))
}

// finish is called when the endpoint's HTTP response is complete. It checks that a stream ends with the terminal event,
// and sends the withheld or buffered data.
func (r *responseReceiver) finish() error {
	if r.needsTerminalEvent() && !bytes.HasPrefix(r.withheld, terminalEvent) {
		r.endedByEndpoint = true
		return errIncompleteBody
	}
	r.complete = true
	if r.stream {
		return r.write(r.withheld)
	}
	return r.write(r.buffered)
}

func (r *responseReceiver) firstTokenLatency() time.Duration {
	if r.firstBodyAt.IsZero() {
		return 0
	}
	return r.firstBodyAt.Sub(r.sentAt)
}

// hopHeaders are the headers that are not forwarded, because they apply to a single connection.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Content-Length": true, "Trailer": true,
	"Upgrade": true, "Te": true, "Proxy-Connection": true, "Date": true,
	// Only the gateway sets the outcome header.
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
