// Package health judges endpoints by the outcomes of the requests sent to them.
package health

import (
	"sync"
	"time"
)

const (
	// firstRest is how long an endpoint is avoided after it was found to fail; it doubles up to maxRest while it goes on.
	firstRest = time.Second
	maxRest   = 8 * time.Second
	// historyWeight is the weight of the latest outcome in the share of failures.
	historyWeight = 0.3
	// maxFailureShare is the share of failures from which an endpoint is avoided.
	maxFailureShare = 0.45
	// memory is how long the record of an endpoint is kept after its last outcome.
	memory = 60 * time.Second
)

type record struct {
	failures  float64
	rest      time.Duration
	restUntil time.Time
	last      time.Time
}

// Tracker keeps a record of each endpoint. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	records map[uint32]*record
	// rests holds the times until which endpoints have asked for no requests.
	rests map[uint32]time.Time
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{records: make(map[uint32]*record), rests: make(map[uint32]time.Time)}
}

// BackOff records that an endpoint wants no requests until a time. An earlier time does not shorten a later one.
func (t *Tracker) BackOff(endpoint uint32, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if until.After(t.rests[endpoint]) {
		t.rests[endpoint] = until
	}
}

// BackOffLeft returns how long an endpoint still wants no requests; zero if it accepts them.
func (t *Tracker) BackOffLeft(endpoint uint32, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	until, rests := t.rests[endpoint]
	if rests && !now.Before(until) {
		delete(t.rests, endpoint)
	}
	return max(until.Sub(now), 0)
}

// Success records an answered request.
func (t *Tracker) Success(endpoint uint32, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(endpoint, now)
	r.failures *= 1 - historyWeight
	if r.failures < maxFailureShare/2 && now.After(r.restUntil) {
		r.rest = 0
	}
}

// Failure records a failed request and reports whether the endpoint is avoided from now on.
func (t *Tracker) Failure(endpoint uint32, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(endpoint, now)
	r.failures += historyWeight * (1 - r.failures)
	if r.failures < maxFailureShare {
		return false
	}
	return r.avoid(now)
}

// Unreachable records that no connection to the endpoint could be opened, and reports whether it is avoided from now on.
func (t *Tracker) Unreachable(endpoint uint32, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(endpoint, now)
	r.failures = max(r.failures, maxFailureShare)
	return r.avoid(now)
}

func (r *record) avoid(now time.Time) bool {
	if now.Before(r.restUntil) {
		return false
	}
	r.rest = min(max(2*r.rest, firstRest), maxRest)
	r.restUntil = now.Add(r.rest)
	return true
}

func (t *Tracker) record(endpoint uint32, now time.Time) *record {
	r := t.records[endpoint]
	if r == nil {
		r = &record{}
		t.records[endpoint] = r
	}
	r.last = now
	return r
}

// IsSuspect reports whether the endpoint is avoided because of failures.
func (t *Tracker) IsSuspect(endpoint uint32, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[endpoint]
	return r != nil && now.Before(r.restUntil)
}

// Suspects returns the endpoints that are avoided. It also deletes old records and back-offs that have expired.
func (t *Tracker) Suspects(now time.Time) []uint32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	for endpoint, until := range t.rests {
		if !now.Before(until) {
			delete(t.rests, endpoint)
		}
	}
	var suspected []uint32
	for endpoint, r := range t.records {
		if now.Before(r.restUntil) {
			suspected = append(suspected, endpoint)
		}
		if now.Sub(r.last) > memory {
			delete(t.records, endpoint)
		}
	}
	return suspected
}
