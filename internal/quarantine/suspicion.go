package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// firstTrialDelay is the time from the latest crash to the first trial: a request with parts in quarantine that is let through, so
	// that a wrong quarantine ends. It is multiplied by trialDelayFactor for each further moment at which endpoints have crashed.
	firstTrialDelay  = 5 * time.Second
	trialDelayFactor = 8
	// minTrialMoments is the number of moments up to which the delay is firstTrialDelay.
	minTrialMoments = 2
	// sameMoment is the time between crashes from which they count as several moments.
	sameMoment = 100 * time.Millisecond
	// turnTime is the time after which twice as many instances may begin a trial. One on average may when it is due. Without turns,
	// callers that all return when the trial is due begin several, and each of them crashes an endpoint if the part is not sound.
	turnTime = time.Second
	// unknownDelay is how much later a request with a part that was never served may be a trial, if requests without one come too.
	unknownDelay = time.Second
	// minBudgetCrashes is the number of crashes from which the users' rule BUDGET bounds the requests with a part.
	minBudgetCrashes = 5
	// minRetryDelay is the least time after which a refused request may come again.
	minRetryDelay = time.Second
	// maxCandidates bounds the parts that are compared with each other.
	maxCandidates = 64
)

// suspicion is a set of parts of which one crashes endpoints. The crashes do not tell which one, because the parts were in the same
// calls. A request that has all of them is in quarantine; one that has only some of them shows whether these are sound.
type suspicion struct {
	// parts begins with the part that the crashes were counted for.
	parts []Part
	until time.Time
	// first is the record of the first part.
	first *record
	// others are, for each crash of it, the shared parts outside the set that may have caused the crash as well. hasOthers is true once
	// they were determined.
	others    [][]Part
	hasOthers bool
	trials    *trials
}

// trials is what an instance knows about the trials of a part.
type trials struct {
	latest time.Time
	// isWaiting is true once the following fields are set. after is the endpoint of the latest crash, and afterTrial the time of the
	// latest trial, after which they were set.
	isWaiting  bool
	after      uint32
	afterTrial time.Time
	// turn is a random number from 0 to 1. The instances with the smallest ones begin a trial first.
	turn float64
	// leastDoubt is the least doubt about the requests that this instance has got.
	leastDoubt int
}

// unknownDoubt is the doubt about a request with a part that was never served, and that was at no crash.
const unknownDoubt = 1

// includedIn reports whether the prompt has all parts.
func (s *suspicion) includedIn(prompt Prompt) bool {
	return !slices.ContainsFunc(s.parts, func(p Part) bool { return !prompt.includes(p) })
}

// trialDelay returns the time from the latest crash, or the latest trial, to the next trial.
func trialDelay(moments int) time.Duration {
	delay := firstTrialDelay
	for range moments - minTrialMoments {
		delay *= trialDelayFactor
	}
	return min(delay, quarantineTime)
}

// candidate is a record whose crashes suffice for a quarantine.
type candidate struct {
	*record
	// companions are the candidates that cannot be told apart from it.
	companions []Part
	score      int
	// calls is the number of calls at the crashes.
	calls int
}

// compareCandidates orders the candidates by decreasing suspicion: first the parts that have never been served, then those with the
// higher score, then those of several calls, because a call that is retried meets several crashes of another cause. Then come those with
// the most companions, because the fewest requests have all of them, those of fewer calls, because a sound part is in others
// too, and those further behind in the prompt, which fewer requests share.
func compareCandidates(a, b *candidate) int {
	return cmp.Or(
		compareBool(!a.served, !b.served), cmp.Compare(b.score, a.score), compareBool(a.calls > 1, b.calls > 1),
		cmp.Compare(len(b.companions), len(a.companions)), cmp.Compare(a.calls, b.calls),
		cmp.Compare(b.position, a.position), cmp.Compare(a.part, b.part),
	)
}

// compareBool orders true before false.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// evaluate determines the quarantined sets of parts. Requests with a part that crashes endpoints have other parts too, which are at the
// same crashes. The most suspicious parts therefore explain their crashes, and these count for no other part. It must be called with
// the mutex held.
func (t *Tracker) evaluate(now time.Time) []*suspicion {
	var quarantined []*suspicion
	explained := make(map[uint32]bool)
	for _, c := range t.candidates(now) {
		if c.record.score(explained) < quarantineScore {
			continue
		}
		s := &suspicion{parts: append([]Part{c.part}, c.companions...), until: c.newest().Add(quarantineTime), first: c.record}
		s.trials = t.trials[c.part]
		if s.trials == nil {
			s.trials = &trials{}
			t.trials[c.part] = s.trials
		}
		quarantined = append(quarantined, s)
		for _, crash := range c.crashes {
			explained[crash.endpoint] = true
		}
	}
	return quarantined
}

// candidates returns the records whose crashes suffice for a quarantine, by decreasing suspicion. It must be called with the mutex held.
func (t *Tracker) candidates(now time.Time) []*candidate {
	var list []*candidate
	for _, r := range t.records {
		score := r.score(nil)
		if score >= quarantineScore && now.Sub(r.newest()) < quarantineTime {
			list = append(list, &candidate{record: r, score: score, calls: r.callCount()})
		}
	}
	slices.SortFunc(list, compareCandidates)
	list = list[:min(len(list), maxCandidates)]
	for _, c := range list {
		for _, other := range list {
			if other != c && other.accompanies(c.record) {
				c.companions = append(c.companions, other.part)
			}
		}
	}
	slices.SortFunc(list, compareCandidates)
	moveNarrowFirst(list)
	return list
}

// isNarrowerThan reports whether the other part was in the same calls at all crashes, and in others too.
func (c *candidate) isNarrowerThan(other *candidate) bool {
	return c.position != ownPosition && c.score == other.score && len(c.companions) > len(other.companions) &&
		slices.Contains(c.companions, other.part)
}

// moveNarrowFirst moves a part before one that was in the same calls at all crashes, and in others too. A request with both is refused
// either way; one with the other part alone is served, and shows whether that part is sound. A part that only one request has is not
// moved, because the other requests would go on.
func moveNarrowFirst(list []*candidate) {
	for i := range list {
		for {
			j := slices.IndexFunc(list[i:], func(c *candidate) bool { return c.isNarrowerThan(list[i]) })
			if j < 0 {
				break
			}
			narrow := list[i+j]
			copy(list[i+1:i+j+1], list[i:i+j])
			list[i] = narrow
		}
	}
}

// otherParts returns, for each crash under the first part of a set, the shared parts outside the set that may have caused it as well: they
// were never served and were in the same call. It must be called with the mutex held.
func (t *Tracker) otherParts(s *suspicion) [][]Part {
	others := make([][]Part, len(s.first.crashes))
	for part, r := range t.records {
		if r.served || r.position == ownPosition || slices.Contains(s.parts, part) {
			continue
		}
		for _, own := range r.crashes {
			i := slices.IndexFunc(s.first.crashes, func(c crash) bool { return c.endpoint == own.endpoint })
			if i >= 0 && r.counts(own) && slices.ContainsFunc(own.calls, s.first.crashes[i].mayInclude) {
				others[i] = append(others[i], part)
			}
		}
	}
	return others
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// SetInstances sets the number of instances that may begin trials.
func (t *Tracker) SetInstances(count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.instances = max(count, 1)
}

// trialDue returns the time from which a request may be a trial of all sets in quarantine that its prompt includes. It must be called
// with the mutex held.
func (t *Tracker) trialDue(matches []*suspicion, prompt Prompt) time.Time {
	var due time.Time
	for _, s := range matches {
		due = later(due, t.trialOfSetDue(s, prompt))
	}
	return due
}

// trialOfSetDue returns the time from which a request may be a trial of a set. If it is served, all its parts are sound. If the
// endpoint crashes, that shows that the set is not sound, provided that the other parts of the request are. It must be called with
// the mutex held.
func (t *Tracker) trialOfSetDue(s *suspicion, prompt Prompt) time.Time {
	doubt := t.doubt(prompt, s)
	t.beginWait(s)
	s.trials.leastDoubt = min(s.trials.leastDoubt, doubt)
	moments := t.momentCount(s, prompt)
	var wait time.Duration
	switch {
	case doubt == s.trials.leastDoubt:
	case doubt == unknownDoubt:
		wait = unknownDelay
	default:
		moments = max(moments, minTrialMoments) + 1
	}
	return later(s.first.newest(), s.trials.latest).Add(trialDelay(moments) + t.turnDelay(s) + wait)
}

// doubt returns how much the parts of a request that are not in a set are suspected themselves: 0 if all were served, so that a
// crash under the request can only be due to the set. It must be called with the mutex held.
func (t *Tracker) doubt(prompt Prompt, s *suspicion) int {
	doubt := 0
	for position, part := range prompt.all {
		if slices.Contains(s.parts, part) || t.wasServed(part) {
			continue
		}
		if r := t.records[part]; r != nil {
			doubt = max(doubt, r.score(nil)+unknownDoubt)
		} else if position != ownPosition {
			doubt = max(doubt, unknownDoubt)
		}
	}
	return doubt
}

// wasServed must be called with the mutex held.
func (t *Tracker) wasServed(part Part) bool {
	if r := t.records[part]; r != nil {
		return r.served
	}
	_, served := t.served[part]
	_, servedBefore := t.servedBefore[part]
	return served || servedBefore
}

// momentCount returns the number of different moments of the crashes under a set that count against a request. A crash that a part outside
// the request may have caused as well does not count, up to minBudgetCrashes. It must be called with the mutex held.
func (t *Tracker) momentCount(s *suspicion, prompt Prompt) int {
	count := s.first.momentCount(nil)
	if count <= minTrialMoments || len(s.first.crashes) >= minBudgetCrashes {
		return count
	}
	if !s.hasOthers {
		s.others, s.hasOthers = t.otherParts(s), true
	}
	return s.first.momentCount(func(i int) bool {
		return slices.ContainsFunc(s.others[i], func(part Part) bool { return !prompt.includes(part) })
	})
}

// beginWait begins the time until the next trial of a set if there was a crash or a trial since the last call. It must be called with the
// mutex held.
func (t *Tracker) beginWait(s *suspicion) {
	after := s.first.crashes[len(s.first.crashes)-1].endpoint
	if !s.trials.isWaiting || s.trials.after != after || !s.trials.afterTrial.Equal(s.trials.latest) {
		s.trials.isWaiting, s.trials.after, s.trials.afterTrial = true, after, s.trials.latest
		s.trials.turn, s.trials.leastDoubt = t.random(), math.MaxInt
	}
}

// turnDelay returns how much later than other instances this one may begin a trial of a set. It must be called with the mutex held.
func (t *Tracker) turnDelay(s *suspicion) time.Duration {
	return time.Duration(max(math.Log2(s.trials.turn*float64(t.instances)), 0) * float64(turnTime))
}

// retryDelay returns the time until a request with the set may be served.
func (s *suspicion) retryDelay(due, now time.Time) time.Duration {
	return min(max(due.Sub(now), minRetryDelay), s.until.Sub(now))
}
