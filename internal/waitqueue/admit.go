package waitqueue

import (
	"cmp"
	"slices"
	"time"
)

const (
	// usableFraction is the fraction of the endpoints' time that the admission of requests counts on. The rest is lost to
	// waits for memory and to passes of streams.
	usableFraction = 0.9
	// maxDisplaced is the largest number of requests that one newcomer displaces.
	maxDisplaced = 8
)

// capacityAt is the capacity of a class at a time.
type capacityAt struct {
	Capacity
	at time.Time
}

// rate returns the engine time that is dispatched per time.
func (c *capacityAt) rate() float64 { return usableFraction * float64(max(c.Endpoints, 1)) }

// startTime returns when engine time of an amount has been dispatched, if it follows the placed requests.
func (c *capacityAt) startTime(ahead time.Duration, now time.Time) time.Duration {
	return time.Duration((c.backlogAt(now) + float64(ahead)) / c.rate())
}

// backlogAt returns the backlog, which has been worked on since the capacity was stated.
func (c *capacityAt) backlogAt(now time.Time) float64 {
	return max(float64(c.Backlog)-c.rate()*float64(now.Sub(c.at)), 0)
}

// drainTime returns when the waiting requests of a class have been dispatched.
func (q *Queue) drainTime(c class, now time.Time) time.Duration {
	return q.capacity[c].startTime(q.cost[c], now)
}

// Add lets a request wait, or refuses it if it cannot be served in its useful time. Other requests may be displaced. A request
// with the ID of a waiting one replaces it.
func (q *Queue) Add(r Request, capacity Capacity, now time.Time) Decision {
	q.Remove(r.ID)
	r.Rank = clampRank(r.Rank)
	c := classOf(&r)
	q.capacity[c] = capacityAt{Capacity: capacity, at: now}
	q.shard = capacity.Shard
	r.Until = r.waitsUntil(now)
	if r.lastStart().Before(now) {
		return Decision{Reason: TooLate, Wait: q.drainTime(c, now)}
	}
	newcomer := newEntry(r, now)
	q.insert(newcomer)
	victims, reason := q.shed(newcomer, now)
	if reason != "" {
		q.remove(newcomer)
		return Decision{Reason: reason, Wait: q.drainTime(c, now)}
	}
	decision := Decision{Waits: true}
	for _, v := range victims {
		q.remove(v)
		reason := Displaced
		if v.Rank == r.Rank && q.shares.Excess(v.Team, now) > 0 {
			reason = OverShare
		}
		decision.Displaced = append(decision.Displaced, Refused{Request: v.Request, Reason: reason})
	}
	for i := range decision.Displaced {
		decision.Displaced[i].Wait = q.drainTime(c, now)
	}
	return decision
}

// shed chooses the requests to displace so that the newcomer and all other requests can be served in their useful times.
// It returns a reason if the newcomer itself is to be refused. Nothing is displaced then.
func (q *Queue) shed(newcomer *entry, now time.Time) ([]*entry, Reason) {
	var victims []*entry
	order := q.orderOf(classOf(&newcomer.Request), now)
	for {
		at, reason := q.firstInfeasible(order, newcomer, now), Infeasible
		if at < 0 && len(q.entries)-len(victims) > q.options.MaxWaiting {
			at, reason = len(order)-1, QueueFull
		}
		if at < 0 {
			return victims, ""
		}
		victim := q.worst(order[:at+1], now)
		if order[victim] == newcomer || len(victims) == maxDisplaced {
			if reason == Infeasible && newcomer != order[at] && q.shares.Excess(newcomer.Team, now) > 0 {
				reason = OverShare
			}
			return nil, reason
		}
		victims = append(victims, order[victim])
		order = slices.Delete(order, victim, victim+1)
	}
}

// firstInfeasible returns the first request in order, from the newcomer on, that cannot start in its useful time behind those
// before it, or -1. The newcomer does not affect the requests before it.
func (q *Queue) firstInfeasible(order []*entry, newcomer *entry, now time.Time) int {
	capacity := &q.capacity[classOf(&newcomer.Request)]
	rate, ahead, affected, nanoseconds := capacity.rate(), capacity.backlogAt(now), false, now.UnixNano()
	for i, e := range order {
		affected = affected || e == newcomer
		if affected && ahead > rate*float64(e.last-nanoseconds) {
			return i
		}
		ahead += float64(e.Cost)
	}
	return -1
}

// worst returns the request to give up first: of the lowest rank, of the team that is furthest above its fair share, of a
// newcomer, with the latest start.
func (q *Queue) worst(order []*entry, now time.Time) int {
	q.shares.Update(now)
	worst, worstExcess := 0, order[0].team.Excess()
	for i, e := range order[1:] {
		if e.Rank < order[worst].Rank {
			continue
		}
		excess := e.team.Excess()
		other := order[worst]
		difference := cmp.Or(
			cmp.Compare(e.Rank, other.Rank), cmp.Compare(excess, worstExcess), compareReturning(e, other),
			byLatestStart(e, other),
		)
		if difference >= 0 {
			worst, worstExcess = i+1, excess
		}
	}
	return worst
}

// compareReturning orders returning callers before newcomers.
func compareReturning(a, b *entry) int {
	switch {
	case a.Returning == b.Returning:
		return 0
	case a.Returning:
		return -1
	}
	return 1
}
