package scheduler

import (
	"time"

	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/placement"
	"github.com/acacialift/acacialift/internal/waitqueue"
)

// standInTime is how long an instance keeps the shard of another scheduler after the last request that came here because that
// scheduler did not reply. It covers the back-off of all clients.
const standInTime = 3 * time.Second

// OnWaiting sets a function that is called when a dispatch of the waiting requests may have become useful: soon is true if
// capacity or a request in front has come, and false if requests have begun to wait. The function must not call the scheduler.
func (s *Scheduler) OnWaiting(wake func(soon bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake = wake
}

// unlock releases the mutex and sends the replies that were decided under it.
func (s *Scheduler) unlock() {
	replies := s.outbox.take()
	s.mu.Unlock()
	runAll(replies)
}

// Stats returns the counts of the waiting requests.
func (s *Scheduler) Stats() *QueueStats { return &s.stats }

// Waiting returns the number of requests that wait for each shard.
func (s *Scheduler) Waiting() map[Shard]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[Shard]int)
	for shard, state := range s.shards {
		counts[shard] = state.list.queue.Len()
	}
	return counts
}

// PlaceOrWait places a request with Terms, lets it wait, renews its place in the queue or refuses it. reply is called exactly
// once, at the latest by the dispatch after Terms.Hold.
func (s *Scheduler) PlaceOrWait(request PlaceRequest, now time.Time, reply func(Outcome)) {
	s.mu.Lock()
	defer s.unlock()
	state := s.shardState(request.Shard, now)
	s.markSuspects(&request, now)
	if request.Terms.Failed != "" {
		state.standInFor, state.standInUntil = request.Terms.Failed, now.Add(standInTime)
	}
	v, ok := s.view(request.Shard, state, now)
	if !ok {
		state.list.end(requestKey{from: request.From, number: request.Number})
		s.outbox.add(reply, Outcome{NotReady: true})
		return
	}
	state.expire(now)
	s.reconsider(v, state, &request, now)
	if state.list.waits(&request) {
		if refusal := neverPlaceable(v, &request); refusal != nil {
			state.endWaiting(request.From, request.Number)
			s.outbox.add(reply, Outcome{Refusal: refusal})
			return
		}
	}
	if state.list.renew(request, now, reply) {
		s.wakeUp(true)
		return
	}
	s.admit(v, state, &waitingRequest{request: request, received: now, reply: reply}, now)
}

// reconsider gives up a placement that a renewal is about to get, if the endpoint has begun a cold start since then and takes no
// request now. No limit has counted the request for the cold start.
func (s *Scheduler) reconsider(v *shardView, state *shardState, request *PlaceRequest, now time.Time) {
	key := requestKey{from: request.From, number: request.Number}
	w := state.list.waiting[key]
	if w == nil || w.decided == nil || !w.decided.isPlaced() {
		return
	}
	e := v.snapshot.ByKey[w.decided.Choice.Primary.Key()]
	if e == nil || v.service.ColdRate <= 0 || !e.IsCold(now) {
		return
	}
	if request.Terms.Failed != "" || !s.takeCold(v.service, e, now) {
		delete(state.list.waiting, key)
		state.remove(key)
	}
}

// admit places a new request if none that waits precedes it and there is capacity. Otherwise it lets the request wait, or
// refuses it.
func (s *Scheduler) admit(v *shardView, state *shardState, w *waitingRequest, now time.Time) {
	engine, queue := v.service.Engine, state.list.queue
	candidates := s.candidates(v, &w.request, now, true)
	queued := queuedRequest(&w.request, engine, len(candidates), now)
	w.returns = s.beginReturn(v, state, &w.request, now)
	queued.Returning = w.returns.precedes
	mustWait := queue.Precedes(&queued, now)
	if mustWait {
		if refusal := neverPlaceable(v, &w.request); refusal != nil {
			s.outbox.add(w.reply, Outcome{Refusal: refusal})
			return
		}
	} else {
		held := markHeld(candidates, queue.Held())
		choice, refusal, ok := s.tryPlace(v, state, held, w, queued.NeedAt(now), now)
		switch {
		case refusal != nil && (refusal.Reason == placement.NoEndpoint || refusal.Reason == placement.TooLarge):
			s.outbox.add(w.reply, Outcome{Refusal: refusal})
			return
		case ok:
			queue.CountPlaced(&queued, now)
			s.outbox.add(w.reply, Outcome{Choice: choice})
			return
		}
	}
	if w.request.Terms.Try {
		s.outbox.add(w.reply, Outcome{Refusal: &placement.Refusal{
			Reason: placement.SlotsFull, RetryAfter: s.options.Planner.RetryAfter(0), Candidates: len(candidates),
		}})
		return
	}
	state.list.join(w, queued, placement.CapacityFor(engine, candidates, queued.Need), now)
	s.wakeUp(mustWait)
}

// neverPlaceable returns the refusal of a request that the endpoints of its shard cannot serve, whatever their load; nil if they can.
// Endpoints count also if a limit or the instance of the caller excludes them now, because that ends.
func neverPlaceable(v *shardView, request *PlaceRequest) *placement.Refusal {
	var endpoints int64
	for _, e := range v.snapshot.Endpoints[v.service.Name] {
		if !e.Leaving && request.Shard.Contains(e) && !v.snapshot.OutOfService[e.Domain] {
			endpoints++
		}
	}
	refusal := &placement.Refusal{Candidates: int(endpoints)}
	switch {
	case endpoints == 0:
		refusal.Reason = placement.NoEndpoint
	case request.Need.Tokens+request.Need.Output > endpoints*v.service.Engine.MemoryTokens:
		refusal.Reason = placement.TooLarge
	default:
		return nil
	}
	return refusal
}

// markHeld marks the candidates that are held for other requests.
func markHeld(candidates []placement.Candidate, held waitqueue.Held) []placement.Candidate {
	for i := range candidates {
		candidates[i].Held = held.Contains(candidates[i].Endpoint.Key())
	}
	return candidates
}

// tryPlace places a request with Terms and counts it from now on. It returns false if it was not placed, without a refusal if
// the chosen endpoint in cold start takes no request now.
func (s *Scheduler) tryPlace(
	v *shardView, state *shardState, candidates []placement.Candidate, w *waitingRequest, need placement.Need, now time.Time,
) (placement.Choice, *placement.Refusal, bool) {
	need.ExactCounts = true
	choice, refusal := s.options.Planner.PlaceModel(v.service.Engine, candidates, need)
	if refusal != nil || !s.takeCold(v.service, choice.Primary, now) {
		return choice, refusal, false
	}
	limit := w.request.Limit - now.Sub(w.received)
	p := state.add(w.key(), choice.Work(need, limit), now, limit)
	s.trackPace(v, p, &choice, now)
	w.returns.observePlaced(now)
	return choice, nil, true
}

// Dispatch places waiting requests for which there is capacity, and tells those that are refused or have waited for their hold
// time. It reports whether requests still wait.
func (s *Scheduler) Dispatch(now time.Time) bool {
	s.mu.Lock()
	defer s.unlock()
	waits := false
	for shard, state := range s.shards {
		if len(state.list.waiting) > 0 {
			s.dispatch(shard, state, now)
			waits = waits || len(state.list.waiting) > 0
		}
	}
	return waits
}

func (s *Scheduler) dispatch(shard Shard, state *shardState, now time.Time) {
	v, ok := s.view(shard, state, now)
	if !ok {
		state.list.endAll(func(requestKey) bool { return true })
		return
	}
	state.expire(now)
	for _, key := range state.list.lapsed(now) {
		state.remove(key)
	}
	state.list.dispatch(now, func(r *waitqueue.Request, w *waitingRequest, held waitqueue.Held) (placement.Choice, waitqueue.Attempt) {
		// A grant for an endpoint in cold start must be used at once, so there must be a reply to carry it.
		candidates := markHeld(s.candidates(v, &w.request, now, w.reply != nil), held)
		need := r.NeedAt(now)
		choice, refusal, placed := s.tryPlace(v, state, candidates, w, need, now)
		if placed {
			v.usable = nil
			return choice, waitqueue.Attempt{Placed: true}
		}
		if refusal == nil {
			return choice, waitqueue.Attempt{}
		}
		return choice, waitqueue.Failed(v.service.Engine, r, need, candidates, held, refusal)
	})
}

// wakeUp reports that a dispatch may be useful.
func (s *Scheduler) wakeUp(soon bool) {
	if s.wake != nil {
		s.wake(soon)
	}
}

// wakeIfWaiting reports that capacity of a shard may have become free.
func (s *Scheduler) wakeIfWaiting(state *shardState) {
	if state != nil && len(state.list.waiting) > 0 {
		s.wakeUp(true)
	}
}

// endWaiting removes a request from the queue of a shard.
func (st *shardState) endWaiting(from string, number load.Number) {
	st.list.end(requestKey{from: from, number: number})
}
