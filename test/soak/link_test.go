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
	// linkSilent holds the bytes of both directions.
	linkSilent
	// linkNoRequests and linkNoAnswers hold the bytes of one direction.
	linkNoRequests
	linkNoAnswers
	// linkReset resets open and new connections.
	linkReset
)

const copyBytes = 32 << 10

// link is a loopback proxy in front of one target. Bytes that it holds are passed on when it is up again, as
// retransmissions would be.
type link struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	mode   linkMode
	delay  time.Duration
	open   map[net.Conn]bool
	closed bool
	// changed is closed and replaced at each change of the mode.
	changed chan struct{}
}

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, open: make(map[net.Conn]bool), changed: make(chan struct{})}
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) set(mode linkMode, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode, l.delay = mode, delay
	if mode == linkReset {
		l.resetAll()
	}
	l.notify()
}

// setTarget gives the address to another target. Open connections end.
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
	for conn := range l.open {
		reset(conn)
	}
	clear(l.open)
}

// reset closes a connection so that its peer sees a reset.
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
	go l.pass(callee, caller, linkNoRequests)
	l.pass(caller, callee, linkNoAnswers)
}

func (l *link) add(conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		if l.closed {
			reset(conn)
			continue
		}
		l.open[conn] = true
	}
	return !l.closed
}

// pass copies one direction, which the mode holding stops.
func (l *link) pass(to, from net.Conn, holding linkMode) {
	buffer := make([]byte, copyBytes)
	for {
		n, err := from.Read(buffer)
		l.hold(holding)
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				l.end(to, from)
				return
			}
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			l.end(to, from)
			return
		}
	}
}

// hold waits for the delay and while a direction is held.
func (l *link) hold(holding linkMode) {
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	time.Sleep(delay)
	for {
		l.mu.Lock()
		held := !l.closed && (l.mode == linkSilent || l.mode == holding)
		changed := l.changed
		l.mu.Unlock()
		if !held {
			return
		}
		<-changed
	}
}

func (l *link) end(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		delete(l.open, conn)
		reset(conn)
	}
}
