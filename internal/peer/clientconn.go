package peer

import (
	"context"
	"net"
	"sync"

	"github.com/lesismal/nbio"
)

// client returns the open connection to an address or opens a new one.
func (n *Node) client(ctx context.Context, address string) (*clientConn, error) {
	n.mu.Lock()
	if n.closing.Err() != nil {
		n.mu.Unlock()
		return nil, net.ErrClosed
	}
	client := n.clients[address]
	if client == nil {
		client = &clientConn{address: address, ready: make(chan struct{}), pending: make(map[uint64]chan *Envelope)}
		n.clients[address] = client
		n.opening.Add(1)
		go n.open(client)
	}
	n.mu.Unlock()
	select {
	case <-client.ready:
		if client.openErr != nil {
			return nil, client.openErr
		}
		return client, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *Node) open(client *clientConn) {
	defer n.opening.Done()
	defer close(client.ready)
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(n.closing, "tcp", client.address)
	if err != nil {
		client.openErr = err
		n.removeClient(client)
		return
	}
	conn, err := nbio.NBConn(raw)
	if err != nil {
		client.openErr = err
		n.removeClient(client)
		return
	}
	conn.SetSession(&session{client: client})
	client.conn = conn
	if _, err := n.engine.AddConn(conn); err != nil {
		client.openErr = err
		n.removeClient(client)
		return
	}
	client.openErr = n.write(conn, KindHello, 0, false, n.options.Self)
}

// Disconnect closes the connection to an address, if there is one. The next message opens a new connection. It is needed
// when a peer stops responding, because such a connection reports no error.
func (n *Node) Disconnect(address string) {
	n.mu.Lock()
	client := n.clients[address]
	delete(n.clients, address)
	n.mu.Unlock()
	if client == nil {
		return
	}
	go func() {
		<-client.ready
		if client.conn != nil {
			_ = client.conn.Close()
		}
	}()
}

func (n *Node) removeClient(client *clientConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.clients[client.address] == client {
		delete(n.clients, client.address)
	}
}

// clientConn is a connection that this process opened.
type clientConn struct {
	address string
	// ready is closed when the connection is open or openErr is set.
	ready   chan struct{}
	openErr error
	conn    *nbio.Conn

	mu       sync.Mutex
	pending  map[uint64]chan *Envelope
	closeErr error
}

func (c *clientConn) awaitReply(seq uint64) <-chan *Envelope {
	reply := make(chan *Envelope, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeErr != nil {
		close(reply)
		return reply
	}
	c.pending[seq] = reply
	return reply
}

func (c *clientConn) cancel(seq uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, seq)
}

func (c *clientConn) deliver(envelope *Envelope) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply := c.pending[envelope.Seq]; reply != nil {
		delete(c.pending, envelope.Seq)
		reply <- envelope
	}
}

func (c *clientConn) fail(err error) {
	if err == nil {
		err = net.ErrClosed
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeErr = err
	for seq, reply := range c.pending {
		delete(c.pending, seq)
		close(reply)
	}
}

func (c *clientConn) closeError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeErr
}
