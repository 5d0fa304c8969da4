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
	slots     = 4
	service   = "pool"
	asker     = "10.0.0.1:1"
	learnTime = time.Second
	limitTime = 10 * time.Second
)

var (
	start = time.Unix(1000, 0)
	whole = scheduler.Shard{Service: (&fleet.Service{Name: service}).Key(), Count: 1}
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

func newLedger(state *fleet.State) *scheduler.Scheduler {
	return scheduler.NewScheduler(scheduler.Options{
		State: state, IsSuspect: func(uint32, time.Time) bool { return false },
		ColdLimiter: limit.NewFleetColdLimiter(1.5, 5, func(time.Time) bool { return true }),
		Planner:     placement.Planner{IntN: func(int) int { return 0 }},
	})
}

// newInformed returns a ledger that has listened for long enough.
func newInformed(state *fleet.State) *scheduler.Scheduler {
	l := newLedger(state)
	l.Sync(whole, asker, nil, start.Add(-learnTime))
	return l
}

func shortAsk(number int) scheduler.PlaceRequest {
	return scheduler.PlaceRequest{
		From: asker, Number: load.Number(number), Shard: whole, Limit: limitTime,
		Need: placement.Need{Tokens: 100, Output: 100, Objective: time.Second, MaxGap: 300 * time.Millisecond},
	}
}

var _ = Describe("a ledger", func() {
	// Guards against free places that are given away twice, and against those of ended requests that stay taken.
	It("gives each place to one request until it ends", func() {
		const engines = 3
		l := newInformed(newState(engines))
		taken := make(map[string]int)
		for n := range engines * slots {
			choice, refusal, ok := l.Place(shortAsk(n), start)
			Expect(ok).To(BeTrue())
			Expect(refusal).To(BeNil())
			taken[choice.Primary.ID]++
			l.PrefillDone(whole, asker, load.Number(n))
		}
		for _, count := range taken {
			Expect(count).To(Equal(slots))
		}
		_, refusal, _ := l.Place(shortAsk(100), start)
		Expect(refusal.Reason).To(Equal(placement.SlotsFull))
		l.End(whole, asker, 0)
		_, refusal, _ = l.Place(shortAsk(101), start)
		Expect(refusal).To(BeNil())
	})

	// Guards against a new scheduler that takes a busy shard for an empty one.
	It("does not place before it has listened for a while", func() {
		l := newLedger(newState(1))
		_, _, ok := l.Place(shortAsk(1), start)
		Expect(ok).To(BeFalse())
		_, _, ok = l.Place(shortAsk(2), start.Add(learnTime))
		Expect(ok).To(BeTrue())
	})

	// Guards against a scheduler that another one has replaced for a while, and that trusts what it knew before.
	It("listens again after another instance was the scheduler", func() {
		l := newInformed(newState(1))
		l.Resign(func(scheduler.Shard) bool { return false })
		_, _, ok := l.Place(shortAsk(1), start)
		Expect(ok).To(BeFalse())
	})

	// Guards against places that stay taken because the notice of an end was lost, and against a placement that is forgotten
	// while its answer is on its way.
	It("forgets what an instance does not list any more, unless it was placed just now", func() {
		l := newInformed(newState(1))
		for n := range slots {
			l.Place(shortAsk(n), start)
			l.PrefillDone(whole, asker, load.Number(n))
		}
		l.Sync(whole, asker, nil, start.Add(100*time.Millisecond))
		_, refusal, _ := l.Place(shortAsk(10), start.Add(100*time.Millisecond))
		Expect(refusal).NotTo(BeNil())
		l.Sync(whole, asker, nil, start.Add(time.Second))
		_, refusal, _ = l.Place(shortAsk(11), start.Add(time.Second))
		Expect(refusal).To(BeNil())
	})

	// Guards against work that a new scheduler does not know of because another one, or the instance itself, has placed it.
	It("counts what instances list", func() {
		state := newState(1)
		l := newInformed(state)
		var works []load.RequestState
		for n := range slots {
			works = append(works, load.RequestState{
				Number: load.Number(n), PrefillDone: true, Work: load.Work{Primary: state.Endpoint("i-0"), Limit: limitTime},
			})
		}
		l.Sync(whole, "10.0.0.2:1", works, start)
		_, refusal, _ := l.Place(shortAsk(10), start)
		Expect(refusal).NotTo(BeNil())
	})

	// Guards against places that a dead instance, or a lost notice, takes for ever.
	DescribeTable("forgets work that cannot go on", func(forget func(*scheduler.Scheduler), at time.Duration) {
		l := newInformed(newState(1))
		for n := range slots {
			l.Place(shortAsk(n), start)
			l.PrefillDone(whole, asker, load.Number(n))
		}
		forget(l)
		_, refusal, _ := l.Place(shortAsk(10), start.Add(at))
		Expect(refusal).To(BeNil())
	},
		Entry("of an instance that is gone", func(l *scheduler.Scheduler) {
			l.Forget(func(string) bool { return false }, start)
		}, time.Duration(0)),
		Entry("whose time is over", func(*scheduler.Scheduler) {}, limitTime+2*time.Second),
	)

	// Guards against endpoints that leave, are out of service, are avoided by the caller's instance, or of another shard.
	DescribeTable("leaves out endpoints that must get nothing", func(change func(*fleet.State, *scheduler.PlaceRequest)) {
		state := newState(2)
		l := newInformed(state)
		ask := shortAsk(1)
		change(state, &ask)
		for n := range 2 * slots {
			ask.Number = load.Number(n)
			choice, refusal, _ := l.Place(ask, start)
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
		Entry("avoided", func(s *fleet.State, a *scheduler.PlaceRequest) { a.Avoid = []uint32{s.Endpoint("i-0").Key()} }),
	)

	// Guards against more requests than an endpoint in cold start can bear.
	It("grants an endpoint in cold start half of its bound in a second", func() {
		state := newState(0)
		state.PutEndpoint(&fleet.Endpoint{ID: "i-0", Service: service, Slots: slots, ColdUntil: start.Add(time.Hour)})
		l := newInformed(state)
		granted := 0
		for n := range 100 {
			if _, refusal, ok := l.Place(shortAsk(n), start); ok && refusal == nil {
				granted++
				l.End(whole, asker, load.Number(n))
			}
		}
		Expect(granted).To(Equal(13))
	})

	// Guards against any order of messages, also late, doubled and of two instances, that leaves a place taken for ever.
	It("is empty again after any sequence of messages", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			l := newInformed(newState(2))
			now := start
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
				ask := shortAsk(rapid.IntRange(0, 9).Draw(t, "number"))
				ask.From = rapid.SampledFrom([]string{asker, "10.0.0.2:1"}).Draw(t, "from")
				switch rapid.IntRange(0, 4).Draw(t, "message") {
				case 0, 1:
					l.Place(ask, now)
				case 2:
					l.PrefillDone(whole, ask.From, ask.Number)
				case 3:
					l.End(whole, ask.From, ask.Number)
				case 4:
					l.Sync(whole, ask.From, nil, now)
				}
			}
			now = now.Add(limitTime + 2*time.Second)
			for n := range 2 * slots {
				_, refusal, ok := l.Place(shortAsk(100+n), now)
				if !ok || refusal != nil {
					t.Fatalf("place %d is still taken: %v", n, refusal)
				}
				l.PrefillDone(whole, asker, load.Number(100+n))
			}
		})
	})
})

var _ = Describe("shards", func() {
	// Guards against endpoints that no scheduler knows or that two place on.
	It("hold each endpoint once", func() {
		state := newState(200)
		count := scheduler.ShardCount(200)
		Expect(count).To(BeNumerically(">", 1))
		for _, e := range state.Snapshot().Endpoints[service] {
			holders := 0
			for index := range count {
				if (scheduler.Shard{Index: index, Count: count}).Contains(e) {
					holders++
				}
			}
			Expect(holders).To(Equal(1))
		}
	})

	// Guards against one scheduler that places for a whole large fleet, and against shards that change with each endpoint.
	DescribeTable("grow with the fleet in steps", func(endpoints, want int) {
		Expect(scheduler.ShardCount(endpoints)).To(BeEquivalentTo(want))
	},
		Entry("none", 0, 1), Entry("small", 23, 1), Entry("grown", 78, 2), Entry("large", 195, 4),
		Entry("large, a sixth lost", 162, 4), Entry("two years", 600, 8), Entry("out of all proportion", 1_000_000, 64),
	)
})
