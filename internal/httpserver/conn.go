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
	readBufferBytes = 4 << 10
	firstBodyBytes  = 4 << 10
	discardBytes    = 32 << 10

	// lingerTime and lingerBytes bound what is read and dropped after the last answer. Closing while request bytes are
	// unread makes the kernel send a reset, on which the caller's kernel may drop an answer that it has not read yet.
	lingerTime  = 5 * time.Second
	lingerBytes = 16 << 20
)

// errLastAnswer ends the read loop after the last answer of a connection.
var errLastAnswer = errors.New("the connection's last answer was decided")

// exchange is one request, or the refusal of what could not be received as one.
type exchange struct {
	// request is nil if the head was malformed.
	request  *http.Request
	refusal  *outcome.Error
	reserved int64
}

// conn is one accepted connection. Its context ends when the peer closes or the connection breaks.
type conn struct {
	raw    *net.TCPConn
	server *Server
	reader *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc
	// queue holds the exchanges in the order of their answers. enqueue bounds them, so that a send never blocks.
	queue chan *exchange

	mu sync.Mutex
	// active counts the exchanges that wait or run.
	active int
	// receiving is true from the first byte of a request to its last one; receiveBy is its deadline.
	receiving bool
	receiveBy time.Time
	idleSince time.Time
	// sealed is true once an answer was declared the last one; later requests are dropped.
	sealed bool
	// closing is true once the last answer was sent; lingerUntil ends the connection then.
	closing     bool
	lingerUntil time.Time
	writeErr    error
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
	go c.work()
	go c.readLoop()
}

// readLoop receives requests until the connection ends or a last answer is decided, and goes on reading after that to
// notice a caller that leaves. A caller that closes its sending side counts as having left.
func (c *conn) readLoop() {
	for {
		x, err := c.receive()
		if errors.Is(err, errLastAnswer) {
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
	c.end()
	close(c.queue)
}

// isOverdue reports whether a read time-out holds now; it may come from a deadline that has been moved since.
func (c *conn) isOverdue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := c.readDeadline()
	return !deadline.IsZero() && !time.Now().Before(deadline)
}

// readDeadline must be called with the mutex held. A zero time means no deadline.
func (c *conn) readDeadline() time.Time {
	switch {
	case c.closing:
		return c.lingerUntil
	case c.receiving:
		return c.receiveBy
	case c.active > 0:
		return time.Time{}
	}
	return c.idleSince.Add(c.server.options.IdleTimeout)
}

func (c *conn) armRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.raw.SetReadDeadline(c.readDeadline())
}

func (c *conn) beginReceiving() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return errLastAnswer
	}
	c.receiving = true
	c.receiveBy = time.Now().Add(c.server.options.HeadTimeout)
	return c.raw.SetReadDeadline(c.readDeadline())
}

// extendReceiving replaces the deadline of the head by that of the whole request.
func (c *conn) extendReceiving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiveBy = c.receiveBy.Add(c.server.options.RequestTimeout - c.server.options.HeadTimeout)
	_ = c.raw.SetReadDeadline(c.readDeadline())
}

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

// enqueue hands an exchange to the worker. It returns false if no further exchange may follow.
func (c *conn) enqueue(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		c.server.bodies.Release(x.reserved)
		return false
	}
	full := c.active > c.server.options.MaxPipelined
	if full {
		c.server.bodies.Release(x.reserved)
		x = &exchange{request: x.request, refusal: refusePipelined()}
	}
	c.active++
	c.queue <- x
	return !full
}

// discard reads and drops input until the peer closes or, after the last answer, the linger bounds are reached.
func (c *conn) discard() {
	buffer := make([]byte, discardBytes)
	dropped := 0
	for dropped <= lingerBytes {
		c.armRead()
		n, err := c.reader.Read(buffer)
		if c.isClosing() {
			dropped += n
		}
		if err == nil || errors.Is(err, os.ErrDeadlineExceeded) && !c.isOverdue() {
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

// work answers the exchanges in order. It cleans up even if a handler ends the goroutine.
func (c *conn) work() {
	defer func() {
		c.end()
		for x := range c.queue {
			c.server.bodies.Release(x.reserved)
		}
		c.server.remove(c)
	}()
	for x := range c.queue {
		c.run(x)
	}
}

func (c *conn) run(x *exchange) {
	if c.ctx.Err() != nil || c.isClosing() {
		c.drop(x)
		return
	}
	w := newResponse(c, x)
	if x.refusal != nil {
		if c.server.options.OnRefusal != nil {
			c.server.options.OnRefusal(x.refusal)
		}
		x.refusal.WriteTo(w)
	} else {
		c.serve(w, x)
	}
	w.finish()
	c.exchangeEnded(w.last)
}

// drop forgets an exchange that follows the connection's last answer.
func (c *conn) drop(x *exchange) {
	c.server.bodies.Release(x.reserved)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active--
}

// serve runs the handler. A panic resets the connection, so that the answer cannot look whole.
func (c *conn) serve(w *response, x *exchange) {
	ctx, cancel := context.WithCancel(c.ctx)
	returned := false
	defer func() {
		value := recover()
		cancel()
		c.server.bodies.Release(x.reserved)
		if returned {
			return
		}
		c.abort(http.ErrAbortHandler)
		if value != nil && value != http.ErrAbortHandler && c.server.options.OnPanic != nil {
			c.server.options.OnPanic(value, debug.Stack())
		}
	}()
	c.server.options.Handler.ServeHTTP(w, x.request.WithContext(ctx))
	returned = true
}

// exchangeEnded counts an answered exchange. After the last one the sending side is closed, and the read loop drops the
// rest of the input before the connection is closed.
func (c *conn) exchangeEnded(last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active--
	c.idleSince = time.Now()
	if last || c.active == 0 && !c.receiving && c.server.isDraining() {
		c.sealed = true
		c.closing = true
		c.lingerUntil = time.Now().Add(lingerTime)
		_ = c.raw.CloseWrite()
	}
	_ = c.raw.SetReadDeadline(c.readDeadline())
}

// sealIfDraining reports whether the running exchange is the last one of a draining server's connection.
func (c *conn) sealIfDraining() bool {
	draining := c.server.isDraining()
	c.mu.Lock()
	defer c.mu.Unlock()
	if draining && c.active == 1 && !c.receiving {
		c.sealed = true
	}
	return c.sealed
}

// write sends the buffers, and blocks while the peer does not read. It fails, and resets the connection, if the peer
// accepts no byte within the write time-out.
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

// abort resets the connection. The cause is kept as the first write error unless there is one already.
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

// end closes the connection, by a reset if an answer is due, so that a cut answer cannot look whole.
func (c *conn) end() {
	if c.isActive() {
		c.abort(net.ErrClosed)
		return
	}
	c.cancel()
	_ = c.raw.Close()
}

// closeIfIdle closes the connection if no request runs, waits or is being received.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active > 0 || c.receiving || c.closing {
		return
	}
	c.sealed = true
	c.cancel()
	_ = c.raw.Close()
}
