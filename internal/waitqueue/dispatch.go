package waitqueue

import "time"

// failuresPerRank is the number of requests of one class and rank that are offered in vain in one call of Dispatch. Each
// attempt of a long prompt costs a comparison of up to 17 sets of endpoints.
const failuresPerRank = 3

// PlaceFunc attempts to place a request on endpoints that are not held for others. It must not call the queue.
type PlaceFunc = func(r *Request, held Held) Attempt

// Dispatch offers requests in order to place until it has failed for a few of them. Placed requests leave the queue and count for
// the shares of their team and rank.
func (q *Queue) Dispatch(now time.Time, place PlaceFunc) {
	if len(q.entries) == 0 {
		return
	}
	q.round++
	for c := range classes {
		q.dispatchClass(c, now, place)
	}
	q.releaseUnoffered()
}

func (q *Queue) dispatchClass(c class, now time.Time, place PlaceFunc) {
	var failures offerFailures
	q.offers = append(q.offers[:0], q.orderOf(c, now)...)
	for _, e := range q.offers {
		if failures.exclude(e, c) || c == longClass && q.yields(e.Rank, now) {
			continue
		}
		e.round = q.round
		attempt := place(&e.Request, q.heldFor(e))
		if c == shortClass && !attempt.Placed && !e.late {
			q.shortage.note(e.Rank, now)
		}
		switch {
		case attempt.Placed:
			q.remove(e)
			q.CountPlaced(&e.Request, now)
		case attempt.Missed && !e.late:
			q.miss(e, now)
		default:
			failures.count(e)
			q.hold(e, attempt.Hold)
		}
	}
}

// offerFailures counts the requests of a class that were offered in vain in one round.
type offerFailures struct {
	ranks  [LowestRank + 1]int
	onTime bool
}

func (f *offerFailures) count(e *entry) {
	f.ranks[e.Rank]++
	f.onTime = f.onTime || !e.late
}

// exclude reports whether a request is not to be offered. A late long prompt is offered only if no prompt that can be on time
// waits for capacity.
func (f *offerFailures) exclude(e *entry, c class) bool {
	return f.ranks[e.Rank] >= failuresPerRank || c == longClass && e.late && f.onTime
}

// miss treats a request as late. A failure of such a request does not count, because those behind it may need less.
func (q *Queue) miss(e *entry, now time.Time) {
	q.release(e)
	l := q.laneOf(e)
	l.remove(e)
	usefulWhenLate := e.Until.After(e.onTimeEnd())
	e.OnTimeUntil = now.Add(e.Prefill - 1)
	if !usefulWhenLate {
		e.Until = e.OnTimeUntil
	}
	e.late = true
	e.setTimes()
	l.add(e)
}

// Precedes reports whether a waiting request goes before a newcomer of the same class, so that the newcomer must not be placed
// without waiting. A long prompt must also wait while a higher rank lacks endpoints for short prompts.
func (q *Queue) Precedes(r *Request, now time.Time) bool {
	rank, c := clampRank(r.Rank), classOf(r)
	if c == longClass && q.yields(rank, now) {
		return true
	}
	order := q.orderOf(c, now)
	if len(order) == 0 {
		return false
	}
	first := order[0]
	switch {
	case first.Rank != rank:
		return first.Rank < rank
	case first.late != r.latestStart().Before(now):
		return !first.late
	case first.late:
		return true
	}
	return !first.latestStart().After(r.latestStart())
}
