package emulator

import (
	"os"
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/placement"
	"github.com/acacialift/acacialift/internal/waitqueue"
)

// dispatchInterval is the shortest time between two rounds of a wait queue.
const dispatchInterval = 5 * time.Millisecond

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
		Returning: call.retried, Arrived: at(call.at), OnTimeUntil: at(call.at + call.kind.Objective - networkRoundTrip),
	}
	s.next++
	useful := call.kind.Objective
	if r.Short {
		useful = max(useful, time.Duration(s.run.options.LateWait*float64(call.kind.TimeLimit)))
	}
	r.Until = at(call.at + useful - networkRoundTrip)
	if call.retried {
		r.Until = at(max(call.at+useful, call.arrivedAt+placement.LateObjective(call.kind.Objective)) - networkRoundTrip)
	}
	return r
}

func (s *shardQueue) refuse(refused *waitqueue.Refused) {
	call := s.calls[refused.Request.ID]
	delete(s.calls, refused.Request.ID)
	if DebugQ && call.isInLargestTenth() && !refused.Request.Short {
		println("LARGE", s.shard, int(s.run.now/1e6), call.kind.Name, call.tokens, string(refused.Reason), "waited", int((s.run.now-call.arrivedAt)/1e6), "retried", call.retried, "team", call.team, "cost", int(refused.Request.Cost/1e6), "drain", int(refused.Wait/1e6))
	}
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
	if refusal != nil && request.Short && refusal.Reason == placement.TooLate {
		// An endpoint's backlog does not shrink faster than the time that is left.
		return waitqueue.Attempt{Missed: true}
	}
	if refusal != nil && DebugQ && !request.Short && s.calls[request.ID].isInLargestTenth() {
		h := placement.EndpointsToHold(e, candidates, need, held.Free())
		println("TRY", s.shard, int(s.run.now/1e6), request.Need.Tokens, "obj", int(need.Objective/1e6), string(refusal.Reason), int(refusal.Predicted/1e6), "hold", len(h), "free", held.Free(), "waiting", s.queue.Len(), "id", request.ID.Number)
		if s.run.now/1e7%30 == 0 {
			own := 0
			for i := range candidates {
				c := &candidates[i]
				if held.Contains(c.Endpoint.Key()) {
					print(" H")
				}
				if s.queue.Held().Contains(c.Endpoint.Key()) && !held.Contains(c.Endpoint.Key()) {
					own++
					print(" O")
				}
				print(" ", c.Streams, "/", c.UsedTokens/1000, "k/b", int(c.PrefillBacklog/1e6), "/d", int(c.PrefillDueIn/1e6), "/g", int(c.MaxGap/1e6))
			}
			println(" own", own)
		}
	}
	if refusal != nil {
		if DebugQ && request.Short {
			println(int(s.run.now/1e6), s.shard, "short tokens", request.Need.Tokens, "obj", int(need.Objective/1e6), string(refusal.Reason), int(refusal.Predicted/1e6), "len", s.queue.Len(), "held", held.Free())
		}
		return waitqueue.Attempt{Hold: keysOf(placement.EndpointsToHold(e, candidates, need, held.Free()))}
	}
	call := s.calls[request.ID]
	delete(s.calls, request.ID)
	s.run.dispatch(call, choice)
	return waitqueue.Attempt{Placed: true}
}

func keysOf(endpoints []*fleet.Endpoint) []uint32 {
	var keys []uint32
	for _, e := range endpoints {
		keys = append(keys, e.Key())
	}
	return keys
}

// workEnded tells the wait queue of a shard that capacity may have become free. The queue looks at its next round, which is
// at most dispatchInterval later.
func (r *run) workEnded(shard int) {
	if shard < len(r.queues) && r.queues[shard].queue.Len() > 0 && !r.queues[shard].due {
		r.queues[shard].round()
	}
}

var DebugQ = os.Getenv("DBG") != ""
