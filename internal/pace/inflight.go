package pace

import (
	"slices"
	"time"
)

// maxInFlight bounds the requests of an endpoint that are checked for later prompts that go first.
const maxInFlight = 128

// Request is a request that was placed on endpoints with a model. Its methods may be called on a nil value, and from any
// goroutine.
type Request struct {
	tracker *Tracker
	// endpoints holds the primary endpoint and the helpers.
	endpoints []uint32
	// predicted is the time to the first event without the slowdown of the endpoints.
	predicted time.Duration
	// overtaken is true if an engine prefills a part of a later prompt first, or had such a request when this one was placed.
	// The prediction does not hold then.
	overtaken bool
	done      bool
}

// Place records a request whose first event is expected after the predicted time, which includes the slowdown of the endpoints.
// The first endpoint is the primary one. Engines prefill the parts of prompts with several endpoints before all other prompts.
func (t *Tracker) Place(endpoints []uint32, predicted time.Duration, now time.Time) *Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	request := &Request{tracker: t, endpoints: endpoints}
	slowdown := 1.0
	for _, endpoint := range endpoints {
		r := t.records[endpoint]
		if r == nil {
			continue
		}
		t.advance(endpoint, r, now)
		slowdown = max(slowdown, r.factor)
		for _, other := range r.inFlight {
			if len(endpoints) > 1 {
				other.overtaken = true
			} else {
				request.overtaken = request.overtaken || other.overtaken
			}
		}
		if len(r.inFlight) < maxInFlight {
			r.inFlight = append(r.inFlight, request)
		}
	}
	request.predicted = time.Duration(float64(predicted) / slowdown)
	return request
}

// FirstEvent records the time from the sending of the request to its first event. Later calls do nothing.
func (q *Request) FirstEvent(observed time.Duration, now time.Time) {
	if q == nil {
		return
	}
	q.tracker.mu.Lock()
	defer q.tracker.mu.Unlock()
	if q.done {
		return
	}
	q.leave()
	if !q.overtaken || observed <= q.predicted {
		q.tracker.observeGroup(q.endpoints, ratioOf(q.predicted, observed), now)
	}
}

// Pauses records a low quantile of the pauses between the events of the stream, and the pass that the model predicts for the
// streams of the primary endpoint.
func (q *Request) Pauses(pass, pause time.Duration, now time.Time) {
	if q != nil && pause > 0 {
		q.tracker.Observe(q.endpoints[0], pass, pause, now)
	}
}

// Failed records that the request has failed at its primary endpoint.
func (q *Request) Failed(now time.Time) {
	if q != nil {
		q.tracker.Failed(q.endpoints[0], now)
	}
}

// End records that the request has ended.
func (q *Request) End() {
	if q == nil {
		return
	}
	q.tracker.mu.Lock()
	defer q.tracker.mu.Unlock()
	q.leave()
}

// leave deletes the request from the endpoints that prefill it.
func (q *Request) leave() {
	q.done = true
	for _, endpoint := range q.endpoints {
		if r := q.tracker.records[endpoint]; r != nil {
			r.inFlight = slices.DeleteFunc(r.inFlight, func(other *Request) bool { return other == q })
		}
	}
}
