package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

var requestNumber atomic.Int64

// newID returns the id of a new client attempt.
func newID() string { return fmt.Sprintf("%016x", 0x1000+requestNumber.Add(1)) }

// request is what a client sends.
type request struct {
	method, target, host, id, key string
	deadlineMS                    int
	body                          string
	header                        string
}

// response is what a client gets. Status 0 means that there was no complete answer.
type response struct {
	status int
	seal   string
	header http.Header
	body   []byte
	err    error
}

// call sends a request on a new connection.
func call(address string, r request, timeout time.Duration) response {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return response{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	return exchange(conn, bufio.NewReader(conn), r)
}

func (r request) encode() string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n", r.method, r.target, r.host)
	if r.id != "" {
		text += "Acacialift-Request-Id: " + r.id + "\r\n"
	}
	if r.deadlineMS > 0 {
		text += fmt.Sprintf("Acacialift-Deadline-Ms: %d\r\n", r.deadlineMS)
	}
	if r.key != "" {
		text += "Api-Key: " + r.key + "\r\n"
	}
	if r.method != "GET" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	return text + r.header + "\r\n" + r.body
}

func exchange(conn net.Conn, reader *bufio.Reader, r request) response {
	if _, err := io.WriteString(conn, r.encode()); err != nil {
		return response{err: err}
	}
	answer, err := http.ReadResponse(reader, &http.Request{Method: r.method})
	if err != nil {
		return response{err: err}
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return response{err: err, header: answer.Header}
	}
	return response{status: answer.StatusCode, seal: answer.Header.Get("Acacialift-Response-Seal"), header: answer.Header, body: body}
}

// run is one request that a server has worked on.
type run struct {
	id, tenant, server string
	at                 time.Time
}

// server is a sound server of a plain service.
type server struct {
	id, address, service string
	born                 int64

	mu   sync.Mutex
	runs []run
}

func newServer(id, service string) *server {
	s := &server{id: id, service: service, born: time.Now().UnixMilli()}
	listener, err := net.Listen("tcp", freeAddress())
	if err != nil {
		fail("server: %v", err)
	}
	s.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, s) }()
	return s
}

// entry is what the server writes to the store.
func (s *server) entry(sequence int) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"nadi-yard","version":"v1","slots":6,"state":"ready",`+
		`"cold-remaining-ms":0,"sequence":%d,"born":%d}`, s.service, s.address, sequence, s.born)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("Acacialift-Instance-Id", s.id)
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("Acacialift-Request-Id")
	w.Header().Set("Acacialift-Request-Id", id)
	if expected := r.Header.Get("Acacialift-Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	done := run{id: id, tenant: r.Header.Get("Acacialift-Tenant"), server: s.id, at: time.Now()}
	s.mu.Lock()
	s.runs = append(s.runs, done)
	s.mu.Unlock()
	record("server %s runs request %s for tenant %q", s.id, id, done.tenant)
	time.Sleep(15 * time.Millisecond)
	w.Header().Set("Acacialift-Response-Seal", "seal-"+id)
	fmt.Fprintf(w, "done %s %d", id, len(body))
}

// ran returns whether the server has run a request.
func (s *server) ran(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs {
		if r.id == id {
			return true
		}
	}
	return false
}
