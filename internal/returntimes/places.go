package returntimes

import "time"

const (
	// earlyTolerance is how much earlier than told a caller may come. It covers the rounding of the time told.
	earlyTolerance = 20 * time.Millisecond
	// lateTolerance is how much later than told a caller may come. It covers the network, a new connection and late timers.
	lateTolerance = 300 * time.Millisecond
	// notReturnedAfter is how long after the time told a caller counts as not returned. It must be less than pastBuckets buckets.
	notReturnedAfter = time.Second
	// noPlace ends a list of places.
	noPlace = -1
)

// place is the place of one caller in the schedule.
type place struct {
	prompt uint64
	// told is the time told, and assigned the time of the refusal, since the epoch.
	told, assigned time.Duration
	cost           float32
	next           int16
	span           uint8
	class          Class
	rank           uint8
	// state is what has become of the caller. outcome is what has become of its second attempt.
	state   placeState
	outcome placeOutcome
	// measured is true once the error of the time told was recorded.
	measured bool
}

type placeState uint8

const (
	expected placeState = iota
	returned
	returnedLate
)

type placeOutcome uint8

const (
	undecided placeOutcome = iota
	placed
	refusedAgain
)

// placePool holds places in lists. It never holds more than maxPlaces.
type placePool struct {
	all []place
	// free is the first free place, noPlace if there is none.
	free int16
	// unmeasured counts the places whose error was not recorded.
	unmeasured int
}

// take returns the index of a free place. It returns false if there is none.
func (p *placePool) take() (int16, bool) {
	switch {
	case p.free != noPlace:
		i := p.free
		p.free = p.all[i].next
		return i, true
	case len(p.all) == maxPlaces:
		return 0, false
	}
	if len(p.all) == cap(p.all) {
		grown := make([]place, len(p.all), min(max(2*cap(p.all), 64), maxPlaces))
		copy(grown, p.all)
		p.all = grown
	}
	p.all = append(p.all, place{})
	return int16(len(p.all) - 1), true
}

func (p *placePool) put(i int16) {
	if !p.all[i].measured {
		p.unmeasured--
	}
	p.all[i] = place{next: p.free, measured: true}
	p.free = i
}

// addPlace records that a caller is expected. A caller without a prompt hash cannot be recognised and gets no place.
func (s *Schedule) addPlace(r *Return, at, span int64, told, now time.Duration) {
	if r.Prompt == 0 {
		return
	}
	i, ok := s.places.take()
	if !ok {
		return
	}
	b := s.bucket(at)
	s.places.all[i] = place{
		prompt: r.Prompt, told: told, assigned: now, cost: float32(r.Work.cost()), next: b.first, span: uint8(span),
		class: r.Work.Class, rank: uint8(min(max(r.Rank, 0), maxRank)),
	}
	s.places.unmeasured++
	b.first = i
}

// maxRank is the lowest rank that is distinguished.
const maxRank = 9

// release removes the place of a caller that has not returned yet and is refused or placed, for example because it is placed
// repeatedly while it waits. A caller thus never has two places. It returns what was known of the caller.
func (s *Schedule) release(prompt uint64) previousPlace {
	if prompt == 0 {
		return hasNoPlace
	}
	for number := s.current - pastBuckets; number < s.current-pastBuckets+bucketCount; number++ {
		b := s.bucket(number)
		for link := &b.first; *link != noPlace; link = &s.places.all[*link].next {
			i := *link
			p := &s.places.all[i]
			if p.prompt != prompt || p.outcome == placed {
				continue
			}
			if p.state != expected {
				p.outcome = refusedAgain
				return hasReturned
			}
			s.empty(p, number)
			*link = p.next
			s.places.put(i)
			return isExpected
		}
	}
	return hasNoPlace
}

// previousPlace is what is known of a caller from an earlier refusal.
type previousPlace uint8

const (
	// hasNoPlace means that the caller is a newcomer.
	hasNoPlace previousPlace = iota
	// isExpected means that it has not returned yet.
	isExpected
	// hasReturned means that it has.
	hasReturned
)

// empty subtracts the cost of a place from its buckets.
func (s *Schedule) empty(p *place, at int64) {
	rest := float64(p.cost)
	for b := at; b > at-max(int64(p.span), 1) && b >= s.current-pastBuckets; b-- {
		load := &s.bucket(b).load[p.class]
		part := min(*load, rest)
		*load -= part
		rest -= part
	}
}

// Arrived reports whether a caller returns near the time that it was told. The place is used up by that: a second caller with
// the same prompt is a newcomer.
func (s *Schedule) Arrived(prompt uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.advance(now)
	if prompt == 0 {
		return false
	}
	p, number := s.find(prompt, at)
	if p == nil || p.state != expected {
		return false
	}
	s.empty(p, number)
	if at > p.told+lateTolerance {
		p.state = returnedLate
		return false
	}
	p.state = returned
	return true
}

// find returns the place of a prompt whose time is near, and the number of its bucket.
func (s *Schedule) find(prompt uint64, at time.Duration) (*place, int64) {
	for number := bucketOf(at + earlyTolerance); number >= s.current-pastBuckets; number-- {
		for i := s.bucket(number).first; i != noPlace; i = s.places.all[i].next {
			p := &s.places.all[i]
			if p.prompt == prompt && p.told-earlyTolerance <= at && at <= p.told+notReturnedAfter {
				return p, number
			}
		}
	}
	return nil, 0
}

// expire removes the places of a bucket that is past, and empties the bucket.
func (s *Schedule) expire(b *bucket) {
	for i := b.first; i != noPlace; {
		p := &s.places.all[i]
		if s.options.Observer != nil {
			if p.state == expected {
				s.options.Observer.NotReturned()
			} else {
				s.options.Observer.Returned(p.state == returnedLate, p.outcome == refusedAgain)
			}
		}
		next := p.next
		s.places.put(i)
		i = next
	}
	*b = bucket{first: noPlace}
}
