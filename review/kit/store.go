package main

import (
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store: range and watch calls, one revision counter, and an era that rises when it
// comes back from a copy. While it is away it accepts connections and calls and answers nothing, or resets them if resets is
// true; calls that were waiting are never answered.
type store struct {
	address string
	server  *http.Server

	mu       sync.Mutex
	era      int64
	revision int64
	items    map[string]storeItem
	history  []storeItem
	away     bool
	resets   bool
	changed  chan struct{}
	// version8Again is true once the operator has written a lost configuration again.
	version8Again bool
}

type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// storeCopy is the content of a store at one time.
type storeCopy struct {
	revision int64
	items    map[string]storeItem
	history  []storeItem
}

func startStore() (*store, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	s := &store{
		address: listener.Addr().String(), era: 1, revision: 10, items: map[string]storeItem{}, changed: make(chan struct{}),
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key; its return is the acknowledgement.
func (s *store) put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.update(func() {
		s.revision++
		it := storeItem{Key: key, Value: encoded, Revision: s.revision, Created: s.revision}
		if known, found := s.items[key]; found {
			it.Created = known.Created
		}
		s.items[key] = it
		s.history = append(s.history, it)
	})
}

func (s *store) remove(key string) {
	s.update(func() {
		if _, found := s.items[key]; !found {
			return
		}
		s.revision++
		delete(s.items, key)
		s.history = append(s.history, storeItem{Key: key, Revision: s.revision, Tombstone: true})
	})
}

func (s *store) copyContent() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storeCopy{revision: s.revision, items: map[string]storeItem{}, history: append([]storeItem(nil), s.history...)}
	for key, it := range s.items {
		c.items[key] = it
	}
	return c
}

// setAway makes the store answer nothing, or lets it answer new calls again.
func (s *store) setAway(away bool) { s.update(func() { s.away = away }) }

// restore lets the store come back from a copy: later changes are lost, revisions are given out again, the era rises.
func (s *store) restore(c storeCopy) {
	s.update(func() {
		s.era++
		s.revision, s.items, s.history = c.revision, c.items, c.history
		s.away = false
	})
}

func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// ignore resets the connection of a call, or waits until the caller closes it.
func (s *store) ignore(w http.ResponseWriter, r *http.Request) {
	if !s.resets {
		<-r.Context().Done()
		return
	}
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isAway() {
		s.ignore(w, r)
		return
	}
	switch r.URL.Path {
	case "/v1/kv-range":
		s.serveRange(w, r.URL.Query())
	case "/v1/kv-watch":
		s.serveWatch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

const pageItems = 500

func (s *store) serveRange(w http.ResponseWriter, query url.Values) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, query.Get("path-prefix")) && key > query.Get("after-revision") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []storeItem{}
	for _, key := range keys[:min(len(keys), pageItems)] {
		items = append(items, s.items[key])
	}
	s.answer(w, map[string]any{"items": items, "has-more": len(keys) > pageItems, "as-of": s.revision})
}

// answer must be called with the mutex held.
func (s *store) answer(w http.ResponseWriter, body any) {
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after-revision"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for expired := false; ; {
		s.mu.Lock()
		switch {
		case s.away || s.era != era:
			// The store that had this call is gone. Nothing answers the call any more.
			s.mu.Unlock()
			s.ignore(w, r)
			return
		case after > s.revision:
			w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
			w.WriteHeader(http.StatusGone)
			s.mu.Unlock()
			return
		}
		events := []storeItem{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, query.Get("path-prefix")) {
				events = append(events, it)
			}
		}
		if len(events) > 0 || expired {
			s.answer(w, map[string]any{"events": events, "as-of": s.revision})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-timeout:
			expired = true
		}
	}
}
