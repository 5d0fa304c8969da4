package scheduler

import (
	"sync"
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/panics"
	"github.com/acacialift/acacialift/internal/placement"
	"github.com/acacialift/acacialift/internal/waitqueue"
)

// LocalRequest is a request of this instance that waits in a LocalQueue.
type LocalRequest struct {
	// PlaceRequest has Terms and the service in its shard. From and the lists of endpoints are not used.
	PlaceRequest
	Engine *fleet.Engine
	// Candidates returns the endpoints that may get the request.
	Candidates func(now time.Time) []placement.Candidate
	// Place tries to place the request on the candidates, and counts it from now on if that succeeds. It is called with the
	// queue locked.
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
		q.lists[service] = newWaitList(q.planner, &q.stats, &q.outbox)
	}
	return q.lists[service]
}

// PlaceOrWait places a request, lets it wait, renews its place in the queue or refuses it. reply is called exactly once, at the latest
// by the dispatch after Terms.Hold.
func (q *LocalQueue) PlaceOrWait(request LocalRequest, now time.Time, reply func(Outcome)) {
	q.mu.Lock()
	defer q.unlock()
	list := q.list(request.Shard.Service)
	w := &waitingRequest{request: request.PlaceRequest, received: now, reply: reply}
	if list.renew(request.PlaceRequest, now, reply) {
		q.keep(list, w.key(), &request)
		q.dispatches.wake(false)
		return
	}
	candidates := request.Candidates(now)
	queued := queuedRequest(&request.PlaceRequest, request.Engine, now)
	mustWait := list.queue.Len() > 0
	if !mustWait {
		choice, refusal := request.Place(candidates, w.request.needAt(now, now), now)
		switch {
		case refusal == nil:
			list.queue.CountPlaced(&queued, now)
			q.outbox.add(reply, Outcome{Choice: choice})
			return
		case refusal.Reason == placement.NoEndpoint || refusal.Reason == placement.TooLarge:
			q.outbox.add(reply, Outcome{Refusal: refusal})
			return
		}
	}
	list.join(w, queued, capacityOf(request.Engine, candidates), now)
	q.keep(list, w.key(), &request)
	q.dispatches.wake(mustWait)
}

// keep stores how a request is placed while it waits.
func (q *LocalQueue) keep(list *waitList, key requestKey, request *LocalRequest) {
	if list.waiting[key] != nil {
		q.requests[key] = request
	} else {
		delete(q.requests, key)
	}
}

// End removes a request whose caller has left. Place is not called any more after that.
func (q *LocalQueue) End(service uint32, number load.Number) {
	q.mu.Lock()
	defer q.unlock()
	key := requestKey{number: number}
	q.list(service).end(key)
	delete(q.requests, key)
}

// Dispatch places waiting requests for which there is capacity, and tells those that are refused or have waited for their hold
// time. It reports whether requests still wait.
func (q *LocalQueue) Dispatch(now time.Time) bool {
	q.mu.Lock()
	defer q.unlock()
	for _, list := range q.lists {
		list.dispatch(now, func(w *waitingRequest, held waitqueue.Held) (placement.Choice, []uint32, bool) {
			request := q.requests[w.key()]
			if request == nil {
				return placement.Choice{}, nil, false
			}
			choice, refusal := request.Place(request.Candidates(now), w.request.needAt(w.received, now), now)
			return choice, nil, refusal == nil
		})
		list.lapsed(now)
	}
	for key, request := range q.requests {
		q.keep(q.list(request.Shard.Service), key, request)
	}
	return len(q.requests) > 0
}
