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
	firstTrialDelay  = 2 * time.Second
	trialDelayFactor = 4
	// minTrialMoments is the number of moments up to which the delay is firstTrialDelay.
	minTrialMoments = 2
	// sameMoment is the time between crashes from which they count as several moments.
	sameMoment = 300 * time.Millisecond
	// fleetTrials is how many of the requests that could be a trial at all instances together become one, before the first instance
	// has told the others.
	fleetTrials = 2
	// maxCandidates bounds the parts that are compared with each other.
	maxCandidates = 64
)

// suspicion is a set of parts of which one crashes endpoints. The crashes do not tell which one, because the parts were in the same
// calls. A request that has all of them is in quarantine; one that has only some of them shows whether these are sound.
type suspicion struct {
	// parts begins with the part that the crashes were counted for.
	parts []Part
	until time.Time
	// nextTrial is the time from which a request may be let through.
	nextTrial time.Time
}

// includedIn reports whether all parts are among the given ones.
func (s *suspicion) includedIn(parts []Part) bool {
	return !slices.ContainsFunc(s.parts, func(p Part) bool { return !slices.Contains(parts, p) })
}

// retryDelay returns the time until a request with the parts may be served.
func (s *suspicion) retryDelay(now time.Time) time.Duration {
	return min(max(s.nextTrial.Sub(now), firstTrialDelay), s.until.Sub(now))
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
	calls      int
	// severalCalls is true if more than one call was at the crashes. A call that is retried meets several crashes of another cause.
	severalCalls bool
}

// compareCandidates orders the candidates by decreasing suspicion: first the parts that have never been served, then those with the
// higher score, then those of several calls.
func compareCandidates(a, b *candidate) int {
	return cmp.Or(
		compareBool(!a.served, !b.served), cmp.Compare(b.score, a.score), compareBool(a.severalCalls, b.severalCalls),
	)
}

// compareGroups completes compareCandidates: first the candidates with the most companions, because the fewest requests have all of
// them, then those of fewer calls, then those further behind in the prompt, which fewer requests share.
func compareGroups(a, b *candidate) int {
	return cmp.Or(
		compareCandidates(a, b), cmp.Compare(len(b.companions), len(a.companions)), cmp.Compare(a.calls, b.calls),
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
		s := &suspicion{parts: append([]Part{c.part}, c.companions...), until: c.newest().Add(quarantineTime)}
		s.nextTrial = later(c.newest(), t.trials[c.part]).Add(trialDelay(c.momentCount()))
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
			calls := r.callCount()
			list = append(list, &candidate{record: r, score: score, calls: calls, severalCalls: calls > 1})
		}
	}
	slices.SortFunc(list, compareGroups)
	list = list[:min(len(list), maxCandidates)]
	for _, c := range list {
		for _, other := range list {
			if other != c && other.accompanies(c.record) {
				c.companions = append(c.companions, other.part)
			}
		}
	}
	slices.SortFunc(list, compareGroups)
	return list
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// SetInstances sets the number of instances that may let a request through at the same time.
func (t *Tracker) SetInstances(count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.trialShare = math.Min(1, fleetTrials/float64(max(count, 1)))
}

// takeTrial reports whether a request with quarantined parts is let through. It must be called with the mutex held.
func (t *Tracker) takeTrial(matches []*suspicion, now time.Time) bool {
	for _, s := range matches {
		if now.Before(s.nextTrial) {
			return false
		}
	}
	if t.trialShare < 1 && t.random() >= t.trialShare {
		return false
	}
	for _, s := range matches {
		t.trials[s.parts[0]] = now
		s.nextTrial = now.Add(trialDelay(t.records[s.parts[0]].momentCount()))
	}
	return true
}
