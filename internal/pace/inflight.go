package pace

import (
	"slices"
	"time"
)

// maxInFlight bounds the requests of an endpoint that are checked for later prompts that go first.
const maxInFlight = 128

const (
	// longPart is the prefill time of a part from which it lengthens the passes of its endpoint so much that the pauses of other
	// streams show nothing.
	longPart = 60 * time.Millisecond
	// longPrefillAge is how long after such a prefill the pauses of streams may still include it.
	longPrefillAge = time.Second
	// overdueFrom is the multiple of its prediction after which a request without a first event is evidence.
	overdueFrom = 2.2
)

// prefillsLong reports whether the latest pauses of streams may include a long prefill.
func (r *record) prefillsLong(now time.Time) bool {
	return now.Sub(r.longPrefillEnded) < longPrefillAge || slices.ContainsFunc(r.inFlight, func(q *Request) bool { return q.isLong })
}

// addOverdue adds the ratios of requests that have waited for long without a first event.
func (r *record) addOverdue(s samples, now time.Time) samples {
	for _, q := range r.inFlight {
		if ratio := ratioOf(q.predicted, now.Sub(q.placed)); ratio >= overdueFrom && !q.overtaken && len(q.endpoints) == 1 {
			s.add(ratio, now)
		}
	}
	return s
}

// Request is a request that was placed on endpoints with a model. Its methods may be called on a nil value, and from any
// goroutine.
type Request struct {
	tracker *Tracker
	// endpoints holds the primary endpoint and the helpers.
	endpoints []uint32
	// predicted is the time to the first event without the slowdown of the endpoints.
	predicted time.Duration
	placed    time.Time
	// isLong is true if each endpoint prefills a part of at least longPart.
	isLong bool
	// overtaken is true if an engine prefills a part of a later prompt first, or had such a request when this one was placed.
	// The prediction does not hold then.
	overtaken bool
	done      bool
}

// Place records a request whose first event is expected after the predicted time, which includes the slowdown of the endpoints.
// The first endpoint is the primary one, and part is the prefill time of each. Engines prefill the parts of prompts with several endpoints before all other prompts.
func (t *Tracker) Place(endpoints []uint32, part, predicted time.Duration, now time.Time) *Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	request := &Request{tracker: t, endpoints: endpoints, placed: now, isLong: part >= longPart}
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
	q.leave(now)
	if !q.overtaken || observed <= q.predicted {
		q.tracker.observeGroup(q.endpoints, ratioOf(q.predicted, observed), now)
	}
}

// Pauses records a low quantile of the pauses between the events of the stream, and the pass that the model predicts for the
// streams of the primary endpoint.
func (q *Request) Pauses(pass, pause time.Duration, now time.Time) {
	if q == nil || pause <= 0 {
		return
	}
	q.tracker.mu.Lock()
	defer q.tracker.mu.Unlock()
	r := q.tracker.records[q.endpoints[0]]
	ratio := ratioOf(pass, pause)
	if r == nil || ratio >= normalBelow && r.prefillsLong(now) {
		return
	}
	q.tracker.observe(q.endpoints[0], r, ratio, now)
}

// Failed records that the request has failed at its primary endpoint.
func (q *Request) Failed(now time.Time) {
	if q != nil {
		q.tracker.Failed(q.endpoints[0], now)
	}
}

// End records that the request has ended.
func (q *Request) End(now time.Time) {
	if q == nil {
		return
	}
	q.tracker.mu.Lock()
	defer q.tracker.mu.Unlock()
	q.leave(now)
}

// leave deletes the request from the endpoints that prefill it.
func (q *Request) leave(now time.Time) {
	if q.done {
		return
	}
	q.done = true
	for _, endpoint := range q.endpoints {
		if r := q.tracker.records[endpoint]; r != nil {
			r.inFlight = slices.DeleteFunc(r.inFlight, func(other *Request) bool { return other == q })
			if q.isLong {
				r.longPrefillEnded = now
			}
		}
	}
}
