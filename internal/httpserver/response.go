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

// pendingBytes is the number of body bytes that wait for a flush before they are sent.
const pendingBytes = 16 << 10

// ErrAborted is the write error of a connection that Abort reset.
var ErrAborted = errors.New("the connection was reset by its handler")

// response is the answer to one exchange. Handlers use it from one goroutine, apart from Abort and WriteError.
type response struct {
	conn    *conn
	method  string
	proto   string
	header  http.Header
	sent    http.Header
	status  int
	pending []byte
	// declared is the Content-Length that the handler set, or wire.LengthUnknown.
	declared int64
	written  int64
	headSent bool
	chunked  bool
	// last is true if the connection ends after this answer.
	last bool
}

func newResponse(c *conn, x *exchange) *response {
	w := &response{
		conn:     c,
		proto:    "HTTP/1.1",
		header:   make(http.Header),
		declared: wire.LengthUnknown,
		last:     x.refusal != nil,
	}
	if x.request != nil {
		w.method = x.request.Method
		w.proto = x.request.Proto
		w.last = w.last || x.request.Close
	}
	return w
}

// Abort resets the connection of w, so that the answer cannot look whole, and cancels the request's context. It may be
// called from any goroutine, also while a write blocks. It reports false if w does not belong to this package.
func Abort(w http.ResponseWriter) bool {
	response := unwrap(w)
	if response == nil {
		return false
	}
	response.conn.abort(ErrAborted)
	return true
}

// WriteError returns the first error that a write to the connection of w met, or that a write would meet since the
// connection ended; otherwise nil. It may be called from any goroutine. Bytes that wait for a flush have met no error
// yet.
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

// WriteHeader implements http.ResponseWriter. Interim answers are not supported and are ignored.
func (w *response) WriteHeader(status int) {
	if w.status != 0 || status < http.StatusOK {
		return
	}
	if status > 999 {
		status = http.StatusInternalServerError
	}
	w.status = status
	w.sent = w.header.Clone()
	length, err := strconv.ParseInt(w.sent.Get("Content-Length"), 10, 64)
	if err == nil && length >= 0 {
		w.declared = length
	}
	w.sent.Del("Content-Length")
	w.sent.Del("Transfer-Encoding")
	if strings.EqualFold(w.sent.Get("Connection"), "close") {
		w.last = true
	}
	w.sent.Del("Connection")
}

// Write implements http.ResponseWriter. It sends the body in pieces of at least 16 KiB unless Flush is called.
func (w *response) Write(data []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if err := w.conn.firstWriteError(); err != nil {
		return 0, err
	}
	if !w.bodyAllowed() {
		return 0, http.ErrBodyNotAllowed
	}
	if w.declared >= 0 && w.written+int64(len(data)) > w.declared {
		return 0, http.ErrContentLength
	}
	w.written += int64(len(data))
	if w.method == http.MethodHead {
		return len(data), nil
	}
	if len(w.pending)+len(data) <= pendingBytes {
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

// FlushError sends what is pending. It returns the first write error of the connection.
func (w *response) FlushError() error {
	w.WriteHeader(http.StatusOK)
	return w.send(nil, false)
}

// finish sends the rest of the answer. An answer shorter than its declared length resets the connection.
func (w *response) finish() {
	w.WriteHeader(http.StatusOK)
	if w.declared > w.written && w.bodyAllowed() && w.method != http.MethodHead {
		w.conn.abort(http.ErrContentLength)
		return
	}
	_ = w.send(nil, true)
}

func (w *response) bodyAllowed() bool {
	return w.status != http.StatusNoContent && w.status != http.StatusNotModified
}

// send writes the head if it is due, the pending bytes and the data as one chunk or plain, and the end if final.
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

// head returns the encoded head and fixes the framing of the body.
func (w *response) head(final bool) []byte {
	w.last = w.conn.sealIfDraining() || w.last
	switch {
	case !w.bodyAllowed():
	case w.declared >= 0:
		w.sent.Set("Content-Length", strconv.FormatInt(w.declared, 10))
	case final:
		w.sent.Set("Content-Length", strconv.FormatInt(w.written, 10))
	case w.method == http.MethodHead:
	case w.proto == "HTTP/1.0":
		w.last = true
	default:
		w.chunked = true
		w.sent.Set("Transfer-Encoding", "chunked")
	}
	if w.last {
		w.sent.Set("Connection", "close")
	}
	if w.written > 0 && w.sent.Get("Content-Type") == "" {
		w.sent.Set("Content-Type", "text/plain; charset=utf-8")
	}
	if w.sent.Get("Date") == "" {
		w.sent.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	return w.encodeHead()
}

// encodeHead leaves out headers that would break the message syntax.
func (w *response) encodeHead() []byte {
	reason := http.StatusText(w.status)
	if reason == "" {
		reason = "Status"
	}
	b := []byte(w.proto + " " + strconv.Itoa(w.status) + " " + reason + "\r\n")
	for name, values := range w.sent {
		for _, value := range values {
			if wire.ValidFieldName(name) && wire.ValidFieldValue(value) {
				b = append(b, textproto.CanonicalMIMEHeaderKey(name)+": "+value+"\r\n"...)
			}
		}
	}
	return append(b, "\r\n"...)
}
