// Package load counts the work that instances have placed on endpoints and that has not ended yet.
package load

import (
	"sync"
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
)

// shareLifetime is how long the counts of another instance hold without a newer message.
const shareLifetime = 1500 * time.Millisecond

// minUnreadShare is the part of a prompt's reading time that counts until the first event, however long it takes.
const minUnreadShare = 0.25

// Entry is the work placed on one endpoint.
type Entry struct {
	// Endpoint is the key of the endpoint's incarnation.
	Endpoint uint64
	// Streams counts the requests that have not ended.
	Streams int
	// Context is the number of tokens that these requests hold in the endpoint's memory.
	Context int64
	// Unread is the time that the endpoint still needs to read prompts.
	Unread time.Duration
	// Due is the least time within which the endpoint must have read a prompt for its first event to be on time; zero if
	// nothing bounds it. Parts of prompts that several endpoints read go before all earlier ones, and may delay them until
	// then.
	Due time.Duration
	// Pause is the shortest of the longest pauses that the endpoint's streams may have; zero if none has one.
	Pause time.Duration
	// Suspect is true if the endpoint fails requests.
	Suspect bool
}

func (e *Entry) add(other Entry) {
	e.Streams += other.Streams
	e.Context += other.Context
	e.Unread += other.Unread
	e.Suspect = e.Suspect || other.Suspect
	e.Pause = leastBound(e.Pause, other.Pause)
	e.Due = leastBound(e.Due, other.Due)
}

// leastBound returns the lesser of two bounds, of which zero means none.
func leastBound(a, b time.Duration) time.Duration {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// Work describes a request at the time at which it is placed.
type Work struct {
	First   *fleet.Endpoint
	Helpers []*fleet.Endpoint
	// Held maps helpers to the memory in tokens that they hold for the request.
	Held map[*fleet.Endpoint]int64
	// Tokens is the memory that the request takes at the first endpoint.
	Tokens int64
	// Part is the time that each of the endpoints needs to read its part of the prompt.
	Part time.Duration
	// Predicted is the time to the first event.
	Predicted time.Duration
	// MaxPause is the longest pause between two events; zero if the request has no events.
	MaxPause time.Duration
	// Objective is the time to the first event within which the request is on time, Limit the time after which its answer
	// is worth nothing.
	Objective, Limit time.Duration
}

// Holding is a placed request. Its methods may be called from any goroutine.
type Holding struct {
	book   *Book
	work   Work
	placed time.Time
	read   bool
	ended  bool
}

// share is the last message of another instance.
type share struct {
	entries  []Entry
	received time.Time
}

// Book holds the work of this instance and the last counts of the others.
type Book struct {
	mu       sync.Mutex
	holdings map[*Holding]struct{}
	shares   map[string]share
	changes  uint64
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{holdings: make(map[*Holding]struct{}), shares: make(map[string]share)}
}

// Place adds a request.
func (b *Book) Place(work Work, now time.Time) *Holding {
	h := &Holding{book: b, work: work, placed: now}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holdings[h] = struct{}{}
	b.changes++
	return h
}

// Read states that the whole prompt was read.
func (h *Holding) Read() {
	h.book.mu.Lock()
	defer h.book.mu.Unlock()
	if !h.read {
		h.read = true
		h.book.changes++
	}
}

// End removes the request. Later calls do nothing.
func (h *Holding) End() {
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
func (h *Holding) unread(now time.Time) time.Duration {
	if h.read {
		return 0
	}
	left := h.work.Predicted - now.Sub(h.placed)
	least := time.Duration(minUnreadShare * float64(h.work.Part))
	return min(max(left, least), h.work.Part)
}

// due returns the time within which the prompt must be read: until its objective, or until the end of its time if it is
// late; zero if it was read or nothing bounds it.
func (h *Holding) due(now time.Time) time.Duration {
	if h.read {
		return 0
	}
	elapsed := now.Sub(h.placed)
	if left := h.work.Objective - elapsed; left > 0 {
		return left
	}
	return max(h.work.Limit-elapsed, 0)
}

// Changes returns a number that grows with each change of this instance's work.
func (b *Book) Changes() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changes
}

// Own returns the work of this instance for each endpoint that has some.
func (b *Book) Own(now time.Time) map[uint64]Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.own(now)
}

func (b *Book) own(now time.Time) map[uint64]Entry {
	entries := make(map[uint64]Entry)
	for h := range b.holdings {
		unread, due := h.unread(now), h.due(now)
		addTo(entries, Entry{
			Endpoint: h.work.First.Key(), Streams: 1, Context: h.work.Tokens, Unread: unread, Due: due,
			Pause: h.work.MaxPause,
		})
		for _, helper := range h.work.Helpers {
			if held := h.work.Held[helper]; held > 0 || unread > 0 {
				addTo(entries, Entry{Endpoint: helper.Key(), Unread: unread, Due: due, Context: held})
			}
		}
	}
	return entries
}

func addTo(entries map[uint64]Entry, e Entry) {
	sum := entries[e.Endpoint]
	sum.Endpoint = e.Endpoint
	sum.add(e)
	entries[e.Endpoint] = sum
}

// Merge replaces the counts of another instance.
func (b *Book) Merge(instance string, entries []Entry, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shares[instance] = share{entries: entries, received: now}
}

// Totals returns the work of all instances for each endpoint that has some, and the number of instances heard of.
func (b *Book) Totals(now time.Time) (totals map[uint64]Entry, instances int) {
	return b.Sum(now, func(string) bool { return true })
}

// Sum returns the work of this instance and of those others that are included, and their number.
func (b *Book) Sum(now time.Time, includes func(instance string) bool) (sum map[uint64]Entry, instances int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum = b.own(now)
	for name, s := range b.shares {
		if now.Sub(s.received) > shareLifetime {
			delete(b.shares, name)
			continue
		}
		if !includes(name) {
			continue
		}
		instances++
		for _, e := range s.entries {
			addTo(sum, e)
		}
	}
	return sum, instances
}

// Share returns the last counts of another instance.
func (b *Book) Share(instance string) []Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.shares[instance].entries
}

// Less returns the entry without the counts of another one. Pause, Due and Suspect stay: what set them is not known.
func (e Entry) Less(other Entry) Entry {
	e.Streams = max(e.Streams-other.Streams, 0)
	e.Context = max(e.Context-other.Context, 0)
	e.Unread = max(e.Unread-other.Unread, 0)
	return e
}
