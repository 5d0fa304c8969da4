package engine

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/acacialift/acacialift/internal/wire"
)

const (
	// sendPieceBytes is the size of one write of a request's body. Each completed write restarts the idle timeout.
	sendPieceBytes = 64 << 10

	// maxSyncSendBytes is the size up to which a request is written without a separate goroutine. It fits into the empty
	// send buffer of a connection, and therefore the write does not block.
	maxSyncSendBytes = 8 << 10

	// responseGrace is how long the response is still read after sending the request failed. An endpoint that refuses a
	// request early may close its receiving side immediately.
	responseGrace = time.Second
)

// hopHeaders are hop-by-hop headers (RFC 9110 section 7.6.1) and headers that the client sets.
var hopHeaders = map[string]bool{
	"Connection":        true,
	"Content-Length":    true,
	"Expect":            true,
	"Host":              true,
	"Keep-Alive":        true,
	"Proxy-Connection":  true,
	"Te":                true,
	"Trailer":           true,
	"Transfer-Encoding": true,
	"Upgrade":           true,
}

// RemoveHopHeaders removes hop-by-hop headers, including those that the Connection header lists.
func RemoveHopHeaders(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for name := range hopHeaders {
		header.Del(name)
	}
}

// encodeHead returns the request line and header. It rejects values that would change the structure of the message.
func encodeHead(req Request, keep bool) ([]byte, error) {
	switch {
	case !wire.ValidFieldName(req.Method):
		return nil, fmt.Errorf("%w: invalid method", ErrInvalidRequest)
	case !strings.HasPrefix(req.Target, "/") || !isVisible(req.Target):
		return nil, fmt.Errorf("%w: invalid target", ErrInvalidRequest)
	case !isVisible(req.Address):
		return nil, fmt.Errorf("%w: invalid address", ErrInvalidRequest)
	}
	var b bytes.Buffer
	host := req.Host
	if host == "" {
		host = req.Address
	}
	if !isVisible(host) {
		return nil, fmt.Errorf("%w: invalid host", ErrInvalidRequest)
	}
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.Target, host)
	if !keep {
		b.WriteString("Connection: close\r\n")
	}
	for name, values := range req.Header {
		name = http.CanonicalHeaderKey(name)
		if hopHeaders[name] {
			continue
		}
		for _, value := range values {
			if !wire.ValidFieldName(name) || !wire.ValidFieldValue(value) {
				return nil, fmt.Errorf("%w: invalid header", ErrInvalidRequest)
			}
			fmt.Fprintf(&b, "%s: %s\r\n", name, value)
		}
	}
	if len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(req.Body))
	}
	b.WriteString("\r\n")
	return b.Bytes(), nil
}

// isVisible reports whether the text consists of visible ASCII characters, without blanks.
func isVisible(text string) bool {
	return strings.IndexFunc(text, func(r rune) bool { return r <= ' ' || r > '~' }) < 0
}

// exchangeConn is the connection of one exchange. One goroutine sends the request while another reads the response.
// Otherwise a response to a partly sent request would stay unread while the write blocks.
type exchangeConn struct {
	raw  net.Conn
	idle time.Duration
	// sendDone is closed after sentBytes and sendErr have their final values.
	sendDone chan struct{}
	// lastPieceStarted is set before the last piece is written.
	lastPieceStarted atomic.Bool
	sentBytes        int64
	sendErr          error

	mu sync.Mutex
	// lastProgress is the start of the idle timeout.
	lastProgress time.Time
	// responseDeadline is the deadline of the response after a failed send; zero before that.
	responseDeadline time.Time
}

func newExchangeConn(raw net.Conn, idle time.Duration) *exchangeConn {
	return &exchangeConn{raw: raw, idle: idle, sendDone: make(chan struct{}), lastProgress: time.Now()}
}

// start sends the request. A large request is sent in a goroutine while the response is read.
func (x *exchangeConn) start(head, body []byte) {
	if len(head)+len(body) <= maxSyncSendBytes {
		x.send(head, body)
		return
	}
	go x.send(head, body)
}

// send writes the request and counts the bytes that the kernel accepted.
func (x *exchangeConn) send(head, body []byte) {
	defer close(x.sendDone)
	first := min(len(body), sendPieceBytes)
	piece := append(head, body[:first]...)
	for body = body[first:]; ; body = body[len(piece):] {
		x.lastPieceStarted.Store(len(body) == 0)
		n, err := x.raw.Write(piece)
		x.sentBytes += int64(n)
		if err != nil {
			x.sendErr = err
			x.startResponseGrace()
			return
		}
		x.recordProgress()
		piece = body[:min(len(body), sendPieceBytes)]
		if len(piece) == 0 {
			return
		}
	}
}

// sendResult waits for the end of send and returns the number of bytes that the kernel accepted. The caller closes the
// connection first, which ends a blocked write.
func (x *exchangeConn) sendResult() (int64, error) {
	<-x.sendDone
	return x.sentBytes, x.sendErr
}

// sendFinished reports whether send has returned, with or without an error.
func (x *exchangeConn) sendFinished() bool {
	select {
	case <-x.sendDone:
		return true
	default:
		return false
	}
}

// awaitSend waits for the end of send and returns false after the timeout.
func (x *exchangeConn) awaitSend(timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-x.sendDone:
		return true
	case <-timer.C:
		return false
	}
}

func (x *exchangeConn) recordProgress() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastProgress = time.Now()
}

func (x *exchangeConn) startResponseGrace() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.responseDeadline = time.Now().Add(responseGrace)
	_ = x.raw.SetReadDeadline(x.deadline())
}

// deadline returns the read deadline; a zero time means none. It must be called with the mutex held.
func (x *exchangeConn) deadline() time.Time {
	var deadline time.Time
	if x.idle > 0 {
		deadline = x.lastProgress.Add(x.idle)
	}
	if !x.responseDeadline.IsZero() && (deadline.IsZero() || x.responseDeadline.Before(deadline)) {
		deadline = x.responseDeadline
	}
	return deadline
}

func (x *exchangeConn) setReadDeadline() {
	x.mu.Lock()
	defer x.mu.Unlock()
	_ = x.raw.SetReadDeadline(x.deadline())
}

// The deadlines that a read can miss. missedNone means that the deadline was extended while the read blocked.
const (
	missedNone = iota
	missedIdle
	missedGrace
)

func (x *exchangeConn) missedDeadline() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	switch {
	case !x.responseDeadline.IsZero() && !now.Before(x.responseDeadline):
		return missedGrace
	case x.idle > 0 && !now.Before(x.lastProgress.Add(x.idle)):
		return missedIdle
	}
	return missedNone
}

// Read reads from the connection. The idle timeout runs from the start of the call or the last completed write.
func (x *exchangeConn) Read(p []byte) (int, error) {
	x.recordProgress()
	for {
		x.setReadDeadline()
		n, err := x.raw.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		switch x.missedDeadline() {
		case missedIdle:
			return 0, ErrIdle
		case missedGrace:
			return 0, err
		}
	}
}
