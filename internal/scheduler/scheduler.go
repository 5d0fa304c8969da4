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
	"github.com/acacialift/acacialift/internal/returntimes"
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
	// Terms states how the request may wait; nil if it may not.
	Terms *WaitTerms
	// Returns identifies the caller if there are no Terms; nil if its service has no return times.
	Returns *ReturnTerms
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
	// work is what the schedule of return times counts.
	work returntimes.Work
	// pace observes the endpoints of the request, and engine and primary are theirs; unset if their pace is not tracked.
	pace    *pace.Request
	engine  *fleet.Engine
	primary uint32
}

// shardState is the load of one shard, as its scheduler has counted it.
type shardState struct {
	tracker  *load.Tracker
	requests map[requestKey]*placedRequest
	// list holds the requests that wait for capacity of the shard.
	list *waitList
	// returns is the schedule of return times; nil if the service has none.
	returns *returntimes.Schedule
	// isComplete is true once all live instances have listed their requests, which ends the warm-up.
	isComplete bool
	// standInFor is the scheduler in whose place this instance was asked, last at standInTime before standInUntil.
	standInFor   string
	standInUntil time.Time
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
	Returns     ReturnOptions
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
	outbox   outbox
	wake     func(soon bool)
	stats    QueueStats
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
	defer s.unlock()
	state := s.shardState(request.Shard, now)
	s.markSuspects(&request, now)
	if request.Terms != nil {
		// Its reply could not be deferred. It must not be placed a second time from the queue, nor wait unknown to its instance.
		state.endWaiting(request.From, request.Number)
		state.remove(requestKey{from: request.From, number: request.Number})
	}
	v, ok := s.view(request.Shard, state, now)
	if !ok {
		return placement.Choice{}, nil, false
	}
	state.expire(now)
	request.Need.ExactCounts = true
	returns := s.beginReturn(v, state, &request, now)
	returns.leaveRoom(&request.Need, now)
	choice, refusal := s.options.Planner.PlaceModel(v.service.Engine, s.candidates(v, &request, now, true), request.Need)
	switch {
	case refusal != nil && refusal.Reason == placement.NoEndpoint:
		return choice, nil, false
	case refusal == nil && !s.takeCold(v.service, choice.Primary, now):
		return choice, nil, false
	case refusal == nil:
		p := state.add(
			requestKey{from: request.From, number: request.Number}, choice.Work(request.Need, request.Limit), now, request.Limit,
		)
		s.trackPace(v, p, &choice, now)
		returns.observePlaced(now)
	default:
		returns.tell(refusal, request.Limit, now)
	}
	return choice, refusal, true
}

// markSuspects stores the endpoints that are suspect at the requesting instance.
func (s *Scheduler) markSuspects(request *PlaceRequest, now time.Time) {
	for _, endpoint := range request.Suspects {
		s.suspects[endpoint] = now.Add(suspectTime)
	}
}

// shardView is what a placement on a shard depends on besides the request.
type shardView struct {
	snapshot *fleet.Snapshot
	service  *fleet.Service
	state    *shardState
	// usable holds the endpoints that may get requests, with their load. It is nil after a placement.
	usable []placement.Candidate
}

// view returns the view of a shard. It returns false if this instance cannot decide.
func (s *Scheduler) view(shard Shard, state *shardState, now time.Time) (*shardView, bool) {
	snapshot := s.options.State.Snapshot()
	if snapshot.Catalog == nil || !state.isComplete && now.Sub(state.since) < warmUpTime {
		return nil, false
	}
	service := snapshot.Catalog.ServiceByKey(shard.Service)
	return &shardView{snapshot: snapshot, service: service, state: state}, service != nil && service.Engine != nil
}

// takeCold counts a request to an endpoint in cold start and reports whether it may be sent.
func (s *Scheduler) takeCold(service *fleet.Service, e *fleet.Endpoint, now time.Time) bool {
	return service.ColdRate <= 0 || !e.IsCold(now) || s.options.ColdLimiter.Take(e.Key(), service.ColdRate, now)
}

// candidates returns the endpoints of the shard that may get the request. Endpoints in cold start are among them only if mayGrant is
// true and this instance is not asked in place of another scheduler: the limit allows for two instances that grant requests to an
// endpoint, and a third one might be among those who take others for failed.
func (s *Scheduler) candidates(v *shardView, request *PlaceRequest, now time.Time, mayGrant bool) []placement.Candidate {
	mayGrant = mayGrant && (request.Terms == nil || request.Terms.Failed == "")
	usable := s.usable(v, request.Shard, now)
	candidates := make([]placement.Candidate, 0, len(usable))
	for i := range usable {
		c := usable[i]
		key := c.Endpoint.Key()
		if c.Cold && !mayGrant || slices.Contains(request.Avoid, key) {
			continue
		}
		c.Full = slices.Contains(request.Full, key)
		candidates = append(candidates, c)
	}
	return candidates
}

// usable returns the endpoints of the shard that may get requests now, with their load.
func (s *Scheduler) usable(v *shardView, shard Shard, now time.Time) []placement.Candidate {
	if v.usable != nil {
		return v.usable
	}
	totals, _ := v.state.tracker.Totals(now)
	endpoints := v.snapshot.Endpoints[v.service.Name]
	v.usable = make([]placement.Candidate, 0, len(endpoints))
	for _, e := range endpoints {
		if e.Leaving || !shard.Contains(e) || v.snapshot.OutOfService[e.Domain] {
			continue
		}
		key := e.Key()
		c := placement.Candidate{Endpoint: e, Entry: totals.Entries[key]}
		c.Suspect = now.Before(s.suspects[key]) || s.options.IsSuspect(key, now)
		c.Cold = v.service.ColdRate > 0 && e.IsCold(now)
		if s.paces(v) {
			c.SetPace(s.options.Pace.Assess(key, pace.Condition{Slots: v.service.Engine.Slots, Cold: c.Cold, Suspect: c.Suspect}, now))
		}
		if !c.Cold || s.options.ColdLimiter.Allows(key, v.service.ColdRate, now) {
			v.usable = append(v.usable, c)
		}
	}
	return v.usable
}

// PrefillDone records that the prefill of a placed request is done.
func (s *Scheduler) PrefillDone(shard Shard, from string, number load.Number) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.find(shard, from, number); p != nil {
		s.shards[shard].prefillDone(p)
		s.wakeIfWaiting(s.shards[shard])
	}
}

// End records that a placed request has ended.
func (s *Scheduler) End(shard Shard, from string, number load.Number) {
	s.mu.Lock()
	defer s.unlock()
	if state := s.shards[shard]; state != nil {
		state.endWaiting(from, number)
		state.remove(requestKey{from: from, number: number})
		s.wakeIfWaiting(state)
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
	s.wakeIfWaiting(state)
}

// Forget deletes the requests of instances that are not live, and the shards without a message in the last idleShardTime.
func (s *Scheduler) Forget(isLive func(instance string) bool, now time.Time) {
	s.options.ColdLimiter.Forget(now)
	s.mu.Lock()
	defer s.unlock()
	for shard, state := range s.shards {
		for key := range state.requests {
			if !isLive(key.from) {
				state.remove(key)
			}
		}
		state.list.endAll(func(key requestKey) bool { return !isLive(key.from) })
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

// Resign deletes the shards whose scheduler is another instance, unless this instance is asked in its place. If this instance
// becomes their scheduler again, it starts with a new warm-up.
func (s *Scheduler) Resign(isScheduler func(Shard) bool, now time.Time) {
	s.mu.Lock()
	defer s.unlock()
	for shard, state := range s.shards {
		if !isScheduler(shard) && now.After(state.standInUntil) {
			s.deleteShard(shard)
		}
	}
}

// deleteShard deletes the state of a shard. The requests that wait for it are told to go elsewhere.
func (s *Scheduler) deleteShard(shard Shard) {
	s.shards[shard].list.endAll(func(requestKey) bool { return true })
	for _, p := range s.shards[shard].requests {
		p.pace.End(time.Now())
	}
	delete(s.shards, shard)
}

// shardState returns the state of a shard and records that a message about it was received.
func (s *Scheduler) shardState(shard Shard, now time.Time) *shardState {
	state := s.shards[shard]
	if state == nil {
		state = &shardState{
			tracker: load.NewTracker(), requests: make(map[requestKey]*placedRequest), since: now,
			list: newWaitList(s.options.Planner, &s.stats, &s.outbox, renewTime),
		}
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
		expiresAt: placedAt.Add(limit + expiryMargin), work: placedWork(&work),
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
		st.prefillDone(p)
	}
}

func (st *shardState) prefillDone(p *placedRequest) {
	if p.request.PrefillDone() {
		st.observeEnd(p, returntimes.Long)
	}
}

func (st *shardState) remove(key requestKey) {
	if p := st.requests[key]; p != nil {
		p.request.End()
		st.observeEnd(p, returntimes.Short)
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
