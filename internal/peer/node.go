package peer

import (
	"context"
	"crypto/subtle"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
)

const (
	dialTimeout = 2 * time.Second
	// maxUnsentBytes bounds the unsent bytes of one connection; nbio closes a connection that exceeds it.
	maxUnsentBytes = 8 << 20
	// helloTimeout is the time after which an accepted connection without a hello is closed.
	helloTimeout = 5 * time.Second
	// acceptRetryDelay is the delay after a failure to accept a connection, for example for lack of file descriptors.
	acceptRetryDelay = 50 * time.Millisecond
	// minEngineAge is the time from the start of an engine to its stop. nbio 1.6.8 never stops, and uses a whole core, if its
	// poller has not begun to run when it is stopped.
	minEngineAge = 20 * time.Millisecond
	// stopTimeout bounds the stop of the engine, in case its poller still had not begun. A process ends after that.
	stopTimeout = time.Second
)

// Handler handles messages of other processes. It runs on the connection's read loop and must not block.
type Handler interface {
	// Handle returns the kind and body of the reply; a nil body sends none. To reply later, the handler uses
	// Envelope.Deferral and returns a nil body.
	Handle(from Hello, envelope *Envelope) (Kind, any)
}

// Events receives the events of a node.
type Events interface {
	// Refused is called before a connection is closed for an invalid message or key. The reason contains no key.
	Refused(remote string, reason string)
}

// Options configures a Node.
type Options struct {
	// Listen is the IP:port of the peer port; empty for processes that only open connections.
	Listen string
	// Self identifies this process on the connections that it opens.
	Self Hello
	// Handler handles received messages; required if Listen is set.
	Handler Handler
	// Events may be nil.
	Events Events
}

// CallError is a failed call to another process.
type CallError struct {
	Address string
	// Code is "dial", "closed", "timeout", "refused" or "malformed".
	Code string
	Err  error
}

// Error implements the error interface.
func (e *CallError) Error() string {
	return fmt.Sprintf("call to peer %s: %s: %v", e.Address, e.Code, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Node sends and receives messages on one nbio engine.
type Node struct {
	options Options
	engine  *nbio.Engine
	seq     atomic.Uint64

	// BytesSent and BytesReceived count the frame bytes of all connections, Messages the received messages.
	BytesSent     atomic.Int64
	BytesReceived atomic.Int64
	Messages      atomic.Int64

	// listener is nil if the node accepts no connections.
	listener net.Listener
	started  time.Time
	// closing is done once Close was called. opening counts the goroutines that may add connections to the engine.
	closing context.Context
	close   context.CancelFunc
	opening sync.WaitGroup

	// deferred counts the deferred replies of all connections.
	deferred atomic.Int64

	mu      sync.Mutex
	clients map[string]*clientConn
}

// NewNode starts a node.
func NewNode(options Options) (*Node, error) {
	n := &Node{options: options, clients: make(map[string]*clientConn)}
	n.closing, n.close = context.WithCancel(context.Background())
	n.engine = nbio.NewEngine(nbio.Config{Name: "peer", NPoller: 1, MaxWriteBufferSize: maxUnsentBytes})
	n.engine.OnOpen(n.onOpen)
	n.engine.OnData(n.onData)
	n.engine.OnClose(n.onClose)
	if err := n.listen(); err != nil {
		return nil, err
	}
	if err := n.engine.Start(); err != nil {
		if n.listener != nil {
			_ = n.listener.Close()
		}
		return nil, err
	}
	n.started = time.Now()
	if n.listener != nil {
		n.opening.Add(1)
		go n.accept()
	}
	return n, nil
}

func (n *Node) listen() (err error) {
	if n.options.Listen != "" {
		n.listener, err = net.Listen("tcp", n.options.Listen)
	}
	return err
}

// accept adds accepted connections to the engine until the node closes. The engine's own acceptors are not used, because they
// may add a connection while the engine stops.
func (n *Node) accept() {
	defer n.opening.Done()
	for {
		raw, err := n.listener.Accept()
		switch {
		case n.closing.Err() != nil:
			if err == nil {
				_ = raw.Close()
			}
			return
		case err != nil:
			time.Sleep(acceptRetryDelay)
			continue
		}
		conn, err := nbio.NBConn(raw)
		if err != nil {
			_ = raw.Close()
			continue
		}
		_, _ = n.engine.AddConn(conn)
	}
}

// Close stops the node and closes all connections. It ends the goroutines that add connections before it stops the engine:
// the engine closes the connections that are open when it begins to stop, and then waits for all, also for later ones, or
// panics because of them.
func (n *Node) Close() {
	n.mu.Lock()
	n.close()
	n.mu.Unlock()
	if n.listener != nil {
		_ = n.listener.Close()
	}
	n.opening.Wait()
	time.Sleep(time.Until(n.started.Add(minEngineAge)))
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		n.engine.Stop()
	}()
	select {
	case <-stopped:
	case <-time.After(stopTimeout):
	}
}

// session is the state of one connection.
type session struct {
	decoder Decoder
	// hello is nil until the initiator of an accepted connection has sent it.
	hello  *Hello
	client *clientConn
	// deferred holds the deferred replies of an accepted connection.
	deferred deferredReplies
}

func (n *Node) onOpen(c *nbio.Conn) {
	if c.Session() != nil {
		return
	}
	c.SetSession(&session{})
	_ = c.SetReadDeadline(time.Now().Add(helloTimeout))
}

func (n *Node) onClose(c *nbio.Conn, err error) {
	s, ok := c.Session().(*session)
	if ok && s.client != nil {
		n.removeClient(s.client)
		s.client.fail(err)
	}
	if ok {
		n.deferred.Add(-s.deferred.close())
	}
}

func (n *Node) onData(c *nbio.Conn, data []byte) {
	s, ok := c.Session().(*session)
	if !ok {
		_ = c.Close()
		return
	}
	n.BytesReceived.Add(int64(len(data)))
	envelopes, err := s.decoder.Feed(data)
	for i := range envelopes {
		if !n.handleEnvelope(c, s, &envelopes[i]) {
			_ = c.Close()
			return
		}
	}
	if err != nil {
		n.refuse(c, 0, "malformed_frame", err.Error())
		_ = c.Close()
	}
}

// handleEnvelope handles a message. It returns false if the connection must be closed.
func (n *Node) handleEnvelope(c *nbio.Conn, s *session, envelope *Envelope) bool {
	n.Messages.Add(1)
	if s.client != nil {
		if envelope.Reply {
			s.client.deliver(envelope)
		}
		return true
	}
	if s.hello == nil {
		return n.acceptHello(c, s, envelope)
	}
	if envelope.Seq != 0 {
		envelope.Deferral = &connDeferral{node: n, conn: c, session: s, seq: envelope.Seq}
	}
	kind, body := n.options.Handler.Handle(*s.hello, envelope)
	if body == nil || envelope.Seq == 0 {
		return true
	}
	return n.write(c, kind, envelope.Seq, true, body) == nil
}

func (n *Node) acceptHello(c *nbio.Conn, s *session, envelope *Envelope) bool {
	var hello Hello
	if envelope.Kind != KindHello || envelope.Decode(&hello) != nil {
		n.refuse(c, envelope.Seq, "hello_expected", "the first message must be a hello")
		return false
	}
	if subtle.ConstantTimeCompare([]byte(hello.Key), []byte(n.options.Self.Key)) != 1 {
		n.refuse(c, envelope.Seq, "wrong_key", "wrong key for the peer port")
		return false
	}
	hello.Key = ""
	s.hello = &hello
	_ = c.SetReadDeadline(time.Time{})
	return true
}

func (n *Node) refuse(c *nbio.Conn, seq uint64, code, message string) {
	if n.options.Events != nil {
		n.options.Events.Refused(c.RemoteAddr().String(), code+": "+message)
	}
	_ = n.write(c, KindError, seq, true, Error{Code: code, Message: message})
}

func (n *Node) write(c net.Conn, kind Kind, seq uint64, reply bool, body any) error {
	frame, err := EncodeFrame(kind, seq, reply, body)
	if err != nil {
		return err
	}
	return n.writeFrame(c, frame)
}

func (n *Node) writeFrame(c net.Conn, frame []byte) error {
	n.BytesSent.Add(int64(len(frame)))
	_, err := c.Write(frame)
	return err
}

// Call sends a request and decodes its reply into out. The context bounds the time for dialling and the reply.
func (n *Node) Call(ctx context.Context, address string, kind Kind, body, out any) error {
	client, err := n.client(ctx, address)
	if err != nil {
		return &CallError{Address: address, Code: "dial", Err: err}
	}
	seq := n.seq.Add(1)
	reply := client.awaitReply(seq)
	defer client.cancel(seq)
	if err := n.write(client.conn, kind, seq, false, body); err != nil {
		return &CallError{Address: address, Code: "closed", Err: err}
	}
	select {
	case envelope, ok := <-reply:
		if !ok {
			return &CallError{Address: address, Code: "closed", Err: client.closeError()}
		}
		return decodeReply(address, envelope, out)
	case <-ctx.Done():
		return &CallError{Address: address, Code: "timeout", Err: ctx.Err()}
	}
}

func decodeReply(address string, envelope *Envelope, out any) error {
	if envelope.Kind == KindError {
		var refused Error
		if err := envelope.Decode(&refused); err != nil {
			return &CallError{Address: address, Code: "malformed", Err: err}
		}
		return &CallError{Address: address, Code: "refused", Err: errors.New(refused.Code + ": " + refused.Message)}
	}
	if err := envelope.Decode(out); err != nil {
		return &CallError{Address: address, Code: "malformed", Err: err}
	}
	return nil
}

// Send sends a message without waiting for a reply. The message may be lost.
func (n *Node) Send(ctx context.Context, address string, kind Kind, body any) error {
	frame, err := EncodeFrame(kind, 0, false, body)
	if err != nil {
		return err
	}
	return n.SendFrame(ctx, address, frame)
}

// SendFrame sends an encoded message without waiting for a reply. A message to several addresses is encoded once.
func (n *Node) SendFrame(ctx context.Context, address string, frame []byte) error {
	client, err := n.client(ctx, address)
	if err != nil {
		return &CallError{Address: address, Code: "dial", Err: err}
	}
	if err := n.writeFrame(client.conn, frame); err != nil {
		return &CallError{Address: address, Code: "closed", Err: err}
	}
	return nil
}
