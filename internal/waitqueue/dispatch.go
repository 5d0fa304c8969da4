package waitqueue

import (
	"os"
	"time"
)

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
	failed := false
	q.offers = append(q.offers[:0], q.orderOf(c, now)...)
	for _, e := range q.offers {
		if failures[e.Rank] >= failuresPerRank || c == longClass && e.late && failed {
			continue
		}
		if c == longClass && q.shortage.blocks(e.Rank, now) && !q.usage[c].belowLeast(e.Rank, now) {
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
			q.missed(e, now)
		default:
			failures[e.Rank]++
			failed = failed || !e.late
			q.hold(e, attempt.Hold)
		}
	}
}

// missed treats a request as late. A failure of such a request does not count, because those behind it may need less.
func (q *Queue) missed(e *entry, now time.Time) {
	q.release(e)
	l := q.laneOf(e)
	l.remove(e)
	usefulWhenLate := e.Until.After(e.OnTimeUntil)
	e.OnTimeUntil = now.Add(e.Prefill - 1)
	if !usefulWhenLate {
		e.Until = e.OnTimeUntil
	}
	l.add(e, now)
}

// Precedes reports whether a waiting request goes before a newcomer of the same class, so that the newcomer must not be placed
// without waiting.
func (q *Queue) Precedes(r *Request, now time.Time) bool {
	rank, c := clampRank(r.Rank), classOf(r)
	if c == longClass && q.shortage.blocks(rank, now) && !q.usage[c].belowLeast(rank, now) {
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

var shortageTime = func() time.Duration { d, _ := time.ParseDuration(os.Getenv("SHORTAGE")); return d }()

// shortage records when the last short prompt of each rank was not placed.
type shortage [LowestRank + 1]time.Time

func (s *shortage) note(rank int, now time.Time) { s[rank] = now }

func (s *shortage) blocks(rank int, now time.Time) bool {
	for _, at := range s[:rank] {
		if now.Sub(at) < shortageTime {
			return true
		}
	}
	return false
}
