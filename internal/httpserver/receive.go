package httpserver

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"

	"github.com/acacialift/acacialift/internal/wire"
)

// receive returns an exchange with the next complete request, or with the refusal of a request that could not be received.
// It returns an error if no further request can follow.
func (c *conn) receive() (*exchange, error) {
	if err := c.awaitRequest(); err != nil {
		return nil, err
	}
	x := &exchange{}
	err := c.receiveRequest(x)
	c.endReceiving()
	if err == nil {
		return x, nil
	}
	// A refused request has no body.
	c.server.bodyBudget.Release(x.reservedBytes)
	x.reservedBytes = 0
	x.refusal = refusalOf(err)
	if x.refusal == nil {
		return nil, err
	}
	return x, nil
}

func (c *conn) receiveRequest(x *exchange) error {
	head, err := wire.ReadHead(c.reader, c.server.options.MaxHeaderBytes)
	if err != nil {
		return err
	}
	request, framing, err := wire.ParseRequest(head)
	if err != nil {
		return err
	}
	x.request = request
	if framing.Length > int64(c.server.options.MaxBodyBytes) {
		return refuseBodySize()
	}
	if err := c.handleExpectation(request); err != nil {
		return err
	}
	c.extendReadDeadline()
	data, err := c.readBody(framing, x)
	if err != nil {
		return err
	}
	request.Body = newBody(data)
	request.ContentLength = int64(len(data))
	request.TransferEncoding = nil
	request.RemoteAddr = c.raw.RemoteAddr().String()
	return nil
}

// handleExpectation sends "100 Continue" if the request expects it and has a body. It sends nothing while earlier
// responses are outstanding. This is allowed, because a caller must not wait for "100 Continue" indefinitely (RFC 9110
// section 10.1.1). It returns a refusal if the expectation is unknown.
func (c *conn) handleExpectation(r *http.Request) error {
	value := r.Header.Get("Expect")
	if value == "" {
		return nil
	}
	if !strings.EqualFold(value, "100-continue") {
		return refuse(http.StatusExpectationFailed, CodeExpectation, "the Expect header has an unsupported value")
	}
	if r.ContentLength == 0 || c.isActive() {
		return nil
	}
	return c.write(net.Buffers{[]byte("HTTP/1.1 100 Continue\r\n\r\n")})
}

// readBody reads a complete body of at most MaxBodyBytes, or of the declared length. It reserves memory as the body grows,
// so that a large Content-Length alone reserves nothing before the body arrives.
func (c *conn) readBody(framing wire.Framing, x *exchange) ([]byte, error) {
	maxBytes := c.server.options.MaxBodyBytes
	if !framing.Chunked {
		maxBytes = int(max(framing.Length, 0))
	}
	source := wire.NewBody(c.reader, framing)
	var data []byte
	var extraByte [1]byte
	for {
		if len(data) == cap(data) && len(data) < maxBytes {
			newCapacity := min(max(initialBodyBytes, 2*cap(data)), maxBytes)
			if !c.server.bodyBudget.Reserve(int64(newCapacity - cap(data))) {
				return nil, refuseBudget()
			}
			x.reservedBytes += int64(newCapacity - cap(data))
			data = append(make([]byte, 0, newCapacity), data...)
		}
		space := data[len(data):cap(data)]
		if len(space) == 0 {
			// The body has its maximum size. One more read finds its end, or shows that it is too long.
			space = extraByte[:]
		}
		n, err := source.Read(space)
		if n > 0 && len(data) == maxBytes {
			return nil, refuseBodySize()
		}
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// awaitRequest waits for the first byte of the next request.
func (c *conn) awaitRequest() error {
	for {
		c.setReadDeadline()
		_, err := c.reader.Peek(1)
		if err == nil {
			return c.beginReceiving()
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.readTimedOut() {
			return err
		}
	}
}
