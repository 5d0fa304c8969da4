// Package engine speaks to endpoints: streaming HTTP requests, load reports and orders.
package engine

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/textproto"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

const (
	dialTimeout     = 2 * time.Second
	readBufferBytes = 16 << 10
)

// Request is one HTTP request to an endpoint.
type Request struct {
	Method  string
	Target  string
	Address string
	Header  http.Header
	Body    []byte
}

// Receiver gets the parts of an answer in order. An error from a method ends the exchange.
type Receiver interface {
	// OnHead is called once with the status and header.
	OnHead(status int, header http.Header) error
	// OnBody is called for each part of the body as it arrives; the slice is reused after the call.
	OnBody(data []byte) error
}

// Error is a failed exchange.
type Error struct {
	// BytesSent is true if at least one byte of the request was handed to the connection.
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

// errIncomplete is the cause if a connection ended before the answer was whole.
var errIncomplete = errors.New("connection ended before the answer was whole")

// Client sends requests to endpoints. Each request uses a connection of its own, so that an answer can never be taken
// for that of a cancelled earlier request.
type Client struct {
	parserEngine *nbhttp.Engine
	dialer       net.Dialer
}

// NewClient returns a client.
func NewClient() *Client {
	run := func(f func()) { f() }
	return &Client{
		parserEngine: nbhttp.NewEngine(nbhttp.Config{ServerExecutor: run, ClientExecutor: run}),
		dialer:       net.Dialer{Timeout: dialTimeout},
	}
}

// Do sends the request and passes the answer's parts to the receiver. beforeWrite runs after the connection stands and
// immediately before the first byte is written; an error from it ends the exchange with BytesSent false. Do returns nil
// only if the answer arrived whole. Cancelling the context closes the connection.
func (c *Client) Do(ctx context.Context, req Request, beforeWrite func() error, receiver Receiver) error {
	raw, err := c.dialer.DialContext(ctx, "tcp", req.Address)
	if err != nil {
		return &Error{Err: err}
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
	if _, err := raw.Write(encode(req)); err != nil {
		return &Error{BytesSent: true, Err: contextCause(ctx, err)}
	}
	return c.receive(ctx, raw, receiver)
}

func encode(req Request) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n", req.Method, req.Target, req.Address)
	for name, values := range req.Header {
		for _, value := range values {
			fmt.Fprintf(&b, "%s: %s\r\n", textproto.CanonicalMIMEHeaderKey(name), value)
		}
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(req.Body))
	b.Write(req.Body)
	return b.Bytes()
}

func (c *Client) receive(ctx context.Context, raw net.Conn, receiver Receiver) error {
	p := &answerProcessor{receiver: receiver, header: make(http.Header)}
	parser := nbhttp.NewParser(raw, c.parserEngine, p, true, nil)
	defer parser.CloseAndClean(nil)
	buffer := make([]byte, readBufferBytes)
	for !p.complete {
		n, err := raw.Read(buffer)
		if err != nil {
			return p.failure(contextCause(ctx, err))
		}
		err = parser.Parse(buffer[:n])
		if p.err != nil {
			err = p.err
		}
		if err != nil {
			return p.failure(err)
		}
	}
	return nil
}

func contextCause(ctx context.Context, err error) error {
	if cause := ctx.Err(); cause != nil {
		return cause
	}
	return err
}

// answerProcessor forwards the parts of one answer to a receiver.
type answerProcessor struct {
	receiver Receiver
	status   int
	header   http.Header
	headSent bool
	complete bool
	err      error
}

func (p *answerProcessor) failure(err error) *Error {
	if p.err == nil && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded) {
		err = fmt.Errorf("%w: %w", errIncomplete, err)
	}
	return &Error{BytesSent: true, HeadReceived: p.headSent, Err: err}
}

func (p *answerProcessor) sendHead() {
	if p.headSent || p.err != nil {
		return
	}
	p.headSent = true
	p.err = p.receiver.OnHead(p.status, p.header)
}

// OnMethod implements nbhttp.Processor; answers have no method.
func (p *answerProcessor) OnMethod(*nbhttp.Parser, string) {}

// OnURL implements nbhttp.Processor; answers have no URL.
func (p *answerProcessor) OnURL(*nbhttp.Parser, string) error { return nil }

// OnProto implements nbhttp.Processor.
func (p *answerProcessor) OnProto(*nbhttp.Parser, string) error { return nil }

// OnStatus implements nbhttp.Processor.
func (p *answerProcessor) OnStatus(_ *nbhttp.Parser, code int, _ string) { p.status = code }

// OnHeader implements nbhttp.Processor.
func (p *answerProcessor) OnHeader(_ *nbhttp.Parser, key, value string) { p.header.Add(key, value) }

// OnContentLength implements nbhttp.Processor.
func (p *answerProcessor) OnContentLength(*nbhttp.Parser, int) {}

// OnBody implements nbhttp.Processor.
func (p *answerProcessor) OnBody(_ *nbhttp.Parser, data []byte) error {
	p.sendHead()
	if p.err == nil {
		p.err = p.receiver.OnBody(data)
	}
	return p.err
}

// OnTrailerHeader implements nbhttp.Processor.
func (p *answerProcessor) OnTrailerHeader(*nbhttp.Parser, string, string) {}

// OnComplete implements nbhttp.Processor.
func (p *answerProcessor) OnComplete(*nbhttp.Parser) {
	p.sendHead()
	p.complete = p.err == nil
}

// Close implements nbhttp.Processor.
func (p *answerProcessor) Close(*nbhttp.Parser, error) {}

// Clean implements nbhttp.Processor.
func (p *answerProcessor) Clean(*nbhttp.Parser) {}
