package engine

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// defaultReuseTime is how long an idle connection is kept if the endpoint states no time.
	defaultReuseTime = 4 * time.Second
	// reuseMargin is taken off the time that an endpoint states, so that a request does not cross its close.
	reuseMargin = time.Second
	// maxIdlePerAddress bounds the idle connections to one endpoint.
	maxIdlePerAddress = 32
)

// idleConn is a connection that waits for its next request.
type idleConn struct {
	raw    net.Conn
	reader *bufio.Reader
	until  time.Time
}

// idlePool keeps connections on which a whole answer was the last thing received.
type idlePool struct {
	mu    sync.Mutex
	conns map[string][]*idleConn
}

func newIdlePool() *idlePool { return &idlePool{conns: make(map[string][]*idleConn)} }

// take returns the connection to the address that was used last, or nil.
func (p *idlePool) take(address string, now time.Time) *idleConn {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		if now.Before(c.until) && isQuiet(c) {
			return c
		}
		_ = c.raw.Close()
	}
}

func (p *idlePool) pop(address string) *idleConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.conns[address]
	if len(conns) == 0 {
		return nil
	}
	last := conns[len(conns)-1]
	p.conns[address] = conns[:len(conns)-1]
	if len(conns) == 1 {
		delete(p.conns, address)
	}
	return last
}

// put keeps a connection until its time is over.
func (p *idlePool) put(address string, c *idleConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.conns[address]) >= maxIdlePerAddress {
		_ = c.raw.Close()
		return
	}
	p.conns[address] = append(p.conns[address], c)
}

// size returns the number of idle connections.
func (p *idlePool) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, conns := range p.conns {
		n += len(conns)
	}
	return n
}

// closeAll closes all connections.
func (p *idlePool) closeAll() { p.closeIf(func(*idleConn) bool { return true }) }

// expire closes the connections whose time is over.
func (p *idlePool) expire(now time.Time) {
	p.closeIf(func(c *idleConn) bool { return !now.Before(c.until) })
}

func (p *idlePool) closeIf(closes func(*idleConn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.conns {
		kept := conns[:0]
		for _, c := range conns {
			if !closes(c) {
				kept = append(kept, c)
				continue
			}
			_ = c.raw.Close()
		}
		if len(kept) == 0 {
			delete(p.conns, address)
			continue
		}
		p.conns[address] = kept
	}
}

// isQuiet reports whether an idle connection is open and holds no bytes. Bytes on an idle connection belong to no
// request that this process waits for.
func isQuiet(c *idleConn) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	conn, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var probe [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// reuseTime returns how long a connection may be kept after an answer with this header; zero means not at all.
func reuseTime(header http.Header) time.Duration {
	for _, value := range header["Connection"] {
		if strings.Contains(strings.ToLower(value), "close") {
			return 0
		}
	}
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return 0
		}
		return max(time.Duration(seconds)*time.Second-reuseMargin, 0)
	}
	return defaultReuseTime
}
