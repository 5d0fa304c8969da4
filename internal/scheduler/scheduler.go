package scheduler

import (
	"slices"
	"sync"
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/limit"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/pace"
	"github.com/acacialift/acacialift/internal/placement"
	"github.com/acacialift/acacialift/internal/settings"
)

const (
	// warmUpTime is how long a new scheduler collects the lists of all instances before it places requests.
	warmUpTime = time.Second
	// maxReplyTime is how long the reply with a placement may take to reach the requesting instance.
	maxReplyTime = 500 * time.Millisecond
	// expiryMargin is how long a request without an end update is kept after its limit.
	expiryMargin = time.Second
	// suspectTime is how long an endpoint is suspect after an instance has reported it.
	suspectTime = time.Second
	// idleShardTime is how long the state of a shard is kept without a message about it.
	idleShardTime = 30 * time.Second
	// createdBuffer is the number of new shards that may wait for Created to be read.
	createdBuffer = 256
)

// PlaceRequest is a message to a scheduler to place a request on a shard.
type PlaceRequest struct {
	From   string
	Number load.Number
	Shard  Shard
	Need   placement.Need
	// Limit is the remaining time of the request.
	Limit time.Duration
	// Avoid lists endpoints that must not be chosen.
	Avoid []uint32
	// Suspects lists endpoints that are suspect at the requesting instance.
	Suspects []uint32
	// Full lists endpoints that limit their request rate, and that must not get a request from the requesting instance now.
	// They may be helpers.
	Full []uint32
}

// requestKey identifies a request of an instance.
type requestKey struct {
	from   string
	number load.Number
}

// placedRequest is an in-flight request on a shard.
type placedRequest struct {
	request   *load.Request
	placedAt  time.Time
	expiresAt time.Time
	// pace observes the endpoints of the request, and engine and primary are theirs; unset if their pace is not tracked.
	pace    *pace.Request
	engine  *fleet.Engine
	primary uint32
}

// shardState is the load of one shard, as its scheduler has counted it.
type shardState struct {
	tracker  *load.Tracker
	requests map[requestKey]*placedRequest
	// since is when this instance received the first message about the shard, lastMessage when it received the last one.
	since, lastMessage time.Time
}

// Options configures a Scheduler.
type Options struct {
	State *fleet.State
	// IsSuspect reports whether an endpoint is suspect at this instance.
	IsSuspect func(endpoint uint32, now time.Time) bool
	// ColdLimiter bounds the requests to endpoints in cold start.
	ColdLimiter *limit.FleetColdLimiter
	Planner     placement.Planner
	// Pace tracks the pace of endpoints; nil if it is off. PaceMode states for which services it is used.
	Pace     *pace.Tracker
	PaceMode settings.Mode
}

// Scheduler tracks the load of the shards for which this instance is the scheduler, and places requests there. It does no
// I/O and is safe for concurrent use.
type Scheduler struct {
	mu       sync.Mutex
	options  Options
	shards   map[Shard]*shardState
	suspects map[uint32]time.Time
	created  chan Shard
}

// NewScheduler returns a scheduler without shards.
func NewScheduler(options Options) *Scheduler {
	return &Scheduler{
		options: options, shards: make(map[Shard]*shardState), suspects: make(map[uint32]time.Time),
		created: make(chan Shard, createdBuffer),
	}
}

// Created returns a channel of the shards whose state was created by the first message about them.
func (s *Scheduler) Created() <-chan Shard { return s.created }

// Place places a request and counts it from now on. It returns false if this instance cannot decide, because the shard is
// still in its warm-up or its endpoints are unknown.
func (s *Scheduler) Place(request PlaceRequest, now time.Time) (placement.Choice, *placement.Refusal, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.shardState(request.Shard, now)
	for _, endpoint := range request.Suspects {
		s.suspects[endpoint] = now.Add(suspectTime)
	}
	snapshot := s.options.State.Snapshot()
	if snapshot.Catalog == nil || now.Sub(state.since) < warmUpTime {
		return placement.Choice{}, nil, false
	}
	service := snapshot.Catalog.ServiceByKey(request.Shard.Service)
	if service == nil || service.Engine == nil {
		return placement.Choice{}, nil, false
	}
	state.expire(now)
	request.Need.ExactCounts = true
	choice, refusal := s.options.Planner.PlaceModel(
		service.Engine, s.candidates(snapshot, service, state, &request, now), request.Need,
	)
	switch {
	case refusal != nil && refusal.Reason == placement.NoEndpoint:
		return choice, nil, false
	case refusal == nil && !s.takeCold(service, choice.Primary, now):
		return choice, nil, false
	case refusal == nil:
		p := state.add(
			requestKey{from: request.From, number: request.Number}, choice.Work(request.Need, request.Limit), now, request.Limit,
		)
		s.trackPace(snapshot, service, p, &choice, now)
	}
	return choice, refusal, true
}

// takeCold counts a request to an endpoint in cold start and reports whether it may be sent.
func (s *Scheduler) takeCold(service *fleet.Service, e *fleet.Endpoint, now time.Time) bool {
	return service.ColdRate <= 0 || !e.IsCold(now) || s.options.ColdLimiter.Take(e.Key(), service.ColdRate, now)
}

// candidates returns the endpoints of the shard that may get the request.
func (s *Scheduler) candidates(
	snapshot *fleet.Snapshot, service *fleet.Service, state *shardState, request *PlaceRequest, now time.Time,
) []placement.Candidate {
	totals, _ := state.tracker.Totals(now)
	candidates := make([]placement.Candidate, 0, len(snapshot.Endpoints[service.Name]))
	for _, e := range snapshot.Endpoints[service.Name] {
		key := e.Key()
		if e.Leaving || !request.Shard.Contains(e) || snapshot.OutOfService[e.Domain] || slices.Contains(request.Avoid, key) {
			continue
		}
		c := placement.Candidate{Endpoint: e, Entry: totals.Entries[key], Full: slices.Contains(request.Full, key)}
		c.Suspect = now.Before(s.suspects[key]) || s.options.IsSuspect(key, now)
		c.Cold = service.ColdRate > 0 && e.IsCold(now)
		if s.paces(snapshot, service) {
			c.SetPace(s.options.Pace.Assess(key, pace.Condition{Slots: service.Engine.Slots, Cold: c.Cold, Suspect: c.Suspect}, now))
		}
		if c.Cold && !s.options.ColdLimiter.Allows(key, service.ColdRate, now) {
			continue
		}
		candidates = append(candidates, c)
	}
	return candidates
}

// PrefillDone records that the prefill of a placed request is done.
func (s *Scheduler) PrefillDone(shard Shard, from string, number load.Number) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.find(shard, from, number); p != nil {
		p.request.PrefillDone()
	}
}

// End records that a placed request has ended.
func (s *Scheduler) End(shard Shard, from string, number load.Number) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state := s.shards[shard]; state != nil {
		state.remove(requestKey{from: from, number: number})
	}
}

func (s *Scheduler) find(shard Shard, from string, number load.Number) *placedRequest {
	state := s.shards[shard]
	if state == nil {
		return nil
	}
	return state.requests[requestKey{from: from, number: number}]
}

// Sync applies the list of all requests of an instance on a shard. Requests that are not listed have ended, unless they
// were placed less than maxReplyTime ago.
func (s *Scheduler) Sync(shard Shard, from string, requests []load.RequestState, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.shardState(shard, now)
	listed := make(map[load.Number]bool, len(requests))
	for _, r := range requests {
		listed[r.Number] = true
		state.apply(requestKey{from: from, number: r.Number}, r, now)
	}
	for key, p := range state.requests {
		if key.from == from && !listed[key.number] && now.Sub(p.placedAt) > maxReplyTime {
			state.remove(key)
		}
	}
}

// Forget deletes the requests of instances that are not live, and the shards without a message in the last idleShardTime.
func (s *Scheduler) Forget(isLive func(instance string) bool, now time.Time) {
	s.options.ColdLimiter.Forget(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	for shard, state := range s.shards {
		for key := range state.requests {
			if !isLive(key.from) {
				state.remove(key)
			}
		}
		state.expire(now)
		if now.Sub(state.lastMessage) > idleShardTime {
			s.deleteShard(shard)
		}
	}
	for endpoint, until := range s.suspects {
		if now.After(until) {
			delete(s.suspects, endpoint)
		}
	}
}

// Resign deletes the shards whose scheduler is another instance. If this instance becomes their scheduler again, it starts
// with a new warm-up.
func (s *Scheduler) Resign(isScheduler func(Shard) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for shard := range s.shards {
		if !isScheduler(shard) {
			s.deleteShard(shard)
		}
	}
}

// shardState returns the state of a shard and records that a message about it was received.
func (s *Scheduler) shardState(shard Shard, now time.Time) *shardState {
	state := s.shards[shard]
	if state == nil {
		state = &shardState{tracker: load.NewTracker(), requests: make(map[requestKey]*placedRequest), since: now}
		s.shards[shard] = state
		select {
		case s.created <- shard:
		default:
		}
	}
	state.lastMessage = now
	return state
}

func (st *shardState) add(key requestKey, work load.Work, placedAt time.Time, limit time.Duration) *placedRequest {
	st.remove(key)
	p := &placedRequest{
		request: st.tracker.AddNumbered(key.number, work, placedAt), placedAt: placedAt,
		expiresAt: placedAt.Add(limit + expiryMargin),
	}
	st.requests[key] = p
	return p
}

// apply stores a request that an instance has listed.
func (st *shardState) apply(key requestKey, r load.RequestState, now time.Time) {
	p := st.requests[key]
	if p == nil {
		p = st.add(key, r.Work, now.Add(-r.Elapsed), r.Work.Limit)
	}
	if r.PrefillDone {
		p.request.PrefillDone()
	}
}

func (st *shardState) remove(key requestKey) {
	if p := st.requests[key]; p != nil {
		p.request.End()
		p.pace.End(time.Now())
		delete(st.requests, key)
	}
}

// expire removes requests whose limit has passed without an update that they have ended.
func (st *shardState) expire(now time.Time) {
	for key, p := range st.requests {
		if now.After(p.expiresAt) {
			st.remove(key)
		}
	}
}
