package httpserver

import (
	"errors"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/acacialift/acacialift/internal/wire"
)

// maxPendingBytes is the number of body bytes that are buffered before they are sent without a flush.
const maxPendingBytes = 16 << 10

// ErrAborted is the write error of a connection that Abort reset.
var ErrAborted = errors.New("the connection was reset by the handler")

// response is the http.ResponseWriter of one exchange. Handlers use it from one goroutine, except for Abort and WriteError.
type response struct {
	conn       *conn
	method     string
	proto      string
	header     http.Header
	sentHeader http.Header
	status     int
	pending    []byte
	// declaredLength is the Content-Length that the handler has set, or wire.LengthUnknown.
	declaredLength int64
	written        int64
	headSent       bool
	chunked        bool
	// closeAfter is true if the connection is closed after this response.
	closeAfter bool
}

func newResponse(c *conn, x *exchange) *response {
	w := &response{
		conn:           c,
		proto:          "HTTP/1.1",
		header:         make(http.Header),
		declaredLength: wire.LengthUnknown,
		closeAfter:     x.refusal != nil,
	}
	if x.request != nil {
		w.method = x.request.Method
		w.proto = x.request.Proto
		w.closeAfter = w.closeAfter || x.request.Close
	}
	return w
}

// Abort resets the connection of w, so that a truncated response cannot look complete, and cancels the request's context.
// It may be called from any goroutine, also while a write blocks. It returns false if w is no response of this package.
func Abort(w http.ResponseWriter) bool {
	response := unwrap(w)
	if response == nil {
		return false
	}
	response.conn.abort(ErrAborted)
	return true
}

// DropUnsent drops what a handler has written to w, so that it can write another response. It returns false if a part of the response
// was sent, or if w is no response of this package.
func DropUnsent(w http.ResponseWriter) bool {
	response := unwrap(w)
	if response == nil || response.headSent {
		return false
	}
	clear(response.header)
	response.sentHeader, response.pending = nil, nil
	response.status, response.written, response.declaredLength = 0, 0, wire.LengthUnknown
	return true
}

// WriteError returns the first error of a write to the connection of w, or the error that a write would return because the
// connection has ended, or nil. It may be called from any goroutine. Buffered bytes cause an error only when they are
// sent.
func WriteError(w http.ResponseWriter) error {
	response := unwrap(w)
	if response == nil {
		return nil
	}
	return response.conn.firstWriteError()
}

// unwrap follows the Unwrap convention of http.ResponseController.
func unwrap(w http.ResponseWriter) *response {
	for {
		switch value := w.(type) {
		case *response:
			return value
		case interface{ Unwrap() http.ResponseWriter }:
			w = value.Unwrap()
		default:
			return nil
		}
	}
}

// Header implements http.ResponseWriter.
func (w *response) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter. Interim responses (1xx) are not supported and are ignored.
func (w *response) WriteHeader(status int) {
	if w.status != 0 || status < http.StatusOK {
		return
	}
	if status > 999 {
		status = http.StatusInternalServerError
	}
	w.status = status
	w.sentHeader = w.header.Clone()
	length, err := strconv.ParseInt(w.sentHeader.Get("Content-Length"), 10, 64)
	if err == nil && length >= 0 {
		w.declaredLength = length
	}
	w.sentHeader.Del("Content-Length")
	w.sentHeader.Del("Transfer-Encoding")
	if strings.EqualFold(w.sentHeader.Get("Connection"), "close") {
		w.closeAfter = true
	}
	w.sentHeader.Del("Connection")
}

// Write implements http.ResponseWriter. It buffers up to 16 KiB before it sends, unless Flush is called.
func (w *response) Write(data []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if err := w.conn.firstWriteError(); err != nil {
		return 0, err
	}
	if !w.bodyAllowed() {
		return 0, http.ErrBodyNotAllowed
	}
	if w.declaredLength >= 0 && w.written+int64(len(data)) > w.declaredLength {
		return 0, http.ErrContentLength
	}
	w.written += int64(len(data))
	if w.method == http.MethodHead {
		return len(data), nil
	}
	if len(w.pending)+len(data) <= maxPendingBytes {
		w.pending = append(w.pending, data...)
		return len(data), nil
	}
	if err := w.send(data, false); err != nil {
		return 0, err
	}
	return len(data), nil
}

// Flush implements http.Flusher.
func (w *response) Flush() { _ = w.FlushError() }

// FlushError sends the buffered bytes. It returns the first write error of the connection.
func (w *response) FlushError() error {
	w.WriteHeader(http.StatusOK)
	return w.send(nil, false)
}

// finish sends the remainder of the response. If the response is shorter than its declared length, it resets the connection. It does the
// same if the handler has written nothing and the contexts of the connection have ended, because an empty response would look complete.
func (w *response) finish() {
	if w.status == 0 && w.conn.ctx.Err() != nil {
		w.conn.abort(net.ErrClosed)
		return
	}
	w.WriteHeader(http.StatusOK)
	if w.declaredLength > w.written && w.bodyAllowed() && w.method != http.MethodHead {
		w.conn.abort(http.ErrContentLength)
		return
	}
	_ = w.send(nil, true)
}

func (w *response) bodyAllowed() bool {
	return w.status != http.StatusNoContent && w.status != http.StatusNotModified
}

// send writes the head unless it is sent already, then the pending bytes and the data, as one chunk if the response is
// chunked, and the last chunk if final is true.
func (w *response) send(data []byte, final bool) error {
	var buffers net.Buffers
	if !w.headSent {
		w.headSent = true
		buffers = append(buffers, w.head(final))
	}
	size := len(w.pending) + len(data)
	if size > 0 && w.chunked {
		buffers = append(buffers, []byte(strconv.FormatInt(int64(size), 16)+"\r\n"))
	}
	if size > 0 {
		buffers = append(buffers, w.pending, data)
	}
	if size > 0 && w.chunked {
		buffers = append(buffers, []byte("\r\n"))
	}
	if final && w.chunked {
		buffers = append(buffers, []byte("0\r\n\r\n"))
	}
	err := w.conn.firstWriteError()
	if len(buffers) > 0 {
		err = w.conn.write(buffers)
	}
	w.pending = w.pending[:0]
	return err
}

// head decides the framing of the body and returns the encoded head.
func (w *response) head(final bool) []byte {
	w.closeAfter = w.conn.stopRequestsIfDraining() || w.closeAfter
	switch {
	case !w.bodyAllowed():
	case w.declaredLength >= 0:
		w.sentHeader.Set("Content-Length", strconv.FormatInt(w.declaredLength, 10))
	case final:
		w.sentHeader.Set("Content-Length", strconv.FormatInt(w.written, 10))
	case w.method == http.MethodHead:
	case w.proto == "HTTP/1.0":
		w.closeAfter = true
	default:
		w.chunked = true
		w.sentHeader.Set("Transfer-Encoding", "chunked")
	}
	if w.closeAfter {
		w.sentHeader.Set("Connection", "close")
	}
	if w.written > 0 && w.sentHeader.Get("Content-Type") == "" {
		w.sentHeader.Set("Content-Type", "text/plain; charset=utf-8")
	}
	if w.sentHeader.Get("Date") == "" {
		w.sentHeader.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	return w.encodeHead()
}

// encodeHead returns the encoded head, without headers that would break the message syntax.
func (w *response) encodeHead() []byte {
	reason := http.StatusText(w.status)
	if reason == "" {
		reason = "Status"
	}
	b := []byte(w.proto + " " + strconv.Itoa(w.status) + " " + reason + "\r\n")
	for name, values := range w.sentHeader {
		for _, value := range values {
			if wire.ValidFieldName(name) && wire.ValidFieldValue(value) {
				b = append(b, textproto.CanonicalMIMEHeaderKey(name)+": "+value+"\r\n"...)
			}
		}
	}
	return append(b, "\r\n"...)
}
