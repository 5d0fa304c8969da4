// Package load counts the work that instances have placed on endpoints and that has not ended yet.
package load

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
)

// shareLifetime is how long the counts of another instance hold without a newer message.
const shareLifetime = 1500 * time.Millisecond

// minUnreadShare is the part of a prompt's reading time that counts until the first event, however long it takes.
const minUnreadShare = 0.25

// Work describes a request at the time at which it is placed.
type Work struct {
	Primary *fleet.Endpoint
	Helpers []*fleet.Endpoint
	// Reserved maps helpers to the tokens that are reserved for the request in their KV cache.
	Reserved map[*fleet.Endpoint]int64
	// Tokens is the memory that the request takes at the primary endpoint.
	Tokens int64
	// Part is the time that each of the endpoints needs to read its part of the prompt.
	Part time.Duration
	// Predicted is the time to the first event.
	Predicted time.Duration
	// MaxGap is the longest time between two events; zero if the request has no events.
	MaxGap time.Duration
	// Objective is the time to the first event within which the request is on time, Limit the time after which its answer
	// is useless.
	Objective, Limit time.Duration
}

// Number identifies a placed request among those of this instance. It differs from those of earlier runs of the process.
type Number uint64

// Request is a placed request that is tracked. Its methods may be called from any goroutine.
type Request struct {
	book   *Tracker
	number Number
	work   Work
	placed time.Time
	read   bool
	ended  bool
}

// share is the last message of another instance.
type share struct {
	counts   Counts
	received time.Time
}

// Tracker tracks the in-flight requests of this instance and the last counts of its peers.
type Tracker struct {
	mu       sync.Mutex
	holdings map[*Request]struct{}
	shares   map[string]share
	demand   map[uint32]*rate
	changes  uint64
	numbers  Number
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{
		holdings: make(map[*Request]struct{}), shares: make(map[string]share), demand: make(map[uint32]*rate),
		numbers: Number(rand.Uint64()),
	}
}

// NextNumber returns the number of the next request to place.
func (b *Tracker) NextNumber() Number {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.numbers++
	return b.numbers
}

// Add adds a request that was placed at a time.
func (b *Tracker) Add(work Work, placed time.Time) *Request { return b.AddNumbered(0, work, placed) }

// AddNumbered is Add for a request with a number.
func (b *Tracker) AddNumbered(number Number, work Work, placed time.Time) *Request {
	h := &Request{book: b, number: number, work: work, placed: placed}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holdings[h] = struct{}{}
	b.changes++
	return h
}

// PrefillDone marks the prefill of the whole prompt as done. It returns true on the first call.
func (h *Request) PrefillDone() bool {
	h.book.mu.Lock()
	defer h.book.mu.Unlock()
	if h.read {
		return false
	}
	h.read = true
	h.book.changes++
	return true
}

// End removes the request. Later calls do nothing.
func (h *Request) End() {
	h.book.mu.Lock()
	defer h.book.mu.Unlock()
	if h.ended {
		return
	}
	h.ended = true
	delete(h.book.holdings, h)
	h.book.changes++
}

// unread returns the time that each endpoint of the request still needs for its part. Parts are read in turn, so that a
// part counts in full until its own turn, which ends at the predicted time.
func (h *Request) unread(now time.Time) time.Duration {
	if h.read {
		return 0
	}
	left := h.work.Predicted - now.Sub(h.placed)
	least := time.Duration(minUnreadShare * float64(h.work.Part))
	return min(max(left, least), h.work.Part)
}

// due returns the time within which the prompt must be read: until its objective, or until the end of its time if it is
// late; zero if it was read or nothing bounds it.
func (h *Request) due(now time.Time) time.Duration {
	if h.read {
		return 0
	}
	elapsed := now.Sub(h.placed)
	if left := h.work.Objective - elapsed; left > 0 {
		return left
	}
	return max(h.work.Limit-elapsed, 0)
}

// RequestState is the state of a request that has not ended.
type RequestState struct {
	Number Number
	Work   Work
	// Elapsed is the time since it was placed.
	Elapsed time.Duration
	// PrefillDone is true once the prefill of the whole prompt is done.
	PrefillDone bool
}

// Requests returns the requests of this instance that have a number.
func (b *Tracker) Requests(now time.Time) []RequestState {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []RequestState
	for h := range b.holdings {
		if h.number != 0 {
			all = append(all, RequestState{Number: h.number, Work: h.work, Elapsed: now.Sub(h.placed), PrefillDone: h.read})
		}
	}
	return all
}

// Changes returns a number that grows with each change of this instance's work.
func (b *Tracker) Changes() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changes
}

// CountArrival counts a short prompt for a service, before the first attempt to place it.
func (b *Tracker) CountArrival(service uint32, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.demand[service]
	if r == nil {
		r = &rate{}
		b.demand[service] = r
	}
	r.count(now)
}

// Local returns the counts of this instance.
func (b *Tracker) Local(now time.Time) Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.own(now)
}

func (b *Tracker) own(now time.Time) Counts {
	counts := newCounts()
	for service, r := range b.demand {
		counts.Demand[service] = r.perSecond(now)
	}
	entries := counts.Entries
	for h := range b.holdings {
		unread, due := h.unread(now), h.due(now)
		addTo(entries, Entry{
			Endpoint: h.work.Primary.Key(), Streams: 1, UsedTokens: h.work.Tokens, PrefillBacklog: unread, PrefillDueIn: due,
			MaxGap: h.work.MaxGap,
		})
		for _, helper := range h.work.Helpers {
			if held := h.work.Reserved[helper]; held > 0 || unread > 0 {
				addTo(entries, Entry{Endpoint: helper.Key(), PrefillBacklog: unread, PrefillDueIn: due, UsedTokens: held})
			}
		}
	}
	return counts
}

func addTo(entries map[uint32]Entry, e Entry) {
	sum := entries[e.Endpoint]
	sum.Endpoint = e.Endpoint
	sum.add(e)
	entries[e.Endpoint] = sum
}

// SetPeerCounts replaces the counts of a peer instance.
func (b *Tracker) SetPeerCounts(instance string, counts Counts, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shares[instance] = share{counts: counts, received: now}
}

// Totals returns the work of all instances and the number of the others that were heard of.
func (b *Tracker) Totals(now time.Time) (totals Counts, instances int) {
	return b.Sum(now, func(string) bool { return true })
}

// Sum returns the work of this instance and of those others that are included, and their number.
func (b *Tracker) Sum(now time.Time, includes func(instance string) bool) (sum Counts, instances int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum = b.own(now)
	for name, s := range b.shares {
		if now.Sub(s.received) > shareLifetime {
			delete(b.shares, name)
			continue
		}
		if includes(name) {
			instances++
			sum.add(s.counts)
		}
	}
	return sum, instances
}

// PeerDemand returns the short prompts for a service that arrive at the other instances in a second.
func (b *Tracker) PeerDemand(service uint32, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	var perSecond float64
	for _, s := range b.shares {
		if now.Sub(s.received) <= shareLifetime {
			perSecond += s.counts.Demand[service]
		}
	}
	return perSecond
}

// PeerCounts returns the last counts of a peer instance.
func (b *Tracker) PeerCounts(instance string) Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.shares[instance].counts
}
