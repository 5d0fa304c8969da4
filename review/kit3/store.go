package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store. It serves range and watch calls as the pages describe them.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]storeItem
	history  []storeItem
	changed  chan struct{}
	address  string
	// turnsAway is true while the store answers every call with 503.
	turnsAway bool
}

// maxPageBytes is the size of a page: a call returns at most about 1 MB.
const maxPageBytes = 1 << 20

type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type storePage struct {
	AsOf    int64       `json:"as-of"`
	Items   []storeItem `json:"items,omitempty"`
	HasMore bool        `json:"has-more"`
	Events  []storeItem `json:"events,omitempty"`
}

func startStore() *store {
	s := &store{revision: 10, items: map[string]storeItem{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", freeAddress())
	if err != nil {
		cannotRun("the store cannot listen: %v", err)
	}
	s.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, s) }()
	return s
}

func (s *store) turnAway(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turnsAway = on
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		cannotRun("a value of the store cannot be encoded: %v", err)
	}
	s.write(storeItem{Key: key, Value: encoded})
}

func (s *store) remove(key string) { s.write(storeItem{Key: key, Tombstone: true}) }

func (s *store) write(it storeItem) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it.Revision = s.revision
	if it.Tombstone {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get("path-prefix")
	if s.refuses(w) {
		return
	}
	switch r.URL.Path {
	case "/v1/kv-range":
		s.mu.Lock()
		p := storePage{AsOf: s.revision}
		for key, it := range s.items {
			if strings.HasPrefix(key, prefix) && key > query.Get("after-revision") {
				p.Items = append(p.Items, it)
			}
		}
		s.mu.Unlock()
		sort.Slice(p.Items, func(i, j int) bool { return p.Items[i].Key < p.Items[j].Key })
		answerPage(w, p)
	case "/v1/kv-watch":
		after, _ := strconv.ParseInt(query.Get("after-revision"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait-ms"))
		timeout := time.After(time.Duration(wait) * time.Millisecond)
		for {
			s.mu.Lock()
			p, changed := storePage{AsOf: s.revision}, s.changed
			size := 0
			for _, it := range s.history {
				if it.Revision <= after || !strings.HasPrefix(it.Key, prefix) {
					continue
				}
				size += len(it.Key) + len(it.Value)*4/3
				if size > maxPageBytes && len(p.Events) > 0 {
					// The caller continues from here.
					p.AsOf = p.Events[len(p.Events)-1].Revision
					break
				}
				p.Events = append(p.Events, it)
			}
			s.mu.Unlock()
			if s.refuses(w) {
				return
			}
			if len(p.Events) > 0 {
				answerPage(w, p)
				return
			}
			select {
			case <-r.Context().Done():
				return
			case <-timeout:
				answerPage(w, p)
				return
			case <-changed:
			}
		}
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// refuses answers a call with 503 while the store turns the machine away, and reports whether it does.
func (s *store) refuses(w http.ResponseWriter) bool {
	s.mu.Lock()
	refuses := s.turnsAway
	s.mu.Unlock()
	if refuses {
		w.Header().Set("Store-Era", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return refuses
}

func answerPage(w http.ResponseWriter, p storePage) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	_ = json.NewEncoder(w).Encode(p)
}
