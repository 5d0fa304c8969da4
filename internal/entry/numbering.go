package entry

import (
	"strconv"
	"sync"
)

// minConsecutiveEvents is the number of events that follow each other by one after which the numbers of a stream count as consecutive.
const minConsecutiveEvents = 2

// numbering is what the ids of a stream's events show about their numbers. A platform only promises that they rise.
type numbering struct {
	// consecutive counts the ids that followed the one before by one, and hasGaps is true after one that did not. Ids at a resumption
	// count for neither.
	consecutive int
	hasGaps     bool
}

// observe records that an id follows another one of the same run.
func (n *numbering) observe(last, id string) {
	a, b, ok := numbers(last, id)
	switch {
	case !ok:
	case b == a+1:
		n.consecutive++
	default:
		n.hasGaps = true
	}
}

func (n *numbering) isConsecutive() bool { return !n.hasGaps && n.consecutive >= minConsecutiveEvents }

// numbers returns two ids as numbers, and false if either is none.
func numbers(last, id string) (a, b int64, ok bool) {
	a, errA := strconv.ParseInt(last, 10, 64)
	b, errB := strconv.ParseInt(id, 10, 64)
	return a, b, errA == nil && errB == nil
}

func isNumber(id string) bool {
	_, err := strconv.ParseInt(id, 10, 64)
	return err == nil
}

// serviceNumbering is what the streams of each service have shown. It is safe for concurrent use.
type serviceNumbering struct {
	mu       sync.Mutex
	services map[string]numbering
}

// observe records what a stream of a service has shown.
func (s *serviceNumbering) observe(service string, n numbering) {
	if !n.hasGaps && !n.isConsecutive() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.services == nil {
		s.services = make(map[string]numbering)
	}
	known := s.services[service]
	known.hasGaps = known.hasGaps || n.hasGaps
	known.consecutive = max(known.consecutive, n.consecutive)
	s.services[service] = known
}

// isConsecutive reports whether all streams of a service have had consecutive numbers.
func (s *serviceNumbering) isConsecutive(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.services[service]
	return known.isConsecutive()
}
