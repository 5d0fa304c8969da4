package httpserver

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"github.com/acacialift/acacialift/internal/outcome"
)

const (
	readBufferBytes    = 4 << 10
	initialBodyBytes   = 4 << 10
	discardBufferBytes = 32 << 10

	// discardTimeout and maxDiscardBytes bound the input that is read and discarded after the last response. Closing a
	// connection while request bytes are unread makes the kernel send a reset, and the caller's kernel may then drop a
	// response that the caller has not read yet.
	discardTimeout  = 5 * time.Second
	maxDiscardBytes = 16 << 20
)

// errLastResponse ends the receiving of requests once it is decided that no further request is served on the connection.
var errLastResponse = errors.New("no request may follow the last response of the connection")

// exchange is a request to handle, or the refusal of a request that the server does not pass to the handler.
type exchange struct {
	// request is nil if no valid head was received.
	request       *http.Request
	refusal       *outcome.Error
	reservedBytes int64
}

// conn is one accepted connection. Its context ends when the caller closes its sending side, or when the connection fails
// or is closed.
type conn struct {
	raw    *net.TCPConn
	server *Server
	reader *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc
	// queue holds the exchanges in the order of their responses. Its capacity is one running exchange, MaxPipelined waiting
	// ones and one refusal, so that enqueue never blocks.
	queue chan *exchange

	mu sync.Mutex
	// active is the number of exchanges that wait or run.
	active int
	// receiving is true from the first byte of a request to its last byte. receiveBy is the read deadline
	// during that time.
	receiving bool
	receiveBy time.Time
	idleSince time.Time
	// noMoreRequests is true once it is decided which exchange is the last one. Later requests are discarded.
	noMoreRequests bool
	// closing is true once the last response is sent. The connection ends at discardUntil at the latest.
	closing      bool
	discardUntil time.Time
	writeErr     error
}

func newConn(s *Server, raw net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	return &conn{
		raw:       raw.(*net.TCPConn),
		server:    s,
		reader:    bufio.NewReaderSize(raw, readBufferBytes),
		ctx:       ctx,
		cancel:    cancel,
		queue:     make(chan *exchange, s.options.MaxPipelined+2),
		idleSince: time.Now(),
	}
}

func (c *conn) start() {
	go c.serveQueue()
	go c.readLoop()
}

// readLoop receives requests until the connection ends or no further request is served. In the second case it then reads
// and discards input, to detect a disconnect of the caller. A caller that closes its sending side is treated as
// disconnected.
func (c *conn) readLoop() {
	for {
		x, err := c.receive()
		if errors.Is(err, errLastResponse) {
			c.discard()
		}
		if err != nil {
			break
		}
		last := x.refusal != nil || x.request.Close
		if !c.enqueue(x) || last {
			c.discard()
			break
		}
	}
	c.closeOrReset()
	close(c.queue)
}

// readTimedOut reports whether the current read deadline has passed. A timeout error may be due to an earlier deadline
// that was extended after the read began.
func (c *conn) readTimedOut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := c.readDeadline()
	return !deadline.IsZero() && !time.Now().Before(deadline)
}

// readDeadline returns the current read deadline; a zero time means none. The caller must hold the mutex.
func (c *conn) readDeadline() time.Time {
	switch {
	case c.closing:
		return c.discardUntil
	case c.receiving:
		return c.receiveBy
	case c.active > 0:
		return time.Time{}
	}
	return c.idleSince.Add(c.server.options.IdleTimeout)
}

func (c *conn) setReadDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.raw.SetReadDeadline(c.readDeadline())
}

// beginReceiving sets the read deadline for the head of a request. It returns errLastResponse if no request may follow.
func (c *conn) beginReceiving() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.noMoreRequests {
		return errLastResponse
	}
	c.receiving = true
	c.receiveBy = time.Now().Add(c.server.options.HeadTimeout)
	return c.raw.SetReadDeadline(c.readDeadline())
}

// extendReadDeadline moves the read deadline from HeadTimeout to RequestTimeout after the first byte of the request.
func (c *conn) extendReadDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiveBy = c.receiveBy.Add(c.server.options.RequestTimeout - c.server.options.HeadTimeout)
	_ = c.raw.SetReadDeadline(c.readDeadline())
}

// endReceiving ends the read deadline of a request and restarts the idle time.
func (c *conn) endReceiving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = false
	c.idleSince = time.Now()
}

func (c *conn) isActive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active > 0
}

// enqueue passes an exchange to serveQueue. If MaxPipelined requests wait already, it passes a refusal instead. It returns
// false if no further exchange may follow.
func (c *conn) enqueue(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.noMoreRequests {
		c.server.bodyBudget.Release(x.reservedBytes)
		return false
	}
	full := c.active > c.server.options.MaxPipelined
	if full {
		c.server.bodyBudget.Release(x.reservedBytes)
		x = &exchange{request: x.request, refusal: refusePipelined()}
	}
	c.active++
	c.queue <- x
	return !full
}

// discard reads and discards input until the caller closes its sending side or the connection ends. After the last
// response has been sent, discardTimeout and maxDiscardBytes bound it.
func (c *conn) discard() {
	buffer := make([]byte, discardBufferBytes)
	discarded := 0
	for discarded <= maxDiscardBytes {
		c.setReadDeadline()
		n, err := c.reader.Read(buffer)
		if c.isClosing() {
			discarded += n
		}
		if err == nil || errors.Is(err, os.ErrDeadlineExceeded) && !c.readTimedOut() {
			continue
		}
		return
	}
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// serveQueue responds to the exchanges in order. Its cleanup is deferred, because a handler may end the goroutine with
// runtime.Goexit.
func (c *conn) serveQueue() {
	defer func() {
		c.closeOrReset()
		for x := range c.queue {
			c.server.bodyBudget.Release(x.reservedBytes)
		}
		c.server.remove(c)
	}()
	for x := range c.queue {
		c.respond(x)
	}
}

func (c *conn) respond(x *exchange) {
	if c.ctx.Err() != nil || c.isClosing() {
		c.skip(x)
		return
	}
	w := newResponse(c, x)
	if x.refusal != nil {
		if c.server.options.OnRefusal != nil {
			c.server.options.OnRefusal(x.refusal)
		}
		x.refusal.WriteTo(w)
	} else {
		c.runHandler(w, x)
	}
	w.finish()
	c.finishExchange(w.closeAfter)
}

// skip ends an exchange without a response, because the connection has ended or its last response was sent.
func (c *conn) skip(x *exchange) {
	c.server.bodyBudget.Release(x.reservedBytes)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active--
}

// runHandler runs the handler. If the handler does not return normally, runHandler resets the connection, so that a
// truncated response cannot look complete.
func (c *conn) runHandler(w *response, x *exchange) {
	ctx, cancel := context.WithCancel(c.ctx)
	handlerReturned := false
	defer func() {
		value := recover()
		cancel()
		c.server.bodyBudget.Release(x.reservedBytes)
		if handlerReturned {
			return
		}
		c.abort(http.ErrAbortHandler)
		if value != nil && value != http.ErrAbortHandler && c.server.options.OnPanic != nil {
			c.server.options.OnPanic(value, debug.Stack())
		}
	}()
	c.server.options.Handler.ServeHTTP(w, x.request.WithContext(ctx))
	handlerReturned = true
}

// finishExchange updates the state after a response is sent. After the last response the sending side is closed, and the
// read loop discards the remaining input before the connection is closed.
func (c *conn) finishExchange(closeAfter bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active--
	c.idleSince = time.Now()
	if closeAfter || c.active == 0 && !c.receiving && c.server.isDraining() {
		c.noMoreRequests = true
		c.closing = true
		c.discardUntil = time.Now().Add(discardTimeout)
		_ = c.raw.CloseWrite()
	}
	_ = c.raw.SetReadDeadline(c.readDeadline())
}

// stopRequestsIfDraining makes the running exchange the last one if the server is draining and no other request waits or
// is being received. It reports whether no request may follow.
func (c *conn) stopRequestsIfDraining() bool {
	draining := c.server.isDraining()
	c.mu.Lock()
	defer c.mu.Unlock()
	if draining && c.active == 1 && !c.receiving {
		c.noMoreRequests = true
	}
	return c.noMoreRequests
}

// write sends the buffers, and blocks while the caller does not read. It resets the connection and fails if no byte can be
// written within WriteTimeout, or on any other error.
func (c *conn) write(buffers net.Buffers) error {
	for {
		if err := c.firstWriteError(); err != nil {
			return err
		}
		_ = c.raw.SetWriteDeadline(time.Now().Add(c.server.options.WriteTimeout))
		n, err := buffers.WriteTo(c.raw)
		if err == nil {
			return nil
		}
		if n == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			c.abort(err)
		}
	}
}

func (c *conn) firstWriteError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeErr
}

// abort resets the connection. Later writes return the cause of the first failure.
func (c *conn) abort(cause error) {
	c.mu.Lock()
	if c.writeErr == nil {
		c.writeErr = cause
	}
	c.mu.Unlock()
	c.cancel()
	_ = c.raw.SetLinger(0)
	_ = c.raw.Close()
}

// closeOrReset closes the connection. If a request runs or waits, it resets the connection, so that a truncated response
// cannot look complete.
func (c *conn) closeOrReset() {
	if c.isActive() {
		c.abort(net.ErrClosed)
		return
	}
	c.cancel()
	_ = c.raw.Close()
}

// closeIfIdle closes the connection unless a request runs, waits or is being received.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active > 0 || c.receiving || c.closing {
		return
	}
	c.noMoreRequests = true
	c.cancel()
	_ = c.raw.Close()
}
