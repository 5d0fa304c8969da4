package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a stand-in of one server of a service. It registers in the store, answers requests, and can crash and start again
// at its address under its id, with a new time of birth.
type server struct {
	d       *deployment
	id      string
	service string
	zone    string
	address string
	slots   int
	// serve runs a request that the server has accepted.
	serve func(s *server, w http.ResponseWriter, r *http.Request)

	mu        sync.Mutex
	http      *http.Server
	up        bool
	born      time.Time
	coldUntil time.Time
}

const seal = "3e1b.07.5a2.600.0.c9f2a4d1"

// start listens at the server's address, the first time at a free one, and registers the server.
func (s *server) start(cold time.Duration) error {
	var listener net.Listener
	var err error
	if s.address == "" {
		listener, err = listen()
	} else {
		listener, err = net.Listen("tcp", s.address)
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.address = listener.Addr().String()
	s.http = &http.Server{Handler: s}
	s.up, s.born, s.coldUntil = true, time.Now(), time.Now().Add(cold)
	httpServer := s.http
	s.mu.Unlock()
	go func() { _ = httpServer.Serve(listener) }()
	if !s.d.store.isAway() {
		s.register("ready")
	}
	return nil
}

// register writes the server's entry. A server does so when it starts and when its entry changes.
func (s *server) register(state string) {
	s.mu.Lock()
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": state,
		"cold-remaining-ms": max(time.Until(s.coldUntil).Milliseconds(), 0), "sequence": 0, "born": s.born.UnixMilli(),
	}
	s.mu.Unlock()
	s.d.store.put("servers/"+s.id, entry)
}

// crash ends the server like a killed process: its listener and all its connections are closed. It starts again after
// some time.
func (s *server) crash(down, cold time.Duration) {
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		return
	}
	s.up = false
	old := s.http
	s.mu.Unlock()
	s.d.record("crash server=%s", s.id)
	go func() {
		_ = old.Close()
		time.Sleep(down)
		if err := s.start(cold); err != nil {
			s.d.fail("server %s could not start again: %v", s.id, err)
			return
		}
		s.d.record("back server=%s", s.id)
	}()
}

func (s *server) isUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.up
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Acacialift-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Acacialift-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Acacialift-Instance-Id", s.id)
		return
	}
	id := r.Header.Get("Acacialift-Request-Id")
	if id == "" {
		w.Header().Set("Acacialift-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.d.record("run id=%s server=%s tenant=%s last=%s", id, s.id, r.Header.Get("Acacialift-Tenant"), r.Header.Get("Last-Event-Id"))
	s.d.ran(id)
	w.Header().Set("Acacialift-Request-Id", id)
	w.Header().Set("Acacialift-Response-Seal", seal)
	s.serve(s, w, r)
}

// writeStream writes the events of a stream after the one that the request names, up to the last one.
func writeStream(w http.ResponseWriter, r *http.Request, events int, gap time.Duration) {
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := w.(http.Flusher)
	flusher.Flush()
	for n := first; n <= events; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(gap):
		}
		_, _ = fmt.Fprint(w, eventText(n))
		flusher.Flush()
	}
}

func eventText(n int) string { return fmt.Sprintf("id: %d\ndata: piece-%d\n\n", n, n) }

// parts returns the ids of the parts of a request's prompt.
func parts(r *http.Request) []string {
	var ids []string
	for entry := range strings.SplitSeq(r.Header.Get("Acacialift-Prompt-Prefix"), ",") {
		id, _, _ := strings.Cut(entry, ":")
		ids = append(ids, id)
	}
	return ids
}
