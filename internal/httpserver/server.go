// Package httpserver serves HTTP/1.1 with nbhttp's parser and one read loop per connection.
//
// nbhttp's own blocking mode runs a handler inside the read loop, so that it cannot notice a caller that leaves, and it
// ignores parse errors. This server keeps reading while a handler runs, cancels the request's context when the
// connection ends, answers parse errors, and lets a write block so that a slow reader slows its writer down.
package httpserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

const (
	defaultMaxBodyBytes  = 8 << 20
	defaultIdleTimeout   = 120 * time.Second
	defaultWriteTimeout  = 30 * time.Second
	readBufferBytes      = 32 << 10
	maxPipelinedRequests = 16
)

// Options configures a Server.
type Options struct {
	// Address is the listening IP:port.
	Address string
	// Handler answers the requests. Requests of one connection are answered one after another.
	Handler http.Handler
	// MaxBodyBytes bounds one request body.
	MaxBodyBytes int
	// IdleTimeout closes a connection that sends nothing while no request runs.
	IdleTimeout time.Duration
	// WriteTimeout ends a connection whose peer does not read for this long.
	WriteTimeout time.Duration
}

// Server is an HTTP server on one address.
type Server struct {
	options  Options
	engine   *nbhttp.Engine
	listener net.Listener

	mu     sync.Mutex
	conns  map[*conn]struct{}
	closed bool
}

// New returns a server that listens on its address at once and serves after Serve is called.
func New(options Options) (*Server, error) {
	if options.MaxBodyBytes == 0 {
		options.MaxBodyBytes = defaultMaxBodyBytes
	}
	if options.IdleTimeout == 0 {
		options.IdleTimeout = defaultIdleTimeout
	}
	if options.WriteTimeout == 0 {
		options.WriteTimeout = defaultWriteTimeout
	}
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, err
	}
	s := &Server{options: options, listener: listener, conns: make(map[*conn]struct{})}
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Handler:         http.HandlerFunc(s.serveHTTP),
		MaxHTTPBodySize: options.MaxBodyBytes,
		ServerExecutor:  func(f func()) { f() },
		ClientExecutor:  func(f func()) { f() },
	})
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve accepts connections until the context ends or the server is closed.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	for {
		raw, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		c := newConn(s, raw)
		if !s.add(c) {
			_ = raw.Close()
			return nil
		}
		go c.readLoop()
	}
}

// CloseListener stops accepting connections; open ones go on.
func (s *Server) CloseListener() { _ = s.listener.Close() }

// Close stops the listener and closes all connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.closed = true
	open := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	s.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
}

func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	response, ok := w.(*nbhttp.Response)
	if !ok {
		return
	}
	c, ok := response.Parser.Conn.(*conn)
	if !ok {
		return
	}
	s.options.Handler.ServeHTTP(w, r.WithContext(c.ctx))
}

// conn is one accepted connection. Its context ends when the peer closes or the connection breaks.
type conn struct {
	net.Conn
	server *Server
	parser *nbhttp.Parser
	ctx    context.Context
	cancel context.CancelFunc
	work   chan func()
}

func newConn(s *Server, raw net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{Conn: raw, server: s, ctx: ctx, cancel: cancel, work: make(chan func(), maxPipelinedRequests)}
	c.parser = nbhttp.NewParser(c, s.engine, nbhttp.NewServerProcessor(), false, c.enqueue)
	return c
}

// Write sends data and fails if the peer does not read it within the write timeout.
func (c *conn) Write(data []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(c.server.options.WriteTimeout))
	n, err := c.Conn.Write(data)
	if err != nil {
		c.cancel()
	}
	return n, err
}

// enqueue hands a whole request to the connection's worker; it blocks the read loop when too many are pipelined.
func (c *conn) enqueue(f func()) bool {
	select {
	case c.work <- f:
		return true
	case <-c.ctx.Done():
		return false
	}
}

func (c *conn) runWorker() {
	for f := range c.work {
		if c.ctx.Err() == nil {
			f()
		}
	}
	_ = c.Conn.Close()
	c.server.remove(c)
}

func (c *conn) readLoop() {
	go c.runWorker()
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := c.Read(buffer)
		if err != nil {
			break
		}
		if err := c.parser.Parse(buffer[:n]); err != nil {
			c.rejectMalformed()
			break
		}
	}
	c.cancel()
	close(c.work)
	c.parser.CloseAndClean(net.ErrClosed)
}

func (c *conn) rejectMalformed() {
	const answer = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	_, _ = c.Write([]byte(answer))
}
