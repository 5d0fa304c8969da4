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
	"time"

	"github.com/acacialift/acacialift/internal/wire"
)

const (
	defaultDialTimeout  = 2 * time.Second
	defaultMaxHeadBytes = 16 << 10
	readBufferBytes     = 16 << 10

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
	// Header is sent without the headers that concern one hop only; the client sets Host, Connection and Content-Length.
	Header http.Header
	Body   []byte
}

// Receiver gets the parts of an answer in order. An error from a method ends the exchange. While a method blocks,
// nothing more is read from the endpoint.
type Receiver interface {
	// OnHead is called once with the status and header of the final answer. The header holds Content-Length if the
	// endpoint declared it, and never Transfer-Encoding.
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
}

// Client sends requests to endpoints. Each request uses a connection of its own, so that an answer can never be taken
// for that of a cancelled earlier request.
type Client struct {
	options ClientOptions
	dialer  net.Dialer
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
	return &Client{options: options, dialer: net.Dialer{Timeout: options.DialTimeout}}
}

// Do sends the request and passes the answer's parts to the receiver. beforeWrite runs after the connection stands and
// immediately before the first byte is written; an error from it ends the exchange with BytesSent false. Do returns nil
// only if the answer arrived whole by its declared length or its last chunk; bytes after that are not read. The answer
// may end before the request was sent whole. Cancelling the context closes the connection.
func (c *Client) Do(ctx context.Context, req Request, beforeWrite func() error, receiver Receiver) error {
	head, err := encodeHead(req)
	if err != nil {
		return &Error{Err: err}
	}
	raw, err := c.dialer.DialContext(ctx, "tcp", req.Address)
	if err != nil {
		return &Error{Err: contextCause(ctx, err)}
	}
	defer raw.Close()
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	if beforeWrite != nil {
		if err := beforeWrite(); err != nil {
			return &Error{Err: err}
		}
	}
	if err := ctx.Err(); err != nil {
		return &Error{Err: err}
	}
	l := newLink(raw, c.options.IdleTimeout)
	go l.send(head, req.Body)
	a := &answer{receiver: receiver, bodyless: req.Method == http.MethodHead}
	err = a.receive(bufio.NewReaderSize(l, readBufferBytes), c.options.MaxHeadBytes)
	_ = raw.Close()
	sent, sendErr := l.sendResult()
	if err == nil {
		return nil
	}
	return &Error{BytesSent: sent > 0, HeadReceived: a.headReceived, Err: a.cause(ctx, err, sendErr)}
}

func contextCause(ctx context.Context, err error) error {
	if cause := ctx.Err(); cause != nil {
		return cause
	}
	return err
}

// answer passes the parts of one answer to a receiver.
type answer struct {
	receiver     Receiver
	bodyless     bool
	headReceived bool
	receiverErr  error
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
	if framing.Length == wire.LengthUnknown && !framing.Chunked {
		return ErrUnframed
	}
	if head.Framing.Length != wire.LengthUnknown {
		head.Header.Set("Content-Length", strconv.FormatInt(head.Framing.Length, 10))
	}
	if a.receiverErr = a.receiver.OnHead(head.Status, head.Header); a.receiverErr != nil {
		return a.receiverErr
	}
	return a.receiveBody(wire.NewBody(r, framing))
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
func readFinalHead(r *bufio.Reader, maxHeadBytes int) (*wire.Answer, error) {
	for range maxInterimAnswers + 1 {
		data, err := wire.ReadHead(r, maxHeadBytes)
		if errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		head, err := wire.ParseAnswer(data)
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
