package load

import (
	"math"
	"time"
)

// Entry is the work placed on one endpoint.
type Entry struct {
	// Endpoint is the key of the endpoint's incarnation.
	Endpoint uint32
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

// Less returns the entry without the counts of another one. Pause, Due and Suspect stay: what set them is not known.
func (e Entry) Less(other Entry) Entry {
	e.Streams = max(e.Streams-other.Streams, 0)
	e.Context = max(e.Context-other.Context, 0)
	e.Unread = max(e.Unread-other.Unread, 0)
	return e
}

// Counts is the work of one or more instances. It must not be changed once it was handed on.
type Counts struct {
	// Entries holds the work on each endpoint that has some, by the key of the endpoint's incarnation.
	Entries map[uint32]Entry
	// Demand holds the short prompts that arrive in a second, by the key of their service.
	Demand map[uint32]float64
}

func newCounts() Counts {
	return Counts{Entries: make(map[uint32]Entry), Demand: make(map[uint32]float64)}
}

func (c *Counts) add(other Counts) {
	for _, e := range other.Entries {
		addTo(c.Entries, e)
	}
	for service, perSecond := range other.Demand {
		c.Demand[service] += perSecond
	}
}

// Less returns the counts without those of another one.
func (c Counts) Less(other Counts) Counts {
	rest := newCounts()
	rest.add(c)
	for endpoint, e := range other.Entries {
		if own, ok := rest.Entries[endpoint]; ok {
			rest.Entries[endpoint] = own.Less(e)
		}
	}
	for service, perSecond := range other.Demand {
		rest.Demand[service] = max(rest.Demand[service]-perSecond, 0)
	}
	return rest
}

// demandTime is the time over which arrivals are averaged.
const demandTime = time.Second

// rate is a number of events in a second whose weight falls off exponentially with their age.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) count(now time.Time) {
	r.value = r.perSecond(now) + 1/demandTime.Seconds()
	r.at = now
}

func (r *rate) perSecond(now time.Time) float64 {
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/demandTime.Seconds())
}
