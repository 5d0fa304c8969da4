package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/placement"
	"github.com/acacialift/acacialift/internal/returntimes"
	"github.com/acacialift/acacialift/internal/scheduler"
	"github.com/acacialift/acacialift/internal/settings"
)

// returnSchedules holds the schedules of return times of this instance, one for each service. They are used for the refusals
// that this instance decides itself.
type returnSchedules struct {
	mode    settings.Mode
	metrics *Metrics

	mu        sync.Mutex
	byService map[string]*returntimes.Schedule
}

// returnOptions configures the return times of the shards for which this instance is the scheduler.
func returnOptions(mode settings.Mode, m *Metrics) scheduler.ReturnOptions {
	return scheduler.ReturnOptions{
		Enabled: func(catalog *fleet.Catalog, service string) bool { return mode.Enabled(catalog, service) },
		Options: returntimes.Options{Random: rand.Float64, Observer: m},
	}
}

// enabledFor reports whether return times are enabled for a service.
func (r *returnSchedules) enabledFor(catalog *fleet.Catalog, service string) bool {
	return r.mode.Enabled(catalog, service)
}

// enabledForAny reports whether return times are enabled for any service of a catalog, which may be nil.
func (r *returnSchedules) enabledForAny(catalog *fleet.Catalog) bool {
	if r.mode == settings.ModeOn || catalog == nil {
		return r.mode == settings.ModeOn
	}
	for name := range catalog.Services {
		if r.enabledFor(catalog, name) {
			return true
		}
	}
	return false
}

// maxReturnSchedules bounds the schedules, because catalogs may name any number of services over time.
const maxReturnSchedules = 64

// schedule returns the schedule of a service.
func (r *returnSchedules) schedule(service string) *returntimes.Schedule {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.byService[service]
	if s == nil {
		if r.byService == nil || len(r.byService) == maxReturnSchedules {
			r.byService = make(map[string]*returntimes.Schedule)
		}
		s = returntimes.New(returntimes.Options{Random: rand.Float64, Observer: r.metrics})
		r.byService[service] = s
	}
	return s
}

// returnState is what an exchange knows of return times. schedule is nil if they are not enabled for the service.
type returnState struct {
	schedule *returntimes.Schedule
	work     returntimes.Work
	rank     int
	// returning is true if the caller keeps to the time that it was told, and precedes if it also goes before newcomers.
	returning, precedes bool
	// toldFor is the time at which a scheduler expects the caller; zero if none does.
	toldFor time.Time
}

// minReturn is the least delay that is left of a return time which a scheduler has assigned. The request may have waited at another
// scheduler since then.
const minReturn = 50 * time.Millisecond

// beginReturns looks for the caller's place in the schedule of this instance.
func (x *exchange) beginReturns(now time.Time) {
	h := x.handler
	if x.returns.schedule != nil || !h.returns.enabledFor(x.catalog, x.service.Name) {
		return
	}
	s := h.returns.schedule(x.service.Name)
	x.returns = returnState{schedule: s, work: x.returnWork(), rank: x.rank()}
	x.returns.returning = s.Arrived(uint64(x.call.Prompt.Own), now)
	x.returns.precedes = x.returns.returning && s.MayPrecede(x.returns.work, now)
}

// returnWork returns what the call needs of the capacity of its service.
func (x *exchange) returnWork() returntimes.Work {
	e := x.service.Engine
	if e == nil || placement.IsShort(e, x.need()) {
		return returntimes.Work{Class: returntimes.Short}
	}
	return returntimes.Work{Class: returntimes.Long, EngineTime: e.PrefillTime(x.call.PromptTokens)}
}

// leaveRoomForReturns makes a newcomer with a short prompt leave room for the callers that are due. In a queue they precede it
// anyway.
func (x *exchange) leaveRoomForReturns(need *placement.Need, now time.Time) {
	r := &x.returns
	if r.schedule != nil && r.work.Class == returntimes.Short && !r.precedes && !x.mayWait() {
		need.LeaveRoom(r.schedule.Due(r.rank, now))
	}
}

// returnTerms returns how the caller is known to the schedulers; nil if there are no return times for the service.
func (x *exchange) returnTerms() *scheduler.ReturnTerms {
	if x.returns.schedule == nil {
		return nil
	}
	return &scheduler.ReturnTerms{Prompt: uint64(x.call.Prompt.Own), Rank: x.returns.rank}
}

// observeTold records what a scheduler's refusal says of return times.
func (x *exchange) observeTold(refusal *placement.Refusal, now time.Time) {
	x.returns.returning = x.returns.returning || refusal.Returning
	if refusal.Told {
		x.returns.toldFor = now.Add(refusal.RetryAfter)
	}
}

// observePlaced records that the call was placed.
func (x *exchange) observePlaced(now time.Time) {
	if x.returns.schedule != nil {
		x.returns.schedule.ObservePlaced(x.returns.work, uint64(x.call.Prompt.Own), now)
	}
}

// observeWorkEnded records that the work of a class on the call has ended: that of a short prompt with its response, that of a
// long one with its prefill. Calls without a response are not counted, because an endpoint that fails requests at once has no
// capacity.
func (x *exchange) observeWorkEnded(class returntimes.Class) {
	if x.returns.schedule != nil && x.returns.work.Class == class && !x.firstEventAt.IsZero() {
		x.returns.schedule.ObserveEnd(x.returns.work, time.Now())
	}
}

// tellReturn replaces the delay of a refusal by the time at which the caller is to return. A scheduler may have assigned that
// already.
func (x *exchange) tellReturn(refusal *placement.Refusal, now time.Time) {
	r := &x.returns
	if r.schedule == nil || refusal.Reason == placement.TooLarge {
		return
	}
	r.schedule.ObserveRefused(r.work, now)
	if left := r.toldFor.Sub(now); !r.toldFor.IsZero() && left >= minReturn {
		refusal.RetryAfter = left
		return
	}
	refusal.RetryAfter = r.schedule.Assign(returntimes.Return{
		Caller: returntimes.Caller{Prompt: uint64(x.call.Prompt.Own), Rank: r.rank, First: x.received}, Work: r.work,
		Earliest: refusal.RetryAfter, Latest: returntimes.Latest(x.remaining(now)),
	}, now)
}

// remaining returns the time that the caller has left; zero if that is not known.
func (x *exchange) remaining(now time.Time) time.Duration {
	limit := x.call.Budget
	if limit <= 0 {
		limit = x.profile.TimeLimit
	}
	if limit <= 0 {
		return 0
	}
	// A caller without time left follows only the shortest delay.
	return max(limit-now.Sub(x.received), time.Millisecond)
}

// notRunDelay returns the Retry-After if no endpoint has accepted the call.
func (x *exchange) notRunDelay(now time.Time) time.Duration {
	if x.handler.returns.mode != settings.ModeOn {
		return notRunRetryAfter
	}
	return returntimes.Spread(notRunRetryAfter, x.remaining(now), rand.Float64())
}

// outageDelay returns the Retry-After while the configuration is missing or unconfirmed. If this instance reaches more than half
// of the fleet, all instances lack the configuration, and a caller that returns soon is refused again. Otherwise another instance
// can probably serve the caller.
func (x *exchange) outageDelay(now time.Time) time.Duration {
	options := x.handler.options
	if !x.handler.returns.enabledForAny(x.catalog) || options.HasMajority == nil || !options.HasMajority(now) {
		return unavailableRetryAfter
	}
	return returntimes.DuringOutage(x.call.Budget, rand.Float64())
}
