package waitqueue

import (
	"cmp"
	"slices"
	"strings"
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

// startTime returns when engine time of an amount has been dispatched, if it follows the placed requests.
func (c *capacityAt) startTime(ahead time.Duration, now time.Time) time.Duration {
	if c.Endpoints == 0 {
		return 0
	}
	rate := usableFraction * float64(c.Endpoints)
	backlog := max(float64(c.Backlog)-rate*float64(now.Sub(c.at)), 0)
	return time.Duration((backlog + float64(ahead)) / rate)
}

// drainTime returns when the waiting requests of a class have been dispatched.
func (q *Queue) drainTime(c class, now time.Time) time.Duration {
	var cost time.Duration
	for rank := range q.lanes[c] {
		l := &q.lanes[c][rank]
		for _, list := range [][]*entry{l.returning, l.onTime, l.late} {
			for _, e := range list {
				cost += e.Cost
			}
		}
	}
	return q.capacity[c].startTime(cost, now)
}

// Add lets a request wait, or refuses it if it cannot be served in its useful time. Other requests may be displaced. A request
// with the ID of a waiting one replaces it.
func (q *Queue) Add(r Request, capacity Capacity, now time.Time) Decision {
	q.Remove(r.ID)
	r.Rank = clampRank(r.Rank)
	c := classOf(&r)
	q.capacity[c] = capacityAt{Capacity: capacity, at: now}
	q.shard = capacity.Shard
	if r.lastStart().Before(now) {
		return Decision{Reason: TooLate, Wait: q.drainTime(c, now)}
	}
	newcomer := &entry{Request: r, renewedAt: now}
	q.insert(newcomer, now)
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
	order := slices.Clone(q.orderOf(classOf(&newcomer.Request), now))
	for {
		at, reason := q.firstInfeasible(order, now), Infeasible
		if at < 0 && len(q.entries)-len(victims) > q.options.MaxWaiting {
			at, reason = len(order)-1, QueueFull
		}
		if at < 0 {
			return victims, ""
		}
		victim := q.worst(order[:at+1], now)
		if order[victim] == newcomer || len(victims) == maxDisplaced {
			if q.shares.Excess(newcomer.Team, now) > 0 && reason == Infeasible && newcomer != order[at] {
				reason = OverShare
			}
			return nil, reason
		}
		victims = append(victims, order[victim])
		order = slices.Delete(order, victim, victim+1)
	}
}

// firstInfeasible returns the first request in order that cannot start in its useful time behind those before it, or -1.
func (q *Queue) firstInfeasible(order []*entry, now time.Time) int {
	var ahead time.Duration
	for i, e := range order {
		start := q.capacity[classOf(&e.Request)].startTime(ahead, now)
		if now.Add(start).After(e.lastStart()) {
			return i
		}
		ahead += e.Cost
	}
	return -1
}

// worst returns the request to give up first: of the lowest rank, not of a returning caller, of the team that is furthest
// above its fair share, with the latest start.
func (q *Queue) worst(order []*entry, now time.Time) int {
	worst, worstExcess := 0, time.Duration(0)
	for i, e := range order {
		excess := q.shares.Excess(e.Team, now)
		other := order[worst]
		difference := cmp.Or(
			cmp.Compare(e.Rank, other.Rank), compareReturning(e, other), cmp.Compare(excess, worstExcess),
			e.latestStart().Compare(other.latestStart()),
		)
		if i == 0 || difference >= 0 {
			worst, worstExcess = i, excess
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

// sortByID gives refusals a fixed order, so that equal inputs have equal results.
func sortByID(refused []Refused) {
	slices.SortFunc(refused, func(a, b Refused) int {
		return cmp.Or(strings.Compare(a.Request.ID.Instance, b.Request.ID.Instance), cmp.Compare(a.Request.ID.Number, b.Request.ID.Number))
	})
}
