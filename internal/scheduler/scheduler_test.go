package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/limit"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/placement"
	"github.com/acacialift/acacialift/internal/scheduler"
	"github.com/acacialift/acacialift/internal/testkit"
)

func TestScheduler(t *testing.T) { testkit.RunSpecs(t, "scheduler") }

const (
	slots        = 4
	service      = "pool"
	requester    = "10.0.0.1:1"
	warmUpTime   = time.Second
	requestLimit = 10 * time.Second
)

var (
	start     = time.Unix(1000, 0)
	onlyShard = scheduler.Shard{Service: (&fleet.Service{Name: service}).Key(), Count: 1}
)

// newState returns a fleet with the given number of engines.
func newState(engines int) *fleet.State {
	state := fleet.NewState()
	state.SetCatalog(fleet.NewCatalog(fleet.Catalog{Version: 1, Services: map[string]*fleet.Service{
		service: {Name: service, ColdRate: 14, Engine: &fleet.Engine{
			Slots: slots, MemoryTokens: 100_000, Stride: 34, StepTime: time.Millisecond, PrefillRate: 154_000,
		}},
	}}))
	for i := range engines {
		state.PutEndpoint(&fleet.Endpoint{ID: fmt.Sprintf("i-%d", i), Service: service, Domain: "yard-1", Slots: slots})
	}
	return state
}

func newScheduler(state *fleet.State) *scheduler.Scheduler {
	return scheduler.NewScheduler(scheduler.Options{
		State: state, IsSuspect: func(uint32, time.Time) bool { return false },
		ColdLimiter: limit.NewFleetColdLimiter(1.5, 5, func(time.Time) bool { return true }),
		Planner:     placement.Planner{IntN: func(int) int { return 0 }},
	})
}

// newReadyScheduler returns a scheduler whose warm-up is over.
func newReadyScheduler(state *fleet.State) *scheduler.Scheduler {
	sched := newScheduler(state)
	sched.Sync(onlyShard, requester, nil, start.Add(-warmUpTime))
	return sched
}

func shortRequest(number int) scheduler.PlaceRequest {
	return scheduler.PlaceRequest{
		From: requester, Number: load.Number(number), Shard: onlyShard, Limit: requestLimit,
		Need: placement.Need{Tokens: 100, Output: 100, Objective: time.Second, MaxGap: 300 * time.Millisecond},
	}
}

var _ = Describe("a scheduler", func() {
	// Guards against a free slot that is used by two requests, and against slots of ended requests that stay in use.
	It("uses each slot for one request until it ends", func() {
		const engines = 3
		sched := newReadyScheduler(newState(engines))
		perEndpoint := make(map[string]int)
		for n := range engines * slots {
			choice, refusal, ok := sched.Place(shortRequest(n), start)
			Expect(ok).To(BeTrue())
			Expect(refusal).To(BeNil())
			perEndpoint[choice.Primary.ID]++
			sched.PrefillDone(onlyShard, requester, load.Number(n))
		}
		for _, count := range perEndpoint {
			Expect(count).To(Equal(slots))
		}
		_, refusal, _ := sched.Place(shortRequest(100), start)
		Expect(refusal.Reason).To(Equal(placement.SlotsFull))
		sched.End(onlyShard, requester, 0)
		_, refusal, _ = sched.Place(shortRequest(101), start)
		Expect(refusal).To(BeNil())
	})

	// Guards against a new scheduler that treats a busy shard as empty.
	It("does not place during its warm-up", func() {
		sched := newScheduler(newState(1))
		_, _, ok := sched.Place(shortRequest(1), start)
		Expect(ok).To(BeFalse())
		_, _, ok = sched.Place(shortRequest(2), start.Add(warmUpTime))
		Expect(ok).To(BeTrue())
	})

	// Guards against a scheduler that uses outdated state after another instance was the scheduler in the meantime.
	It("starts a new warm-up after another instance was the scheduler", func() {
		sched := newReadyScheduler(newState(1))
		sched.Resign(func(scheduler.Shard) bool { return false }, start)
		_, _, ok := sched.Place(shortRequest(1), start)
		Expect(ok).To(BeFalse())
	})

	// Guards against slots that stay in use because the update about an end was lost, and against a placement that is
	// removed before its reply has arrived.
	It("removes requests that are no longer listed, unless they were placed less than maxReplyTime ago", func() {
		sched := newReadyScheduler(newState(1))
		for n := range slots {
			sched.Place(shortRequest(n), start)
			sched.PrefillDone(onlyShard, requester, load.Number(n))
		}
		sched.Sync(onlyShard, requester, nil, start.Add(100*time.Millisecond))
		_, refusal, _ := sched.Place(shortRequest(10), start.Add(100*time.Millisecond))
		Expect(refusal).NotTo(BeNil())
		sched.Sync(onlyShard, requester, nil, start.Add(time.Second))
		_, refusal, _ = sched.Place(shortRequest(11), start.Add(time.Second))
		Expect(refusal).To(BeNil())
	})

	// Guards against requests that are unknown to a new scheduler, because another scheduler or the instance itself placed
	// them.
	It("counts the requests that instances list", func() {
		state := newState(1)
		sched := newReadyScheduler(state)
		var requests []load.RequestState
		for n := range slots {
			requests = append(requests, load.RequestState{
				Number: load.Number(n), PrefillDone: true, Work: load.Work{Primary: state.Endpoint("i-0"), Limit: requestLimit},
			})
		}
		sched.Sync(onlyShard, "10.0.0.2:1", requests, start)
		_, refusal, _ := sched.Place(shortRequest(10), start)
		Expect(refusal).NotTo(BeNil())
	})

	// Guards against slots that stay in use forever after an instance has failed or an update was lost.
	DescribeTable("removes requests without an end update", func(forget func(*scheduler.Scheduler), at time.Duration) {
		sched := newReadyScheduler(newState(1))
		for n := range slots {
			sched.Place(shortRequest(n), start)
			sched.PrefillDone(onlyShard, requester, load.Number(n))
		}
		forget(sched)
		_, refusal, _ := sched.Place(shortRequest(10), start.Add(at))
		Expect(refusal).To(BeNil())
	},
		Entry("of an instance that is not live", func(sched *scheduler.Scheduler) {
			sched.Forget(func(string) bool { return false }, start)
		}, time.Duration(0)),
		Entry("after their limit", func(*scheduler.Scheduler) {}, requestLimit+2*time.Second),
	)

	// Guards against placements on endpoints that are leaving, out of service or excluded by the requesting instance.
	DescribeTable("leaves out endpoints that must get no requests", func(change func(*fleet.State, *scheduler.PlaceRequest)) {
		state := newState(2)
		sched := newReadyScheduler(state)
		request := shortRequest(1)
		change(state, &request)
		for n := range 2 * slots {
			request.Number = load.Number(n)
			choice, refusal, _ := sched.Place(request, start)
			if refusal == nil {
				Expect(choice.Primary.ID).To(Equal("i-1"))
			}
		}
	},
		Entry("leaving", func(s *fleet.State, _ *scheduler.PlaceRequest) { s.MarkLeaving(s.Endpoint("i-0")) }),
		Entry("out of service", func(s *fleet.State, _ *scheduler.PlaceRequest) {
			s.PutEndpoint(&fleet.Endpoint{ID: "i-0", Service: service, Domain: "yard-2", Slots: slots})
			s.SetOutOfService(map[string]bool{"yard-2": true})
		}),
		Entry("avoided", func(s *fleet.State, r *scheduler.PlaceRequest) { r.Avoid = []uint32{s.Endpoint("i-0").Key()} }),
		Entry("limited", func(s *fleet.State, r *scheduler.PlaceRequest) { r.Full = []uint32{s.Endpoint("i-0").Key()} }),
	)

	// Guards against more requests than an endpoint in cold start can handle.
	It("grants an endpoint in cold start half of its bound per second", func() {
		state := newState(0)
		state.PutEndpoint(&fleet.Endpoint{ID: "i-0", Service: service, Slots: slots, ColdUntil: start.Add(time.Hour)})
		sched := newReadyScheduler(state)
		granted := 0
		for n := range 100 {
			if _, refusal, ok := sched.Place(shortRequest(n), start); ok && refusal == nil {
				granted++
				sched.End(onlyShard, requester, load.Number(n))
			}
		}
		Expect(granted).To(Equal(13))
	})

	// Guards against a sequence of late, duplicate or interleaved messages of two instances that leaves a slot in use
	// forever.
	It("is empty again after any sequence of messages", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			sched := newReadyScheduler(newState(2))
			now := start
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
				request := shortRequest(rapid.IntRange(0, 9).Draw(t, "number"))
				request.From = rapid.SampledFrom([]string{requester, "10.0.0.2:1"}).Draw(t, "from")
				switch rapid.IntRange(0, 4).Draw(t, "message") {
				case 0, 1:
					sched.Place(request, now)
				case 2:
					sched.PrefillDone(onlyShard, request.From, request.Number)
				case 3:
					sched.End(onlyShard, request.From, request.Number)
				case 4:
					sched.Sync(onlyShard, request.From, nil, now)
				}
			}
			now = now.Add(requestLimit + 2*time.Second)
			for n := range 2 * slots {
				_, refusal, ok := sched.Place(shortRequest(100+n), now)
				if !ok || refusal != nil {
					t.Fatalf("slot %d is still in use: %v", n, refusal)
				}
				sched.PrefillDone(onlyShard, requester, load.Number(100+n))
			}
		})
	})
})

var _ = Describe("shards", func() {
	// Guards against endpoints without a scheduler or with two schedulers.
	It("contain each endpoint once", func() {
		state := newState(200)
		count := scheduler.ShardCount(200)
		Expect(count).To(BeNumerically(">", 1))
		for _, e := range state.Snapshot().Endpoints[service] {
			shards := 0
			for index := range count {
				if (scheduler.Shard{Index: index, Count: count}).Contains(e) {
					shards++
				}
			}
			Expect(shards).To(Equal(1))
		}
	})

	// Guards against one scheduler for all endpoints of a large fleet, and against a number of shards that changes with
	// each endpoint.
	DescribeTable("grow with the fleet in steps", func(endpoints, want int) {
		Expect(scheduler.ShardCount(endpoints)).To(BeEquivalentTo(want))
	},
		Entry("no endpoints", 0, 1), Entry("23 endpoints", 23, 1), Entry("78 endpoints", 78, 2), Entry("195 endpoints", 195, 4),
		Entry("195 endpoints after the loss of a sixth", 162, 4), Entry("600 endpoints", 600, 8),
		Entry("more endpoints than the largest number of shards allows", 1_000_000, 64),
	)
})
