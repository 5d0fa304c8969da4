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
	// sendPieceBytes is the unit in which the progress of a request's body is observed.
	sendPieceBytes = 64 << 10

	// directSendBytes bounds a request that is written without a goroutine of its own. The send buffer of a connection
	// without unsent bytes takes it at once.
	directSendBytes = 8 << 10

	// answerGrace is how long an answer is still read after the request could not be sent whole. An endpoint that refuses
	// a request early may close its receiving side at once.
	answerGrace = time.Second
)

// hopHeaders concern one connection only (RFC 9110 section 7.6.1) or are set by the client.
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

// RemoveHopHeaders removes the headers that concern one connection only, and those that it names itself.
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

// encodeHead returns the request line and header. It refuses whatever would change the structure of the message.
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

// isVisible reports whether the text consists of visible ASCII characters.
func isVisible(text string) bool {
	return strings.IndexFunc(text, func(r rune) bool { return r <= ' ' || r > '~' }) < 0
}

// link is the connection of one exchange. One goroutine sends the request while another reads the answer, so that an
// answer given before the request arrived whole is not lost behind a blocked write.
type link struct {
	raw  net.Conn
	idle time.Duration
	// sendEnded is closed after sent and sendErr have their final values.
	sendEnded chan struct{}
	// lastBegun is set before the last piece is written.
	lastBegun atomic.Bool
	sent      int64
	sendErr   error

	mu sync.Mutex
	// active is the time of the last progress in either direction.
	active time.Time
	// graceUntil is the deadline of the answer after a failed send; zero before that.
	graceUntil time.Time
}

func newLink(raw net.Conn, idle time.Duration) *link {
	return &link{raw: raw, idle: idle, sendEnded: make(chan struct{}), active: time.Now()}
}

// start sends the request, a large one while the answer is read.
func (l *link) start(head, body []byte) {
	if len(head)+len(body) <= directSendBytes {
		l.send(head, body)
		return
	}
	go l.send(head, body)
}

// send writes the request. It counts the bytes that the kernel accepted.
func (l *link) send(head, body []byte) {
	defer close(l.sendEnded)
	first := min(len(body), sendPieceBytes)
	piece := append(head, body[:first]...)
	for body = body[first:]; ; body = body[len(piece):] {
		l.lastBegun.Store(len(body) == 0)
		n, err := l.raw.Write(piece)
		l.sent += int64(n)
		if err != nil {
			l.sendErr = err
			l.startGrace()
			return
		}
		l.progress()
		piece = body[:min(len(body), sendPieceBytes)]
		if len(piece) == 0 {
			return
		}
	}
}

// sendResult waits for the end of send, which the closed connection brings about. It returns the number of bytes that
// the kernel accepted.
func (l *link) sendResult() (int64, error) {
	<-l.sendEnded
	return l.sent, l.sendErr
}

// hasEnded reports whether the send has ended, with or without an error.
func (l *link) hasEnded() bool {
	select {
	case <-l.sendEnded:
		return true
	default:
		return false
	}
}

// awaitEnd waits for the end of the send and reports whether it came within the given time.
func (l *link) awaitEnd(limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-l.sendEnded:
		return true
	case <-timer.C:
		return false
	}
}

func (l *link) progress() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active = time.Now()
}

func (l *link) startGrace() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.graceUntil = time.Now().Add(answerGrace)
	_ = l.raw.SetReadDeadline(l.deadline())
}

// deadline must be called with the mutex held. A zero time means no deadline.
func (l *link) deadline() time.Time {
	var deadline time.Time
	if l.idle > 0 {
		deadline = l.active.Add(l.idle)
	}
	if !l.graceUntil.IsZero() && (deadline.IsZero() || l.graceUntil.Before(deadline)) {
		deadline = l.graceUntil
	}
	return deadline
}

func (l *link) armRead() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.raw.SetReadDeadline(l.deadline())
}

// The deadlines that a read can have missed. overdueNone means that the deadline has been moved since.
const (
	overdueNone = iota
	overdueIdle
	overdueGrace
)

func (l *link) overdue() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	switch {
	case !l.graceUntil.IsZero() && !now.Before(l.graceUntil):
		return overdueGrace
	case l.idle > 0 && !now.Before(l.active.Add(l.idle)):
		return overdueIdle
	}
	return overdueNone
}

// Read reads from the connection. The idle time-out runs from the start of the call or the last progress of the send.
func (l *link) Read(p []byte) (int, error) {
	l.progress()
	for {
		l.armRead()
		n, err := l.raw.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		switch l.overdue() {
		case overdueIdle:
			return 0, ErrIdle
		case overdueGrace:
			return 0, err
		}
	}
}
