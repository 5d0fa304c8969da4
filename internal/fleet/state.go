package fleet

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Snapshot is the state of the fleet at one time. It must not be changed after it became current.
type Snapshot struct {
	// Catalog is nil until the first catalog was read.
	Catalog *Catalog
	// Endpoints maps a service to its endpoints. They are ordered by key, and endpoints with the same key by id, which
	// gives all instances the same order.
	Endpoints map[string][]*Endpoint
	// ByKey maps the key of an endpoint to the endpoint.
	ByKey map[uint32]*Endpoint
	// OutOfService holds the failure domains that operators took out of service.
	OutOfService map[string]bool
}

// State holds the current snapshot of the fleet and replaces it on each change. It is safe for concurrent use.
type State struct {
	mu            sync.Mutex
	snapshot      *Snapshot
	endpointsByID map[string]*Endpoint
	// leavingSince maps the incarnations that have announced that they are leaving to the time of the announcement. The
	// store may list such an incarnation for some more time, or again after an outage of the store.
	leavingSince map[incarnation]time.Time
	// confirmed is the latest confirmation of this state, and catalogConfirmed that of the catalog alone.
	confirmed, catalogConfirmed Confirmation
	changed                     chan struct{}
}

// incarnation identifies one start of a back end. Endpoint.Key is its hash.
type incarnation struct {
	id      string
	started int64
}

func (e *Endpoint) incarnation() incarnation { return incarnation{id: e.ID, started: e.Started} }

// leavingRetention is the minimum time for which an announcement is kept. An older announcement is dropped if its
// incarnation is not listed.
const leavingRetention = time.Hour

// NewState returns a state with an empty snapshot.
func NewState() *State {
	return &State{
		snapshot:      &Snapshot{Endpoints: map[string][]*Endpoint{}, OutOfService: map[string]bool{}},
		endpointsByID: make(map[string]*Endpoint),
		leavingSince:  make(map[incarnation]time.Time),
		changed:       make(chan struct{}),
	}
}

// Snapshot returns the current snapshot.
func (s *State) Snapshot() *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}

// EndpointID returns the id of the endpoint with a key; empty if it is not known.
func (s *State) EndpointID(key uint32) string {
	if e := s.Snapshot().ByKey[key]; e != nil {
		return e.ID
	}
	return ""
}

// Changed returns a channel that is closed at the next change.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// SetCatalog makes a catalog current if it is the first one or its version is higher, and reports whether it did.
func (s *State) SetCatalog(c *Catalog) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.snapshot.Catalog != nil && s.snapshot.Catalog.Version >= c.Version {
		return false
	}
	next := *s.snapshot
	next.Catalog = c
	s.replaceSnapshot(&next)
	return true
}

// RevertCatalog makes a catalog current, whatever its version.
func (s *State) RevertCatalog(c *Catalog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.snapshot
	next.Catalog = c
	s.replaceSnapshot(&next)
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
	s.replaceSnapshot(&next)
	return true
}

// EndpointUpdate changes endpoints. It is valid only during the function that UpdateEndpoints calls.
type EndpointUpdate struct {
	state   *State
	changed map[string]bool
}

// Put adds or replaces an endpoint. An incarnation that has announced that it is leaving stays marked as leaving, even if e is
// not marked.
func (u *EndpointUpdate) Put(e *Endpoint) {
	if previous := u.state.endpointsByID[e.ID]; previous != nil {
		u.changed[previous.Service] = true
	}
	u.changed[e.Service] = true
	u.state.storeEndpoint(e)
}

// Remove removes an endpoint and returns it, or nil if it was not known.
func (u *EndpointUpdate) Remove(id string) *Endpoint {
	e := u.state.endpointsByID[id]
	if e != nil {
		u.changed[e.Service] = true
		delete(u.state.endpointsByID, id)
	}
	return e
}

// UpdateEndpoints calls update and then replaces the snapshot once. A list of the platform may change thousands of endpoints,
// and a snapshot for each of them would take a time that grows with the square of their number. update must not call the state.
func (s *State) UpdateEndpoints(update func(u *EndpointUpdate)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := &EndpointUpdate{state: s, changed: make(map[string]bool)}
	update(u)
	if len(u.changed) > 0 {
		s.rebuildEndpoints(u.changed)
	}
}

// PutEndpoint is UpdateEndpoints for one added or replaced endpoint.
func (s *State) PutEndpoint(e *Endpoint) {
	s.UpdateEndpoints(func(u *EndpointUpdate) { u.Put(e) })
}

func (s *State) storeEndpoint(e *Endpoint) {
	if _, announced := s.leavingSince[e.incarnation()]; announced && !e.Leaving {
		e = e.asLeaving()
	}
	s.endpointsByID[e.ID] = e
}

// MarkLeaving records that an incarnation has announced that it is leaving. It returns false if an announcement of the
// incarnation is recorded already.
func (s *State) MarkLeaving(e *Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, announced := s.leavingSince[e.incarnation()]; announced {
		return false
	}
	now := time.Now()
	s.expireLeaving(now)
	s.leavingSince[e.incarnation()] = now
	if current := s.endpointsByID[e.ID]; current != nil && current.Started == e.Started && !current.Leaving {
		s.storeEndpoint(current)
		s.rebuildEndpoints(map[string]bool{current.Service: true})
	}
	return true
}

// expireLeaving drops the announcements older than leavingRetention whose incarnation is not listed.
func (s *State) expireLeaving(now time.Time) {
	for in, at := range s.leavingSince {
		if current := s.endpointsByID[in.id]; now.Sub(at) > leavingRetention && (current == nil || current.Started != in.started) {
			delete(s.leavingSince, in)
		}
	}
}

// RemoveEndpoint removes an endpoint and returns it, or nil if it was not known.
func (s *State) RemoveEndpoint(id string) (removed *Endpoint) {
	s.UpdateEndpoints(func(u *EndpointUpdate) { removed = u.Remove(id) })
	return removed
}

// Endpoint returns the endpoint with an id, or nil.
func (s *State) Endpoint(id string) *Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpointsByID[id]
}

// rebuildEndpoints replaces the snapshot by one with the endpoints of the changed services.
func (s *State) rebuildEndpoints(changed map[string]bool) {
	next := *s.snapshot
	next.Endpoints = maps.Clone(s.snapshot.Endpoints)
	next.ByKey = make(map[uint32]*Endpoint, len(s.endpointsByID))
	keyed := make(map[string][]keyedEndpoint, len(changed))
	for _, e := range s.endpointsByID {
		key := e.Key()
		next.ByKey[key] = e
		if changed[e.Service] {
			keyed[e.Service] = append(keyed[e.Service], keyedEndpoint{key: key, endpoint: e})
		}
	}
	for service := range changed {
		delete(next.Endpoints, service)
		if len(keyed[service]) > 0 {
			next.Endpoints[service] = sortedEndpoints(keyed[service])
		}
	}
	s.replaceSnapshot(&next)
}

// keyedEndpoint is an endpoint with its key, which is computed once and not in each comparison of a sort.
type keyedEndpoint struct {
	key      uint32
	endpoint *Endpoint
}

// sortedEndpoints returns the endpoints in the order of a snapshot.
func sortedEndpoints(keyed []keyedEndpoint) []*Endpoint {
	slices.SortFunc(keyed, func(a, b keyedEndpoint) int {
		return cmp.Or(cmp.Compare(a.key, b.key), strings.Compare(a.endpoint.ID, b.endpoint.ID))
	})
	endpoints := make([]*Endpoint, len(keyed))
	for i := range keyed {
		endpoints[i] = keyed[i].endpoint
	}
	return endpoints
}

func (s *State) replaceSnapshot(next *Snapshot) {
	s.snapshot = next
	close(s.changed)
	s.changed = make(chan struct{})
}
