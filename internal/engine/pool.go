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
	// defaultReuseTime is how long an idle connection is kept if the endpoint sends no Keep-Alive timeout.
	defaultReuseTime = 4 * time.Second
	// reuseMargin is subtracted from the Keep-Alive timeout of an endpoint. It avoids sending a request while the endpoint
	// closes the connection.
	reuseMargin = time.Second
	// maxKeepAliveSeconds bounds the Keep-Alive timeout of an endpoint that is believed.
	maxKeepAliveSeconds = 3600
	// maxIdlePerAddress is the maximum number of idle connections to one endpoint.
	maxIdlePerAddress = 32
)

// poolConn is a connection to an endpoint that may be kept in an idlePool. expires is used only while it is idle.
type poolConn struct {
	raw     net.Conn
	reader  *bufio.Reader
	expires time.Time
}

// idlePool keeps connections that have no request or response in progress.
type idlePool struct {
	mu    sync.Mutex
	conns map[string][]*poolConn
}

func newIdlePool() *idlePool { return &idlePool{conns: make(map[string][]*poolConn)} }

// take returns the most recently used connection to the address, or nil. It closes expired and broken ones.
func (p *idlePool) take(address string, now time.Time) *poolConn {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		if now.Before(c.expires) && isReusable(c) {
			return c
		}
		_ = c.raw.Close()
	}
}

func (p *idlePool) pop(address string) *poolConn {
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

// put stores a connection, or closes it if the address has maxIdlePerAddress idle connections.
func (p *idlePool) put(address string, c *poolConn) {
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
func (p *idlePool) closeAll() { p.closeIf(func(*poolConn) bool { return true }) }

// expire closes expired connections.
func (p *idlePool) expire(now time.Time) {
	p.closeIf(func(c *poolConn) bool { return !now.Before(c.expires) })
}

func (p *idlePool) closeIf(shouldClose func(*poolConn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.conns {
		kept := conns[:0]
		for _, c := range conns {
			if !shouldClose(c) {
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

// isReusable reports whether an idle connection is open and has no unread bytes. Such bytes would be read as the start of
// the next response.
func isReusable(c *poolConn) bool {
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
	empty := false
	err = control.Read(func(fd uintptr) bool {
		var probe [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}

// reuseTime returns how long a connection may stay idle after a response with this header; zero forbids reuse.
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
		return max(time.Duration(min(seconds, maxKeepAliveSeconds))*time.Second-reuseMargin, 0)
	}
	return defaultReuseTime
}
