package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/limit"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/placement"
	"github.com/acacialift/acacialift/internal/returntimes"
	"github.com/acacialift/acacialift/internal/scheduler"
)

// ignoreReturns is an observer that nobody reads.
type ignoreReturns struct{}

func (ignoreReturns) ReturnError(time.Duration) {}
func (ignoreReturns) Returned(bool, bool)       {}
func (ignoreReturns) NotReturned()              {}

// unstated is the prompt of a request whose instance is of an earlier version and states nothing about its caller.
const unstated = 0

// returnShard is a shard with one engine whose slots are always in use: every 5 ms a request ends and another one is placed.
type returnShard struct {
	*scheduler.Scheduler
	now     time.Time
	running []load.Number
	next    load.Number
}

// newReturnShard returns a shard that has been busy for three seconds.
func newReturnShard(returnTimes bool) *returnShard {
	sched := scheduler.NewScheduler(scheduler.Options{
		State: newState(1), IsSuspect: func(uint32, time.Time) bool { return false },
		ColdLimiter: limit.NewFleetColdLimiter(1.5, 5, func(time.Time) bool { return true }),
		Planner:     placement.Planner{IntN: func(int) int { return 0 }},
		Returns: scheduler.ReturnOptions{
			Enabled: func(*fleet.Catalog, string) bool { return returnTimes },
			Options: returntimes.Options{Random: func() float64 { return 0.5 }, Observer: ignoreReturns{}},
		},
	})
	sched.Sync(onlyShard, requester, nil, start.Add(-warmUpTime))
	b := &returnShard{Scheduler: sched, now: start}
	b.runUntil(start.Add(3 * time.Second))
	return b
}

// request returns a request of the caller with a prompt.
func (b *returnShard) request(prompt uint64) scheduler.PlaceRequest {
	b.next++
	r := shortRequest(int(b.next))
	if prompt != unstated {
		r.Returns = &scheduler.ReturnTerms{Prompt: prompt}
	}
	return r
}

// place places a request of the caller with a prompt, and returns its refusal.
func (b *returnShard) place(prompt uint64) *placement.Refusal {
	request := b.request(prompt)
	_, refusal, ok := b.Place(request, b.now)
	Expect(ok).To(BeTrue())
	if refusal == nil {
		b.PrefillDone(onlyShard, requester, request.Number)
		b.running = append(b.running, request.Number)
	}
	return refusal
}

// endOne ends the oldest request.
func (b *returnShard) endOne() {
	b.End(onlyShard, requester, b.running[0])
	b.running = b.running[1:]
}

// runUntil lets requests end and others be placed until a time.
func (b *returnShard) runUntil(end time.Time) {
	for b.now.Before(end) {
		b.now = b.now.Add(5 * time.Millisecond)
		if len(b.running) == slots {
			b.endOne()
		}
		for len(b.running) < slots {
			Expect(b.place(unstated)).To(BeNil())
		}
	}
	b.now = end
}

var _ = Describe("the return times of a shard", func() {
	const caller = 4711

	// Guards against newcomers that take the slot of a caller which comes back at the time that it was told.
	It("lets a caller that keeps to its time go before newcomers", func() {
		b := newReturnShard(true)
		refusal := b.place(caller)
		Expect(refusal.Told).To(BeTrue())
		Expect(refusal.Returning).To(BeFalse())
		b.runUntil(b.now.Add(refusal.RetryAfter))
		b.endOne()
		Expect(b.place(1)).NotTo(BeNil(), "newcomer")
		Expect(b.place(caller)).To(BeNil(), "returning caller")
	})

	// Guards against a caller that cannot be told apart in the log and the counters when it is refused again.
	It("recognises a caller that is refused again", func() {
		b := newReturnShard(true)
		b.runUntil(b.now.Add(b.place(caller).RetryAfter))
		refusal := b.place(caller)
		Expect(refusal.Returning).To(BeTrue())
	})

	// Guards against callers that are expected at several shards, because they were refused by more than the one to which
	// their next attempt is sent first.
	It("tells a time only to callers whose prompt selects the shard", func() {
		b := newReturnShard(true)
		shard := scheduler.Shard{Service: onlyShard.Service, Count: 2, Index: 0}
		b.Sync(shard, requester, nil, b.now.Add(-warmUpTime))
		request := b.request(caller)
		request.Shard, request.Need.Objective = shard, time.Millisecond
		_, refusal, ok := b.Place(request, b.now)
		if ok {
			Expect(refusal.Told).To(BeFalse())
		}
	})

	// Guards against any effect of return times where the configuration does not ask for them.
	It("are not told where they are not enabled", func() {
		b := newReturnShard(false)
		refusal := b.place(caller)
		Expect(refusal.Told).To(BeFalse())
		at := b.now.Add(refusal.RetryAfter)
		b.runUntil(at)
		b.endOne()
		Expect(b.place(1)).To(BeNil(), "newcomer")
	})

	// Guards against requests that have waited, and are then refused with a time at which nobody expects them.
	It("are told to requests that the queue refuses", func() {
		b := newReturnShard(true)
		request := b.request(caller)
		request.Returns, request.Terms = nil, &scheduler.WaitTerms{Prompt: caller, Hold: scheduler.HoldTime, Useful: time.Millisecond}
		request.Need.Objective = time.Millisecond
		var outcome scheduler.Outcome
		b.PlaceOrWait(request, b.now, func(o scheduler.Outcome) { outcome = o })
		b.Dispatch(b.now.Add(20 * time.Millisecond))
		Expect(outcome.Refusal).NotTo(BeNil())
		Expect(outcome.Refusal.Told).To(BeTrue())
	})

	// Guards against a caller that is lost, or waited for, because the scheduler that told it the time has failed.
	It("mean nothing to a scheduler that has lost its schedule", func() {
		b := newReturnShard(true)
		told := b.place(caller).RetryAfter
		next := newReturnShard(true)
		next.runUntil(next.now.Add(told))
		refusal := next.place(caller)
		Expect(refusal.Returning).To(BeFalse())
		Expect(refusal.Told).To(BeTrue())
		next.endOne()
		Expect(next.place(caller + 1)).To(BeNil())
	})

	// Guards against fields that are lost between an instance and the scheduler of another one.
	It("travel in the extensions of place requests and replies", func() {
		server := &scheduler.Server{Scheduler: newReturnShard(true).Scheduler, State: newState(1)}
		l := &link{server: server}
		var reply peer.PlaceReply
		for n := range uint64(slots + 1) {
			message := peer.PlaceRequest{
				From: requester, Number: 1<<30 + n, Shard: peer.PlaceShard{Service: onlyShard.Service, Count: 1}, Tokens: 100, Output: 100,
				ObjectiveMS: 1000, MaxGapMS: 300, LimitMS: 10_000,
				Extension: peer.PlaceRequestExtension{HasReturns: true, Prompt: caller + n},
			}
			_, body := server.Handle(peer.Hello{}, l.encode(peer.KindPlaceRequest, &message))
			reply = peer.PlaceReply{}
			Expect(l.encode(peer.KindPlaceReply, body).Decode(&reply)).To(Succeed())
		}
		Expect(reply.Reason).NotTo(BeEmpty())
		Expect(reply.Extension.Told).To(BeTrue())
	})
})
