package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/placement"
	"github.com/acacialift/acacialift/internal/scheduler"
)

// fillScheduler uses all slots of one engine.
func fillScheduler(sched *scheduler.Scheduler, now time.Time) {
	for n := range slots {
		_, refusal, ok := sched.Place(shortRequest(1000+n), now)
		Expect(ok).To(BeTrue())
		Expect(refusal).To(BeNil())
		sched.PrefillDone(onlyShard, requester, load.Number(1000+n))
	}
}

// noDeferral is a deferral of a connection with too many deferred replies.
type noDeferral struct{}

func (noDeferral) Defer() (reply func(peer.Kind, any), ok bool) { return nil, false }

var _ = Describe("a request that waits", func() {
	var (
		state    *fleet.State
		sched    *scheduler.Scheduler
		now      time.Time
		outcomes chan scheduler.Outcome
	)
	reply := func(o scheduler.Outcome) { outcomes <- o }
	BeforeEach(func() {
		now = time.Now()
		state = newState(1)
		sched = newScheduler(state)
		sched.Sync(onlyShard, requester, nil, now.Add(-warmUpTime))
		fillScheduler(sched, now)
		outcomes = make(chan scheduler.Outcome, 10)
	})

	// Guards against a request that is refused without a deferral and stays in the queue, where it takes a slot for which nobody asks.
	It("leaves the queue if the reply to its renewal cannot be deferred", func() {
		request := waitingRequest(1)
		request.Terms.Hold = 0
		sched.PlaceOrWait(request, now, reply)
		Expect((<-outcomes).Waiting).To(BeTrue())
		server := &scheduler.Server{Self: remote, Load: load.NewTracker(), Scheduler: sched, State: state, Log: zerolog.Nop()}
		message := peer.PlaceRequest{
			From: requester, Number: 1, Shard: peer.PlaceShard{Service: onlyShard.Service, Count: 1}, Tokens: 100, Output: 100,
			ObjectiveMS: 1000, MaxGapMS: 300, LimitMS: 5000,
			Extension: peer.PlaceRequestExtension{Waits: true, FullObjectiveMS: 2000, UsefulMS: 4000, HoldMS: 250},
		}
		frame, err := peer.EncodeFrame(peer.KindPlaceRequest, 1, false, &message)
		Expect(err).NotTo(HaveOccurred())
		envelopes, err := new(peer.Decoder).Feed(frame)
		Expect(err).NotTo(HaveOccurred())
		envelopes[0].Deferral = noDeferral{}
		_, body := server.Handle(peer.Hello{Name: "peer"}, &envelopes[0])
		Expect(body.(peer.PlaceReply).Placed).To(BeFalse())
		Expect(sched.Waiting()[onlyShard]).To(BeZero())
	})

	// Guards against a running request that is no longer counted: it was placed without a deferral, placed again from the queue, and
	// that placement lapsed.
	It("is counted until it ends if it is placed without a deferral", func() {
		request := waitingRequest(1)
		request.Terms.Hold = 0
		sched.PlaceOrWait(request, now, reply)
		Expect((<-outcomes).Waiting).To(BeTrue())
		sched.End(onlyShard, requester, 1000)
		_, refusal, ok := sched.Place(request, now)
		Expect(ok).To(BeTrue())
		Expect(refusal).To(BeNil())
		sched.End(onlyShard, requester, 1001)
		sched.Dispatch(now.Add(10 * time.Millisecond))
		sched.Dispatch(now.Add(700 * time.Millisecond))
		_, refusal, _ = sched.Place(shortRequest(50), now.Add(700*time.Millisecond))
		Expect(refusal).To(BeNil())
		_, refusal, _ = sched.Place(shortRequest(51), now.Add(700*time.Millisecond))
		Expect(refusal).NotTo(BeNil())
	})

	// Guards against a prompt that no set of endpoints can hold and that waits behind others until its useful time has ended.
	It("is refused at once if it exceeds the memory of the shard, also behind others", func() {
		long := waitingRequest(1)
		long.Need.Tokens = 90_000
		sched.PlaceOrWait(long, now, reply)
		Expect(sched.Waiting()[onlyShard]).To(Equal(1))
		tooLarge := waitingRequest(2)
		tooLarge.Need.Tokens = 150_000
		tooLarge.Terms.Rank = 2
		tooLarge.Terms.Hold = 0
		sched.PlaceOrWait(tooLarge, now, reply)
		outcome := <-outcomes
		Expect(outcome.Refusal).NotTo(BeNil())
		Expect(outcome.Refusal.Reason).To(Equal(placement.TooLarge))
	})

	// Guards against a request that is held at a shard which has no endpoint left.
	It("is told with its renewal that the shard has no endpoint left", func() {
		request := waitingRequest(1)
		request.Terms.Hold = 0
		sched.PlaceOrWait(request, now, reply)
		Expect((<-outcomes).Waiting).To(BeTrue())
		state.RemoveEndpoint("i-0")
		now = now.Add(50 * time.Millisecond)
		sched.PlaceOrWait(request, now, reply)
		sched.Dispatch(now.Add(time.Millisecond))
		outcome := <-outcomes
		Expect(outcome.Refusal).NotTo(BeNil())
		Expect(outcome.Refusal.Reason).To(Equal(placement.NoEndpoint))
		Expect(sched.Waiting()[onlyShard]).To(BeZero())
	})

	// Guards against a request to an endpoint in cold start that no limit has counted: the endpoint was warm when the request was placed,
	// and had been replaced before the renewal that carries the placement.
	It("gets no placement on an endpoint that is in cold start at its renewal and takes no request", func() {
		request := waitingRequest(1)
		request.Terms.Hold = 0
		sched.PlaceOrWait(request, now, reply)
		Expect((<-outcomes).Waiting).To(BeTrue())
		sched.End(onlyShard, requester, 1000)
		sched.Dispatch(now.Add(10 * time.Millisecond))
		Expect(sched.Stats().PlacedAfterWaiting.Load()).To(BeEquivalentTo(1))
		state.PutEndpoint(&fleet.Endpoint{ID: "i-0", Service: service, Domain: "yard-1", Slots: slots, ColdUntil: now.Add(time.Hour)})
		sched.End(onlyShard, requester, 1001)
		now = now.Add(20 * time.Millisecond)
		granted := 0
		for n := range 100 {
			if _, refusal, ok := sched.Place(shortRequest(2000+n), now); ok && refusal == nil {
				granted++
				sched.End(onlyShard, requester, load.Number(2000+n))
			}
		}
		Expect(granted).To(Equal(13))
		sched.PlaceOrWait(request, now, reply)
		outcome := <-outcomes
		Expect(outcome.Choice.Primary).To(BeNil())
	})
})
