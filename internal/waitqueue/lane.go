package waitqueue

import (
	"slices"
	"time"
)

// entry is a waiting request.
type entry struct {
	Request
	renewedAt time.Time
	// held lists the endpoints held for the request.
	held []uint32
	// round is the last round of Dispatch that offered the request.
	round uint64
	// late is true if the entry is in the list of late requests.
	late bool
}

// lane holds the waiting requests of one length class and rank.
type lane struct {
	// returning and onTime hold the requests that can still be on time, by their latest start. late holds the others by their
	// arrival.
	returning, onTime, late []*entry
}

func byLatestStart(a, b *entry) int { return a.latestStart().Compare(b.latestStart()) }

func byArrival(a, b *entry) int { return a.Arrived.Compare(b.Arrived) }

// insert adds an entry behind its equals.
func insert(list []*entry, e *entry, compare func(a, b *entry) int) []*entry {
	at, _ := slices.BinarySearchFunc(list, e, func(other, e *entry) int {
		if compare(other, e) <= 0 {
			return -1
		}
		return 1
	})
	return slices.Insert(list, at, e)
}

func (l *lane) add(e *entry, now time.Time) {
	switch {
	case e.latestStart().Before(now):
		e.late = true
		l.late = insert(l.late, e, byArrival)
	case e.Returning:
		l.returning = insert(l.returning, e, byLatestStart)
	default:
		l.onTime = insert(l.onTime, e, byLatestStart)
	}
}

func (l *lane) remove(e *entry) {
	list := &l.onTime
	switch {
	case e.late:
		list = &l.late
	case e.Returning:
		list = &l.returning
	}
	if at := slices.Index(*list, e); at >= 0 {
		*list = slices.Delete(*list, at, at+1)
	}
}

// update moves the requests that can no longer be on time to the late ones.
func (l *lane) update(now time.Time) {
	for _, list := range []*[]*entry{&l.returning, &l.onTime} {
		passed := 0
		for passed < len(*list) && (*list)[passed].latestStart().Before(now) {
			e := (*list)[passed]
			e.late = true
			l.late = insert(l.late, e, byArrival)
			passed++
		}
		*list = slices.Delete(*list, 0, passed)
	}
}

// appendOrder appends the entries of the lane in their order. Requests of returning callers come first if preferReturning
// is true.
func (l *lane) appendOrder(order []*entry, preferReturning bool) []*entry {
	if preferReturning {
		order = append(order, l.returning...)
		order = append(order, l.onTime...)
		return append(order, l.late...)
	}
	returning, onTime := l.returning, l.onTime
	for len(returning) > 0 && len(onTime) > 0 {
		first := &onTime
		if byLatestStart(returning[0], onTime[0]) <= 0 {
			first = &returning
		}
		order = append(order, (*first)[0])
		*first = (*first)[1:]
	}
	order = append(order, returning...)
	order = append(order, onTime...)
	return append(order, l.late...)
}

func (l *lane) isEmpty() bool { return len(l.returning)+len(l.onTime)+len(l.late) == 0 }
