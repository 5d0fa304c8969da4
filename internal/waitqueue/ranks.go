package waitqueue

import (
	"time"

	"github.com/acacialift/acacialift/internal/fairshare"
)

const (
	// leastShare is the fraction of the dispatched engine time that a lower rank gets while it has waiting requests.
	// leastShares bounds the sum over all lower ranks, so that the highest rank keeps at least half.
	leastShare  = 0.1
	leastShares = 0.5
	// returningShare is the fraction of the dispatched engine time up to which returning callers precede newcomers.
	returningShare = 0.25
)

// usage is the engine time dispatched in the last fairshare.WindowTime.
type usage struct {
	total, returning fairshare.Window
	ranks            [LowestRank + 1]fairshare.Window
}

func (u *usage) add(r *Request, now time.Time) {
	u.total.Add(r.Cost, now)
	u.ranks[r.Rank].Add(r.Cost, now)
	if r.Returning {
		u.returning.Add(r.Cost, now)
	}
}

// prefersReturning reports whether returning callers precede newcomers.
func (u *usage) prefersReturning(now time.Time) bool {
	return float64(u.returning.Sum(now)) <= returningShare*float64(u.total.Sum(now))
}

// rankOrder returns the ranks in the order in which they are served: those below their least share first, then by rank.
func (u *usage) rankOrder(lanes *[LowestRank + 1]lane, now time.Time) []int {
	first, waiting := -1, 0
	for rank := range lanes {
		if !lanes[rank].isEmpty() {
			waiting++
			if first < 0 {
				first = rank
			}
		}
	}
	var below, others []int
	least := min(leastShare, leastShares/float64(max(waiting-1, 1))) * float64(u.total.Sum(now))
	for rank := range lanes {
		switch {
		case lanes[rank].isEmpty():
		case rank > first && float64(u.ranks[rank].Sum(now)) < least:
			below = append(below, rank)
		default:
			others = append(others, rank)
		}
	}
	return append(below, others...)
}
