// Package load counts the work that instances have placed on endpoints and that has not ended yet.
package load

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
)

// peerCountsLifetime is how long the counts of a peer instance are used without a newer message.
const peerCountsLifetime = 1500 * time.Millisecond

// minBacklogFraction is the least fraction of a part's prefill time that is counted until the first event, even if that
// event is later than predicted.
const minBacklogFraction = 0.25

// Work describes a request as it is placed.
type Work struct {
	Primary *fleet.Endpoint
	Helpers []*fleet.Endpoint
	// Reserved maps helpers to the tokens that are reserved for the request in their KV cache.
	Reserved map[*fleet.Endpoint]int64
	// Tokens is the KV memory that the request uses at the primary endpoint.
	Tokens int64
	// Part is the time that each of the endpoints needs to prefill its part of the prompt.
	Part time.Duration
	// Predicted is the time to the first event.
	Predicted time.Duration
	// MaxGap is the target for the time between two events of the stream; zero if the request has no events.
	MaxGap time.Duration
	// Objective is the time to the first event within which the request is on time. After Limit its response is useless.
	Objective, Limit time.Duration
}

// Number identifies a placed request of this instance. Numbers start at a random value, so that they differ from those of
// an earlier process of the instance.
type Number uint64

// Request is an in-flight request that is tracked. Its methods may be called from any goroutine.
type Request struct {
	tracker     *Tracker
	number      Number
	work        Work
	placed      time.Time
	prefillDone bool
	ended       bool
}

// peerCounts is the last message of a peer instance.
type peerCounts struct {
	counts   Counts
	received time.Time
}

// Tracker tracks the in-flight requests of this instance and the last counts of its peers.
type Tracker struct {
	mu         sync.Mutex
	requests   map[*Request]struct{}
	peers      map[string]peerCounts
	demand     map[uint32]*rate
	changes    uint64
	lastNumber Number
	// prefillUntil maps an endpoint to the time when it is expected to have prefilled the parts of all its requests.
	prefillUntil map[uint32]time.Time
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{
		requests: make(map[*Request]struct{}), peers: make(map[string]peerCounts), demand: make(map[uint32]*rate),
		lastNumber: Number(rand.Uint64()), prefillUntil: make(map[uint32]time.Time),
	}
}

// NextNumber returns the number of the next request to place.
func (t *Tracker) NextNumber() Number {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastNumber++
	return t.lastNumber
}

// Add tracks a request that was placed at the given time.
func (t *Tracker) Add(work Work, placed time.Time) *Request { return t.AddNumbered(0, work, placed) }

// AddNumbered is Add for a request with a number.
func (t *Tracker) AddNumbered(number Number, work Work, placed time.Time) *Request {
	r := &Request{tracker: t, number: number, work: work, placed: placed}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests[r] = struct{}{}
	t.changes++
	t.addPrefill(work.Primary, work.Part, placed)
	for _, helper := range work.Helpers {
		t.addPrefill(helper, work.Part, placed)
	}
	return r
}

const (
	// decodingFactor is the factor on the prefill time of a part at an endpoint that also decodes.
	decodingFactor = 1.2
	// maxPrefillLeft bounds the prefill that an endpoint can owe, so that a wrong length of a part does not last.
	maxPrefillLeft = time.Minute
)

// addPrefill counts a part at one of the endpoints that prefill it.
func (t *Tracker) addPrefill(e *fleet.Endpoint, part time.Duration, placed time.Time) {
	until := t.prefillUntil[e.Key()]
	if until.Before(placed) {
		until = placed
	}
	left := until.Sub(placed) + time.Duration(decodingFactor*float64(part))
	t.prefillUntil[e.Key()] = placed.Add(min(left, maxPrefillLeft))
}

// setPrefillLeft sets PrefillLeft of the entries, which have all other counts.
func (t *Tracker) setPrefillLeft(entries map[uint32]Entry, now time.Time) {
	for key, until := range t.prefillUntil {
		if !until.After(now) {
			delete(t.prefillUntil, key)
			continue
		}
		if e, ok := entries[key]; ok {
			e.PrefillLeft = min(until.Sub(now), e.PrefillBacklog)
			entries[key] = e
		}
	}
}

// PrefillDone marks the prefill of the whole prompt as done. It returns true on the first call.
func (r *Request) PrefillDone() bool {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	if r.prefillDone {
		return false
	}
	r.prefillDone = true
	r.tracker.changes++
	return true
}

// End removes the request. Later calls do nothing.
func (r *Request) End() {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	delete(r.tracker.requests, r)
	r.tracker.changes++
}

// prefillBacklog returns the time that each endpoint of the request still needs for its part. An endpoint prefills queued
// parts one after the other, and the prefill of this part ends at the predicted time. Until it starts, the part is counted
// in full.
func (r *Request) prefillBacklog(now time.Time) time.Duration {
	if r.prefillDone {
		return 0
	}
	remaining := r.work.Predicted - now.Sub(r.placed)
	least := time.Duration(minBacklogFraction * float64(r.work.Part))
	return min(max(remaining, least), r.work.Part)
}

// prefillDueIn returns the time left until the prefill must be done: until the objective, or until the limit if the prompt
// is late already. It returns zero if the prefill is done or has no deadline.
func (r *Request) prefillDueIn(now time.Time) time.Duration {
	if r.prefillDone {
		return 0
	}
	elapsed := now.Sub(r.placed)
	if remaining := r.work.Objective - elapsed; remaining > 0 {
		return remaining
	}
	return max(r.work.Limit-elapsed, 0)
}

// RequestState is the state of an in-flight request.
type RequestState struct {
	Number Number
	Work   Work
	// Elapsed is the time since the request was placed.
	Elapsed time.Duration
	// PrefillDone is true once the prefill of the whole prompt is done.
	PrefillDone bool
}

// Requests returns the in-flight requests of this instance that have a number.
func (t *Tracker) Requests(now time.Time) []RequestState {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []RequestState
	for r := range t.requests {
		if r.number != 0 {
			all = append(all, RequestState{Number: r.number, Work: r.work, Elapsed: now.Sub(r.placed), PrefillDone: r.prefillDone})
		}
	}
	return all
}

// Changes returns a number that increases with each change of this instance's work.
func (t *Tracker) Changes() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changes
}

// CountArrival counts a short prompt for a service, before the first attempt to place it.
func (t *Tracker) CountArrival(service uint32, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.demand[service]
	if r == nil {
		r = &rate{}
		t.demand[service] = r
	}
	r.count(now)
}

// Local returns the counts of this instance.
func (t *Tracker) Local(now time.Time) Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.local(now)
}

func (t *Tracker) local(now time.Time) Counts {
	counts := newCounts()
	for service, r := range t.demand {
		counts.Demand[service] = r.perSecond(now)
	}
	entries := counts.Entries
	for r := range t.requests {
		backlog, dueIn := r.prefillBacklog(now), r.prefillDueIn(now)
		addEntry(entries, Entry{
			Endpoint: r.work.Primary.Key(), Streams: 1, UsedTokens: r.work.Tokens, PrefillBacklog: backlog, PrefillDueIn: dueIn,
			MaxGap: r.work.MaxGap,
		})
		for _, helper := range r.work.Helpers {
			if reserved := r.work.Reserved[helper]; reserved > 0 || backlog > 0 {
				addEntry(entries, Entry{Endpoint: helper.Key(), PrefillBacklog: backlog, PrefillDueIn: dueIn, UsedTokens: reserved})
			}
		}
	}
	t.setPrefillLeft(entries, now)
	return counts
}

func addEntry(entries map[uint32]Entry, e Entry) {
	sum := entries[e.Endpoint]
	sum.Endpoint = e.Endpoint
	sum.add(e)
	entries[e.Endpoint] = sum
}

// SetPeerCounts replaces the counts of a peer instance.
func (t *Tracker) SetPeerCounts(instance string, counts Counts, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers[instance] = peerCounts{counts: counts, received: now}
}

// Totals returns the work of this instance and of the peers whose counts arrived in the last peerCountsLifetime, and the
// number of these peers.
func (t *Tracker) Totals(now time.Time) (totals Counts, peers int) {
	return t.Sum(now, func(string) bool { return true })
}

// Sum is Totals for the peers for which includes returns true.
func (t *Tracker) Sum(now time.Time, includes func(instance string) bool) (sum Counts, peers int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum = t.local(now)
	for name, p := range t.peers {
		if now.Sub(p.received) > peerCountsLifetime {
			delete(t.peers, name)
			continue
		}
		if includes(name) {
			peers++
			sum.add(p.counts)
		}
	}
	return sum, peers
}

// PeerDemand returns the short prompts per second that arrive for a service at peer instances.
func (t *Tracker) PeerDemand(service uint32, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var perSecond float64
	for _, p := range t.peers {
		if now.Sub(p.received) <= peerCountsLifetime {
			perSecond += p.counts.Demand[service]
		}
	}
	return perSecond
}

// PeerCounts returns the last counts of a peer instance.
func (t *Tracker) PeerCounts(instance string) Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers[instance].counts
}
