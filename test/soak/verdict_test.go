package soak_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	stabilityWindow = 4 * time.Second
	revocationTime  = 5 * time.Second
	applyTime       = 3 * time.Second
	// applyStretch is added to applyTime for an instance that was out of touch shortly before.
	applyStretch   = 6 * time.Second
	regressionTime = 250 * time.Millisecond
	evacuationTime = 5 * time.Second
	leaveTime      = 500 * time.Millisecond
	deadlineSlack  = 500 * time.Millisecond
	retryRatio     = 0.2
	retrySlack     = 100
	retryWindow    = 10 * time.Second
	coldFactor     = 1.5
	coldSlack      = 5
	// lostRequests is how many requests an instance may leave without an answer on a kept connection.
	lostRequests = 3
	// goneSamples is the least number of left requests from which a share is taken.
	goneSamples = 8
)

// verdicts returns what was broken in a round. Each text begins with the name of the promise.
func (w *world) verdicts() []string {
	w.record.mu.Lock()
	defer w.record.mu.Unlock()
	found := slices.Clone(w.record.faults)
	for _, q := range w.record.requests {
		for _, check := range []func(*request) string{
			w.checkAnswer, w.checkRuns, w.checkRefusal, w.checkUnchanged, w.checkRevocation, w.checkRoute, w.checkDeadline,
		} {
			if text := check(q); text != "" {
				found = append(found, text+" ("+w.describe(q)+")")
			}
		}
	}
	for _, check := range []func() []string{w.checkLeaving, w.checkCold, w.checkRetries, w.checkLost, w.checkGone, w.checkUnknown} {
		found = append(found, check()...)
	}
	return found
}

// describe tells of a request what is needed to find it in the logs.
func (w *world) describe(q *request) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s at %s, key %s, sent %s, %s, status %d whole %t left %t",
		q.path, entrySubject(q.entry), q.key, q.sent.UTC().Format(time.StampMicro), q.ended.Sub(q.sent), q.status, q.whole, q.left)
	for _, n := range w.record.runs[q.id] {
		fmt.Fprintf(&text, "; run %d at %s %s later for %s, spoiled %t", n.number, n.endpoint, n.began.Sub(q.sent), n.ended.Sub(n.began), n.spoiled)
	}
	return text.String()
}

// checkAnswer finds answers that look complete and are not what an endpoint gave.
func (w *world) checkAnswer(q *request) string {
	if q.status/100 != 2 || !q.whole {
		return ""
	}
	runs := w.record.runs[q.id]
	first := slices.IndexFunc(runs, func(n *run) bool { return n.seal == q.seal })
	if first < 0 {
		return "MIXED: a success without the seal of a run"
	}
	if q.kind == kindWords {
		// A stream may go on at another endpoint; its events are the same at each.
		var load workload
		load.parse(q.body)
		if q.text != load.answer(&run{path: q.path}, kindWords) {
			return "ORDER: a stream that ends as complete is not whole"
		}
		return ""
	}
	if q.text != runs[first].text {
		return "MIXED: a success with another body than the run's"
	}
	return ""
}

// checkRuns finds requests that ran too often.
func (w *world) checkRuns(q *request) string {
	count := len(w.record.runs[q.id])
	if !q.kind.mayRepeat() && count > 1 {
		return "TWICE: a request that may not be repeated ran more than once"
	}
	if count > attemptLimit {
		return "BUDGET: a request ran at more endpoints than its attempts"
	}
	return ""
}

// checkRefusal finds refusals that say untruly that the request has not run.
func (w *world) checkRefusal(q *request) string {
	promise := slices.Contains([]int{
		http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
	}, q.status)
	if promise && !q.kind.mayRepeat() && len(w.record.runs[q.id]) > 0 {
		return "REFUSED: the answer says that the request has not run"
	}
	return ""
}

// checkUnchanged finds requests that reached an endpoint in another form or in another team's name.
func (w *world) checkUnchanged(q *request) string {
	team := planning
	if q.key == baseKey {
		team = field
	}
	for _, n := range w.record.runs[q.id] {
		if n.path != q.path || n.body != q.body || n.team != team {
			return "UNASKED: the request was changed"
		}
		if n.service != routeOf(q.kind, q.version).Service {
			return "ROUTE: run by another service"
		}
	}
	return ""
}

// checkRevocation finds runs with a key that was taken away.
func (w *world) checkRevocation(q *request) string {
	revoked, ok := w.record.revoked[q.key]
	if ok && q.sent.After(revoked.Add(revocationTime)) && len(w.record.runs[q.id]) > 0 {
		return "CONFIG: run with a key taken away " + q.sent.Sub(revoked).String() + " before"
	}
	return ""
}

// checkRoute finds refusals of what the configuration allows.
func (w *world) checkRoute(q *request) string {
	denied := slices.Contains([]int{http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound}, q.status)
	if !denied {
		return ""
	}
	if q.kind != kindVersion && q.key == baseKey {
		return "DENIED: every configuration allows the request"
	}
	if q.status != http.StatusNotFound {
		return ""
	}
	for _, other := range w.record.requests {
		served := other.status == http.StatusOK && other.kind == kindVersion && other.version >= q.version
		same := other.entry == q.entry && other.incarnation == q.incarnation
		if served && same && q.sent.After(other.ended.Add(regressionTime)) {
			return "CONFIG: the configuration went back"
		}
	}
	late := w.record.published[q.version-1].Add(applyTime + applyStretch)
	if q.sent.After(late) && w.wasCalmSince(q, late.Add(-applyTime-stabilityWindow)) {
		return "CONFIG: a route is not known in time"
	}
	return ""
}

func (w *world) wasCalmSince(q *request, from time.Time) bool {
	return w.record.wasCalm(q) && w.record.isCalm(entrySubject(q.entry), from, q.ended) &&
		w.record.isCalm(plannedSubject(q.entry), from, q.ended) && w.record.isCalm(storeSubject, from, q.ended)
}

// checkDeadline finds runs that were given more time than the caller waits.
func (w *world) checkDeadline(q *request) string {
	for _, n := range w.record.runs[q.id] {
		if n.deadline <= 0 || n.deadline > q.deadline+deadlineSlack {
			return "BUDGET: the endpoint was given " + n.deadline.String()
		}
	}
	return ""
}

// checkLeaving finds requests that reached endpoints after these were to get none.
func (w *world) checkLeaving() []string {
	var found []string
	for _, a := range w.record.arrivals {
		q := w.record.requests[a.id]
		if q == nil || a.refused || !w.wasCalmSince(q, q.sent.Add(-stabilityWindow-drainTime)) {
			continue
		}
		if at, ok := w.record.leaving[a.endpoint]; ok && a.at.After(at.Add(drainTime)) {
			found = append(found, fmt.Sprintf("DRAIN: %s got a request %s after it was leaving (%s)", a.endpoint, a.at.Sub(at), w.describe(q)))
		}
		for _, v := range w.evacuated {
			if v.domain == w.domainOf(a.endpoint) && a.at.After(v.from.Add(evacuationTime)) && a.at.Before(v.to) {
				found = append(found, fmt.Sprintf("EVAC: %s got a request %s after the evacuation (%s)", a.endpoint, a.at.Sub(v.from), w.describe(q)))
			}
		}
	}
	return found
}

func (w *world) domainOf(id string) string {
	for _, e := range w.all {
		if e.id == id {
			return e.domain
		}
	}
	return ""
}

// checkCold finds endpoints that got too much while cold.
func (w *world) checkCold() []string {
	var found []string
	for id, cold := range w.record.cold {
		var times []time.Time
		for _, a := range w.record.arrivals {
			q := w.record.requests[a.id]
			if a.endpoint == id && !a.refused && a.at.Before(cold.to) && q != nil && a.at.Sub(q.sent) < time.Second {
				times = append(times, a.at)
			}
		}
		if most := mostWithin(times, time.Second); float64(most) > coldPerSecond*coldFactor+coldSlack {
			found = append(found, fmt.Sprintf("FAILBACK: %s got %d requests in a second of its cold start", id, most))
		}
	}
	return found
}

// mostWithin returns the largest number of the times within a span of the given length.
func mostWithin(times []time.Time, length time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= length {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// checkRetries finds services that got more repeats than the budget allows.
func (w *world) checkRetries() []string {
	var found []string
	for _, service := range []string{desk, pool} {
		var sent, repeats []time.Time
		for _, q := range w.record.requests {
			if routeOf(q.kind, q.version).Service == service {
				sent = append(sent, q.sent)
			}
		}
		seen := make(map[string]bool)
		for _, a := range w.record.arrivals {
			if a.service == service && seen[a.id] {
				repeats = append(repeats, a.at)
			}
			seen[a.id] = true
		}
		allowed := retryRatio*float64(mostWithin(sent, retryWindow)) + retrySlack
		if most := mostWithin(repeats, retryWindow); float64(most) > allowed {
			found = append(found, fmt.Sprintf("BUDGET: %s got %d repeats in %s, allowed are %.0f", service, most, retryWindow, allowed))
		}
	}
	return found
}

// checkLost finds requests that calm instances passed on and left without an answer.
func (w *world) checkLost() []string {
	lost := make(map[int][]string)
	for _, q := range w.record.requests {
		overdue := q.ended.Sub(q.sent) >= q.deadline
		if q.whole || q.left || overdue || len(w.record.runs[q.id]) == 0 || !w.record.wasCalm(q) {
			continue
		}
		lost[q.entry] = append(lost[q.entry], w.describe(q))
	}
	var found []string
	for index, texts := range lost {
		if len(texts) > lostRequests {
			found = append(found, fmt.Sprintf("LOST: %s left %d requests without an answer: %s", entrySubject(index), len(texts), strings.Join(texts[:lostRequests], " | ")))
		}
	}
	return found
}

// checkGone finds instances that let endpoints work on for callers that have left.
func (w *world) checkGone() []string {
	left, working := 0, 0
	for _, q := range w.record.requests {
		if !q.left || !q.kind.mayRepeat() || !w.record.wasCalm(q) || !w.record.isCalm(plannedSubject(q.entry), q.sent, q.ended) {
			continue
		}
		for _, n := range w.record.runs[q.id] {
			var load workload
			load.parse(q.body)
			if n.began.Add(load.time).Before(q.ended.Add(leaveTime)) {
				continue
			}
			left++
			if n.ended.After(q.ended.Add(leaveTime)) {
				working++
			}
		}
	}
	if left >= goneSamples && 4*working > left {
		return []string{fmt.Sprintf("GONE: endpoints worked on for %d of %d callers that had left", working, left)}
	}
	return nil
}

// checkUnknown finds runs that no caller asked for.
func (w *world) checkUnknown() []string {
	var found []string
	for id := range w.record.runs {
		if w.record.requests[id] == nil {
			found = append(found, "UNASKED: a run of the unknown request "+id)
		}
	}
	return found
}
