package fleet

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Snapshot is a consistent view of the fleet. It is not changed after it was published.
type Snapshot struct {
	// Catalog is nil until the first one was read.
	Catalog *Catalog
	// Endpoints maps a service to its endpoints, ordered by key, so that all instances see one order.
	Endpoints map[string][]*Endpoint
	// ByKey maps the key of an endpoint to the endpoint.
	ByKey map[uint32]*Endpoint
	// OutOfService holds the failure domains that operators took out.
	OutOfService map[string]bool
}

// State is the current view of the fleet. It is safe for concurrent use.
type State struct {
	mu        sync.Mutex
	snapshot  *Snapshot
	endpoints map[string]*Endpoint
	// left holds the incarnations that have said themselves that they leave, by the time of that. The list of endpoints
	// may name them for some time, or again after an outage.
	left map[incarnation]time.Time
	// confirmed is the latest time, on the boot-time clock, at which the catalog is known to have been the newest.
	confirmed time.Duration
	changed   chan struct{}
}

// incarnation identifies one start of an endpoint.
type incarnation struct {
	id      string
	started int64
}

func (e *Endpoint) incarnation() incarnation { return incarnation{id: e.ID, started: e.Started} }

// leftMemory is how long an incarnation that has said that it leaves is remembered while it is not listed.
const leftMemory = time.Hour

// NewState returns an empty view.
func NewState() *State {
	return &State{
		snapshot:  &Snapshot{Endpoints: map[string][]*Endpoint{}, OutOfService: map[string]bool{}},
		endpoints: make(map[string]*Endpoint),
		left:      make(map[incarnation]time.Time),
		changed:   make(chan struct{}),
	}
}

// Snapshot returns the current view.
func (s *State) Snapshot() *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}

// Changed returns a channel that is closed with the next change.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Confirm states that the catalog was the newest one at a time of the boot-time clock.
func (s *State) Confirm(at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmed = max(s.confirmed, at)
}

// ConfirmedAt returns the latest time of Confirm.
func (s *State) ConfirmedAt() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmed
}

// SetCatalog puts a catalog in force unless a newer one is, and reports whether it did.
func (s *State) SetCatalog(c *Catalog) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.snapshot.Catalog != nil && s.snapshot.Catalog.Version >= c.Version {
		return false
	}
	next := *s.snapshot
	next.Catalog = c
	s.publish(&next)
	return true
}

// SetOutOfService replaces the set of failure domains that are out of service, and reports whether it changed.
func (s *State) SetOutOfService(domains map[string]bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	same := len(domains) == len(s.snapshot.OutOfService)
	for domain := range domains {
		same = same && s.snapshot.OutOfService[domain]
	}
	if same {
		return false
	}
	next := *s.snapshot
	next.OutOfService = domains
	s.publish(&next)
	return true
}

// PutEndpoint adds or replaces an endpoint. An incarnation that has said that it leaves stays leaving.
func (s *State) PutEndpoint(e *Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(e)
	s.publishEndpoints()
}

func (s *State) put(e *Endpoint) {
	if _, left := s.left[e.incarnation()]; left && !e.Leaving {
		e = e.leaving()
	}
	s.endpoints[e.ID] = e
}

// MarkLeaving notes that an incarnation has said itself that it leaves, and reports whether that was not known.
func (s *State) MarkLeaving(e *Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.left[e.incarnation()]; known {
		return false
	}
	now := time.Now()
	s.forgetLeft(now)
	s.left[e.incarnation()] = now
	if current := s.endpoints[e.ID]; current != nil && current.Started == e.Started && !current.Leaving {
		s.put(current)
		s.publishEndpoints()
	}
	return true
}

// forgetLeft drops incarnations that have left long ago.
func (s *State) forgetLeft(now time.Time) {
	for in, at := range s.left {
		if current := s.endpoints[in.id]; now.Sub(at) > leftMemory && (current == nil || current.Started != in.started) {
			delete(s.left, in)
		}
	}
}

// RemoveEndpoint removes an endpoint and returns it, or nil if it was not known.
func (s *State) RemoveEndpoint(id string) *Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.endpoints[id]
	if e != nil {
		delete(s.endpoints, id)
		s.publishEndpoints()
	}
	return e
}

// Endpoint returns the endpoint with an id, or nil.
func (s *State) Endpoint(id string) *Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints[id]
}

func (s *State) publishEndpoints() {
	next := *s.snapshot
	next.Endpoints = make(map[string][]*Endpoint)
	next.ByKey = make(map[uint32]*Endpoint, len(s.endpoints))
	for _, e := range s.endpoints {
		next.Endpoints[e.Service] = append(next.Endpoints[e.Service], e)
		next.ByKey[e.Key()] = e
	}
	for _, endpoints := range next.Endpoints {
		slices.SortFunc(endpoints, func(a, b *Endpoint) int {
			if a.Key() != b.Key() {
				if a.Key() < b.Key() {
					return -1
				}
				return 1
			}
			return strings.Compare(a.ID, b.ID)
		})
	}
	s.publish(&next)
}

func (s *State) publish(next *Snapshot) {
	s.snapshot = next
	close(s.changed)
	s.changed = make(chan struct{})
}
