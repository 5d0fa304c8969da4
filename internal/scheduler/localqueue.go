package scheduler

import (
	"sync"
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/panics"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/placement"
	"github.com/acacialift/acacialift/internal/waitqueue"
)

// localRenewTime is how long a request stays in a LocalQueue. It needs no renewal, because End removes it.
const localRenewTime = peer.MaxTime

// LocalRequest is a request of this instance that waits in a LocalQueue.
type LocalRequest struct {
	// PlaceRequest has Terms and the service in its shard. From and the lists of endpoints are not used.
	PlaceRequest
	Engine *fleet.Engine
	// Candidates returns the endpoints that may get the request.
	Candidates func(now time.Time) []placement.Candidate
	// Place tries to place the request on the candidates, and counts it from now on if that succeeds. Both functions are called
	// with the queue locked, also by other goroutines until the reply has come or End has returned.
	Place func(candidates []placement.Candidate, need placement.Need, now time.Time) (placement.Choice, *placement.Refusal)
}

// LocalQueue holds the requests of this instance that wait for capacity where no scheduler decides: in a small fleet, and while
// no scheduler replies. It has one wait queue for each service and is safe for concurrent use.
type LocalQueue struct {
	planner    placement.Planner
	stats      QueueStats
	dispatches dispatcher

	mu       sync.Mutex
	outbox   outbox
	lists    map[uint32]*waitList
	requests map[requestKey]*LocalRequest
}

// NewLocalQueue returns an empty queue.
func NewLocalQueue(planner placement.Planner, recorder *panics.Recorder) *LocalQueue {
	q := &LocalQueue{planner: planner, lists: make(map[uint32]*waitList), requests: make(map[requestKey]*LocalRequest)}
	q.dispatches.run, q.dispatches.panics = q.Dispatch, recorder
	return q
}

// Stats returns the counts of the waiting requests.
func (q *LocalQueue) Stats() *QueueStats { return &q.stats }

// Waiting returns the number of waiting requests of all services.
func (q *LocalQueue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.requests)
}

// Wake reports that capacity may have become free.
func (q *LocalQueue) Wake() {
	if q.Waiting() > 0 {
		q.dispatches.wake(true)
	}
}

func (q *LocalQueue) unlock() {
	replies := q.outbox.take()
	q.mu.Unlock()
	runAll(replies)
}

func (q *LocalQueue) list(service uint32) *waitList {
	if q.lists[service] == nil {
		q.lists[service] = newWaitList(q.planner, &q.stats, &q.outbox, localRenewTime)
	}
	return q.lists[service]
}

// Place places a request, lets it wait or refuses it. reply is called once, unless End removes the request before. Place returns
// true if the request waits.
func (q *LocalQueue) Place(request LocalRequest, now time.Time, reply func(Outcome)) (waits bool) {
	q.mu.Lock()
	defer q.unlock()
	list := q.list(request.Shard.Service)
	terms := *request.Terms
	terms.Hold, request.Terms = localRenewTime, &terms
	w := &waitingRequest{request: request.PlaceRequest, received: now, reply: reply}
	candidates := request.Candidates(now)
	queued := queuedRequest(&request.PlaceRequest, request.Engine, len(candidates), now)
	mustWait := list.queue.Precedes(&queued, now)
	if mustWait {
		if need := &queued.Need; need.Tokens+need.Output > int64(len(candidates))*request.Engine.MemoryTokens && len(candidates) > 0 {
			q.outbox.add(reply, Outcome{Refusal: &placement.Refusal{Reason: placement.TooLarge, Candidates: len(candidates)}})
			return false
		}
	} else {
		held := markHeld(candidates, list.queue.Held())
		choice, refusal := request.Place(held, queued.NeedAt(now), now)
		switch {
		case refusal == nil:
			list.queue.CountPlaced(&queued, now)
			q.outbox.add(reply, Outcome{Choice: choice})
			return false
		case refusal.Reason == placement.NoEndpoint || refusal.Reason == placement.TooLarge:
			q.outbox.add(reply, Outcome{Refusal: refusal})
			return false
		}
	}
	list.join(w, queued, placement.CapacityFor(request.Engine, candidates, queued.Need), now)
	q.forgetSettled()
	if list.waiting[w.key()] == nil {
		return false
	}
	q.requests[w.key()] = &request
	q.dispatches.wake(mustWait)
	return true
}

// forgetSettled deletes the requests that have left the queues.
func (q *LocalQueue) forgetSettled() {
	for key, request := range q.requests {
		if q.list(request.Shard.Service).waiting[key] == nil {
			delete(q.requests, key)
		}
	}
}

// End removes a request that no longer waits for the reply.
func (q *LocalQueue) End(service uint32, number load.Number) {
	q.mu.Lock()
	defer q.mu.Unlock()
	key := requestKey{number: number}
	q.list(service).end(key)
	delete(q.requests, key)
	// Nobody reads the reply.
	q.outbox.take()
}

// Dispatch places waiting requests for which there is capacity, and tells those that are refused. It reports whether requests
// still wait.
func (q *LocalQueue) Dispatch(now time.Time) bool {
	q.mu.Lock()
	defer q.unlock()
	for _, list := range q.lists {
		list.dispatch(now, func(r *waitqueue.Request, w *waitingRequest, held waitqueue.Held) (placement.Choice, waitqueue.Attempt) {
			request := q.requests[w.key()]
			if request == nil {
				return placement.Choice{}, waitqueue.Attempt{}
			}
			candidates, need := markHeld(request.Candidates(now), held), r.NeedAt(now)
			choice, refusal := request.Place(candidates, need, now)
			if refusal == nil {
				return choice, waitqueue.Attempt{Placed: true}
			}
			return choice, waitqueue.Failed(request.Engine, r, need, candidates, held, refusal)
		})
	}
	q.forgetSettled()
	return len(q.requests) > 0
}
