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

// receive returns the next complete request, or the refusal of one. An error means that no further request follows.
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
	c.extendReceiving()
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

// handleExpectation sends "100 Continue" if the request expects it. It sends nothing while earlier responses are
// outstanding, which a caller must tolerate (RFC 9110 section 10.1.1).
func (c *conn) handleExpectation(r *http.Request) error {
	value := r.Header.Get("Expect")
	if value == "" {
		return nil
	}
	if !strings.EqualFold(value, "100-continue") {
		return refuse(http.StatusExpectationFailed, CodeExpectation, "the expectation is not supported")
	}
	if r.ContentLength == 0 || c.isActive() {
		return nil
	}
	return c.write(net.Buffers{[]byte("HTTP/1.1 100 Continue\r\n\r\n")})
}

// readBody reads a complete body. It reserves memory as the body grows, so that a declared length alone reserves nothing.
func (c *conn) readBody(framing wire.Framing, x *exchange) ([]byte, error) {
	limit := c.server.options.MaxBodyBytes
	if !framing.Chunked {
		limit = int(max(framing.Length, 0))
	}
	source := wire.NewBody(c.reader, framing)
	var data []byte
	var probe [1]byte
	for {
		if len(data) == cap(data) && len(data) < limit {
			grown := min(max(initialBodyBytes, 2*cap(data)), limit)
			if !c.server.bodyBudget.Reserve(int64(grown - cap(data))) {
				return nil, refuseBudget()
			}
			x.reservedBytes += int64(grown - cap(data))
			data = append(make([]byte, 0, grown), data...)
		}
		space := data[len(data):cap(data)]
		if len(space) == 0 {
			space = probe[:]
		}
		n, err := source.Read(space)
		if n > 0 && len(data) == limit {
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
