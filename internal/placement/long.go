package placement

import (
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
)

const (
	// maxReaders is the number of endpoints that read one prompt: the first one and at most 16 helpers.
	maxReaders = 17
	// readerOverhead is the time that a further reader must save.
	readerOverhead = 4 * time.Millisecond
	// sizeShare is the extra time, as a part of its reading, that a prompt must have left: what a prompt is worth grows
	// with its size and what it costs with the square, so that large ones give way first when engines are short.
	sizeShare = 0.15
	// largeReading is the reading time, in objectives, from which a prompt is among the largest; largeShare is the part of
	// the objective that the prediction for such a prompt may use.
	largeReading = 3.0
	largeShare   = 1.25
	// largestDueShare is dueShare for the largest prompts. Hardly any endpoint has that much time left otherwise.
	largestDueShare = 1.3
	// readerStreamCost is the time that a first endpoint in the short group may cost more than one among the readers, where
	// its stream bounds the reading beside it.
	readerStreamCost = 150 * time.Millisecond
	// maxGuestPart is the longest part of a long prompt that the short group reads; its memory is mostly free.
	maxGuestPart = 140 * time.Millisecond
	// holderMemory is the part of an endpoint's memory that streams and holdings may take.
	holderMemory = 0.97
	// minHolding is the least memory worth a reservation, ticketSlack what is reserved beyond the need; both in tokens.
	minHolding  = 40_000
	ticketSlack = 2_000
	// shortMemory is the memory that a long stream leaves to short ones in the short group, as a part of the whole.
	shortMemory = 0.3
)

// longPool holds the endpoints for one long prompt.
type longPool struct {
	engine *fleet.Engine
	need   Need
	// guests are the endpoints of the short group. They may hold and write, and read small parts.
	guests []Candidate
	// readers are all others, from the end of the order.
	readers []Candidate
	// spread is true if the prompt is larger than the memory of one endpoint.
	spread bool
	// dueShare is the part of the time that earlier prompts have left which the parts may use.
	dueShare float64
}

// newLongPool sorts the candidates. Cold and suspected endpoints are left out: one of them would stall all
// readers of the prompt.
func newLongPool(e *fleet.Engine, candidates []Candidate, group int, need Need) *longPool {
	pool := &longPool{engine: e, need: need, spread: need.Tokens+need.Output > e.MemoryTokens, dueShare: dueShare}
	if isLargest(e, need) {
		pool.dueShare = largestDueShare
	}
	for i := len(candidates) - 1; i >= 0; i-- {
		c := candidates[i]
		switch {
		case c.Cold || c.Suspect:
		case i < group && (!pool.spread || c.Streams > 0):
			pool.guests = append(pool.guests, c)
		default:
			pool.readers = append(pool.readers, c)
		}
	}
	return pool
}

// placeLong finds the number of readers with the earliest first event. The prompt is read in even parts.
func (p Planner) placeLong(e *fleet.Engine, candidates []Candidate, group int, need Need) (Choice, *Refusal) {
	pool := newLongPool(e, candidates, group, need)
	reading := e.PrefillTime(need.Tokens)
	var best Choice
	var bestCost time.Duration
	for readers := 1; readers <= maxReaders; readers++ {
		choice, ok := pool.choose(reading/time.Duration(readers), readers)
		cost := choice.Predicted + time.Duration(readers)*readerOverhead + pool.streamCost(choice.Primary)
		if ok && (best.Primary == nil || cost < bestCost) {
			best, bestCost = choice, cost
		}
	}
	limit := longLimit(e, need)
	inTime := best.Primary != nil && best.Predicted+time.Duration(sizeShare*float64(best.Part)) <= limit
	switch {
	case inTime:
		return best, nil
	case len(best.Helpers) == 0 && pool.leastUnread() > 0:
		return Choice{}, &Refusal{Reason: PrefillBusy, RetryAfter: p.retryAfter(pool.leastUnread()), Predicted: best.Predicted}
	case best.Primary == nil:
		return Choice{}, &Refusal{Reason: SlotsFull, RetryAfter: p.spread(minRetryAfter, maxRetryAfter)}
	}
	return Choice{}, &Refusal{Reason: TooLate, RetryAfter: p.retryAfter(best.Predicted - limit), Predicted: best.Predicted}
}

// leastUnread returns the time until the first reader with room has nothing to read; zero if one has nothing or none has
// room.
func (l *longPool) leastUnread() time.Duration {
	least, found := time.Duration(0), false
	for i := range l.readers {
		c := &l.readers[i]
		if l.hasRoom(c) && (!found || c.PrefillBacklog < least) {
			least, found = c.PrefillBacklog, true
		}
	}
	return least
}

// longLimit returns the latest first event for which a prompt is taken. The largest prompts may come a little late:
// otherwise engines that are short of time would serve hardly any of them.
func longLimit(e *fleet.Engine, need Need) time.Duration {
	share := objectiveShare
	if isLargest(e, need) {
		share = largeShare
	}
	return time.Duration(share * float64(need.Objective))
}

// isLargest reports whether a prompt is among the largest, whose reading takes several objectives.
func isLargest(e *fleet.Engine, need Need) bool {
	return float64(e.PrefillTime(need.Tokens)) > largeReading*float64(need.Objective)
}

// fits reports whether the endpoint can read a part of the prompt. A prompt that one endpoint reads waits its turn.
func (l *longPool) fits(c *Candidate, part time.Duration, readers int) bool {
	if readers == 1 {
		return fitsPause(l.engine, c, part)
	}
	return fitsShared(l.engine, c, part, l.dueShare)
}

// streamCost returns the disadvantage of a first endpoint.
func (l *longPool) streamCost(first *fleet.Endpoint) time.Duration {
	for i := range l.guests {
		if l.guests[i].Endpoint == first {
			return 0
		}
	}
	return readerStreamCost
}

// choose returns the choice with a given number of readers.
func (l *longPool) choose(part time.Duration, readers int) (Choice, bool) {
	first := l.first(part, readers)
	if first == nil {
		return Choice{}, false
	}
	a := newAssembly(l.engine, first, part, l.firstEvent(first, part, readers))
	if !l.hold(a, l.need.Tokens+l.need.Output-(l.engine.MemoryTokens-first.UsedTokens)) {
		return Choice{}, false
	}
	whole := a.fill(readers, func() *Candidate { return l.helper(a.taken, part) })
	return a.choice, whole && len(a.choice.Helpers) == readers-1
}

// firstEvent predicts the time to the first event at the first endpoint.
func (l *longPool) firstEvent(first *Candidate, part time.Duration, readers int) time.Duration {
	if readers == 1 {
		return firstEvent(l.engine, first, part)
	}
	return sharedFirstEvent(l.engine, first, part)
}

// hold adds helpers that hold the tokens for which the first endpoint has no memory, and reports whether there were
// enough of them.
func (l *longPool) hold(a *assembly, missing int64) bool {
	for missing > 0 {
		holder := l.holder(a.taken, a.choice.Part)
		if holder == nil {
			return false
		}
		tokens := min(missing+ticketSlack, holdable(l.engine, holder))
		a.choice.Reservations = append(a.choice.Reservations, Reservation{Endpoint: holder.Endpoint, Tokens: tokens})
		a.add(holder)
		missing -= tokens
	}
	return true
}

// holdable returns the tokens that a prompt may take at an endpoint besides its streams.
func holdable(e *fleet.Engine, c *Candidate) int64 {
	return int64(holderMemory*float64(e.MemoryTokens)) - c.UsedTokens
}

// holder returns the untaken endpoint with the most free memory.
func (l *longPool) holder(taken map[*fleet.Endpoint]bool, part time.Duration) *Candidate {
	var best *Candidate
	for i := range l.readers {
		c := &l.readers[i]
		if taken[c.Endpoint] || !fitsShared(l.engine, c, part, l.dueShare) {
			continue
		}
		if free := holdable(l.engine, c); free > minHolding && (best == nil || free > holdable(l.engine, best)) {
			best = c
		}
	}
	return best
}

// first returns the endpoint that holds the memory and writes. A stream bounds how much may be read beside it, so that
// long streams are gathered on few endpoints, and those of small parts in the short group.
func (l *longPool) first(part time.Duration, readers int) *Candidate {
	if part <= maxGuestPart && !l.spread {
		if guest := l.guest(part, readers); guest != nil {
			return guest
		}
	}
	var best *Candidate
	for i := range l.readers {
		c := &l.readers[i]
		if !l.hasRoom(c) || !l.fits(c, part, readers) {
			continue
		}
		if best == nil || l.isBetterFirst(c, best) {
			best = c
		}
	}
	return best
}

// guest returns the endpoint of the short group with the least to read.
func (l *longPool) guest(part time.Duration, readers int) *Candidate {
	limit := int64((1 - shortMemory) * float64(l.engine.MemoryTokens))
	var best *Candidate
	for i := range l.guests {
		c := &l.guests[i]
		if !hasRoom(l.engine, c, l.need) || c.UsedTokens+l.need.Tokens+l.need.Output > limit || !l.fits(c, part, readers) {
			continue
		}
		if best == nil || c.PrefillBacklog < best.PrefillBacklog {
			best = c
		}
	}
	return best
}

// hasRoom reports whether the endpoint can be the first one. The first one of a prompt that is held by several
// endpoints gives most of its memory.
func (l *longPool) hasRoom(c *Candidate) bool {
	if l.spread {
		return c.Streams < l.engine.Slots && holdable(l.engine, c) > minHolding
	}
	return hasRoom(l.engine, c, l.need)
}

func (l *longPool) isBetterFirst(a, b *Candidate) bool {
	if l.spread {
		return a.UsedTokens < b.UsedTokens
	}
	if rankA, rankB := l.firstRank(a), l.firstRank(b); rankA != rankB {
		return rankA < rankB
	}
	if a.Streams > 0 {
		return a.UsedTokens > b.UsedTokens
	}
	return a.PrefillBacklog < b.PrefillBacklog
}

// firstRank prefers endpoints whose streams bear the same pauses, then empty ones.
func (l *longPool) firstRank(c *Candidate) int {
	switch {
	case c.Streams > 0 && c.MaxGap == l.need.MaxGap:
		return 0
	case c.Streams == 0:
		return 1
	}
	return 2
}

// helper returns the untaken endpoint that is free to read first. Endpoints of the short group read small parts if no
// other one is left.
func (l *longPool) helper(taken map[*fleet.Endpoint]bool, part time.Duration) *Candidate {
	if best := earliestReader(l.engine, l.readers, taken, part, l.dueShare); best != nil || part > maxGuestPart {
		return best
	}
	return earliestReader(l.engine, l.guests, taken, part, l.dueShare)
}
