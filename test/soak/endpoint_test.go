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
	eventInterval = 15 * time.Millisecond
	rateHeader    = "Server-Limit"
)

// endpoint is a stand-in for a server of a service. It records each request that it gets or runs.
type endpoint struct {
	id, service, domain string
	record              *record
	server              *http.Server
	address             string
	link                *link
	running             atomic.Int64

	mu sync.Mutex
	// faultyFraction is the fraction of responses that are lost, truncated or sent twice.
	faultyFraction float64
	// requestRate is the rate that the responses name, in requests per second; zero if they name none.
	requestRate float64
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

func (e *endpoint) setFaultyFraction(fraction float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faultyFraction = fraction
}

func (e *endpoint) setRequestRate(perSecond float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requestRate = perSecond
}

// nameRequestRate adds the request rate to the header of a response and returns it; zero if there is none.
func (e *endpoint) nameRequestRate(header http.Header) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.requestRate > 0 {
		header.Set(rateHeader, strconv.FormatFloat(e.requestRate, 'f', 2, 64))
	}
	return e.requestRate
}

// drawFaulty decides at random whether a response is faulty.
func (e *endpoint) drawFaulty() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return rand.Float64() < e.faultyFraction
}

// ServeHTTP runs a request, or refuses it if it is misdirected or all slots are in use.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Acacialift-Request-Id")
	expected := r.Header.Get("Acacialift-Expect-Instance")
	misdirected := expected != "" && expected != e.id
	e.record.update(func() {
		e.record.arrivals = append(e.record.arrivals,
			arrival{endpoint: e.id, service: e.service, id: id, at: time.Now(), misdirected: misdirected})
	})
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Acacialift-Request-Id", id)
	rate := e.nameRequestRate(w.Header())
	defer e.running.Add(-1)
	full := e.running.Add(1) > endpointSlots
	switch {
	case misdirected:
		refuse(w, http.StatusMisdirectedRequest)
	case full:
		refuse(w, http.StatusServiceUnavailable)
	default:
		e.run(w, r, id, string(body), rate)
	}
}

// refuse responds that the request was not executed.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Acacialift-Not-Executed", "1")
	w.WriteHeader(status)
}

func (e *endpoint) run(w http.ResponseWriter, r *http.Request, id, body string, rate float64) {
	deadline, _ := strconv.Atoi(r.Header.Get("Acacialift-Deadline-Ms"))
	run := &run{
		endpoint: e.id, service: e.service, number: int(runNumbers.Add(1)), path: r.URL.RequestURI(), body: body,
		team: r.Header.Get("Acacialift-Tenant"), deadline: time.Duration(deadline) * time.Millisecond,
		began: time.Now(), faulty: e.drawFaulty(), namedRate: rate,
	}
	run.seal = fmt.Sprintf("seal-%d", run.number)
	run.lastEventID, _ = strconv.Atoi(r.Header.Get("Last-Event-Id"))
	var load workload
	load.parse(body)
	run.responseBody = load.responseBody(run, kindOf(run.path))
	e.record.update(func() { e.record.runs[id] = append(e.record.runs[id], run) })
	defer e.record.update(func() { run.ended = time.Now() })

	select {
	case <-r.Context().Done():
		return
	case <-time.After(load.time):
	}
	w.Header().Set("Acacialift-Response-Seal", run.seal)
	if kindOf(run.path) == kindResumable || kindOf(run.path) == kindNonResumable {
		e.stream(w, r, run)
		return
	}
	if run.faulty {
		writeFaultyResponse(w, run, id)
		return
	}
	_, _ = io.WriteString(w, run.responseBody)
}

// stream writes one event at a time. A faulty stream ends with a reset in the middle of an event, after more than half
// of the events.
func (e *endpoint) stream(w http.ResponseWriter, r *http.Request, run *run) {
	w.Header().Set("Content-Type", "text/event-stream")
	events := strings.SplitAfter(run.responseBody, "\n\n")
	flusher := w.(http.Flusher)
	for i, event := range events {
		if run.faulty && i > len(events)/2 {
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
		case <-time.After(eventInterval):
		}
	}
}

// writeFaultyResponse sends no response, truncates it, resets a truncated response without a length, or sends the
// response twice.
func writeFaultyResponse(w http.ResponseWriter, run *run, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	head := "HTTP/1.1 200 OK\r\nAcacialift-Request-Id: " + id + "\r\nAcacialift-Response-Seal: " + run.seal + "\r\n"
	if rate := w.Header().Get(rateHeader); rate != "" {
		head += rateHeader + ": " + rate + "\r\n"
	}
	full := head + "Content-Length: " + strconv.Itoa(len(run.responseBody)) + "\r\n\r\n" + run.responseBody
	switch run.number % 4 {
	case 0:
		_ = conn.Close()
	case 1:
		_, _ = io.WriteString(conn, full[:len(full)-len(run.responseBody)/2-1])
		_ = conn.Close()
	case 2:
		_, _ = io.WriteString(conn, head+"Connection: close\r\n\r\n"+run.responseBody[:len(run.responseBody)/2])
		time.Sleep(eventInterval)
		reset(conn)
	default:
		_, _ = io.WriteString(conn, full+full)
		time.Sleep(time.Second)
		_ = conn.Close()
	}
}

// workload is the work that a request's body specifies: its time, the number of events of a stream, and the
// bytes of padding in the bodies of the request and a response that is not streamed.
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

// responseBody returns the complete response of a run. The events of a resumable stream are the same at each endpoint.
func (l *workload) responseBody(run *run, k kind) string {
	var text strings.Builder
	switch k {
	case kindResumable, kindNonResumable:
		source := run.path
		if k == kindNonResumable {
			source = run.seal
		}
		for i := run.lastEventID + 1; i <= l.events; i++ {
			fmt.Fprintf(&text, "id: %d\ndata: %s %d\n\n", i, source, i)
		}
	default:
		fmt.Fprintf(&text, "%s at %s, run %d %s", run.path, run.endpoint, run.number, strings.Repeat("y", l.padding))
	}
	return text.String()
}

func kindOf(path string) kind {
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return kind(first)
}
