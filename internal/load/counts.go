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
	// UsedTokens is the number of tokens that these requests occupy in the endpoint's KV cache.
	UsedTokens int64
	// PrefillBacklog is the time that the endpoint still needs to prefill prompts.
	PrefillBacklog time.Duration
	// PrefillDueIn is the time until the earliest moment at which a prefill must be done for the first event to be on time;
	// zero if there is no such moment. Parts of prompts that several endpoints prefill precede all earlier prompts, and may
	// delay them until then.
	PrefillDueIn time.Duration
	// MaxGap is the least MaxGap of the endpoint's streams; zero if none has one.
	MaxGap time.Duration
	// Suspect is true if the endpoint fails requests.
	Suspect bool
}

func (e *Entry) add(other Entry) {
	e.Streams += other.Streams
	e.UsedTokens += other.UsedTokens
	e.PrefillBacklog += other.PrefillBacklog
	e.Suspect = e.Suspect || other.Suspect
	e.MaxGap = leastBound(e.MaxGap, other.MaxGap)
	e.PrefillDueIn = leastBound(e.PrefillDueIn, other.PrefillDueIn)
}

// leastBound returns the lesser of two bounds, of which zero means none.
func leastBound(a, b time.Duration) time.Duration {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// Minus returns the entry without the counts of another one. MaxGap, PrefillDueIn and Suspect stay, because it is not known
// which request has set them.
func (e Entry) Minus(other Entry) Entry {
	e.Streams = max(e.Streams-other.Streams, 0)
	e.UsedTokens = max(e.UsedTokens-other.UsedTokens, 0)
	e.PrefillBacklog = max(e.PrefillBacklog-other.PrefillBacklog, 0)
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

// Minus returns the counts without those of another one.
func (c Counts) Minus(other Counts) Counts {
	rest := newCounts()
	rest.add(c)
	for endpoint, e := range other.Entries {
		if own, ok := rest.Entries[endpoint]; ok {
			rest.Entries[endpoint] = own.Minus(e)
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
