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

// responseReader reads one response and passes it to a receiver.
type responseReader struct {
	receiver      Receiver
	bodyless      bool
	allowUnframed bool
	// mayDiscard allows the reader to discard one mismatched response, which belongs to an earlier request on the connection.
	mayDiscard bool
	// conn is the connection of the exchange.
	conn         *exchangeConn
	headReceived bool
	receiverErr  error
	// reuseTime is how long the connection may stay idle before its next request; zero forbids reuse.
	reuseTime time.Duration
}

// cause selects the error to report: first that of the receiver, then that of the context, then an invalid response or an
// idle timeout. Any other error means that the connection ended early, and is wrapped in ErrIncomplete.
func (rr *responseReader) cause(ctx context.Context, err, sendErr error) error {
	var malformed *wire.MalformedError
	switch {
	case rr.receiverErr != nil:
		return rr.receiverErr
	case ctx.Err() != nil:
		return ctx.Err()
	case errors.As(err, &malformed), errors.Is(err, wire.ErrHeadTooLarge), errors.Is(err, wire.ErrVersion),
		errors.Is(err, ErrUnframed), errors.Is(err, ErrIdleTimeout):
		return err
	case sendErr != nil && !errors.Is(sendErr, net.ErrClosed):
		return fmt.Errorf("%w: %w", ErrIncomplete, errors.Join(err, sendErr))
	}
	return fmt.Errorf("%w: %w", ErrIncomplete, err)
}

func (rr *responseReader) receive(r *bufio.Reader, maxHeadBytes int) error {
	head, err := readFinalHead(r, maxHeadBytes)
	if err != nil {
		return err
	}
	rr.headReceived = true
	framing := head.Framing
	if rr.bodyless || head.Status == http.StatusNoContent || head.Status == http.StatusNotModified {
		framing = wire.Framing{}
	}
	unframed := framing.Length == wire.LengthUnknown && !framing.Chunked
	if unframed && !rr.allowUnframed {
		return ErrUnframed
	}
	if head.Framing.Length != wire.LengthUnknown {
		head.Header.Set("Content-Length", strconv.FormatInt(head.Framing.Length, 10))
	}
	rr.receiverErr = rr.receiver.OnHead(head.Status, head.Header)
	if errors.Is(rr.receiverErr, ErrMismatchedResponse) && rr.mayDiscard && !unframed {
		return rr.discardMismatched(r, framing, maxHeadBytes)
	}
	if rr.receiverErr != nil {
		return rr.receiverErr
	}
	if unframed {
		receiver, isNotified := rr.receiver.(UnframedReceiver)
		if isNotified {
			receiver.OnUnframed(rr.conn.isOpen)
		}
		if err := rr.receiveBody(r); err != nil {
			return err
		}
		if isNotified {
			receiver.OnUnframedEnd(rr.conn.sinceData())
		}
		return rr.conn.confirmEnd()
	}
	rr.reuseTime = reuseTime(head.Header)
	return rr.receiveBody(wire.NewBody(r, framing))
}

// maxDiscardedBytes bounds the body of a mismatched response that is read to reach the next response.
const maxDiscardedBytes = 1 << 20

// discardMismatched discards the body of a mismatched response and receives the next response. The connection is not reused
// after that. A longer body ends the exchange, because it may have no end.
func (rr *responseReader) discardMismatched(r *bufio.Reader, framing wire.Framing, maxHeadBytes int) error {
	rr.mayDiscard = false
	rr.headReceived = false
	rr.receiverErr = nil
	discarded, err := io.Copy(io.Discard, io.LimitReader(wire.NewBody(r, framing), maxDiscardedBytes))
	if err != nil {
		return err
	}
	if discarded == maxDiscardedBytes {
		return ErrMismatchedResponse
	}
	err = rr.receive(r, maxHeadBytes)
	rr.reuseTime = 0
	return err
}

func (rr *responseReader) receiveBody(body io.Reader) error {
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			rr.receiverErr = rr.receiver.OnBody(buffer[:n])
		}
		switch {
		case rr.receiverErr != nil:
			return rr.receiverErr
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// readFinalHead returns the first head that is not a 1xx response. A 101 response is an error because the client sends no
// Upgrade header. A head that contains a second status line is an error: a copy of an earlier response on a reused connection, or a response
// whose endpoint failed meanwhile, may have stopped within its head.
func readFinalHead(r *bufio.Reader, maxHeadBytes int) (*wire.Response, error) {
	for range maxInterimResponses + 1 {
		data, err := wire.ReadHead(r, maxHeadBytes)
		if errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if wire.ContainsStatusLine(data) {
			return nil, &wire.MalformedError{Reason: "status line within a head"}
		}
		head, err := wire.ParseResponse(data)
		if err != nil {
			return nil, err
		}
		if head.Status == http.StatusSwitchingProtocols {
			return nil, &wire.MalformedError{Reason: "unexpected status 101 (Switching Protocols)"}
		}
		if head.Status >= http.StatusOK {
			return head, nil
		}
	}
	return nil, &wire.MalformedError{Reason: "too many 1xx responses"}
}
