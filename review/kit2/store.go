package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one version of a key of the store; a tombstone records a removal.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is the platform's store of PROTOCOL.md: reading calls only, one revision counter, Store-Era in all answers.
type store struct {
	address string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	era      int64
	revision int64
	items    map[string]item
	history  []item
	// completeAfter is the revision after which the history is complete.
	completeAfter int64
	changed       chan struct{}
}

// storeCopy is the content of a store at one moment.
type storeCopy struct {
	revision      int64
	items         map[string]item
	history       []item
	completeAfter int64
}

func newStore() *store {
	s := &store{
		era: 1, revision: 100, completeAfter: 100, items: make(map[string]item), changed: make(chan struct{}),
		conns: make(map[net.Conn]bool),
	}
	s.address = freeAddress()
	s.open()
	return s
}

// open accepts connections at the store's address.
func (s *store) open() {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		fail("store: %v", err)
	}
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	server := &http.Server{Handler: s, ConnState: func(c net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if state == http.StateNew {
			s.conns[c] = true
		}
		if state == http.StateClosed || state == http.StateHijacked {
			delete(s.conns, c)
		}
	}}
	go func() { _ = server.Serve(listener) }()
}

// close makes the store unreachable: nothing listens, and all connections are reset.
func (s *store) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (s *store) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key and returns the moment of the acknowledgement.
func (s *store) put(key, value string) time.Time {
	s.update(func() {
		s.revision++
		it := item{Key: key, Value: []byte(value), Revision: s.revision, Created: s.revision}
		if known, ok := s.items[key]; ok {
			it.Created = known.Created
		}
		s.items[key] = it
		s.history = append(s.history, it)
	})
	return time.Now()
}

func (s *store) remove(key string) {
	s.update(func() {
		s.revision++
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Tombstone: true})
	})
}

func (s *store) copy() *storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &storeCopy{s.revision, maps.Clone(s.items), append([]item(nil), s.history...), s.completeAfter}
}

// restore replaces the content by a copy. The revisions after it are given out again, and the era rises by one.
func (s *store) restore(c *storeCopy) {
	s.update(func() {
		s.era++
		s.revision, s.items, s.history, s.completeAfter = c.revision, maps.Clone(c.items), c.history, c.completeAfter
	})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/kv-range":
		s.serveRange(w, r)
	case "/v1/kv-watch":
		s.serveWatch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get("path-prefix")) && key > r.URL.Query().Get("after-revision") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	list := []item{}
	for _, key := range keys[:min(len(keys), 500)] {
		list = append(list, s.items[key])
	}
	s.respond(w, map[string]any{"items": list, "has-more": len(keys) > 500, "as-of": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after-revision"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for last := false; ; {
		s.mu.Lock()
		if after < s.completeAfter || after > s.revision {
			w.Header().Set("Store-Era", fmt.Sprint(s.era))
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, query.Get("path-prefix")) {
				events = append(events, it)
			}
		}
		if len(events) > 0 || last {
			s.respond(w, map[string]any{"events": events, "as-of": s.revision})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-r.Context().Done():
			return
		case <-timeout:
			last = true
		case <-changed:
		}
	}
}

// respond writes a JSON body. The caller holds the mutex.
func (s *store) respond(w http.ResponseWriter, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		fail("store: %v", err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", fmt.Sprint(s.era))
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	_, _ = w.Write(encoded)
}
