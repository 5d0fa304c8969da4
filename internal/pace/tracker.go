package pace

import (
	"sync"
	"time"
)

const (
	// settleTime is how long after the first endpoint a tracker takes further ones for endpoints that were there before it.
	settleTime = 3 * time.Second
	// maxRecords bounds the endpoints that are tracked. Further ones count as normal.
	maxRecords = 8192
)

// Condition is what is published or known of an endpoint besides its answers.
type Condition struct {
	// Slots is the number of requests that the endpoint runs at once.
	Slots int
	// Cold is true during the cold start, Suspect while the endpoint fails requests.
	Cold, Suspect bool
}

// Pace is what placement takes into account of an endpoint.
type Pace struct {
	// Slowdown is 1 for an endpoint that is as fast as predicted, 2 for one that is half as fast.
	Slowdown float64
	// Window bounds the in-flight requests; zero means that the slots alone bound them.
	Window int
	// Probe is true for an endpoint that was slow and has not answered on time since. Slowdown is that of before. A request of
	// little cost may be sent to it as if it were as fast as predicted.
	Probe bool
}

// record is what is known of an endpoint.
type record struct {
	samples    samples
	lateGroups groupSamples
	// inFlight holds the requests without a first event.
	inFlight []*Request
	// latestPart is the longest of the latest prefills, and latestPartAt its end.
	latestPart   time.Duration
	latestPartAt time.Time
	// lateSince is the time since which the evidence has shown a slow endpoint; zero if it does not.
	lateSince time.Time
	// overdueAt is the time from which a request may be overdue.
	overdueAt time.Time
	// lastOnTime is the time of the latest answer on time.
	lastOnTime time.Time
	window     window
	// factor is the slowdown of a slow endpoint; zero if the endpoint is not slow.
	factor float64
	// probing is true from the time at which a slow endpoint is probed until it counts as normal or slow again.
	probing    bool
	lateProbes int
	// probedFactor is the slowdown before the probe, until an answer is on time.
	probedFactor float64
	probeDelay   time.Duration
	// lastAnswer is the time of the latest answer, or the time at which the endpoint became slow.
	lastAnswer time.Time
	// partial is true if other trackers learn of requests to the endpoint that this one does not.
	partial bool
	// plain is true for an endpoint of a plain service.
	plain                bool
	wasCold, wasTroubled bool
}

// Tracker tracks the pace of endpoints. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	records map[uint32]*record
	// settled is the time from which an unknown endpoint counts as one that has just started.
	settled time.Time
	changes []Change
	// baselines holds the median latency of each group of requests to plain services.
	baselines map[string]time.Duration
}

// NewTracker returns a tracker without endpoints.
func NewTracker() *Tracker {
	return &Tracker{records: make(map[uint32]*record), baselines: make(map[string]time.Duration)}
}

// Assess records the condition of an endpoint and returns its pace. A slow start begins if the endpoint was unknown, has left
// its cold start or is no longer suspect.
func (t *Tracker) Assess(endpoint uint32, c Condition, now time.Time) Pace {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[endpoint]
	if r == nil {
		if r = t.add(endpoint, now); r == nil {
			return Pace{Slowdown: 1}
		}
		if !c.Cold && !c.Suspect && now.After(t.settled) {
			t.beginStart(endpoint, r, startWindow(c.Slots), c.Slots, Started, now)
		}
	}
	switch {
	case r.wasTroubled && !c.Suspect && !c.Cold:
		t.beginStart(endpoint, r, startWindow(c.Slots), c.Slots, Recovered, now)
	case r.wasCold && !c.Cold && !c.Suspect:
		t.beginStart(endpoint, r, startWindow(c.Slots), c.Slots, LeftColdStart, now)
	}
	if c.Cold || c.Suspect {
		r.wasCold, r.wasTroubled = r.wasCold || c.Cold, r.wasTroubled || c.Suspect
	} else {
		r.wasCold, r.wasTroubled = false, false
	}
	r.window.slots = c.Slots
	t.advance(endpoint, r, now)
	if len(r.inFlight) > 0 && !now.Before(r.overdueAt) {
		r.overdueAt = now.Add(overdueInterval)
		t.judge(endpoint, r, now)
	}
	return Pace{Slowdown: r.pace(), Window: r.window.limit(), Probe: r.probedFactor > 0}
}

// add creates the record of an endpoint; nil if there are too many.
func (t *Tracker) add(endpoint uint32, now time.Time) *record {
	if len(t.records) >= maxRecords {
		return nil
	}
	if t.settled.IsZero() {
		t.settled = now.Add(settleTime)
	}
	r := &record{}
	t.records[endpoint] = r
	return r
}

// Slowdown returns how much slower an endpoint is than predicted: 1 as predicted, 2 half as fast.
func (t *Tracker) Slowdown(endpoint uint32, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[endpoint]
	if r == nil {
		return 1
	}
	t.advance(endpoint, r, now)
	return r.pace()
}

// pace returns the slowdown that placement uses.
func (r *record) pace() float64 { return max(r.factor, r.probedFactor, 1) }

// Window returns the bound on the in-flight requests of an endpoint. It returns false if its slots alone bound them.
func (t *Tracker) Window(endpoint uint32, now time.Time) (limit int, bounded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[endpoint]
	if r == nil {
		return 0, false
	}
	t.advance(endpoint, r, now)
	return r.window.limit(), r.window.active()
}

// Observe records the answer of an endpoint that processed a request alone. The prediction is that of the published model,
// without the slowdown of the endpoint.
func (t *Tracker) Observe(endpoint uint32, predicted, observed time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[endpoint]; r != nil {
		t.observe(endpoint, r, ratioOf(predicted, observed), now)
	}
}

func (t *Tracker) observe(endpoint uint32, r *record, ratio float64, now time.Time) {
	t.advance(endpoint, r, now)
	r.samples.add(ratio, now)
	r.lastAnswer = now
	late := ratio >= slowFrom
	if late {
		r.window.late(now)
	} else {
		r.window.onTime(now)
	}
	if ratio < normalBelow {
		r.lastOnTime, r.probedFactor = now, 0
		r.lateGroups.clear()
	}
	switch {
	case r.probing && late:
		t.failProbe(endpoint, r, ratio, now)
	case r.factor > 0:
		t.updateSlow(endpoint, r, now)
	}
	t.judge(endpoint, r, now)
	t.advance(endpoint, r, now)
}

// judge makes an endpoint slow if its answers, and the requests that wait for one, show it.
func (t *Tracker) judge(endpoint uint32, r *record, now time.Time) {
	if r.factor > 0 || r.probing {
		return
	}
	least := slowFrom
	if r.partial {
		least = partialSlowFrom
	}
	switch e := r.evidence(now); {
	case e.slowdown < least:
		r.lateSince = time.Time{}
	case r.lateSince.IsZero():
		r.lateSince = e.since
		fallthrough
	default:
		if now.Sub(r.lateSince) >= minSampleSpan {
			t.becomeSlow(endpoint, r, e.slowdown, e.count, now)
			return
		}
	}
	if !r.partial {
		t.judgeGroups(endpoint, r, now)
	}
}

// Failed records a request that failed at an endpoint.
func (t *Tracker) Failed(endpoint uint32, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[endpoint]; r != nil {
		t.advance(endpoint, r, now)
		r.window.late(now)
	}
}

// updateSlow updates the slowdown of a slow endpoint, or ends it after recoveredSamples answers on time.
func (t *Tracker) updateSlow(endpoint uint32, r *record, now time.Time) {
	if r.samples.lastOnTime(recoveredSamples) {
		r.factor, r.probing = 0, true
		t.beginStart(endpoint, r, startWindow(r.window.slots), r.window.slots, NoLongerSlow, now)
		return
	}
	if e := r.evidence(now); e.slowdown >= normalBelow {
		r.factor = e.slowdown
	}
}

// evidence returns what the latest answers, and the requests that wait for one, show together.
func (r *record) evidence(now time.Time) evidence {
	if r.plain {
		return r.samples.slowdown(now, plainSamples, plainSamples)
	}
	if r.partial {
		return r.samples.slowdown(now, partialSamples, partialSamples)
	}
	withOverdue := r.addOverdue(r.samples, now)
	return withOverdue.slowdown(now, minSamples, quantileDivisor)
}

func (t *Tracker) becomeSlow(endpoint uint32, r *record, factor float64, evidence int, now time.Time) {
	if r.probeDelay == 0 {
		r.probeDelay = minProbeDelay
	}
	r.factor, r.probedFactor, r.probing, r.lateProbes, r.lastAnswer = factor, 0, false, 0, now
	r.lateSince = time.Time{}
	r.window.size = 0
	t.change(Change{Endpoint: endpoint, At: now, Event: BecameSlow, Factor: factor, Evidence: evidence})
}

// failProbe counts a late answer to a probe.
func (t *Tracker) failProbe(endpoint uint32, r *record, ratio float64, now time.Time) {
	if r.lateProbes++; r.lateProbes < failedProbes {
		return
	}
	r.probeDelay = min(2*r.probeDelay, maxProbeDelay)
	t.becomeSlow(endpoint, r, ratio, r.lateProbes, now)
}

// advance applies the time that has passed: it begins the probe of a slow endpoint, and ends slow starts.
func (t *Tracker) advance(endpoint uint32, r *record, now time.Time) {
	if r.factor > 0 && now.Sub(r.lastAnswer) >= r.probeDelay {
		r.factor, r.probedFactor, r.probing, r.lateProbes = 0, r.factor, true, 0
		t.beginStart(endpoint, r, probeWindow, r.window.slots, Probe, now)
	}
	if !r.window.advance(now) {
		return
	}
	t.change(Change{Endpoint: endpoint, At: now, Event: StartEnded, Reason: r.window.reason})
	if r.probing {
		r.probing, r.probeDelay, r.probedFactor = false, 0, 0
		r.samples, r.lateGroups = samples{}, groupSamples{}
		t.change(Change{Endpoint: endpoint, At: now, Event: BecameNormal})
	}
}

// beginStart begins a slow start. One that goes on for the same reason is not begun anew: a scheduler and its instance, which share a
// tracker, may differ about whether an endpoint is suspect.
func (t *Tracker) beginStart(endpoint uint32, r *record, size float64, slots int, reason Reason, now time.Time) {
	if r.window.active() && r.window.reason == reason {
		r.window.size = min(r.window.size, size)
		return
	}
	r.window.begin(size, slots, reason, now)
	t.change(Change{Endpoint: endpoint, At: now, Event: StartBegan, Reason: reason, Window: r.window.limit()})
}

// Forget deletes the endpoints for which isLive returns false.
func (t *Tracker) Forget(isLive func(endpoint uint32) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for endpoint := range t.records {
		if !isLive(endpoint) {
			delete(t.records, endpoint)
		}
	}
}
