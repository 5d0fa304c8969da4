package placement

import (
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
)

const (
	// maxPrefillEndpoints is the number of endpoints that prefill one prompt: the primary and at most 16 helpers.
	maxPrefillEndpoints = 17
	// endpointOverhead is the predicted time that an additional prefill endpoint must save to be used.
	endpointOverhead = 4 * time.Millisecond
	// sizeMargin is the margin between a prediction and its limit, as a fraction of the prefill time of a part. The value
	// of a prompt grows with its size, but its cost with the square, so large prompts are rejected first when capacity is
	// low.
	sizeMargin = 0.15
	// A prompt is among the largest if its prefill on one engine takes more than largestPrefill times the objective. The
	// predicted first event of such a prompt may use largestObjectiveFraction of the objective.
	largestPrefill           = 3.0
	largestObjectiveFraction = 1.25
	// largestDueFraction is dueFraction for the largest prompts. With dueFraction hardly any endpoint could prefill their
	// parts.
	largestDueFraction = 1.3
	// longGroupPrimaryCost is added to the cost of a choice whose primary is not in the short group, because the max gap
	// of its stream then limits the prefill of further long prompts on that endpoint.
	longGroupPrimaryCost = 150 * time.Millisecond
	// maxShortGroupPart is the longest part of a long prompt that an endpoint of the short group prefills. Most KV memory
	// of the short group is free.
	maxShortGroupPart = 140 * time.Millisecond
	// usableMemoryFraction is the fraction of an endpoint's KV memory that streams and reservations may use together.
	usableMemoryFraction = 0.97
	// minReservation is the least free memory of an endpoint at which memory is reserved. reservationSlack is reserved in
	// addition to the need. Both are in tokens.
	minReservation   = 40_000
	reservationSlack = 2_000
	// shortMemoryFraction is the fraction of the KV memory of a short group's endpoint that long streams leave to short
	// streams.
	shortMemoryFraction = 0.3
)

// longPool holds the candidates for one long prompt.
type longPool struct {
	engine *fleet.Engine
	need   Need
	// shortGroup holds the endpoints of the short group. They may be the primary, and prefill small parts.
	shortGroup []Candidate
	// longGroup holds the other endpoints. Both groups are in the reverse order of the candidates.
	longGroup []Candidate
	// exceedsEngine is true if the prompt and its output need more memory than one engine has.
	exceedsEngine bool
	// dueFraction is the fraction of the time left until earlier prefills are due that the parts may use.
	dueFraction float64
	// allowsDoubtful is true if doubtful endpoints may take part.
	allowsDoubtful bool
}

// newLongPool groups the candidates. It leaves out held endpoints, and cold and suspect ones, because one slow endpoint delays
// the first event of the whole prompt. If the prompt exceeds one engine's memory, the endpoints of the short group that have no
// streams are added to the long group.
func newLongPool(e *fleet.Engine, candidates []Candidate, group int, need Need) *longPool {
	pool := &longPool{engine: e, need: need, exceedsEngine: need.Tokens+need.Output > e.MemoryTokens, dueFraction: dueFraction}
	if mayBeLate(e, need) {
		pool.dueFraction = largestDueFraction
	}
	for i := len(candidates) - 1; i >= 0; i-- {
		c := candidates[i]
		switch {
		case c.Cold || c.Suspect || c.Held:
		case i < group && (!pool.exceedsEngine || c.Streams > 0):
			pool.shortGroup = append(pool.shortGroup, c)
		default:
			pool.longGroup = append(pool.longGroup, c)
		}
	}
	return pool
}

// placeLong chooses the number of prefill endpoints with the lowest cost: the predicted first event, an overhead for each
// endpoint and the cost of the primary. All endpoints prefill parts of equal length.
func (p Planner) placeLong(e *fleet.Engine, candidates []Candidate, group int, need Need) (Choice, *Refusal) {
	pool := newLongPool(e, candidates, group, need)
	limit := maxPredicted(e, need)
	best, inTime := pool.best(limit)
	if !inTime && anyDoubtful(candidates) {
		pool.allowsDoubtful = true
		if withDoubtful, ok := pool.best(limit); ok {
			best, inTime = withDoubtful, true
		}
	}
	switch {
	case inTime:
		return best, nil
	case len(best.Helpers) == 0 && pool.minBacklog() > 0:
		return Choice{}, &Refusal{Reason: PrefillBusy, RetryAfter: p.retryAfter(pool.minBacklog()), Predicted: best.Predicted}
	case best.Primary == nil:
		return Choice{}, &Refusal{Reason: SlotsFull, RetryAfter: p.randomDelay(minRetryAfter, maxRetryAfter)}
	}
	return Choice{}, &Refusal{Reason: TooLate, RetryAfter: p.retryAfter(best.Predicted - limit), Predicted: best.Predicted}
}

// best returns the choice with the lowest cost, and reports whether its predicted first event is within the limit.
func (l *longPool) best(limit time.Duration) (Choice, bool) {
	prefill := l.engine.PrefillTime(l.need.Tokens)
	var best Choice
	var bestCost time.Duration
	for endpoints := 1; endpoints <= maxPrefillEndpoints; endpoints++ {
		choice, ok := l.choose(prefill/time.Duration(endpoints), endpoints)
		cost := choice.Predicted + time.Duration(endpoints)*endpointOverhead + l.primaryCost(choice.Primary)
		if ok && (best.Primary == nil || cost < bestCost) {
			best, bestCost = choice, cost
		}
	}
	inTime := best.Primary != nil && best.Predicted+time.Duration(sizeMargin*float64(best.Part)) <= limit
	return best, inTime
}

// admits reports whether the endpoint may take part as far as its pace is concerned.
func (l *longPool) admits(c *Candidate) bool { return l.allowsDoubtful || !c.isDoubtful() }

// minBacklog returns the least prefill backlog of the long group's endpoints with capacity for the stream; zero if none
// has capacity.
func (l *longPool) minBacklog() time.Duration {
	least, found := time.Duration(0), false
	for i := range l.longGroup {
		c := &l.longGroup[i]
		if l.hasCapacity(c) && (!found || c.PrefillBacklog < least) {
			least, found = c.PrefillBacklog, true
		}
	}
	return least
}

// maxPredicted returns the latest predicted first event with which a prompt is accepted. The largest prompts may be
// slightly late. Otherwise hardly any of them would be served under high load.
func maxPredicted(e *fleet.Engine, need Need) time.Duration {
	fraction := objectiveFraction
	if mayBeLate(e, need) {
		fraction = largestObjectiveFraction
	}
	return time.Duration(fraction * float64(need.Objective))
}

// mayBeLate reports whether a prompt may be slightly late and delay earlier prompts, because it is among the largest. Prompts of
// a wait queue may not: it lets the largest ones wait longer instead (waitqueue). With the exception, every prompt would become
// one of the largest as its remaining time shrinks.
func mayBeLate(e *fleet.Engine, need Need) bool { return !need.Queued && isLargest(e, need) }

// isLargest reports whether a prompt is among the largest: its prefill on one engine takes more than largestPrefill times
// the objective.
func isLargest(e *fleet.Engine, need Need) bool {
	return float64(e.PrefillTime(need.Tokens)) > largestPrefill*float64(need.Objective)
}

// fits reports whether the endpoint can prefill a part of the prompt. A prompt on a single endpoint is queued behind
// earlier prefills, so it cannot delay them.
func (l *longPool) fits(c *Candidate, part time.Duration, endpoints int) bool {
	if endpoints == 1 {
		return fitsGap(l.engine, c, part)
	}
	return fitsSplit(l.engine, c, part, l.dueFraction)
}

// primaryCost returns the additional cost of a primary endpoint outside the short group.
func (l *longPool) primaryCost(primary *fleet.Endpoint) time.Duration {
	for i := range l.shortGroup {
		if l.shortGroup[i].Endpoint == primary {
			return 0
		}
	}
	return longGroupPrimaryCost
}

// choose returns the choice with a given number of prefill endpoints. It returns false if there are not enough.
func (l *longPool) choose(part time.Duration, endpoints int) (Choice, bool) {
	primary := l.primary(part, endpoints)
	if primary == nil {
		return Choice{}, false
	}
	b := newChoiceBuilder(l.engine, primary, part, l.firstEvent(primary, part, endpoints))
	if !l.addReservations(b, l.need.Tokens+l.need.Output-(l.engine.MemoryTokens-primary.UsedTokens)) {
		return Choice{}, false
	}
	complete := b.addHelpers(endpoints, func() *Candidate { return l.helper(b.chosen, part) })
	return b.choice, complete && len(b.choice.Helpers) == endpoints-1
}

// firstEvent predicts the time to the first event as far as it depends on the primary endpoint.
func (l *longPool) firstEvent(primary *Candidate, part time.Duration, endpoints int) time.Duration {
	if endpoints == 1 {
		return firstEvent(l.engine, primary, part)
	}
	return splitFirstEvent(l.engine, primary, part)
}

// addReservations adds helpers with reservations for the tokens that exceed the primary's free memory. It returns false if
// the helpers' free memory does not suffice.
func (l *longPool) addReservations(b *choiceBuilder, missing int64) bool {
	for missing > 0 {
		helper := l.reservationHelper(b.chosen, b.choice.Part)
		if helper == nil {
			return false
		}
		tokens := min(missing+reservationSlack, freeTokens(l.engine, helper))
		b.choice.Reservations = append(b.choice.Reservations, Reservation{Endpoint: helper.Endpoint, Tokens: tokens})
		b.addHelper(helper)
		missing -= tokens
	}
	return true
}

// freeTokens returns the tokens that a prompt may use at an endpoint in addition to the tokens used already.
func freeTokens(e *fleet.Engine, c *Candidate) int64 {
	return int64(usableMemoryFraction*float64(e.MemoryTokens)) - c.UsedTokens
}

// reservationHelper returns the unchosen endpoint with the most free memory.
func (l *longPool) reservationHelper(chosen map[*fleet.Endpoint]bool, part time.Duration) *Candidate {
	var best *Candidate
	for i := range l.longGroup {
		c := &l.longGroup[i]
		if chosen[c.Endpoint] || !l.admits(c) || !c.mayHelp() || !fitsSplit(l.engine, c, part, l.dueFraction) {
			continue
		}
		if free := freeTokens(l.engine, c); free > minReservation && (best == nil || free > freeTokens(l.engine, best)) {
			best = c
		}
	}
	return best
}

// primary returns the endpoint that decodes and keeps the KV cache. The max gap of a stream limits the prefill on its
// endpoint. Therefore long streams are concentrated on few endpoints, or on the short group if the part is small.
func (l *longPool) primary(part time.Duration, endpoints int) *Candidate {
	if part <= maxShortGroupPart && !l.exceedsEngine {
		if primary := l.shortGroupPrimary(part, endpoints); primary != nil {
			return primary
		}
	}
	var best *Candidate
	for i := range l.longGroup {
		c := &l.longGroup[i]
		if !l.admits(c) || !l.hasCapacity(c) || !l.fits(c, part, endpoints) {
			continue
		}
		if best == nil || l.isBetterPrimary(c, best) {
			best = c
		}
	}
	return best
}

// shortGroupPrimary returns the endpoint of the short group with the least prefill backlog.
func (l *longPool) shortGroupPrimary(part time.Duration, endpoints int) *Candidate {
	limit := int64((1 - shortMemoryFraction) * float64(l.engine.MemoryTokens))
	var best *Candidate
	for i := range l.shortGroup {
		c := &l.shortGroup[i]
		if !l.admits(c) || !hasCapacity(l.engine, c, l.need) || c.UsedTokens+l.need.Tokens+l.need.Output > limit || !l.fits(c, part, endpoints) {
			continue
		}
		if best == nil || c.PrefillBacklog < best.PrefillBacklog {
			best = c
		}
	}
	return best
}

// hasCapacity reports whether the endpoint can be the primary. If the prompt exceeds the memory of one engine, the primary
// needs memory for a part of the prompt only.
func (l *longPool) hasCapacity(c *Candidate) bool {
	if l.exceedsEngine {
		return !c.Full && !c.isWindowUsed() && c.Streams < l.engine.Slots && freeTokens(l.engine, c) > minReservation
	}
	return hasCapacity(l.engine, c, l.need)
}

func (l *longPool) isBetterPrimary(a, b *Candidate) bool {
	if l.exceedsEngine {
		return a.UsedTokens < b.UsedTokens
	}
	if rankA, rankB := l.primaryRank(a), l.primaryRank(b); rankA != rankB {
		return rankA < rankB
	}
	if a.Streams > 0 {
		return a.UsedTokens > b.UsedTokens
	}
	return a.PrefillBacklog < b.PrefillBacklog
}

// primaryRank prefers endpoints whose streams have the same max gap, then endpoints without streams.
func (l *longPool) primaryRank(c *Candidate) int {
	switch {
	case c.Streams > 0 && c.MaxGap == l.need.MaxGap:
		return 0
	case c.Streams == 0:
		return 1
	}
	return 2
}

// helper returns the unchosen endpoint with the earliest predicted first event. Endpoints of the short group prefill small
// parts if no other endpoint can.
func (l *longPool) helper(chosen map[*fleet.Endpoint]bool, part time.Duration) *Candidate {
	if best := l.earliestHelper(l.longGroup, chosen, part); best != nil || part > maxShortGroupPart {
		return best
	}
	return l.earliestHelper(l.shortGroup, chosen, part)
}

func (l *longPool) earliestHelper(candidates []Candidate, chosen map[*fleet.Endpoint]bool, part time.Duration) *Candidate {
	best := earliestHelper(l.engine, candidates, chosen, part, l.dueFraction)
	if best != nil && !l.admits(best) {
		return nil
	}
	return best
}
