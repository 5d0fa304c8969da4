package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// The slots of a model server, and its streams: so many events, so long apart.
	engineSlots    = 16
	streamEvents   = 30
	streamInterval = 100 * time.Millisecond
	// shedSeconds is the Retry-After of a server that turns a request away.
	shedSeconds = 3
)

// engine is a model server that runs as a process of its own.
type engine struct {
	id, address string
	born        int64
	cmd         *exec.Cmd

	mu sync.Mutex
	// active is the number of streams at the server, and shed that of the requests that it has turned away, as it says itself.
	active, shed int
}

func (e *engine) start() {
	self, err := os.Executable()
	if err != nil {
		fail("%v", err)
	}
	e.born = time.Now().UnixMilli()
	e.mu.Lock()
	e.active = 0
	e.mu.Unlock()
	e.cmd = exec.Command(self, "engine", e.address, e.id, fmt.Sprint(e.born))
	e.cmd.Stderr = os.Stderr
	output, err := e.cmd.StdoutPipe()
	if err != nil {
		fail("%v", err)
	}
	if err := e.cmd.Start(); err != nil {
		fail("engine: %v", err)
	}
	processes = append(processes, e.cmd)
	go func() {
		for lines := bufio.NewScanner(output); lines.Scan(); {
			record("server %s %s", e.id, lines.Text())
			e.mu.Lock()
			switch {
			case strings.HasPrefix(lines.Text(), "runs"):
				e.active++
			case strings.HasPrefix(lines.Text(), "ends"):
				e.active--
			case strings.HasPrefix(lines.Text(), "sheds"):
				e.shed++
			}
			e.mu.Unlock()
		}
	}()
	for until := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if r := call(e.address, request{method: "GET", target: "/v1/report", host: "report"}, time.Second); r.status == 200 {
			return
		}
		if time.Now().After(until) {
			fail("the server does not start")
		}
	}
}

func (e *engine) kill() {
	_ = e.cmd.Process.Signal(syscall.SIGKILL)
	_ = e.cmd.Wait()
}

func (e *engine) counts() (active, shed int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.active, e.shed
}

func (e *engine) entry(sequence int) string {
	return fmt.Sprintf(`{"service":"assist","address":%q,"zone":"nadi-yard","version":"v1","slots":%d,"state":"ready",`+
		`"cold-remaining-ms":0,"stage":"combined","models":[{"name":"m","version":1,"adapters":[]}],"sequence":%d,"born":%d}`,
		e.address, engineSlots, sequence, e.born)
}

// engineProcess is the program of a model server. Its streams have neither a length nor chunks and end with their connection.
type engineProcess struct {
	id, born string
	active   atomic.Int64
	// sheds is true while the server turns requests away.
	sheds atomic.Bool
}

func serveEngine(address, id, born string) {
	p := &engineProcess{id: id, born: born}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNoRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	go func() {
		for range signals {
			p.sheds.Store(true)
		}
	}()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *engineProcess) serve(conn net.Conn) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if r.URL.Path == "/v1/report" {
		body := fmt.Sprintf(`{"stage":"combined","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,`+
			`"queued":0,"active":%d,"kv-used":0,"kv-total":405000,"handles":0,"pace":1,"born":%s,"tickets":[]}`, p.active.Load(), p.born)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAcacialift-Instance-Id: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"+
			"Connection: close\r\n\r\n%s", p.id, len(body), body)
		return
	}
	id := r.Header.Get("Acacialift-Request-Id")
	if r.Header.Get("Acacialift-Expect-Instance") != p.id {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nAcacialift-Request-Id: %s\r\nAcacialift-Instance-Id: %s\r\n"+
			"Content-Length: 0\r\nConnection: close\r\n\r\n", id, p.id)
		return
	}
	if p.sheds.Load() || p.active.Load() >= engineSlots {
		fmt.Printf("sheds %s with Retry-After %d\n", id, shedSeconds)
		fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nAcacialift-Request-Id: %s\r\nAcacialift-Not-Executed: 1\r\n"+
			"Retry-After: %d\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", id, shedSeconds)
		return
	}
	p.active.Add(1)
	defer p.active.Add(-1)
	first := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &first)
		first++
	}
	fmt.Printf("runs %s from event %d\n", id, first)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAcacialift-Request-Id: %s\r\nAcacialift-Response-Seal: seal-%s\r\n"+
		"Acacialift-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id, id)
	for event := first; event <= streamEvents; event++ {
		time.Sleep(streamInterval)
		if _, err := fmt.Fprintf(conn, "id: %d\ndata: event %d of %d of %s\n\n", event, event, streamEvents, id); err != nil {
			fmt.Printf("ends %s, broken off by the caller\n", id)
			return
		}
	}
	fmt.Printf("ends %s\n", id)
}
