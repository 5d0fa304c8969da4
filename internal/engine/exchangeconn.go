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
	// sendPieceBytes is the maximum number of body bytes in one write. Each completed write restarts the idle timeout.
	sendPieceBytes = 64 << 10

	// maxSyncSendBytes is the size up to which a request is written without a separate goroutine. Such a request fits into
	// the send buffer of the connection, which is empty when an exchange starts, and therefore the write does not block.
	maxSyncSendBytes = 8 << 10

	// responseGrace is how long the client waits for a response after it failed to send the request. An endpoint may send a
	// refusal and close its receiving side before it has received the complete request.
	responseGrace = time.Second
)

// droppedHeaders are not forwarded: hop-by-hop headers (RFC 9110 section 7.6.1), Host and Content-Length, which the client
// sets itself, and Expect, because the client sends the body without waiting for a 100 response.
var droppedHeaders = map[string]bool{
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

// RemoveHopHeaders removes hop-by-hop headers, including those that the Connection header lists, and also Host,
// Content-Length and Expect.
func RemoveHopHeaders(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for name := range droppedHeaders {
		header.Del(name)
	}
}

// encodeHead returns the request line and header. It rejects values that would change the structure of the message.
func encodeHead(req Request, reuse bool) ([]byte, error) {
	switch {
	case !wire.ValidFieldName(req.Method):
		return nil, fmt.Errorf("%w: invalid method", ErrInvalidRequest)
	case !strings.HasPrefix(req.Target, "/") || !isVisibleASCII(req.Target):
		return nil, fmt.Errorf("%w: invalid target", ErrInvalidRequest)
	case !isVisibleASCII(req.Address):
		return nil, fmt.Errorf("%w: invalid address", ErrInvalidRequest)
	}
	var b bytes.Buffer
	host := req.Host
	if host == "" {
		host = req.Address
	}
	if !isVisibleASCII(host) {
		return nil, fmt.Errorf("%w: invalid host", ErrInvalidRequest)
	}
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.Target, host)
	if !reuse {
		b.WriteString("Connection: close\r\n")
	}
	for name, values := range req.Header {
		name = http.CanonicalHeaderKey(name)
		if droppedHeaders[name] {
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

// isVisibleASCII reports whether the text has only visible ASCII characters. It returns true for an empty text.
func isVisibleASCII(text string) bool {
	return strings.IndexFunc(text, func(r rune) bool { return r <= ' ' || r > '~' }) < 0
}

// exchangeConn sends one request and reads its response. A large request is sent in its own goroutine while the response is
// read. Otherwise a response to a partly sent request would stay unread while the write blocks.
type exchangeConn struct {
	raw         net.Conn
	idleTimeout time.Duration
	// sendDone is closed after sentBytes and sendErr have their final values.
	sendDone chan struct{}
	// lastPieceStarted is true once the write of the last piece has started. Only then may the connection be kept for reuse.
	lastPieceStarted atomic.Bool
	sentBytes        int64
	sendErr          error

	mu sync.Mutex
	// idleSince is the start of the current idle period: the last completed write or the start of the current Read,
	// whichever is later.
	idleSince time.Time
	// responseDeadline is set when sending the request has failed. A response is accepted until then.
	responseDeadline time.Time
}

func newExchangeConn(raw net.Conn, idleTimeout time.Duration) *exchangeConn {
	return &exchangeConn{raw: raw, idleTimeout: idleTimeout, sendDone: make(chan struct{}), idleSince: time.Now()}
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
		x.startIdlePeriod()
		piece = body[:min(len(body), sendPieceBytes)]
		if len(piece) == 0 {
			return
		}
	}
}

// sendResult waits until send has returned, and returns the number of bytes that the kernel accepted. The connection must be
// closed before the call, because that ends a blocked write.
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

// awaitSend waits until send has returned, with or without an error. It returns false if that takes longer than the timeout.
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

func (x *exchangeConn) startIdlePeriod() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.idleSince = time.Now()
}

func (x *exchangeConn) startResponseGrace() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.responseDeadline = time.Now().Add(responseGrace)
	_ = x.raw.SetReadDeadline(x.deadline())
}

// deadline returns the read deadline; a zero time means none. The caller must hold the mutex.
func (x *exchangeConn) deadline() time.Time {
	var deadline time.Time
	if x.idleTimeout > 0 {
		deadline = x.idleSince.Add(x.idleTimeout)
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

// The deadlines that can expire while a read is blocked. noneExpired means that the deadline was extended in the meantime,
// and the read is repeated.
const (
	noneExpired = iota
	idleExpired
	graceExpired
)

func (x *exchangeConn) expiredDeadline() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	switch {
	case !x.responseDeadline.IsZero() && !now.Before(x.responseDeadline):
		return graceExpired
	case x.idleTimeout > 0 && !now.Before(x.idleSince.Add(x.idleTimeout)):
		return idleExpired
	}
	return noneExpired
}

// Read reads from the connection. The idle timeout runs from the start of the call or the last completed write,
// whichever is later.
func (x *exchangeConn) Read(p []byte) (int, error) {
	x.startIdlePeriod()
	for {
		x.setReadDeadline()
		n, err := x.raw.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		switch x.expiredDeadline() {
		case idleExpired:
			return 0, ErrIdleTimeout
		case graceExpired:
			return 0, err
		}
	}
}
