package soak_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	endpointSlots = 8
	eventPause    = 15 * time.Millisecond
)

// endpoint is a stand-in of a service's server. It notes each request that it runs.
type endpoint struct {
	id, service, domain string
	record              *record
	server              *http.Server
	address             string
	link                *link
	running             atomic.Int64

	mu sync.Mutex
	// spoil is the share of the answers that are lost, cut or followed by another one.
	spoil float64
}

var runNumbers atomic.Int64

func startEndpoint(id, service, domain string, record *record) (*endpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{id: id, service: service, domain: domain, record: record, address: listener.Addr().String()}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(listener) }()
	return e, nil
}

func (e *endpoint) setSpoil(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.spoil = share
}

// drawSpoil decides whether an answer is spoiled.
func (e *endpoint) drawSpoil() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return rand.Float64() < e.spoil
}

// ServeHTTP turns a request away or runs it.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Acacialift-Request-Id")
	expected := r.Header.Get("Acacialift-Expect-Instance")
	other := expected != "" && expected != e.id
	e.record.update(func() {
		e.record.arrivals = append(e.record.arrivals,
			arrival{endpoint: e.id, service: e.service, id: id, at: time.Now(), refused: other})
	})
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Acacialift-Request-Id", id)
	defer e.running.Add(-1)
	full := e.running.Add(1) > endpointSlots
	switch {
	case other:
		refuse(w, http.StatusMisdirectedRequest)
	case full:
		refuse(w, http.StatusServiceUnavailable)
	default:
		e.run(w, r, id, string(body))
	}
}

// refuse answers that the request has not run.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Acacialift-Not-Executed", "1")
	w.WriteHeader(status)
}

func (e *endpoint) run(w http.ResponseWriter, r *http.Request, id, body string) {
	deadline, _ := strconv.Atoi(r.Header.Get("Acacialift-Deadline-Ms"))
	n := &run{
		endpoint: e.id, service: e.service, number: int(runNumbers.Add(1)), path: r.URL.RequestURI(), body: body,
		team: r.Header.Get("Acacialift-Tenant"), deadline: time.Duration(deadline) * time.Millisecond,
		began: time.Now(), spoiled: e.drawSpoil(),
	}
	n.seal = fmt.Sprintf("seal-%d", n.number)
	n.from, _ = strconv.Atoi(r.Header.Get("Last-Event-Id"))
	var work workload
	work.parse(body)
	n.text = work.answer(n, kindOf(n.path))
	e.record.update(func() { e.record.runs[id] = append(e.record.runs[id], n) })
	defer e.record.update(func() { n.ended = time.Now() })

	select {
	case <-r.Context().Done():
		return
	case <-time.After(work.time):
	}
	w.Header().Set("Acacialift-Response-Seal", n.seal)
	if kindOf(n.path) == kindWords || kindOf(n.path) == kindTale {
		e.stream(w, r, n)
		return
	}
	if n.spoiled {
		spoilAnswer(w, n, id)
		return
	}
	_, _ = io.WriteString(w, n.text)
}

// stream writes an event at a time. A spoiled stream is cut in the middle of its second half.
func (e *endpoint) stream(w http.ResponseWriter, r *http.Request, n *run) {
	w.Header().Set("Content-Type", "text/event-stream")
	events := strings.SplitAfter(n.text, "\n\n")
	flusher := w.(http.Flusher)
	for i, event := range events {
		if n.spoiled && i > len(events)/2 {
			_, _ = io.WriteString(w, event[:len(event)/2])
			flusher.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, event); err != nil {
			return
		}
		flusher.Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventPause):
		}
	}
}

// spoilAnswer loses the answer, cuts it, resets an answer without a length, or sends another one after it.
func spoilAnswer(w http.ResponseWriter, n *run, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	head := "HTTP/1.1 200 OK\r\nAcacialift-Request-Id: " + id + "\r\nAcacialift-Response-Seal: " + n.seal + "\r\n"
	whole := head + "Content-Length: " + strconv.Itoa(len(n.text)) + "\r\n\r\n" + n.text
	switch n.number % 4 {
	case 0:
		_ = conn.Close()
	case 1:
		_, _ = io.WriteString(conn, whole[:len(whole)-len(n.text)/2-1])
		_ = conn.Close()
	case 2:
		_, _ = io.WriteString(conn, head+"Connection: close\r\n\r\n"+n.text[:len(n.text)/2])
		time.Sleep(eventPause)
		reset(conn)
	default:
		_, _ = io.WriteString(conn, whole+whole)
		time.Sleep(time.Second)
		_ = conn.Close()
	}
}

// workload is what the body of a request asks of an endpoint.
type workload struct {
	time    time.Duration
	events  int
	padding int
}

func (l *workload) String() string {
	return fmt.Sprintf("%d %d %d %s", l.time.Milliseconds(), l.events, l.padding, strings.Repeat("x", l.padding))
}

func (l *workload) parse(body string) {
	var milliseconds int
	_, _ = fmt.Sscanf(body, "%d %d %d", &milliseconds, &l.events, &l.padding)
	l.time = time.Duration(milliseconds) * time.Millisecond
}

// answer is the whole answer of a run. The events of a stream that may be resumed are the same at each endpoint.
func (l *workload) answer(n *run, k kind) string {
	var text strings.Builder
	switch k {
	case kindWords, kindTale:
		source := n.path
		if k == kindTale {
			source = n.seal
		}
		for i := n.from + 1; i <= l.events; i++ {
			fmt.Fprintf(&text, "id: %d\ndata: %s %d\n\n", i, source, i)
		}
	default:
		fmt.Fprintf(&text, "%s at %s, run %d %s", n.path, n.endpoint, n.number, strings.Repeat("y", l.padding))
	}
	return text.String()
}

func kindOf(path string) kind {
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return kind(first)
}
