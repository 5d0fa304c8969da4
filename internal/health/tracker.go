// Package health tracks which endpoints fail, by the outcomes of the requests sent to them, and which endpoints have
// requested a back-off.
package health

import (
	"sync"
	"time"
)

const (
	// minSuspectTime is how long an endpoint is suspect after its failure rate reached maxFailureRate. The time doubles, up
	// to maxSuspectTime, whenever the endpoint becomes suspect again before its failure rate has fallen below half of
	// maxFailureRate.
	minSuspectTime = time.Second
	maxSuspectTime = 8 * time.Second
	// outcomeWeight is the weight of the latest outcome in the moving average of the failure rate.
	outcomeWeight = 0.3
	// maxFailureRate is the failure rate from which an endpoint is suspect.
	maxFailureRate = 0.45
	// recordLifetime is how long the record of an endpoint is kept after its last outcome.
	recordLifetime = 60 * time.Second
)

type record struct {
	failureRate  float64
	suspectTime  time.Duration
	suspectUntil time.Time
	lastOutcome  time.Time
	// refusedAt is the time at which the endpoint last refused a connection.
	refusedAt time.Time
	// silentAt is the time at which the endpoint was last found silent.
	silentAt time.Time
}

// Tracker keeps a record of each endpoint. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	records map[uint32]*record
	// backOffs maps endpoints to the end of the back-off that they have requested.
	backOffs map[uint32]time.Time
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{records: make(map[uint32]*record), backOffs: make(map[uint32]time.Time)}
}

// BackOff records that an endpoint has requested a back-off until a time. It does not shorten an earlier back-off.
func (t *Tracker) BackOff(endpoint uint32, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if until.After(t.backOffs[endpoint]) {
		t.backOffs[endpoint] = until
	}
}

// BackOffLeft returns the remaining time of an endpoint's back-off; zero if it accepts requests.
func (t *Tracker) BackOffLeft(endpoint uint32, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	until, found := t.backOffs[endpoint]
	if found && !now.Before(until) {
		delete(t.backOffs, endpoint)
	}
	return max(until.Sub(now), 0)
}

// Success records a request that the endpoint served.
func (t *Tracker) Success(endpoint uint32, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(endpoint, now)
	r.failureRate *= 1 - outcomeWeight
	if r.failureRate < maxFailureRate/2 && now.After(r.suspectUntil) {
		r.suspectTime = 0
	}
}

// Failure records a failed request. It returns true if the endpoint becomes suspect now.
func (t *Tracker) Failure(endpoint uint32, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(endpoint, now)
	r.failureRate += outcomeWeight * (1 - r.failureRate)
	if r.failureRate < maxFailureRate {
		return false
	}
	return r.suspect(now)
}

// Unreachable records that the endpoint did not get a request, because no connection could be opened or another endpoint
// runs at its address, or that a refusal names the endpoint as faulty. It returns true if the endpoint becomes suspect now.
func (t *Tracker) Unreachable(endpoint uint32, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(endpoint, now)
	r.failureRate = max(r.failureRate, maxFailureRate)
	return r.suspect(now)
}

func (r *record) suspect(now time.Time) bool {
	if now.Before(r.suspectUntil) {
		return false
	}
	r.suspectTime = min(max(2*r.suspectTime, minSuspectTime), maxSuspectTime)
	r.suspectUntil = now.Add(r.suspectTime)
	return true
}

func (t *Tracker) record(endpoint uint32, now time.Time) *record {
	r := t.records[endpoint]
	if r == nil {
		r = &record{}
		t.records[endpoint] = r
	}
	r.lastOutcome = now
	return r
}

// IsSuspect reports whether the endpoint is suspect because of failures.
func (t *Tracker) IsSuspect(endpoint uint32, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[endpoint]
	return r != nil && now.Before(r.suspectUntil)
}

// Suspects returns the endpoints that are suspect. It also deletes old records and back-offs that have expired.
func (t *Tracker) Suspects(now time.Time) []uint32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	for endpoint, until := range t.backOffs {
		if !now.Before(until) {
			delete(t.backOffs, endpoint)
		}
	}
	var suspects []uint32
	for endpoint, r := range t.records {
		if now.Before(r.suspectUntil) {
			suspects = append(suspects, endpoint)
		}
		if now.Sub(r.lastOutcome) > recordLifetime {
			delete(t.records, endpoint)
		}
	}
	return suspects
}
