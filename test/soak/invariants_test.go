package soak_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/acacialift/acacialift/internal/testkit"
)

const (
	// stabilityWindow is the time after a disturbance in which checks that need an undisturbed instance are skipped.
	stabilityWindow = 4 * time.Second
	revocationTime  = 5 * time.Second
	applyTime       = 3 * time.Second
	// reconnectTime is added to applyTime, because an instance may have lost its connection to the store shortly before.
	reconnectTime   = 6 * time.Second
	regressionSlack = 250 * time.Millisecond
	evacuationTime  = 5 * time.Second
	// cancelTime is the time within which an endpoint's run must end after its caller has left.
	cancelTime    = 500 * time.Millisecond
	deadlineSlack = 500 * time.Millisecond
	retryRatio    = 0.2
	retrySlack    = 100
	retryWindow   = 10 * time.Second
	coldFactor    = 1.5
	coldSlack     = 5
	// An endpoint that names a request rate may get limitFactor times what the rate allows in limitWindow, and limitSlack. An
	// instance counts from toldTime after it has forwarded a response that names the rate.
	limitFactor = 1.5
	limitSlack  = 5
	limitWindow = 4 * time.Second
	toldTime    = 500 * time.Millisecond
	// maxLostRequests is the number of requests that an instance may leave without a response on reused connections.
	maxLostRequests = 3
	// minCancelSamples is the minimum number of runs whose callers left for checkCancellation to check a fraction.
	minCancelSamples = 8
)

// violations returns the violated guarantees of a round. Each text begins with the name of the guarantee, for example
// UNASKED (endpoints run only requests that a caller sent, unchanged), FAILBACK (endpoints in cold start get few requests)
// or GONE (a run ends within cancelTime after its caller has left).
func (d *deployment) violations() []string {
	d.record.mu.Lock()
	defer d.record.mu.Unlock()
	violations := slices.Clone(d.record.failures)
	for _, q := range d.record.requests {
		for _, check := range []func(*request) string{
			d.checkResponse, d.checkAttempts, d.checkRefusal, d.checkUnchanged, d.checkRevocation, d.checkRoute, d.checkDeadline,
		} {
			if text := check(q); text != "" {
				violations = append(violations, text+" ("+d.describe(q)+")")
			}
		}
	}
	for _, check := range []func() []string{
		d.checkLeaving, d.checkCold, d.checkLimits, d.checkRetries, d.checkLost, d.checkCancellation, d.checkUnknownRuns,
	} {
		violations = append(violations, check()...)
	}
	return violations
}

// describe returns the details of a request and its runs that are needed to find them in the logs.
func (d *deployment) describe(q *request) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s at %s, key %s, sent %s, %s, status %d complete %t left %t",
		q.path, entryName(q.entry), q.key, q.sent.UTC().Format(time.StampMicro), q.ended.Sub(q.sent), q.status, q.complete,
		q.callerLeft)
	for _, run := range d.record.runs[q.id] {
		fmt.Fprintf(&text, "; run %d at %s %s later for %s, faulty %t",
			run.number, run.endpoint, run.began.Sub(q.sent), run.ended.Sub(run.began), run.faulty)
	}
	return text.String()
}

// checkResponse finds responses that look complete and differ from what an endpoint sent.
func (d *deployment) checkResponse(q *request) string {
	if q.status/100 != 2 || !q.complete {
		return ""
	}
	runs := d.record.runs[q.id]
	first := slices.IndexFunc(runs, func(run *run) bool { return run.seal == q.seal })
	if first < 0 {
		return "MIXED: a successful response without the seal of a run"
	}
	if q.kind == kindResumable {
		// A stream may be resumed at another endpoint; its events are the same at each.
		var load workload
		load.parse(q.body)
		if q.responseBody != load.responseBody(&run{path: q.path}, kindResumable) {
			return "ORDER: a stream that ended as complete has missing or wrong events"
		}
		return ""
	}
	if q.responseBody != runs[first].responseBody {
		return "MIXED: a successful response with another body than the run's"
	}
	return ""
}

// checkAttempts finds requests that ran more often than allowed.
func (d *deployment) checkAttempts(q *request) string {
	count := len(d.record.runs[q.id])
	if !q.kind.isRetryable() && count > 1 {
		return "TWICE: a request that may not be retried ran more than once"
	}
	if count > maxAttempts {
		return "BUDGET: a request ran more often than its maximum number of attempts"
	}
	return ""
}

// checkRefusal finds responses whose status means that the request has not run, although it has.
func (d *deployment) checkRefusal(q *request) string {
	meansNotRun := slices.Contains([]int{
		http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
	}, q.status)
	if meansNotRun && !q.kind.isRetryable() && len(d.record.runs[q.id]) > 0 {
		return "REFUSED: the response says that the request has not run, although it has"
	}
	return ""
}

// checkUnchanged finds requests that reached an endpoint with another path, body or team, or at another service.
func (d *deployment) checkUnchanged(q *request) string {
	team := planningTeam
	if q.key == permanentKey {
		team = fieldTeam
	}
	for _, run := range d.record.runs[q.id] {
		if run.path != q.path || run.body != q.body || run.team != team {
			return "UNASKED: the request was changed on its way to the endpoint"
		}
		if run.service != routeOf(q.kind, q.version).Service {
			return "ROUTE: run by another service"
		}
	}
	return ""
}

// checkRevocation finds runs with a key that was revoked more than revocationTime before the request.
func (d *deployment) checkRevocation(q *request) string {
	revoked, ok := d.record.revoked[q.key]
	if ok && q.sent.After(revoked.Add(revocationTime)) && len(d.record.runs[q.id]) > 0 {
		return "CONFIG: run with a key that was revoked " + q.sent.Sub(revoked).String() + " before"
	}
	return ""
}

// checkRoute finds refusals of requests that the configuration allows.
func (d *deployment) checkRoute(q *request) string {
	denied := slices.Contains([]int{http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound}, q.status)
	if !denied {
		return ""
	}
	if q.kind != kindVersion && q.key == permanentKey {
		return "DENIED: refused although every configuration allows the request"
	}
	if q.status != http.StatusNotFound {
		return ""
	}
	for _, other := range d.record.requests {
		served := other.status == http.StatusOK && other.kind == kindVersion && other.version >= q.version
		same := other.entry == q.entry && other.incarnation == q.incarnation
		if served && same && q.sent.After(other.ended.Add(regressionSlack)) {
			return "CONFIG: the instance went back to an older configuration"
		}
	}
	applyDeadline := d.record.published[q.version-1].Add(applyTime + reconnectTime)
	if q.sent.After(applyDeadline) && d.wasUndisturbedSince(q, applyDeadline.Add(-applyTime-stabilityWindow)) {
		return "CONFIG: a route was not known in time after its publication"
	}
	return ""
}

func (d *deployment) wasUndisturbedSince(q *request, from time.Time) bool {
	return d.record.wasUndisturbed(q) && d.record.isUndisturbed(entryName(q.entry), from, q.ended) &&
		d.record.isUndisturbed(shutdownSubject(q.entry), from, q.ended) && d.record.isUndisturbed(storeSubject, from, q.ended)
}

// checkDeadline finds runs without a deadline or with a longer one than the caller's.
func (d *deployment) checkDeadline(q *request) string {
	for _, run := range d.record.runs[q.id] {
		if run.deadline <= 0 || run.deadline > q.deadline+deadlineSlack {
			return "BUDGET: the endpoint was given a deadline of " + run.deadline.String()
		}
	}
	return ""
}

// checkLeaving finds requests that reached a draining endpoint after drainTime, or an endpoint of an evacuated domain after
// evacuationTime.
func (d *deployment) checkLeaving() []string {
	var violations []string
	for _, a := range d.record.arrivals {
		q := d.record.requests[a.id]
		if q == nil || a.misdirected || !d.wasUndisturbedSince(q, q.sent.Add(-stabilityWindow-drainTime)) {
			continue
		}
		if at, ok := d.record.leaving[a.endpoint]; ok && a.at.After(at.Add(drainTime)) {
			violations = append(violations, fmt.Sprintf("DRAIN: %s got a request %s after it was leaving (%s)",
				a.endpoint, a.at.Sub(at), d.describe(q)))
		}
		for _, v := range d.evacuations {
			if v.domain == d.domainOf(a.endpoint) && a.at.After(v.from.Add(evacuationTime)) && a.at.Before(v.to) {
				violations = append(violations, fmt.Sprintf("EVAC: %s got a request %s after the evacuation (%s)",
					a.endpoint, a.at.Sub(v.from), d.describe(q)))
			}
		}
	}
	return violations
}

func (d *deployment) domainOf(id string) string {
	for _, e := range d.allEndpoints {
		if e.id == id {
			return e.domain
		}
	}
	return ""
}

// checkCold finds endpoints that got too many requests within any one second of their cold start.
func (d *deployment) checkCold() []string {
	var violations []string
	for id, cold := range d.record.cold {
		var times []time.Time
		for _, a := range d.record.arrivals {
			q := d.record.requests[a.id]
			if a.endpoint == id && !a.misdirected && a.at.Before(cold.to) && q != nil && a.at.Sub(q.sent) < time.Second {
				times = append(times, a.at)
			}
		}
		if most := testkit.MaxWithin(times, time.Second); float64(most) > coldRequestsPerSecond*coldFactor+coldSlack {
			violations = append(violations, fmt.Sprintf("FAILBACK: %s got %d requests in one second of its cold start", id, most))
		}
	}
	return violations
}

// checkLimits finds endpoints that named a request rate and got more requests from instances that knew it.
func (d *deployment) checkLimits() []string {
	var violations []string
	for _, l := range d.record.limits {
		told := d.toldInstances(l)
		var times []time.Time
		for _, a := range d.record.arrivals {
			q := d.record.requests[a.id]
			if q == nil || a.endpoint != l.endpoint || a.misdirected || a.at.After(l.to) {
				continue
			}
			at, ok := told[q.entry]
			if !ok || a.at.Before(at.Add(toldTime)) || !d.record.isUndisturbed(entryName(q.entry), l.from, a.at) {
				continue
			}
			if a.at.After(l.from.Add(stabilityWindow)) {
				times = append(times, a.at)
			}
		}
		allowed := limitFactor*l.perSecond*limitWindow.Seconds() + limitSlack
		if most := testkit.MaxWithin(times, limitWindow); float64(most) > allowed {
			violations = append(violations, fmt.Sprintf("LIMIT: %s named %.2f requests a second and got %d in %s, allowed are %.0f",
				l.endpoint, l.perSecond, most, limitWindow, allowed))
		}
	}
	return violations
}

// toldInstances returns when each instance had forwarded a response that names the rate.
func (d *deployment) toldInstances(l limitSpan) map[int]time.Time {
	told := make(map[int]time.Time)
	for _, q := range d.record.requests {
		for _, run := range d.record.runs[q.id] {
			if run.endpoint != l.endpoint || run.namedRate == 0 || !q.complete || q.seal != run.seal {
				continue
			}
			if at, ok := told[q.entry]; !ok || q.ended.Before(at) {
				told[q.entry] = q.ended
			}
		}
	}
	return told
}

// checkRetries finds services that got more retries than the retry budget allows.
func (d *deployment) checkRetries() []string {
	var violations []string
	for _, service := range []string{deskService, poolService} {
		var sent, retries []time.Time
		for _, q := range d.record.requests {
			if routeOf(q.kind, q.version).Service == service {
				sent = append(sent, q.sent)
			}
		}
		seen := make(map[string]bool)
		for _, a := range d.record.arrivals {
			if a.service == service && seen[a.id] {
				retries = append(retries, a.at)
			}
			seen[a.id] = true
		}
		allowed := retryRatio*float64(testkit.MaxWithin(sent, retryWindow)) + retrySlack
		if most := testkit.MaxWithin(retries, retryWindow); float64(most) > allowed {
			violations = append(violations, fmt.Sprintf("BUDGET: %s got %d retries in %s, allowed are %.0f",
				service, most, retryWindow, allowed))
		}
	}
	return violations
}

// checkLost finds undisturbed instances that left several requests, which endpoints ran, without a complete response.
func (d *deployment) checkLost() []string {
	lost := make(map[int][]string)
	for _, q := range d.record.requests {
		overdue := q.ended.Sub(q.sent) >= q.deadline
		if q.complete || q.callerLeft || overdue || len(d.record.runs[q.id]) == 0 || !d.record.wasUndisturbed(q) {
			continue
		}
		lost[q.entry] = append(lost[q.entry], d.describe(q))
	}
	var violations []string
	for index, texts := range lost {
		if len(texts) > maxLostRequests {
			violations = append(violations, fmt.Sprintf("LOST: %s left %d requests without a complete response: %s",
				entryName(index), len(texts), strings.Join(texts[:maxLostRequests], " | ")))
		}
	}
	return violations
}

// checkCancellation reports a violation if more than a quarter of the runs continue after their callers have left.
func (d *deployment) checkCancellation() []string {
	left, continued := 0, 0
	for _, q := range d.record.requests {
		if !q.callerLeft || !q.kind.isRetryable() || !d.record.wasUndisturbed(q) ||
			!d.record.isUndisturbed(shutdownSubject(q.entry), q.sent, q.ended) {
			continue
		}
		for _, run := range d.record.runs[q.id] {
			var load workload
			load.parse(q.body)
			if run.began.Add(load.time).Before(q.ended.Add(cancelTime)) {
				continue
			}
			left++
			if run.ended.After(q.ended.Add(cancelTime)) {
				continued++
			}
		}
	}
	if left >= minCancelSamples && 4*continued > left {
		return []string{fmt.Sprintf("GONE: endpoints continued to work on %d of %d runs whose callers had left", continued, left)}
	}
	return nil
}

// checkUnknownRuns finds runs of requests that no caller sent.
func (d *deployment) checkUnknownRuns() []string {
	var violations []string
	for id := range d.record.runs {
		if d.record.requests[id] == nil {
			violations = append(violations, "UNASKED: a run of the unknown request "+id)
		}
	}
	return violations
}
