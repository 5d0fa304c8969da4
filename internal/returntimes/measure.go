package returntimes

import "time"

// shortage is what was observed of a class in the current interval of bucketWidth.
type shortage struct {
	placed, refused int
}

// ObservePlaced records that a request was placed. prompt identifies a returning caller; a newcomer counts as an arrival. A caller
// that is still expected, because it was refused before while it waited or has not kept to its time, is expected no more.
func (s *Schedule) ObservePlaced(w Work, prompt uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.advance(now)
	s.shortage[w.Class].placed++
	if p, _ := s.find(prompt, at); prompt != 0 && p != nil && p.state != expected {
		p.outcome = placed
		s.measure(p, at)
		return
	}
	if s.release(prompt) == hasNoPlace {
		s.arrived[w.Class].add(w.cost(), at)
	}
}

// ObserveRefused records that a request was refused for lack of capacity.
func (s *Schedule) ObserveRefused(w Work, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	s.shortage[w.Class].refused++
}

// closeIntervals ends the interval before a time. If requests of a class were placed in it and none was refused, the shortage of
// the class has ended: that interval is the first moment with capacity for all callers that were told a time before.
func (s *Schedule) closeIntervals(end time.Duration) {
	var hasCapacity [classCount]bool
	for class := range s.shortage {
		hasCapacity[class] = s.shortage[class].placed > 0 && s.shortage[class].refused == 0
		s.shortage[class] = shortage{}
	}
	if s.places.unmeasured == 0 || hasCapacity == [classCount]bool{} {
		return
	}
	start := end - bucketWidth
	for i := range s.places.all {
		p := &s.places.all[i]
		if hasCapacity[p.class] && p.assigned < start {
			s.measure(p, start)
		}
	}
}

// measure records the error of the time told. It does so once for each place.
func (s *Schedule) measure(p *place, capacityAt time.Duration) {
	if p.measured {
		return
	}
	p.measured = true
	s.places.unmeasured--
	if s.options.Observer != nil {
		s.options.Observer.ReturnError(capacityAt - p.told)
	}
}
