package scheduler_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/acacialift/acacialift/internal/limit"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/pace"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/placement"
	"github.com/acacialift/acacialift/internal/scheduler"
	"github.com/acacialift/acacialift/internal/settings"
)

// newPacedScheduler returns a scheduler of two engines whose warm-up is over, and its tracker.
func newPacedScheduler(mode settings.Mode) (*scheduler.Scheduler, *pace.Tracker) {
	tracker := pace.NewTracker()
	sched := scheduler.NewScheduler(scheduler.Options{
		State: newState(2), IsSuspect: func(uint32, time.Time) bool { return false },
		ColdLimiter: limit.NewFleetColdLimiter(1.5, 5, func(time.Time) bool { return true }),
		Planner:     placement.Planner{IntN: func(int) int { return 0 }}, Pace: tracker, PaceMode: mode,
	})
	sched.Sync(onlyShard, requester, nil, start.Add(-warmUpTime))
	return sched, tracker
}

// observeSlow places requests, whose first events take 200 ms at one endpoint and 15 ms at the other one, and returns the key of the
// slow one.
func observeSlow(sched *scheduler.Scheduler) uint32 {
	var slow uint32
	for n := range 24 {
		now := start.Add(time.Duration(n) * 60 * time.Millisecond)
		choice, refusal, ok := sched.Place(shortRequest(n), now)
		Expect(ok).To(BeTrue())
		Expect(refusal).To(BeNil())
		if slow == 0 {
			slow = choice.Primary.Key()
		}
		first := 15 * time.Millisecond
		if choice.Primary.Key() == slow {
			first = 200 * time.Millisecond
		}
		sched.Observe(onlyShard, requester, load.Number(n), scheduler.Observation{First: first}, now.Add(first))
		sched.PrefillDone(onlyShard, requester, load.Number(n))
		sched.End(onlyShard, requester, load.Number(n))
	}
	return slow
}

var _ = Describe("a scheduler that tracks the pace of endpoints", func() {
	// Guards against a scheduler that places requests on a slow endpoint although its instances have reported late first events.
	It("prefers the endpoint that is not slow", func() {
		sched, tracker := newPacedScheduler(settings.ModeOn)
		slow := observeSlow(sched)
		Expect(tracker.Slowdown(slow, start.Add(1500*time.Millisecond))).To(BeNumerically(">", 1.7))
		choice, _, _ := sched.Place(shortRequest(100), start.Add(1500*time.Millisecond))
		Expect(choice.Primary.Key()).NotTo(Equal(slow))
	})

	// Guards against any change where the mode is off, or by_priority for a service whose profiles have one priority.
	DescribeTable("learns nothing where it is off", func(mode settings.Mode) {
		sched, tracker := newPacedScheduler(mode)
		slow := observeSlow(sched)
		Expect(tracker.Slowdown(slow, start.Add(1500*time.Millisecond))).To(Equal(1.0))
		Expect(tracker.TakeChanges()).To(BeEmpty())
	},
		Entry("off", settings.ModeOff), Entry("by priority", settings.ModeByPriority),
	)
})

var _ = Describe("the updates about a placed request", func() {
	place := func() (*scheduler.Placement, *fakePeers) {
		peers := &fakePeers{reply: func(peer.PlaceRequest) (peer.PlaceReply, error) {
			return peer.PlaceReply{Placed: true, Primary: newState(1).Endpoint("i-0").Key()}, nil
		}}
		client := scheduler.NewClient(scheduler.ClientOptions{
			Self: self, Peers: peers, Members: &fixedMembers{remote}, Local: newScheduler(newState(1)), Load: load.NewTracker(),
			State: newState(1), Log: zerolog.Nop(),
		})
		result, ok := client.Place(context.Background(), shortRequest(1))
		Expect(ok).To(BeTrue())
		peers.sent = nil
		return result.Placement, peers
	}

	// Guards against a scheduler that learns nothing of first events and pauses.
	It("state what was observed, each observation once", func() {
		placed, peers := place()
		placed.Observe(scheduler.Observation{First: 80 * time.Millisecond})
		placed.PrefillDone()
		placed.Observe(scheduler.Observation{Pause: 50 * time.Millisecond, Failed: true})
		placed.End()
		Expect(peers.sent).To(HaveLen(2))
		Expect(peers.sent[0].body.(*peer.PlaceUpdate).Extension).To(Equal(peer.PlaceUpdateExtension{FirstUS: 80_000}))
		Expect(peers.sent[1].body.(*peer.PlaceUpdate).Extension).To(Equal(peer.PlaceUpdateExtension{PauseUS: 50_000, Failed: true}))
	})

	// Guards against longer messages where the pace is not tracked.
	It("have no extension without an observation", func() {
		placed, peers := place()
		placed.PrefillDone()
		placed.End()
		for _, s := range peers.sent {
			_, extended := s.body.(peer.Extended)
			Expect(extended).To(BeFalse())
		}
	})
})
