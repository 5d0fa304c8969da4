// Package httpserver serves HTTP/1.1 with one read loop and one worker per connection.
//
// It is used instead of the server of nbhttp, a package of nbio. The blocking mode of nbhttp runs the handler inside the
// read loop and therefore cannot detect a disconnect of the caller, and it ignores parse errors. This server keeps reading
// while a handler runs, cancels the request's context when the connection ends, and responds to malformed requests. Its
// writes block while the caller does not read, which limits the handler to the speed of the caller.
//
// The response writer of nbhttp is not used for two reasons. When a write of 64 KiB follows a smaller one, it continues to
// use a buffer that it has already returned to the pool, so that two connections may share the buffer. It also drops the
// error of a flush.
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

	// acceptRetryDelay is the delay after an accept that failed for a temporary reason, such as a lack of file descriptors.
	acceptRetryDelay = 50 * time.Millisecond
)

// Options configures a Server. A limit or time of zero means the default.
type Options struct {
	// Address is the listening IP:port.
	Address string
	// Handler serves the requests. Requests of one connection are served one after another.
	Handler http.Handler
	// MaxHeaderBytes bounds the request line and header of one request; the default is 16 KiB.
	MaxHeaderBytes int
	// MaxBodyBytes bounds one request body; the default is 8 MiB.
	MaxBodyBytes int
	// MaxBufferedBytes bounds the body bytes of all requests that are being received, waiting or running; the default is
	// 64 MiB.
	MaxBufferedBytes int64
	// MaxPipelined bounds the complete requests of one connection that wait for an earlier one; the default is 16.
	MaxPipelined int
	// HeadTimeout bounds the time from the first byte of a request to the end of its header; the default is 10 s.
	HeadTimeout time.Duration
	// RequestTimeout bounds the time from the first byte of a request to its last byte; the default is 60 s.
	RequestTimeout time.Duration
	// IdleTimeout closes a connection that sends nothing while no request runs or is received; the default is 120 s.
	IdleTimeout time.Duration
	// WriteTimeout ends a connection whose caller reads nothing for this long while a write waits; the default is 30 s.
	WriteTimeout time.Duration
	// MaxConnections bounds the open connections; further connections are reset. The default is no bound.
	MaxConnections int
	// OnRefusal, if set, is called before the server sends a refusal that it, not the handler, creates.
	OnRefusal func(refusal *outcome.Error)
	// OnPanic, if set, is called with the value and stack of a panic in the handler, after the connection was reset.
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
	options    Options
	listener   net.Listener
	bodyBudget *budget.Budget

	mu       sync.Mutex
	conns    map[*conn]struct{}
	draining bool
	closed   bool
	// drained is closed when the server is draining and has no open connection.
	drained chan struct{}
}

// New returns a server that listens on its address at once and serves after Serve is called.
func New(options Options) (*Server, error) {
	options = options.withDefaults()
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, err
	}
	return &Server{
		options:    options,
		listener:   listener,
		bodyBudget: budget.New(options.MaxBufferedBytes),
		conns:      make(map[*conn]struct{}),
		drained:    make(chan struct{}),
	}, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// BufferedBytes returns the number of body bytes that are reserved for requests being received, waiting or running.
func (s *Server) BufferedBytes() int64 { return s.bodyBudget.Used() }

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Serve accepts connections until the context ends, or the server is closed or drained. It returns an error only if the
// listener fails permanently.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	for {
		raw, err := s.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case isTemporaryAcceptError(err):
			time.Sleep(acceptRetryDelay)
			continue
		case err != nil:
			return err
		}
		if limit := s.options.MaxConnections; limit > 0 && s.Connections() >= limit {
			// Connections of callers must not use up the file descriptors needed for connections to endpoints.
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

// isTemporaryAcceptError reports whether an accept failed for lack of resources that closed connections release, or
// because of a fault of the accepted connection only.
func isTemporaryAcceptError(err error) bool {
	for _, shortage := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}

// CloseListener stops accepting connections; open connections stay open.
func (s *Server) CloseListener() { _ = s.listener.Close() }

// Drain stops accepting connections, closes idle connections, and lets running, waiting and partly received requests
// finish. The last response of a connection carries "Connection: close". Drain returns nil when no connection is open any
// more, or the context's error, which leaves the remaining connections open.
func (s *Server) Drain(ctx context.Context) error {
	s.CloseListener()
	s.mu.Lock()
	s.draining = true
	s.signalDrained()
	s.mu.Unlock()
	for _, c := range s.openConns() {
		c.closeIfIdle()
	}
	select {
	case <-s.drained:
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
	for _, c := range s.openConns() {
		c.closeOrReset()
	}
}

func (s *Server) openConns() []*conn {
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
	s.signalDrained()
}

// signalDrained closes the channel drained if the server is draining and no connection is open. The caller must hold the
// mutex.
func (s *Server) signalDrained() {
	if !s.draining || len(s.conns) > 0 {
		return
	}
	select {
	case <-s.drained:
	default:
		close(s.drained)
	}
}
