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
	longPart = 150 * time.Millisecond
	// longPrefillAge is how long after such a prefill the pauses of streams may still include it.
	longPrefillAge = 500 * time.Millisecond
	// overdueFrom is the multiple of its prediction after which a request without a first event is evidence.
	overdueFrom = 2.2
	// overdueInterval is the time between two judgements of an endpoint by requests that are overdue.
	overdueInterval = 20 * time.Millisecond
)

// notePrefill records the end of a prefill.
func (r *record) notePrefill(part time.Duration, now time.Time) {
	if part >= r.latestPart || now.Sub(r.latestPartAt) >= longPrefillAge {
		r.latestPart, r.latestPartAt = part, now
	}
}

// recentPart returns the longest prefill that the latest pauses of streams may include.
func (r *record) recentPart(now time.Time) time.Duration {
	var longest time.Duration
	if now.Sub(r.latestPartAt) < longPrefillAge {
		longest = r.latestPart
	}
	for _, q := range r.inFlight {
		longest = max(longest, q.part)
	}
	return longest
}

// prefillsLong reports whether the latest pauses of streams may include a long prefill.
func (r *record) prefillsLong(now time.Time) bool { return r.recentPart(now) >= longPart }

// addOverdue adds the ratios of requests that have waited for long without a first event.
func (r *record) addOverdue(s samples, now time.Time) samples {
	for _, q := range r.inFlight {
		if len(q.shares) > 1 {
			continue
		}
		if ratio := ratioOf(q.shares[0].expected(), now.Sub(q.placed)); ratio >= overdueFrom {
			s.add(ratio, q.placed)
		}
	}
	return s
}

// Share is the part of a request that one endpoint processes.
type Share struct {
	Endpoint uint32
	// Predicted is the time to the first event as far as it depends on the endpoint.
	Predicted time.Duration
	// Slowdown is the slowdown in Predicted; zero means 1.
	Slowdown float64
}

// share is a Share without the slowdown of the endpoint.
type share struct {
	endpoint  uint32
	predicted time.Duration
	// overtakenBy is the prefill time of later prompts, which the engine prefills first.
	overtakenBy time.Duration
}

func (s *share) expected() time.Duration { return s.predicted + s.overtakenBy }

// Request is a request that was placed on endpoints with a model. Its methods may be called on a nil value, and from any
// goroutine.
type Request struct {
	tracker *Tracker
	// shares holds the share of the primary endpoint, then those of the helpers.
	shares []share
	// part is the prefill time of each endpoint.
	part   time.Duration
	placed time.Time
	done   bool
}

// Place records a request with the shares of its endpoints, the primary first, and the prefill time of each. Engines prefill the
// parts of prompts with several endpoints before all other prompts. complete is true if this tracker learns of all requests to the
// endpoints: others delay those that it learns of without its knowledge.
func (t *Tracker) Place(shares []Share, part time.Duration, complete bool, now time.Time) *Request {
	if len(shares) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	q := &Request{tracker: t, shares: make([]share, len(shares)), placed: now, part: part}
	for i, s := range shares {
		q.shares[i] = share{endpoint: s.Endpoint, predicted: s.Predicted}
		r := t.records[s.Endpoint]
		if r == nil {
			continue
		}
		t.advance(s.Endpoint, r, now)
		r.partial = !complete
		q.shares[i].predicted = time.Duration(float64(s.Predicted) / max(s.Slowdown, 1))
		for _, other := range r.inFlight {
			q.order(other, s.Endpoint)
		}
		if len(r.inFlight) < maxInFlight {
			r.inFlight = append(r.inFlight, q)
			q.noteOverdue(r, &q.shares[i])
		}
	}
	return q
}

// noteOverdue brings the next judgement of an endpoint forward to the time at which this request is overdue.
func (q *Request) noteOverdue(r *record, s *share) {
	at := q.placed.Add(time.Duration(overdueFrom * float64(max(s.predicted, minPredicted))))
	if len(r.inFlight) == 1 || at.Before(r.overdueAt) {
		r.overdueAt = at
	}
}

// order records which of this request and an earlier one its endpoint prefills first, if that is not in the predictions.
func (q *Request) order(earlier *Request, endpoint uint32) {
	for i := range earlier.shares {
		s := &earlier.shares[i]
		switch {
		case s.endpoint != endpoint:
		case q.placed.Sub(earlier.placed) > s.expected():
			// An endpoint that is as fast as predicted has finished its part.
		case len(q.shares) > 1:
			s.overtakenBy += q.part
		case s.overtakenBy > 0:
			// The earlier request ends later than predicted, so that its part counts less in the backlog than remains of it.
			q.shares[0].overtakenBy += earlier.part
		}
	}
}

// FirstEvent records the time from the sending of the request to its first event. Later calls do nothing.
func (q *Request) FirstEvent(observed time.Duration, now time.Time) {
	if q == nil {
		return
	}
	q.tracker.mu.Lock()
	defer q.tracker.mu.Unlock()
	if !q.done {
		q.leave(now)
		q.tracker.observeGroup(q.shares, q.placed, observed, now)
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
	r := q.tracker.records[q.shares[0].endpoint]
	if r == nil {
		return
	}
	ratio := ratioOf(pass+r.recentPart(now)/2, pause)
	if ratio >= normalBelow && r.prefillsLong(now) {
		return
	}
	// The low quantile stands for two pauses.
	r.samples.add(ratio, now.Add(-pause))
	q.tracker.observe(q.shares[0].endpoint, r, ratio, now)
}

// Failed records that the request has failed at its primary endpoint.
func (q *Request) Failed(now time.Time) {
	if q != nil {
		q.tracker.Failed(q.shares[0].endpoint, now)
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
	for i := range q.shares {
		if r := q.tracker.records[q.shares[i].endpoint]; r != nil {
			r.inFlight = slices.DeleteFunc(r.inFlight, func(other *Request) bool { return other == q })
			r.notePrefill(q.part, now)
		}
	}
}
