package fleet

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Snapshot is a consistent view of the fleet. It is immutable after it was published.
type Snapshot struct {
	// Catalog is nil until the first one was read.
	Catalog *Catalog
	// Endpoints maps a service to its endpoints. They are ordered by key, which gives all instances the same order.
	Endpoints map[string][]*Endpoint
	// ByKey maps the key of an endpoint to the endpoint.
	ByKey map[uint32]*Endpoint
	// OutOfService holds the failure domains that operators took out of service.
	OutOfService map[string]bool
}

// State is the current view of the fleet. It is safe for concurrent use.
type State struct {
	mu        sync.Mutex
	snapshot  *Snapshot
	endpoints map[string]*Endpoint
	// leavingSince holds the incarnations that announced themselves that they leave, with the time of the
	// announcement. The list of endpoints may still contain them for some time, or contain them again after an
	// outage.
	leavingSince map[incarnation]time.Time
	// confirmed is the latest boot-time at which the catalog is known to have been the newest.
	confirmed time.Duration
	changed   chan struct{}
}

// incarnation identifies one start of an endpoint.
type incarnation struct {
	id      string
	started int64
}

func (e *Endpoint) incarnation() incarnation { return incarnation{id: e.ID, started: e.Started} }

// leavingRetention is how long the announcement of an incarnation is kept while the incarnation is not listed.
const leavingRetention = time.Hour

// NewState returns an empty view.
func NewState() *State {
	return &State{
		snapshot:     &Snapshot{Endpoints: map[string][]*Endpoint{}, OutOfService: map[string]bool{}},
		endpoints:    make(map[string]*Endpoint),
		leavingSince: make(map[incarnation]time.Time),
		changed:      make(chan struct{}),
	}
}

// Snapshot returns the current view.
func (s *State) Snapshot() *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}

// Changed returns a channel that is closed at the next change.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Confirm records that the catalog was the newest one at a boot-time.
func (s *State) Confirm(at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmed = max(s.confirmed, at)
}

// ConfirmedAt returns the latest time passed to Confirm.
func (s *State) ConfirmedAt() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmed
}

// SetCatalog makes a catalog current if its version is newer, and reports whether it did.
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

// PutEndpoint adds or replaces an endpoint. An incarnation that announced that it leaves stays marked as leaving.
func (s *State) PutEndpoint(e *Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEndpoint(e)
	s.publishEndpoints()
}

func (s *State) setEndpoint(e *Endpoint) {
	if _, announced := s.leavingSince[e.incarnation()]; announced && !e.Leaving {
		e = e.asLeaving()
	}
	s.endpoints[e.ID] = e
}

// MarkLeaving records that an incarnation announced that it leaves. It returns true on the first call for the
// incarnation.
func (s *State) MarkLeaving(e *Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, announced := s.leavingSince[e.incarnation()]; announced {
		return false
	}
	now := time.Now()
	s.expireLeaving(now)
	s.leavingSince[e.incarnation()] = now
	if current := s.endpoints[e.ID]; current != nil && current.Started == e.Started && !current.Leaving {
		s.setEndpoint(current)
		s.publishEndpoints()
	}
	return true
}

// expireLeaving drops the announcements of incarnations that are not listed after leavingRetention.
func (s *State) expireLeaving(now time.Time) {
	for in, at := range s.leavingSince {
		if current := s.endpoints[in.id]; now.Sub(at) > leavingRetention && (current == nil || current.Started != in.started) {
			delete(s.leavingSince, in)
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
