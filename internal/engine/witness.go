package engine

import (
	"bufio"
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// The states of a connection in the kernel (TCP_ESTABLISHED, TCP_CLOSE).
const (
	tcpEstablished = 1
	// tcpClosed is the state after a reset, or after an end in both directions.
	tcpClosed = 7
)

// Witness is a connection to an endpoint on which nothing has been sent. It belongs to the process that accepted it, so that no successor
// of this process can answer on it: an answer shows that the process has lived since the connection was opened.
type Witness struct {
	client *Client
	conn   *poolConn
}

// OpenWitness opens a connection. The caller must close it.
func (c *Client) OpenWitness(ctx context.Context, address string) (*Witness, error) {
	raw, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c.dials.Add(1)
	return &Witness{client: c, conn: &poolConn{raw: raw, reader: bufio.NewReaderSize(raw, readBufferBytes)}}, nil
}

// Fetch sends a request on the connection and returns the complete response, whose body may have at most maxBytes. It closes the
// connection. The address of the request is that of the witness.
func (w *Witness) Fetch(ctx context.Context, req Request, maxBytes int) (*Response, error) {
	req.Alone = true
	collected := collector{maxBytes: maxBytes}
	head, err := encodeHead(req, false)
	if err != nil {
		return nil, &Error{Err: err}
	}
	if err := w.client.doOn(ctx, req, head, w.conn, false, nil, &collected); err != nil {
		return nil, err
	}
	return &collected.response, nil
}

// IsOpen reports whether the peer has not ended the connection.
func (w *Witness) IsOpen() bool { return isReusable(w.conn) }

// Close closes the connection.
func (w *Witness) Close() { _ = w.conn.raw.Close() }

// tcpState returns the state of a connection in the kernel, or zero if it is not known.
func tcpState(raw net.Conn) uint8 { return tcpInfo(raw).State }

// tcpInfo returns what the kernel knows of a connection; the zero value if it tells nothing.
func tcpInfo(raw net.Conn) (info unix.TCPInfo) {
	conn, ok := raw.(syscall.Conn)
	if !ok {
		return info
	}
	control, err := conn.SyscallConn()
	if err != nil {
		return info
	}
	_ = control.Control(func(fd uintptr) {
		if known, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); infoErr == nil {
			info = *known
		}
	})
	return info
}
