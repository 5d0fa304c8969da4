package waitqueue

import "time"

// failuresPerRank is the number of requests of one class and rank that are offered in vain in one call of Dispatch. Each
// attempt of a long prompt costs a comparison of up to 17 sets of endpoints.
const failuresPerRank = 3

// Dispatch offers requests in order to place until it has failed for a few of them. place gets the endpoints held for
// others, and must not call the queue. Placed requests leave the queue and count for the shares of their team and rank.
func (q *Queue) Dispatch(now time.Time, place func(r *Request, held Held) Attempt) {
	if len(q.entries) == 0 {
		return
	}
	q.round++
	for c := range classes {
		q.dispatchClass(c, now, place)
	}
	q.releaseUnoffered()
}

func (q *Queue) dispatchClass(c class, now time.Time, place func(r *Request, held Held) Attempt) {
	var failures [LowestRank + 1]int
	q.offers = append(q.offers[:0], q.orderOf(c, now)...)
	for _, e := range q.offers {
		if failures[e.Rank] >= failuresPerRank {
			continue
		}
		e.round = q.round
		attempt := place(&e.Request, q.heldFor(e))
		if attempt.Placed {
			q.remove(e)
			q.CountPlaced(&e.Request, now)
			continue
		}
		failures[e.Rank]++
		q.hold(e, attempt.Hold)
	}
}

// Precedes reports whether a waiting request goes before a newcomer of the same class, so that the newcomer must not be placed
// without waiting.
func (q *Queue) Precedes(r *Request, now time.Time) bool {
	order := q.orderOf(classOf(r), now)
	if len(order) == 0 {
		return false
	}
	first := order[0]
	rank := clampRank(r.Rank)
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
