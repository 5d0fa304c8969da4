package soak_test

import (
	"io"
	"net"
	"sync"
	"time"
)

// linkMode is how a link treats the bytes of its connections.
type linkMode int

const (
	linkUp linkMode = iota
	// linkBlocked withholds the bytes of both directions.
	linkBlocked
	// linkNoRequests and linkNoResponses withhold the bytes of one direction.
	linkNoRequests
	linkNoResponses
	// linkReset resets open and new connections.
	linkReset
)

const copyBufferBytes = 32 << 10

// link is a loopback proxy in front of one target. Withheld bytes are forwarded when the link is up again, as TCP would
// retransmit them.
type link struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	mode   linkMode
	delay  time.Duration
	conns  map[net.Conn]bool
	closed bool
	// changed is closed and replaced at each change of the mode.
	changed chan struct{}
}

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, conns: make(map[net.Conn]bool), changed: make(chan struct{})}
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) setMode(mode linkMode, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode, l.delay = mode, delay
	if mode == linkReset {
		l.resetAll()
	}
	l.notify()
}

// setTarget redirects the link's address to another target and resets open connections.
func (l *link) setTarget(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
	l.resetAll()
	l.notify()
}

func (l *link) close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.resetAll()
	l.notify()
}

func (l *link) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *link) resetAll() {
	for conn := range l.conns {
		reset(conn)
	}
	clear(l.conns)
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (l *link) accept() {
	for {
		caller, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.connect(caller)
	}
}

func (l *link) connect(caller net.Conn) {
	l.mu.Lock()
	target, mode := l.target, l.mode
	l.mu.Unlock()
	callee, err := net.Dial("tcp", target)
	if err != nil || mode == linkReset {
		reset(caller)
		if err == nil {
			reset(callee)
		}
		return
	}
	if !l.add(caller, callee) {
		return
	}
	go l.copyDirection(callee, caller, linkNoRequests)
	l.copyDirection(caller, callee, linkNoResponses)
}

func (l *link) add(conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		if l.closed {
			reset(conn)
			continue
		}
		l.conns[conn] = true
	}
	return !l.closed
}

// copyDirection copies one direction of a connection. The given mode blocks only this direction.
func (l *link) copyDirection(to, from net.Conn, blocking linkMode) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buffer)
		l.waitUnblocked(blocking)
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				l.closeConns(to, from)
				return
			}
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			l.closeConns(to, from)
			return
		}
	}
}

// waitUnblocked waits for the link's delay, and then until the direction that the given mode blocks is not blocked.
func (l *link) waitUnblocked(blocking linkMode) {
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	time.Sleep(delay)
	for {
		l.mu.Lock()
		blocked := !l.closed && (l.mode == linkBlocked || l.mode == blocking)
		changed := l.changed
		l.mu.Unlock()
		if !blocked {
			return
		}
		<-changed
	}
}

func (l *link) closeConns(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		delete(l.conns, conn)
		reset(conn)
	}
}
