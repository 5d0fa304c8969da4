package entry

import (
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/pace"
	"github.com/acacialift/acacialift/internal/scheduler"
)

// pacesService reports whether the pace of a service's endpoints is tracked.
func (h *Handler) pacesService(catalog *fleet.Catalog, service string) bool {
	return h.options.Pace != nil && catalog != nil && h.options.PaceMode.Enabled(catalog, service)
}

// attemptPace observes the endpoints of one attempt. A nil value observes nothing.
type attemptPace struct {
	x         *exchange
	primary   *fleet.Endpoint
	scheduled *scheduler.Placement
	// placed observes an attempt that no scheduler has placed.
	placed *pace.Request
	// shortest is the pass that the model predicts for the stream alone.
	shortest time.Duration
	pauses   pace.Pauses
	failed   bool
}

// observePace returns the observer of an attempt; nil if the pace of the service is not tracked.
func (x *exchange) observePace(p *attemptPlacement, now time.Time) *attemptPace {
	tracker := x.handler.options.Pace
	if !x.handler.pacesService(x.catalog, x.service.Name) {
		return nil
	}
	a := &attemptPace{x: x, primary: p.Primary, scheduled: p.schedulerPlacement}
	e := x.service.Engine
	if e == nil {
		return a
	}
	a.shortest = e.PassTime(1, x.call.PromptTokens)
	if a.scheduled == nil {
		a.placed = tracker.Place(p.Shares(), p.Part, false, now)
	}
	return a
}

// event records that events of the stream have arrived.
func (a *attemptPace) event(r *relay, now time.Time) {
	if a == nil || !r.streaming || a.x.service.Engine == nil {
		return
	}
	a.pauses.Event(now)
	if !a.pauses.ReportDue(a.shortest, now) {
		return
	}
	if a.scheduled != nil {
		a.scheduled.Report(scheduler.Observation{Pause: a.pauses.Low()})
		return
	}
	a.placed.Pauses(a.pass(now), a.pauses.Low(), now)
}

// pass returns the pass that the model predicts for the streams of the primary endpoint.
func (a *attemptPace) pass(now time.Time) time.Duration {
	totals, _ := a.x.handler.options.Load.Totals(now)
	counts := totals.Entries[a.primary.Key()]
	return a.x.service.Engine.PassTime(max(counts.Streams, 1), counts.UsedTokens)
}

// firstEvent records the time to the first event of a stream.
func (a *attemptPace) firstEvent(r *relay, now time.Time) {
	if a == nil || !r.streaming || a.x.service.Engine == nil {
		return
	}
	observed := now.Sub(r.sentAt)
	if a.scheduled != nil {
		a.scheduled.Observe(scheduler.Observation{First: observed})
		return
	}
	a.placed.FirstEvent(observed, now)
}

// fail records that the attempt has failed at its primary endpoint.
func (a *attemptPace) fail() {
	if a != nil {
		a.failed = true
	}
}

// end reports what is known at the end of the attempt, whose response ended at the given time.
func (a *attemptPace) end(r *relay, err error, ended time.Time) {
	if a == nil {
		return
	}
	tracker, key := a.x.handler.options.Pace, a.primary.Key()
	switch {
	case a.scheduled != nil:
		a.scheduled.Observe(scheduler.Observation{Pause: a.pauses.Low(), Failed: a.failed})
	case a.failed:
		tracker.Failed(key, ended)
	case a.x.service.Engine != nil:
		a.placed.Pauses(a.pass(ended), a.pauses.Low(), ended)
	case err == nil && r.classification.Verdict == Accepted:
		if r.streaming && !r.firstEventAt.IsZero() {
			ended = r.firstEventAt
		}
		tracker.ObserveLatency(key, a.x.profile.Name, ended.Sub(r.sentAt), ended)
	}
}

// release ends the observation, also if the attempt has not been sent.
func (a *attemptPace) release() {
	if a != nil {
		a.placed.End(time.Now())
	}
}

// maintainPace assesses the endpoints of the services whose pace is tracked, deletes those that are gone, and logs and counts the
// changes.
func (p *Process) maintainPace(now time.Time) {
	tracker := p.handler.options.Pace
	if tracker == nil {
		return
	}
	snapshot := p.options.State.Snapshot()
	if snapshot.Catalog == nil {
		return
	}
	for name, service := range snapshot.Catalog.Services {
		if !p.handler.pacesService(snapshot.Catalog, name) {
			continue
		}
		for _, e := range snapshot.Endpoints[name] {
			tracker.Assess(e.Key(), p.handler.condition(service, e, now), now)
		}
	}
	tracker.Forget(func(endpoint uint32) bool { return snapshot.ByKey[endpoint] != nil })
	for _, c := range tracker.TakeChanges() {
		p.logPace(c)
	}
	slow, starting := tracker.Counts()
	p.metrics.SetGauge("slow_endpoints", int64(slow))
	p.metrics.SetGauge("starting_endpoints", int64(starting))
}

// condition returns the condition of an endpoint. An endpoint is in cold start here only by its entry, as it is at a scheduler in this
// process, which shares the tracker: if both differed, each assessment would begin a slow start again. One that has refused a connection
// is suspect, so that its slow start begins when it no longer is.
func (h *Handler) condition(service *fleet.Service, e *fleet.Endpoint, now time.Time) pace.Condition {
	slots := e.Slots
	if service.Engine != nil {
		slots = service.Engine.Slots
	}
	return pace.Condition{
		Slots: slots, Cold: service.ColdRate > 0 && e.IsCold(now), Suspect: h.options.Health.IsSuspect(e.Key(), now),
	}
}

// logPace logs and counts a change of an endpoint's pace.
func (p *Process) logPace(c pace.Change) {
	p.metrics.PaceChanged(c.Event)
	line := p.log.Info().Str("endpoint", p.options.State.EndpointID(c.Endpoint)).Str("state", string(c.Event))
	switch c.Event {
	case pace.BecameSlow:
		line = line.Float64("factor", c.Factor).Int("evidence", c.Evidence)
	case pace.StartBegan:
		line = line.Str("reason", string(c.Reason)).Int("window", c.Window)
	case pace.StartEnded:
		line = line.Str("reason", string(c.Reason))
	}
	line.Msg("endpoint_pace")
}
