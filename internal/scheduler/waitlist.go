package scheduler

import (
	"time"

	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/placement"
	"github.com/acacialift/acacialift/internal/waitqueue"
)

// renewTime is how long a request stays in the queue of a scheduler without a renewal, and how long a decision is kept for a
// request whose instance has not renewed it yet.
const renewTime = 500 * time.Millisecond

// outbox collects replies that are sent once a mutex is released.
type outbox struct{ replies []func() }

func (o *outbox) add(reply func(Outcome), outcome Outcome) {
	o.replies = append(o.replies, func() { reply(outcome) })
}

// take returns the replies and empties the outbox.
func (o *outbox) take() []func() {
	replies := o.replies
	o.replies = nil
	return replies
}

func runAll(replies []func()) {
	for _, reply := range replies {
		reply()
	}
}

// waitingRequest is a request in a queue, or one that has left it and whose instance does not know the decision yet.
type waitingRequest struct {
	request PlaceRequest
	// received is the time of the last renewal.
	received time.Time
	// reply sends the reply to the last renewal; nil after it was sent.
	reply func(Outcome)
	// decided is set if the request has left the queue between a reply and the next renewal, at decidedAt.
	decided   *Outcome
	decidedAt time.Time
	// returns is what the schedule of return times knows of the request.
	returns returningRequest
}

func (w *waitingRequest) key() requestKey {
	return requestKey{from: w.request.From, number: w.request.Number}
}

// waitList is a wait queue with the replies that its requests await. It is not safe for concurrent use.
type waitList struct {
	queue   *waitqueue.Queue
	planner placement.Planner
	stats   *QueueStats
	outbox  *outbox
	waiting map[requestKey]*waitingRequest
}

// newWaitList returns an empty list whose requests leave it unless they are renewed within a time.
func newWaitList(planner placement.Planner, stats *QueueStats, outbox *outbox, renewTime time.Duration) *waitList {
	return &waitList{
		queue: waitqueue.New(waitqueue.Options{RenewTime: renewTime}), planner: planner, stats: stats, outbox: outbox,
		waiting: make(map[requestKey]*waitingRequest),
	}
}

// waits reports whether a request is in the queue.
func (l *waitList) waits(request *PlaceRequest) bool { return l.queue.Contains(request.id()) }

// renew stores a renewal. It returns false if the request does not wait here.
func (l *waitList) renew(request PlaceRequest, now time.Time, reply func(Outcome)) bool {
	w := l.waiting[requestKey{from: request.From, number: request.Number}]
	if w == nil {
		return false
	}
	if w.decided != nil {
		delete(l.waiting, w.key())
		outcome := *w.decided
		if outcome.isPlaced() {
			// The grant is older than this renewal.
			outcome.Held = 0
		}
		l.outbox.add(reply, outcome)
		return true
	}
	if !l.queue.Renew(request.id(), now) {
		l.drop(w)
		return false
	}
	if w.reply != nil {
		l.outbox.add(w.reply, Outcome{Waiting: true})
	}
	w.request, w.received, w.reply = request, now, reply
	return true
}

// join lets a request wait, or refuses it.
func (l *waitList) join(w *waitingRequest, queued waitqueue.Request, capacity waitqueue.Capacity, now time.Time) {
	decision := l.queue.Add(queued, capacity, now)
	for _, displaced := range inReturnOrder(decision.Displaced) {
		l.refuse(displaced, now)
	}
	if decision.Waits {
		l.waiting[w.key()] = w
		if w.request.Terms.Hold == 0 {
			l.outbox.add(w.reply, Outcome{Waiting: true})
			w.reply = nil
		}
		return
	}
	l.stats.countRefused(decision.Reason)
	refusal := queueRefusal(l.planner, decision.Reason, decision.Wait, capacity.Endpoints)
	l.outbox.add(w.reply, Outcome{Refusal: w.tell(refusal, now)})
}

// refuse tells a request that the queue has given up.
func (l *waitList) refuse(refused waitqueue.Refused, now time.Time) {
	l.stats.countRefused(refused.Reason)
	id := refused.Request.ID
	w := l.waiting[requestKey{from: id.Instance, number: load.Number(id.Number)}]
	switch {
	case w == nil:
	case refused.Reason == waitqueue.NotRenewed:
		l.drop(w)
	default:
		l.settle(w, Outcome{Refusal: w.tell(queueRefusal(l.planner, refused.Reason, refused.Wait, 0), now)}, now)
	}
}

// settle tells a request its decision, or keeps the decision until its next renewal.
func (l *waitList) settle(w *waitingRequest, outcome Outcome, now time.Time) {
	if w.reply == nil {
		w.decided, w.decidedAt = &outcome, now
		return
	}
	outcome.Held = now.Sub(w.received)
	delete(l.waiting, w.key())
	l.outbox.add(w.reply, outcome)
}

// drop deletes a request that nobody waits for. A reply that is still deferred is sent, because their number is bounded.
func (l *waitList) drop(w *waitingRequest) {
	delete(l.waiting, w.key())
	l.queue.Remove(w.request.id())
	if w.reply != nil {
		l.outbox.add(w.reply, Outcome{NotReady: true})
	}
}

// end removes a request whose caller has left.
func (l *waitList) end(key requestKey) {
	if w := l.waiting[key]; w != nil {
		l.drop(w)
	}
}

// endAll removes the requests for which includes returns true.
func (l *waitList) endAll(includes func(key requestKey) bool) {
	for key, w := range l.waiting {
		if includes(key) {
			l.drop(w)
		}
	}
}

// placeFunc tries to place a waiting request.
type placeFunc func(r *waitqueue.Request, w *waitingRequest, held waitqueue.Held) (placement.Choice, waitqueue.Attempt)

// dispatch offers the waiting requests to place, tells those that the queue has given up, and replies to those whose hold time
// would be over at the next dispatch.
func (l *waitList) dispatch(now time.Time, place placeFunc) {
	for _, refused := range inReturnOrder(l.queue.Expire(now)) {
		l.refuse(refused, now)
	}
	l.queue.Dispatch(now, func(r *waitqueue.Request, held waitqueue.Held) waitqueue.Attempt {
		w := l.waiting[requestKey{from: r.ID.Instance, number: load.Number(r.ID.Number)}]
		if w == nil {
			return waitqueue.Attempt{}
		}
		choice, attempt := place(r, w, held)
		if attempt.Placed {
			l.stats.PlacedAfterWaiting.Add(1)
			l.settle(w, Outcome{Choice: choice}, now)
		}
		return attempt
	})
	for _, w := range l.waiting {
		if w.reply != nil && w.decided == nil && now.Sub(w.received)+maxDispatchInterval > w.request.Terms.Hold {
			l.outbox.add(w.reply, Outcome{Waiting: true})
			w.reply = nil
		}
	}
}

// lapsed deletes the decisions that no renewal has asked for in time, and returns the requests among them that were placed.
func (l *waitList) lapsed(now time.Time) []requestKey {
	var placed []requestKey
	for key, w := range l.waiting {
		if w.decided == nil || now.Sub(w.decidedAt) <= renewTime {
			continue
		}
		if w.decided.isPlaced() {
			placed = append(placed, key)
		}
		delete(l.waiting, key)
	}
	return placed
}
