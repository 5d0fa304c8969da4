package quarantine

import (
	"cmp"
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
	// fleetTrialRate is the number of trials per second that all instances begin together once a trial is due, until they learn of the
	// result of one. If the part is not sound, each of them crashes an endpoint.
	fleetTrialRate = 1
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
	// nextTrial is the time from which a request may be let through.
	nextTrial time.Time
	trials    *trials
}

// trials is what an instance knows about the requests that may be trials of a part.
type trials struct {
	latest time.Time
	// refused counts the requests that this instance has refused since refusedSince.
	refused      int
	refusedSince time.Time
}

// countRefused counts a refused request.
func (t *trials) countRefused(now time.Time) {
	if t.refused == 0 {
		t.refusedSince = now
	}
	t.refused++
}

// share returns the share of the requests at this instance that become trials, for fleetTrialRate at all instances. The requests that
// all of them get are estimated from the ones refused here, in at least the time since the latest crash.
func (t *trials) share(instances int, newestCrash, now time.Time) float64 {
	elapsed := now.Sub(newestCrash)
	if t.refused > 0 {
		elapsed = max(elapsed, now.Sub(t.refusedSince))
	}
	return fleetTrialRate * elapsed.Seconds() / float64(max(t.refused, 1)*instances)
}

// includedIn reports whether the prompt has all parts.
func (s *suspicion) includedIn(prompt Prompt) bool {
	return !slices.ContainsFunc(s.parts, func(p Part) bool { return !prompt.includes(p) })
}

// retryDelay returns the time until a request with the parts may be served.
func (s *suspicion) retryDelay(now time.Time) time.Duration {
	return min(max(s.nextTrial.Sub(now), minRetryDelay), s.until.Sub(now))
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
		s := &suspicion{parts: append([]Part{c.part}, c.companions...), until: c.newest().Add(quarantineTime)}
		s.trials = t.trials[c.part]
		if s.trials == nil {
			s.trials = &trials{}
			t.trials[c.part] = s.trials
		}
		s.nextTrial = later(c.newest(), s.trials.latest).Add(trialDelay(c.momentCount()))
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
	return list
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

// takeTrial reports whether a request with quarantined parts is let through. It must be called with the mutex held.
func (t *Tracker) takeTrial(matches []*suspicion, now time.Time) bool {
	for _, s := range matches {
		newest := t.records[s.parts[0]].newest()
		if now.Before(s.nextTrial) || t.instances > 1 && t.random() >= s.trials.share(t.instances, newest, now) {
			s.trials.countRefused(now)
			return false
		}
	}
	for _, s := range matches {
		s.trials.latest = now
		s.nextTrial = now.Add(trialDelay(t.records[s.parts[0]].momentCount()))
	}
	return true
}
