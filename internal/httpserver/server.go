// Package httpserver serves HTTP/1.1 with one read loop and one worker per connection.
//
// nbhttp's own blocking mode runs a handler inside the read loop, so that it cannot notice a caller that leaves, and it
// ignores parse errors. This server keeps reading while a handler runs, cancels the request's context when the
// connection ends, answers malformed requests, and lets a write block so that a slow reader slows its writer down. It
// has a response writer of its own: nbhttp's goes on using a buffer after it returned it to the pool when a write of
// 64 KiB follows a smaller one, so that two connections may share the buffer, and it drops the error of a flush.
package httpserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/acacialift/acacialift/internal/budget"
	"github.com/acacialift/acacialift/internal/outcome"
)

const (
	defaultMaxHeaderBytes   = 16 << 10
	defaultMaxBodyBytes     = 8 << 20
	defaultMaxBufferedBytes = 64 << 20
	defaultMaxPipelined     = 16
	defaultHeadTimeout      = 10 * time.Second
	defaultRequestTimeout   = 60 * time.Second
	defaultIdleTimeout      = 120 * time.Second
	defaultWriteTimeout     = 30 * time.Second

	// acceptRetryDelay is the pause after a failed accept, which a lack of file descriptors may cause.
	acceptRetryDelay = 50 * time.Millisecond
)

// Options configures a Server. A zero value of a limit or time stands for its default.
type Options struct {
	// Address is the listening IP:port.
	Address string
	// Handler answers the requests. Requests of one connection are answered one after another.
	Handler http.Handler
	// MaxHeaderBytes bounds the request line and header of one request; the default is 16 KiB.
	MaxHeaderBytes int
	// MaxBodyBytes bounds one request body; the default is 8 MiB.
	MaxBodyBytes int
	// MaxBufferedBytes bounds the body bytes of all requests that are being received, wait or run; the default is 64 MiB.
	MaxBufferedBytes int64
	// MaxPipelined bounds the whole requests of one connection that wait for an earlier one; the default is 16.
	MaxPipelined int
	// HeadTimeout bounds the time from the first byte of a request to the end of its header; the default is 10 s.
	HeadTimeout time.Duration
	// RequestTimeout bounds the time from the first byte of a request to its last one; the default is 60 s.
	RequestTimeout time.Duration
	// IdleTimeout closes a connection that sends nothing while no request runs or is received; the default is 120 s.
	IdleTimeout time.Duration
	// WriteTimeout ends a connection whose peer reads nothing for this long while a write waits; the default is 30 s.
	WriteTimeout time.Duration
	// MaxConnections bounds the open connections; further ones are reset. The default is no bound.
	MaxConnections int
	// OnRefusal, if set, is told each answer that the server gives itself, before it is sent.
	OnRefusal func(refusal *outcome.Error)
	// OnPanic, if set, is told the value and stack of a panic in the handler. The connection has been reset before.
	OnPanic func(value any, stack []byte)
}

func (o Options) withDefaults() Options {
	setDefault(&o.MaxHeaderBytes, defaultMaxHeaderBytes)
	setDefault(&o.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&o.MaxBufferedBytes, defaultMaxBufferedBytes)
	setDefault(&o.MaxPipelined, defaultMaxPipelined)
	setDefault(&o.HeadTimeout, defaultHeadTimeout)
	setDefault(&o.RequestTimeout, defaultRequestTimeout)
	setDefault(&o.IdleTimeout, defaultIdleTimeout)
	setDefault(&o.WriteTimeout, defaultWriteTimeout)
	return o
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// Server is an HTTP server on one address.
type Server struct {
	options  Options
	listener net.Listener
	bodies   *budget.Budget

	mu       sync.Mutex
	conns    map[*conn]struct{}
	draining bool
	closed   bool
	// empty is closed when a draining server has no connection left.
	empty chan struct{}
}

// New returns a server that listens on its address at once and serves after Serve is called.
func New(options Options) (*Server, error) {
	options = options.withDefaults()
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, err
	}
	return &Server{
		options:  options,
		listener: listener,
		bodies:   budget.New(options.MaxBufferedBytes),
		conns:    make(map[*conn]struct{}),
		empty:    make(chan struct{}),
	}, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// BufferedBytes returns the number of body bytes that are held for requests being received, waiting or running.
func (s *Server) BufferedBytes() int64 { return s.bodies.Used() }

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Serve accepts connections until the context ends, or the server is closed or drained. It returns an error only if the
// listener fails for good.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	for {
		raw, err := s.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case isShortage(err):
			time.Sleep(acceptRetryDelay)
			continue
		case err != nil:
			return err
		}
		if limit := s.options.MaxConnections; limit > 0 && s.Connections() >= limit {
			// A descriptor that a caller holds cannot serve the endpoints' side.
			_ = raw.(*net.TCPConn).SetLinger(0)
			_ = raw.Close()
			continue
		}
		c := newConn(s, raw)
		if !s.add(c) {
			_ = raw.Close()
			return nil
		}
		c.start()
	}
}

// isShortage reports errors of an accept that end when other connections do.
func isShortage(err error) bool {
	for _, shortage := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}

// CloseListener stops accepting connections; open ones go on.
func (s *Server) CloseListener() { _ = s.listener.Close() }

// Drain stops accepting connections, closes those that are idle, and lets the requests that run or wait end; their
// answers carry "Connection: close". Requests that are still being received are answered too. Drain returns nil when no
// connection is left, or the context's error, which leaves the remaining connections open.
func (s *Server) Drain(ctx context.Context) error {
	s.CloseListener()
	s.mu.Lock()
	s.draining = true
	s.signalEmpty()
	s.mu.Unlock()
	for _, c := range s.open() {
		c.closeIfIdle()
	}
	select {
	case <-s.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close stops the listener and closes all connections.
func (s *Server) Close() {
	s.CloseListener()
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	for _, c := range s.open() {
		c.end()
	}
}

func (s *Server) open() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	return open
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.draining {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.signalEmpty()
}

// signalEmpty must be called with the mutex held.
func (s *Server) signalEmpty() {
	if !s.draining || len(s.conns) > 0 {
		return
	}
	select {
	case <-s.empty:
	default:
		close(s.empty)
	}
}
