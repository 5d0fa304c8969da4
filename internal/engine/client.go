// Package engine speaks to endpoints: streaming HTTP requests, load reports and orders.
package engine

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/acacialift/acacialift/internal/wire"
)

const (
	defaultDialTimeout  = 2 * time.Second
	defaultMaxHeadBytes = 16 << 10
	readBufferBytes     = 16 << 10

	// sendEndLimit is how long the end of a request's send is awaited after its answer, before the connection is closed.
	sendEndLimit = 250 * time.Millisecond

	// maxInterimAnswers bounds the 1xx answers before the final one.
	maxInterimAnswers = 16
)

// Request is one HTTP request to an endpoint.
type Request struct {
	Method string
	// Target is the path with the query.
	Target string
	// Address is IP:port.
	Address string
	// Host is sent as the Host header; the default is Address.
	Host string
	// Header is sent without the headers that concern one hop only; the client sets Host, Connection and Content-Length.
	Header http.Header
	Body   []byte
	// Fresh asks for a new connection, because an idle one may be closed while the request crosses it.
	Fresh bool
}

// Receiver gets the parts of an answer in order. An error from a method ends the exchange. While a method blocks,
// nothing more is read from the endpoint.
type Receiver interface {
	// OnHead is called with the status and header of the final answer. The header holds Content-Length if the endpoint
	// declared it, and never Transfer-Encoding. If it returns ErrForeignAnswer on a reused connection, the answer is
	// skipped and OnHead is called again for the next one.
	OnHead(status int, header http.Header) error
	// OnBody is called for each part of the body as it arrives; the slice is reused after the call.
	OnBody(data []byte) error
}

// Error is a failed exchange.
type Error struct {
	// BytesSent is false only if the kernel accepted no byte of the request.
	BytesSent bool
	// HeadReceived is true if the answer's status and header arrived.
	HeadReceived bool
	Err          error
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("endpoint exchange (bytes sent %t, head received %t): %v", e.BytesSent, e.HeadReceived, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// The causes of a failed exchange, apart from errors of the context, of the receiver, of the dialer and of package
// wire.
var (
	// ErrIncomplete means that the connection ended before the answer was whole.
	ErrIncomplete = errors.New("connection ended before the answer was whole")
	// ErrIdle means that no byte moved in either direction for the idle time-out.
	ErrIdle error = idleError{}
	// ErrUnframed means that an answer declares neither a length nor chunks. Its end could not be told from a cut.
	ErrUnframed = errors.New("answer declares neither a length nor chunks")
	// ErrInvalidRequest means that a part of the request cannot be sent in HTTP/1.1.
	ErrInvalidRequest = errors.New("request cannot be encoded")
	// ErrMismatchedResponse is returned by a receiver whose answer belongs to another request.
	ErrMismatchedResponse = errors.New("answer belongs to another request")
)

// idleError is a net.Error, by which package wire tells errors of a connection from those of its bytes.
type idleError struct{}

// Error implements the error interface.
func (idleError) Error() string { return "endpoint was idle for too long" }

// Timeout implements net.Error.
func (idleError) Timeout() bool { return true }

// Temporary implements net.Error.
func (idleError) Temporary() bool { return false }

// ClientOptions configures a Client. A zero value stands for the default.
type ClientOptions struct {
	// DialTimeout bounds the time until a connection stands; the default is 2 s.
	DialTimeout time.Duration
	// IdleTimeout ends an exchange in which no byte was sent or received for this long, apart from the time in which the
	// receiver blocks. The default is no limit, because the prefill of a long prompt sends nothing.
	IdleTimeout time.Duration
	// MaxHeadBytes bounds the status line and header of an answer; the default is 16 KiB.
	MaxHeadBytes int
	// Reuse keeps connections for later requests. Without it each request uses a connection of its own, so that an answer
	// can never be taken for that of an earlier request; with it the receiver must tell foreign answers by their header.
	Reuse bool
	// AllowUnframed accepts answers that end with their connection. A reset still counts as incomplete.
	AllowUnframed bool
	// AckTimeout ends a connection whose peer acknowledges nothing for this long; the default leaves it to the kernel.
	AckTimeout time.Duration
}

// Client sends requests to endpoints.
type Client struct {
	options ClientOptions
	dialer  net.Dialer
	idle    *idlePool
	dials   atomic.Int64
}

// NewClient returns a client with default options.
func NewClient() *Client { return NewClientWithOptions(ClientOptions{}) }

// NewClientWithOptions returns a client.
func NewClientWithOptions(options ClientOptions) *Client {
	if options.DialTimeout == 0 {
		options.DialTimeout = defaultDialTimeout
	}
	if options.MaxHeadBytes == 0 {
		options.MaxHeadBytes = defaultMaxHeadBytes
	}
	c := &Client{options: options, dialer: net.Dialer{Timeout: options.DialTimeout}, idle: newIdlePool()}
	if options.AckTimeout > 0 {
		c.dialer.KeepAliveConfig = keepAlive(options.AckTimeout)
		c.dialer.Control = limitSilence(options.AckTimeout)
	}
	return c
}

// keepAlive returns probes that find a silent peer within the given time while nothing is sent.
func keepAlive(silence time.Duration) net.KeepAliveConfig {
	const probes = 2
	interval := max(silence/(probes+1), time.Second)
	return net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: probes}
}

// limitSilence ends a connection whose sent bytes stay unacknowledged for the given time.
func limitSilence(silence time.Duration) func(string, string, syscall.RawConn) error {
	const tcpUserTimeout = 18
	return func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silence.Milliseconds()))
		})
		return errors.Join(err, setErr)
	}
}

// Dials returns the number of connections opened so far.
func (c *Client) Dials() int64 { return c.dials.Load() }

// Idle returns the number of connections that wait for their next request.
func (c *Client) Idle() int { return c.idle.size() }

// CloseIdle closes all idle connections.
func (c *Client) CloseIdle() { c.idle.closeAll() }

// ExpireIdle closes idle connections whose time is over. It is to be called now and then if connections are reused.
func (c *Client) ExpireIdle() { c.idle.expire(time.Now()) }

// Do sends the request and passes the answer's parts to the receiver. beforeWrite runs after the connection stands and
// immediately before the first byte is written; an error from it ends the exchange with BytesSent false. Do returns nil
// only if the answer arrived whole by its declared length or its last chunk; bytes after that are not read. The answer
// may end before the request was sent whole. Cancelling the context closes the connection.
func (c *Client) Do(ctx context.Context, req Request, beforeWrite func() error, receiver Receiver) error {
	head, err := encodeHead(req, c.options.Reuse)
	if err != nil {
		return &Error{Err: err}
	}
	conn, reused, err := c.connect(ctx, req)
	if err != nil {
		return &Error{Err: contextCause(ctx, err)}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.raw.Close() })
	defer stop()
	if beforeWrite != nil {
		if err := beforeWrite(); err != nil {
			_ = conn.raw.Close()
			return &Error{Err: err}
		}
	}
	if err := ctx.Err(); err != nil {
		_ = conn.raw.Close()
		return &Error{Err: err}
	}
	l := newLink(conn.raw, c.options.IdleTimeout)
	conn.reader.Reset(l)
	l.start(head, req.Body)
	a := &answer{
		receiver: receiver, bodyless: req.Method == http.MethodHead,
		allowUnframed: c.options.AllowUnframed, maySkip: reused,
	}
	err = a.receive(conn.reader, c.options.MaxHeadBytes)
	if err == nil && c.keep(req.Address, conn, l, a, stop) {
		return nil
	}
	_ = conn.raw.Close()
	sent, sendErr := l.sendResult()
	if err == nil {
		return nil
	}
	return &Error{BytesSent: sent > 0, HeadReceived: a.headReceived, Err: a.cause(ctx, err, sendErr)}
}

// connect returns an idle connection or a new one.
func (c *Client) connect(ctx context.Context, req Request) (conn *idleConn, reused bool, err error) {
	if c.options.Reuse && !req.Fresh {
		if conn = c.idle.take(req.Address, time.Now()); conn != nil {
			return conn, true, nil
		}
	}
	raw, err := c.dialer.DialContext(ctx, "tcp", req.Address)
	if err != nil {
		return nil, false, err
	}
	c.dials.Add(1)
	return &idleConn{raw: raw, reader: bufio.NewReaderSize(raw, readBufferBytes)}, false, nil
}

// keep stores a connection for reuse and reports whether it did or will. The request must have been sent whole, because
// the endpoint reads what is due of a body before the next request.
func (c *Client) keep(address string, conn *idleConn, l *link, a *answer, stop func() bool) bool {
	if !c.options.Reuse || a.reuse <= 0 || conn.reader.Buffered() > 0 || !stop() {
		return false
	}
	if l.hasEnded() {
		return c.store(address, conn, l, a.reuse)
	}
	if !l.lastBegun.Load() {
		return false
	}
	go func() {
		if !l.awaitEnd(sendEndLimit) || !c.store(address, conn, l, a.reuse) {
			_ = conn.raw.Close()
		}
	}()
	return true
}

// store puts a connection whose send has ended into the pool, and reports whether it did.
func (c *Client) store(address string, conn *idleConn, l *link, reuse time.Duration) bool {
	if l.sendErr != nil || conn.raw.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	conn.until = time.Now().Add(reuse)
	c.idle.put(address, conn)
	return true
}

func contextCause(ctx context.Context, err error) error {
	if cause := ctx.Err(); cause != nil {
		return cause
	}
	return err
}

// answer passes the parts of one answer to a receiver.
type answer struct {
	receiver      Receiver
	bodyless      bool
	allowUnframed bool
	// maySkip allows to skip one answer that belongs to an earlier request of the connection.
	maySkip      bool
	headReceived bool
	receiverErr  error
	// reuse is how long the connection may be kept; zero means not at all.
	reuse time.Duration
}

// cause returns the reason why the exchange failed.
func (a *answer) cause(ctx context.Context, err, sendErr error) error {
	var malformed *wire.MalformedError
	switch {
	case a.receiverErr != nil:
		return a.receiverErr
	case ctx.Err() != nil:
		return ctx.Err()
	case errors.As(err, &malformed), errors.Is(err, wire.ErrHeadTooLarge), errors.Is(err, wire.ErrVersion),
		errors.Is(err, ErrUnframed), errors.Is(err, ErrIdle):
		return err
	case sendErr != nil && !errors.Is(sendErr, net.ErrClosed):
		return fmt.Errorf("%w: %w", ErrIncomplete, errors.Join(err, sendErr))
	}
	return fmt.Errorf("%w: %w", ErrIncomplete, err)
}

func (a *answer) receive(r *bufio.Reader, maxHeadBytes int) error {
	head, err := readFinalHead(r, maxHeadBytes)
	if err != nil {
		return err
	}
	a.headReceived = true
	framing := head.Framing
	if a.bodyless || head.Status == http.StatusNoContent || head.Status == http.StatusNotModified {
		framing = wire.Framing{}
	}
	unframed := framing.Length == wire.LengthUnknown && !framing.Chunked
	if unframed && !a.allowUnframed {
		return ErrUnframed
	}
	if head.Framing.Length != wire.LengthUnknown {
		head.Header.Set("Content-Length", strconv.FormatInt(head.Framing.Length, 10))
	}
	a.receiverErr = a.receiver.OnHead(head.Status, head.Header)
	if errors.Is(a.receiverErr, ErrMismatchedResponse) && a.maySkip && !unframed {
		return a.skip(r, framing, maxHeadBytes)
	}
	if a.receiverErr != nil {
		return a.receiverErr
	}
	if unframed {
		return a.receiveBody(r)
	}
	a.reuse = reuseTime(head.Header)
	return a.receiveBody(wire.NewBody(r, framing))
}

// skip drops the body of a foreign answer and receives the next answer. The connection is not reused after that.
func (a *answer) skip(r *bufio.Reader, framing wire.Framing, maxHeadBytes int) error {
	a.maySkip = false
	a.headReceived = false
	a.receiverErr = nil
	if _, err := io.Copy(io.Discard, wire.NewBody(r, framing)); err != nil {
		return err
	}
	err := a.receive(r, maxHeadBytes)
	a.reuse = 0
	return err
}

func (a *answer) receiveBody(body io.Reader) error {
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			a.receiverErr = a.receiver.OnBody(buffer[:n])
		}
		switch {
		case a.receiverErr != nil:
			return a.receiverErr
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// readFinalHead skips interim answers. A switch of protocols is never asked for.
func readFinalHead(r *bufio.Reader, maxHeadBytes int) (*wire.Response, error) {
	for range maxInterimAnswers + 1 {
		data, err := wire.ReadHead(r, maxHeadBytes)
		if errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		head, err := wire.ParseResponse(data)
		if err != nil {
			return nil, err
		}
		if head.Status == http.StatusSwitchingProtocols {
			return nil, &wire.MalformedError{Reason: "unexpected switch of protocols"}
		}
		if head.Status >= http.StatusOK {
			return head, nil
		}
	}
	return nil, &wire.MalformedError{Reason: "too many interim answers"}
}
