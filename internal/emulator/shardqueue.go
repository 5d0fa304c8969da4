package emulator

import (
	"time"

	"github.com/acacialift/acacialift/internal/placement"
	"github.com/acacialift/acacialift/internal/waitqueue"
)

// dispatchInterval is the shortest time between two rounds of a wait queue.
const dispatchInterval = 5 * time.Millisecond

// usefulFraction is the fraction of the time limit in which a late first event has a value.
const usefulFraction = 0.5

// shardQueue is a scheduler with a wait queue.
type shardQueue struct {
	run   *run
	shard int
	queue *waitqueue.Queue
	calls map[waitqueue.ID]*request
	next  uint64
	// due is true if a round is scheduled.
	due bool
}

func newShardQueue(r *run, shard int) *shardQueue {
	return &shardQueue{run: r, shard: shard, queue: waitqueue.New(waitqueue.Options{}), calls: make(map[waitqueue.ID]*request)}
}

// arrive places a request at once, if no waiting request precedes it. Otherwise it waits at the next of schedulersPerRequest
// shards.
func (s *shardQueue) arrive(call *request) {
	request := s.request(call)
	if count := len(s.run.queues); min(count, schedulersPerRequest) > 1 {
		if !s.queue.Precedes(&request, s.run.virtualTime()) && s.placeNow(call, &request) {
			return
		}
		call.shard = (call.shard + 1 + s.run.random.IntN(count-1)) % count
		s.run.after(schedulerRoundTrip, func() { s.run.queues[call.shard].wait(call) })
		return
	}
	s.wait(call)
}

// placeNow places a request that has not waited.
func (s *shardQueue) placeNow(call *request, request *waitqueue.Request) bool {
	s.calls[request.ID] = call
	defer delete(s.calls, request.ID)
	if s.place(request, s.queue.Held()).Placed {
		s.queue.CountPlaced(request, s.run.virtualTime())
		return true
	}
	return false
}

// wait lets a request wait, or refuses it.
func (s *shardQueue) wait(call *request) {
	now := s.run.virtualTime()
	request := s.request(call)
	candidates := s.run.shardCandidates(s.shard)
	s.calls[request.ID] = call
	decision := s.queue.Add(request, placement.CapacityFor(&s.run.options.Engine, candidates, request.Need), now)
	for i := range decision.Displaced {
		s.refuse(&decision.Displaced[i])
	}
	if !decision.Waits {
		s.refuse(&waitqueue.Refused{Request: request, Reason: decision.Reason, Wait: decision.Wait})
		return
	}
	s.round()
}

// request describes a request for the wait queue. Callers state how much time they have used, so that retries keep their
// objective.
func (s *shardQueue) request(call *request) waitqueue.Request {
	e := &s.run.options.Engine
	need := placement.Need{
		Tokens: call.tokens, Output: call.output(e.Stride), MaxGap: call.kind.MaxGap, ExactCounts: true,
		Objective: call.kind.Objective,
	}
	at := func(t time.Duration) time.Time { return time.Unix(0, int64(t)) }
	r := waitqueue.Request{
		ID: waitqueue.ID{Number: s.next}, Rank: call.kind.Rank, Team: call.team, Short: placement.IsShort(e, need), Need: need,
		Cost: placement.EngineTime(e, need), Prefill: placement.ShortestPrefill(e, need, s.run.options.Endpoints/s.run.options.Shards),
		Returning: call.retried && call.retriesAtOnce == 0, Arrived: at(call.at),
		OnTimeUntil: at(call.at + call.kind.Objective - networkRoundTrip),
	}
	s.next++
	useful := call.at + max(call.kind.Objective, time.Duration(usefulFraction*float64(call.kind.TimeLimit)))
	if call.retried {
		useful = max(useful, call.arrivedAt+placement.LateObjective(call.kind.Objective))
	}
	r.Until = at(useful - networkRoundTrip)
	return r
}

func (s *shardQueue) refuse(refused *waitqueue.Refused) {
	call := s.calls[refused.Request.ID]
	delete(s.calls, refused.Request.ID)
	delay := min(max(refused.Wait, minReturn), maxReturn)
	delay += time.Duration(s.run.random.Float64() * float64(delay) / 2)
	s.run.refuseOrRetry(call, &placement.Refusal{Reason: placement.Reason(refused.Reason), RetryAfter: delay})
}

// Bounds of the time after which a refused caller is told to return.
const (
	minReturn = 200 * time.Millisecond
	maxReturn = 3 * time.Second
)

// round offers the waiting requests to the placement, and schedules the next round while requests wait.
func (s *shardQueue) round() {
	now := s.run.virtualTime()
	for id := range s.calls {
		s.queue.Renew(id, now)
	}
	for _, refused := range s.queue.Expire(now) {
		s.refuse(&refused)
	}
	s.queue.Dispatch(now, s.place)
	if s.queue.Len() > 0 && !s.due {
		s.due = true
		s.run.after(dispatchInterval, func() {
			s.due = false
			s.round()
		})
	}
}

func (s *shardQueue) place(request *waitqueue.Request, held waitqueue.Held) waitqueue.Attempt {
	e := &s.run.options.Engine
	candidates := s.run.shardCandidates(s.shard)
	for i := range candidates {
		candidates[i].Held = held.Contains(candidates[i].Endpoint.Key())
	}
	need := request.NeedAt(s.run.virtualTime())
	choice, refusal := s.run.options.Policy(s.run.planner, e, candidates, need)
	if refusal != nil {
		return waitqueue.Failed(e, request, need, candidates, held, refusal)
	}
	call := s.calls[request.ID]
	delete(s.calls, request.ID)
	s.run.dispatch(call, choice)
	return waitqueue.Attempt{Placed: true}
}

// workEnded tells the wait queue of a shard that capacity may have become free. The queue looks at its next round, which is
// at most dispatchInterval later.
func (r *run) workEnded(shard int) {
	if shard < len(r.queues) && r.queues[shard].queue.Len() > 0 && !r.queues[shard].due {
		r.queues[shard].round()
	}
}
