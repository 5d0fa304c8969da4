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
	// PrefillLeft is an estimate of PrefillBacklog without the parts that are probably done, although the prefill of their
	// prompts is not, because another endpoint is slower. It is known only where all requests are placed.
	PrefillLeft time.Duration
	// PrefillDueIn is the time until the earliest prefill must be done for its first event to be on time; zero if no
	// prefill has a deadline. Parts of prompts that several endpoints prefill precede all earlier prompts, and may delay
	// these prompts up to that time.
	PrefillDueIn time.Duration
	// MaxGap is the smallest MaxGap of the endpoint's streams; zero if no stream has one.
	MaxGap time.Duration
	// Suspect is true if requests to the endpoint fail.
	Suspect bool
}

func (e *Entry) add(other Entry) {
	e.Streams += other.Streams
	e.UsedTokens += other.UsedTokens
	e.PrefillBacklog += other.PrefillBacklog
	e.PrefillLeft += other.PrefillLeft
	e.Suspect = e.Suspect || other.Suspect
	e.MaxGap = leastBound(e.MaxGap, other.MaxGap)
	e.PrefillDueIn = leastBound(e.PrefillDueIn, other.PrefillDueIn)
}

// leastBound returns the smaller of two bounds. A bound of zero means that there is no bound.
func leastBound(a, b time.Duration) time.Duration {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// Minus returns the entry without the counts of another entry. MaxGap, PrefillDueIn and Suspect are not changed, because
// it is not known which request has set them.
func (e Entry) Minus(other Entry) Entry {
	e.Streams = max(e.Streams-other.Streams, 0)
	e.UsedTokens = max(e.UsedTokens-other.UsedTokens, 0)
	e.PrefillBacklog = max(e.PrefillBacklog-other.PrefillBacklog, 0)
	return e
}

// Counts is the work of one or more instances. It must not be changed once another goroutine may read it.
type Counts struct {
	// Entries maps the key of an endpoint's incarnation to the work on the endpoint. Endpoints without work are missing.
	Entries map[uint32]Entry
	// Demand maps the key of a service to its short prompts that arrive per second.
	Demand map[uint32]float64
}

func newCounts() Counts {
	return Counts{Entries: make(map[uint32]Entry), Demand: make(map[uint32]float64)}
}

func (c *Counts) add(other Counts) {
	for _, e := range other.Entries {
		addEntry(c.Entries, e)
	}
	for service, perSecond := range other.Demand {
		c.Demand[service] += perSecond
	}
}

// Minus returns the counts without the other counts.
func (c Counts) Minus(other Counts) Counts {
	difference := newCounts()
	difference.add(c)
	for endpoint, e := range other.Entries {
		if entry, ok := difference.Entries[endpoint]; ok {
			difference.Entries[endpoint] = entry.Minus(e)
		}
	}
	for service, perSecond := range other.Demand {
		difference.Demand[service] = max(difference.Demand[service]-perSecond, 0)
	}
	return difference
}

// demandTime is the time constant with which arrivals are averaged.
const demandTime = time.Second

// rate is a number of events per second. The weight of an event decreases exponentially with its age.
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
