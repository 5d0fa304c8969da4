// Package returntimes assigns the times at which refused callers are to return. Its schedules count those who are told a time
// as coming, so that returns fit into the capacity that is expected. It does no I/O and reads no clock.
package returntimes

import (
	"cmp"
	"math"
	"sync"
	"time"
)

const (
	// bucketWidth is the length of a bucket of the schedule.
	bucketWidth = 100 * time.Millisecond
	// bucketCount is the number of buckets that are kept, and pastBuckets how many of them are past. Past ones are kept until it
	// is known whether their callers have returned.
	bucketCount = 128
	pastBuckets = 16
	// maxPlaces bounds the callers that are recognised when they return. Further ones are told a time and counted in its
	// bucket only.
	maxPlaces = 4096
	// returnShare is the fraction of the turnover that returning callers may use before newcomers of their rank.
	returnShare = 0.25
	// minShare is the least room in a bucket that is given away, as a fraction of the request's cost. It excludes remainders that
	// come from rounding.
	minShare = 1e-6
)

// Horizon is the longest delay that a schedule plans.
const Horizon = (bucketCount - pastBuckets - 1) * bucketWidth

// Class is a class of work with capacity of its own.
type Class uint8

// The classes. The capacity for short prompts is slots, the one for long prompts engine time.
const (
	Short Class = iota
	Long
	classCount
)

// Work is what a request needs of the capacity of its class.
type Work struct {
	Class Class
	// EngineTime is the prefill time of a long prompt, summed over its endpoints. Each short prompt needs one slot.
	EngineTime time.Duration
}

// cost returns the need in the unit of the class: slots, or seconds of engine time.
func (w Work) cost() float64 {
	if w.Class == Short {
		return 1
	}
	return max(w.EngineTime.Seconds(), 0)
}

// Caller is the caller of a refused request.
type Caller struct {
	// Prompt is the hash of the caller's own part of the prompt, by which it is recognised; zero if there is none.
	Prompt uint64
	// Rank is the rank of the request; 0 is the highest.
	Rank int
	// First is the time of the request's first arrival.
	First time.Time
}

// Compare orders callers that are refused together, so that the first one gets the earlier of two free times: by rank, then by the
// first arrival. Prompts make the order unique.
func Compare(a, b Caller) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), a.First.Compare(b.First), cmp.Compare(a.Prompt, b.Prompt))
}

// Return is a refused request.
type Return struct {
	Caller
	Work Work
	// Earliest is the earliest useful delay, the refusal's own estimate. Latest is the longest one that the caller follows; zero
	// if it is not known.
	Earliest, Latest time.Duration
	// Final is true if the caller does not return after this refusal. It is told a time, but not counted as coming. This holds as
	// well for a caller that has returned at the time that it was told, because callers retry once.
	Final bool
}

// Observer is informed of what became of the times told. Its methods are called with the schedule's lock held.
type Observer interface {
	// ReturnError records the first moment with capacity less the time told.
	ReturnError(d time.Duration)
	// Returned counts a caller that came back, in time or late, and again if it was refused again.
	Returned(late, refusedAgain bool)
	// NotReturned counts a caller that did not come back.
	NotReturned()
}

// Options configures a Schedule.
type Options struct {
	// Random returns a number in [0, 1).
	Random func() float64
	// Observer may be nil.
	Observer Observer
}

// bucket is a part of the schedule.
type bucket struct {
	// load is the cost of the callers that are expected, by class.
	load [classCount]float64
	// first is the index of the first place, and -1 if there is none.
	first int16
}

// Schedule holds the return times of a shard. It is safe for concurrent use.
type Schedule struct {
	mu      sync.Mutex
	options Options
	epoch   time.Time
	// current is the number of the bucket that includes the latest time seen.
	current int64
	buckets [bucketCount]bucket
	places  placePool
	ended   [classCount]rate
	arrived [classCount]rate
	// preceded is the capacity that returning callers have used before newcomers.
	preceded [classCount]rate
	shortage [classCount]shortage
}

// New returns an empty schedule.
func New(options Options) *Schedule {
	s := &Schedule{options: options}
	for i := range s.buckets {
		s.buckets[i].first = noPlace
	}
	s.places.free = noPlace
	return s
}

// Assign returns the delay after which a refused caller is to return, and counts the caller as coming. The delay is at least
// Earliest. If it is also at most Latest, it is the end of the time in which the request's cost becomes available. If not
// enough capacity is expected by then, it is the time with the most room in the range. A caller that would not follow any
// useful delay is told the earliest one and not counted. A refused newcomer also counts as an arrival.
func (s *Schedule) Assign(r Return, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.assign(&r, s.advance(now))
}

func (s *Schedule) assign(r *Return, now time.Duration) time.Duration {
	previous := s.release(r.Prompt)
	final := previous == hasReturned || r.Final
	if previous == hasNoPlace && !final {
		s.arrived[r.Work.Class].add(r.Work.cost(), now)
	}
	earliest := min(max(r.Earliest, 0), Horizon)
	latest := r.Latest
	if latest == 0 {
		latest = Horizon
	}
	latest = min(latest, Horizon)
	if r.Earliest > latest {
		return max(r.Earliest, 0)
	}
	first, last := bucketOf(now+earliest), bucketOf(now+latest)
	at, span := s.findRoom(r.Work, first, last)
	told := s.timeWithin(at, now+earliest, now+latest)
	if !final {
		s.fill(r.Work, at, span)
		s.addPlace(r, at, span, told, now)
	}
	return told - now
}

// findRoom returns the bucket in which the cost of a request has become available, and the number of buckets in which it does.
// If that is after the last bucket, it returns the bucket with the most room and a span of zero.
func (s *Schedule) findRoom(w Work, first, last int64) (at, span int64) {
	capacity, cost := s.capacity(w.Class), w.cost()
	missing, start := cost, int64(-1)
	best, bestLoad, ties := first, math.Inf(1), 0.0
	for b := first; b <= last; b++ {
		load := s.bucket(b).load[w.Class]
		switch {
		case load < bestLoad-minShare*cost:
			best, bestLoad, ties = b, load, 1
		case load <= bestLoad+minShare*cost:
			// Each of the equal buckets is chosen with the same probability: without capacity the first one is no better.
			if ties++; s.options.Random()*ties < 1 {
				best = b
			}
		}
		room := capacity - load
		if room <= minShare*cost {
			continue
		}
		if start < 0 {
			start = b
		}
		if missing -= room; missing <= minShare*cost {
			return b, b - start + 1
		}
	}
	return best, 0
}

// fill adds the cost of a request to the buckets in which it becomes available. With a span of zero it adds all to one bucket.
func (s *Schedule) fill(w Work, at, span int64) {
	if span == 0 {
		s.bucket(at).load[w.Class] += w.cost()
		return
	}
	capacity, missing := s.capacity(w.Class), w.cost()
	for b := at - span + 1; b <= at; b++ {
		load := &s.bucket(b).load[w.Class]
		room := min(max(capacity-*load, 0), missing)
		*load += room
		missing -= room
	}
}

// timeWithin returns a random time of a bucket within the bounds.
func (s *Schedule) timeWithin(b int64, least, most time.Duration) time.Duration {
	start := time.Duration(b) * bucketWidth
	from, to := max(start, least), min(start+bucketWidth, most)
	return from + time.Duration(s.options.Random()*float64(max(to-from, 0)))
}

// capacity returns what becomes available for returning callers in a bucket: what ends less what arrives, but at least the part
// of the turnover that they may use before newcomers.
func (s *Schedule) capacity(class Class) float64 {
	at := time.Duration(s.current) * bucketWidth
	ended := s.ended[class].perSecond(at)
	return max(ended-s.arrived[class].perSecond(at), returnShare*ended) * bucketWidth.Seconds()
}

func bucketOf(at time.Duration) int64 { return int64(at / bucketWidth) }

func (s *Schedule) bucket(number int64) *bucket { return &s.buckets[number%bucketCount] }

// advance moves the schedule to a time, and returns the time since the epoch. A time before the latest one counts as that one's
// bucket.
func (s *Schedule) advance(now time.Time) time.Duration {
	if s.epoch.IsZero() {
		// The epoch is before the first time, so that numbers of past buckets are not negative.
		s.epoch = now.Add(-pastBuckets * bucketWidth)
		s.current = pastBuckets
	}
	at := max(now.Sub(s.epoch), time.Duration(s.current)*bucketWidth)
	to := bucketOf(at)
	for b := max(s.current+1, to-bucketCount); b <= to; b++ {
		// The bucket that becomes the last one of the future has the position of the oldest past one.
		s.expire(s.bucket(b + bucketCount - pastBuckets - 1))
	}
	if to > s.current {
		s.current = to
		s.closeIntervals(time.Duration(to) * bucketWidth)
	}
	return at
}
