package peer

import (
	"net"
	"sync"
)

const (
	// maxDeferred bounds the deferred replies of a node, and maxConnDeferred those of one connection. A scheduler has at most
	// 1,000 waiting requests for each of its shards.
	maxDeferred     = 4096
	maxConnDeferred = 1024
)

// Deferral lets the handler of a message reply after it has returned.
type Deferral interface {
	// Defer returns a function that sends the reply. Only its first call has an effect, and none once the connection has
	// closed. It must be called in any case, because the number of deferred replies is bounded. Defer returns false if there
	// are too many of them.
	Defer() (reply func(kind Kind, body any), ok bool)
}

// deferredReplies tracks the deferred replies of one connection.
type deferredReplies struct {
	mu     sync.Mutex
	open   int64
	closed bool
}

// take counts a deferred reply.
func (d *deferredReplies) take() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || d.open >= maxConnDeferred {
		return false
	}
	d.open++
	return true
}

// release ends a deferred reply. It returns false if the connection has closed.
func (d *deferredReplies) release() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return false
	}
	d.open--
	return true
}

// close drops all deferred replies and returns their number.
func (d *deferredReplies) close() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	dropped := d.open
	d.open, d.closed = 0, true
	return dropped
}

// connDeferral is the Deferral of a message on a connection.
type connDeferral struct {
	node    *Node
	conn    net.Conn
	session *session
	seq     uint64
}

// Defer implements Deferral.
func (d *connDeferral) Defer() (reply func(kind Kind, body any), ok bool) {
	if d.node.deferred.Add(1) > maxDeferred || !d.session.deferred.take() {
		d.node.deferred.Add(-1)
		return nil, false
	}
	var once sync.Once
	return func(kind Kind, body any) {
		once.Do(func() {
			if !d.session.deferred.release() {
				return
			}
			d.node.deferred.Add(-1)
			if d.node.write(d.conn, kind, d.seq, true, body) != nil {
				_ = d.conn.Close()
			}
		})
	}, true
}

// Deferred returns the number of replies that handlers have deferred.
func (n *Node) Deferred() int64 { return n.deferred.Load() }
