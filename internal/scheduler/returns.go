package scheduler

import (
	"slices"
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/placement"
	"github.com/acacialift/acacialift/internal/returntimes"
	"github.com/acacialift/acacialift/internal/waitqueue"
)

// ReturnTerms identifies the caller of a request without Terms to the schedule of return times.
type ReturnTerms struct {
	// Prompt is a hash of the caller's own part of the prompt; zero if there is none.
	Prompt uint64
	// Rank is the urgency of the request; 0 is the highest rank.
	Rank int
}

// returnTerms returns how the caller is known to the schedule of return times. It returns false if the instance of the caller
// does not state it.
func (r *PlaceRequest) returnTerms() (ReturnTerms, bool) {
	switch {
	case r.Terms != nil:
		return ReturnTerms{Prompt: r.Terms.Prompt, Rank: r.Terms.Rank}, true
	case r.Returns != nil:
		return *r.Returns, true
	}
	return ReturnTerms{}, false
}

// ReturnOptions configures the schedules of return times.
type ReturnOptions struct {
	// Enabled reports whether a service has return times; if nil, none has.
	Enabled func(catalog *fleet.Catalog, service string) bool
	returntimes.Options
}

// returnSchedule returns the schedule of a shard; nil if its service has none.
func (s *Scheduler) returnSchedule(v *shardView, state *shardState) *returntimes.Schedule {
	o := &s.options.Returns
	switch {
	case o.Enabled == nil || !o.Enabled(v.snapshot.Catalog, v.service.Name):
		state.returns = nil
	case state.returns == nil:
		state.returns = returntimes.New(o.Options)
	}
	return state.returns
}

// returningRequest is what the schedule of a shard knows of a request. schedule is nil if there is none.
type returningRequest struct {
	schedule *returntimes.Schedule
	terms    ReturnTerms
	work     returntimes.Work
	// isHome is true if the caller's prompt selects this shard. Only the scheduler of that shard tells a return time, because the
	// caller's next attempt is sent there first. Callers without a prompt hash reach any shard.
	isHome bool
	// returning is true if the caller keeps to the time that it was told, precedes if it also goes before newcomers.
	returning, precedes bool
}

// beginReturn looks for the place of a request in the schedule of its shard.
func (s *Scheduler) beginReturn(v *shardView, state *shardState, request *PlaceRequest, now time.Time) returningRequest {
	terms, known := request.returnTerms()
	schedule := s.returnSchedule(v, state)
	if schedule == nil || !known {
		return returningRequest{}
	}
	r := returningRequest{
		schedule: schedule, terms: terms, work: workOf(v.service.Engine.PrefillTime(request.Need.Tokens)),
		isHome: terms.Prompt == 0 || terms.Prompt%uint64(request.Shard.Count) == uint64(request.Shard.Index),
	}
	r.returning = r.isHome && schedule.Arrived(terms.Prompt, now)
	r.precedes = r.returning && schedule.MayPrecede(r.work, now)
	return r
}

// workOf returns the work of a prompt with the given prefill time on one engine.
func workOf(prefill time.Duration) returntimes.Work {
	if placement.IsShortPrefill(prefill) {
		return returntimes.Work{Class: returntimes.Short}
	}
	return returntimes.Work{Class: returntimes.Long, EngineTime: prefill}
}

// leaveRoom makes a newcomer with a short prompt leave room for the callers that are due.
func (r *returningRequest) leaveRoom(need *placement.Need, now time.Time) {
	if r.schedule != nil && r.work.Class == returntimes.Short && !r.precedes {
		need.LeaveRoom(r.schedule.Due(r.terms.Rank, now))
	}
}

// observePlaced records that the request was placed.
func (r *returningRequest) observePlaced(now time.Time) {
	if r.schedule != nil {
		r.schedule.ObservePlaced(r.work, r.terms.Prompt, now)
	}
}

// tell replaces the delay of a refusal by the time at which the caller is to return. limit is the remaining time of the request.
func (r *returningRequest) tell(refusal *placement.Refusal, limit time.Duration, now time.Time) {
	if r.schedule == nil || refusal.Reason == placement.TooLarge {
		return
	}
	r.schedule.ObserveRefused(r.work, now)
	refusal.Returning = r.returning
	if !r.isHome {
		return
	}
	refusal.Told = true
	refusal.RetryAfter = r.schedule.Assign(returntimes.Return{
		Caller: returntimes.Caller{Prompt: r.terms.Prompt, Rank: r.terms.Rank, First: now}, Work: r.work,
		Earliest: refusal.RetryAfter, Latest: returntimes.Latest(max(limit, time.Millisecond)),
	}, now)
}

// tell is returningRequest.tell for a request that has waited.
func (w *waitingRequest) tell(refusal *placement.Refusal, now time.Time) *placement.Refusal {
	w.returns.tell(refusal, w.request.Limit-now.Sub(w.received), now)
	return refusal
}

// inReturnOrder sorts requests that a queue has given up, so that the first ones get the earlier return times.
func inReturnOrder(refused []waitqueue.Refused) []waitqueue.Refused {
	caller := func(r *waitqueue.Refused) returntimes.Caller {
		return returntimes.Caller{Prompt: r.Request.Prompt, Rank: r.Request.Rank, First: r.Request.Arrived}
	}
	slices.SortStableFunc(refused, func(a, b waitqueue.Refused) int { return returntimes.Compare(caller(&a), caller(&b)) })
	return refused
}

// messageWithReturns returns the message of a request without Terms. Its extension is sent only if there are return times, because
// extensions are sent with pointers to messages only.
func messageWithReturns(request *PlaceRequest) any {
	message := placeRequestMessage(request)
	if request.Returns == nil {
		return message
	}
	return &message
}

// replyWithReturns returns the reply to a request without Terms. Its extension is sent only if it says something.
func replyWithReturns(choice placement.Choice, refusal *placement.Refusal) any {
	reply := replyMessage(choice, refusal)
	if reply.Extension == (peer.PlaceReplyExtension{}) {
		return reply
	}
	return &reply
}

// placedWork returns the work of a placed request as the schedule of its shard counts it.
func placedWork(w *load.Work) returntimes.Work {
	return workOf(w.Part * time.Duration(1+len(w.Helpers)))
}

// observeEnd records that the work of a class on a request has ended: that of a short prompt with its response, that of a long
// one with its prefill.
func (st *shardState) observeEnd(p *placedRequest, class returntimes.Class) {
	if st.returns != nil && p.work.Class == class {
		st.returns.ObserveEnd(p.work, st.lastMessage)
	}
}
