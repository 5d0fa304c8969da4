package scheduler_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/scheduler"
)

// The instances of a fleet in which one schedules a shard, and another one comes after it.
const (
	first, second, caller = "10.0.0.9:1", "10.0.0.8:1", "10.0.0.7:1"
	// discoveryTime is how long after its start an instance collects no lists.
	discoveryTime = 2 * time.Second
)

// orderedMembers is a fleet whose instances all take the first one for the scheduler.
type orderedMembers struct{ self string }

func (m *orderedMembers) Scheduler(uint64, time.Time) (string, bool) { return first, true }

func (m *orderedMembers) NextScheduler(_ uint64, failed string, _ time.Time) string {
	if failed == first {
		return second
	}
	return first
}

func (m *orderedMembers) IsLive(string, time.Time) bool { return true }

func (m *orderedMembers) Live(time.Time) []string {
	var others []string
	for _, address := range []string{first, second, caller} {
		if address != m.self {
			others = append(others, address)
		}
	}
	return others
}

// mesh carries the messages between instances. Each has a link that can be silent.
type mesh struct{ links map[string]*link }

func (m *mesh) Call(ctx context.Context, address string, kind peer.Kind, body, out any) error {
	return m.links[address].Call(ctx, address, kind, body, out)
}

func (m *mesh) Send(ctx context.Context, address string, kind peer.Kind, body any) error {
	return m.links[address].Send(ctx, address, kind, body)
}

func (m *mesh) Disconnect(string) {}

// node is an instance of the fleet.
type node struct {
	scheduler *scheduler.Scheduler
	client    *scheduler.Client
	tracker   *load.Tracker
}

// startFleet starts the three instances. The scheduler of the only shard is ready.
func startFleet(state *fleet.State) (map[string]*node, *mesh) {
	m := &mesh{links: make(map[string]*link)}
	nodes := make(map[string]*node)
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	for _, address := range []string{first, second, caller} {
		n := &node{scheduler: newScheduler(state), tracker: load.NewTracker()}
		m.links[address] = &link{server: &scheduler.Server{Self: address, Load: n.tracker, Scheduler: n.scheduler, State: state, Log: zerolog.Nop()}}
		n.client = scheduler.NewClient(scheduler.ClientOptions{
			Self: address, Peers: m, Members: &orderedMembers{self: address}, Local: n.scheduler, Load: n.tracker, State: state,
			HasQueue: func(uint32) bool { return true }, Log: zerolog.Nop(),
		})
		nodes[address] = n
	}
	time.Sleep(discoveryTime)
	for _, n := range nodes {
		go func() { _ = n.client.Serve(ctx) }()
	}
	nodes[first].scheduler.Sync(onlyShard, requester, nil, time.Now().Add(-warmUpTime))
	return nodes, m
}

// track counts a placed request as one of the instance, as the request path does.
func (n *node) track(result scheduler.PlaceResult, request scheduler.PlaceRequest) {
	n.tracker.AddNumbered(request.Number, result.Choice.Work(request.Need, request.Limit), time.Now()).PrefillDone()
	result.Placement.PrefillDone()
}

var _ = Describe("an instance that is asked in place of a failed scheduler", func() {
	// Guards against a shard that is idle for seconds after its scheduler has failed: 2.5 s until it counts as gone, and 1 s of warm-up
	// of the next one. It also guards against slots that the next one uses twice, because it does not know the requests on the shard.
	It("places within 500 ms of the failure, with the requests of the others counted", func() {
		state := newState(1)
		nodes, m := startFleet(state)
		for n := range slots - 1 {
			request := waitingRequest(1 + n)
			result, ok := nodes[caller].client.Place(context.Background(), request)
			Expect(ok).To(BeTrue())
			Expect(result.Scheduler).To(Equal(first))
			nodes[caller].track(result, request)
		}
		m.links[first].isSilent.Store(true)
		failed := time.Now()
		request := waitingRequest(10)
		request.Terms.Hold = 100 * time.Millisecond
		var result scheduler.PlaceResult
		Eventually(func() bool {
			var ok bool
			result, ok = nodes[caller].client.Place(context.Background(), request)
			return ok && !result.Waiting
		}, eventTimeout, 5*time.Millisecond).Should(BeTrue())
		Expect(time.Since(failed)).To(BeNumerically("<", 500*time.Millisecond))
		Expect(result.Refusal).To(BeNil())
		Expect(result.Scheduler).To(Equal(second))
		result, ok := nodes[caller].client.Place(context.Background(), waitingRequest(11))
		Expect(ok).To(BeTrue())
		Expect(result.Waiting).To(BeTrue(), "the last slot is in use")
	})

	// Guards against a shard that is idle during the warm-up of its scheduler after a restart.
	It("places while the scheduler is not ready after a restart", func() {
		nodes, m := startFleet(newState(1))
		m.links[first].server.Scheduler = newScheduler(newState(1))
		start := time.Now()
		Eventually(func() string {
			result, _ := nodes[caller].client.Place(context.Background(), waitingRequest(1))
			return result.Scheduler
		}, eventTimeout, 5*time.Millisecond).Should(Equal(second))
		Expect(time.Since(start)).To(BeNumerically("<", 500*time.Millisecond))
	})

	// Guards against more requests to an endpoint in cold start than its bound allows, when some instances reach the scheduler and
	// others take it for failed: the bound is divided between two instances that grant.
	It("grants no endpoint in cold start, so that two schedulers at once keep its bound", func() {
		state := newState(1)
		state.PutEndpoint(&fleet.Endpoint{ID: "cold", Service: service, Slots: slots, ColdUntil: time.Now().Add(time.Hour)})
		nodes, m := startFleet(state)
		granted, warm := map[string]int{}, map[string]int{}
		// try places requests at an instance. The warm endpoint is full after the first ones, which do not end.
		try := func(address string) {
			for range 40 {
				request := waitingRequest(int(nodes[address].tracker.NextNumber()))
				request.Terms.Hold = 20 * time.Millisecond
				result, ok := nodes[address].client.Place(context.Background(), request)
				switch {
				case !ok || result.Waiting || result.Refusal != nil:
					result.Placement.End()
				case result.Choice.Primary.ID == "cold":
					granted[result.Scheduler]++
					result.Placement.End()
				default:
					warm[result.Scheduler]++
				}
			}
		}
		try(first)
		m.links[first].isSilent.Store(true)
		Eventually(func() int {
			try(caller)
			return warm[second]
		}, eventTimeout).Should(BeNumerically(">=", slots))
		try(caller)
		// The rate of the service is 14 a second, the factor 1.5 and the slack 5; each of two schedulers may grant half of the sum.
		Expect(granted[first]).To(And(BeNumerically(">", 0), BeNumerically("<=", 13)))
		Expect(granted[second]).To(BeZero())
	})

	// Guards against a shard that two schedulers keep for ever, and against requests that are left in the queue of the one that gives
	// it up.
	It("gives up the shard once nobody asks it in place of the scheduler", func() {
		nodes, m := startFleet(newState(1))
		m.links[first].isSilent.Store(true)
		request := waitingRequest(1)
		request.Terms.Hold = 30 * time.Millisecond
		Eventually(func() string {
			result, _ := nodes[caller].client.Place(context.Background(), request)
			return result.Scheduler
		}, eventTimeout, 5*time.Millisecond).Should(Equal(second))
		Expect(nodes[second].scheduler.Waiting()).To(HaveKey(onlyShard))
		m.links[first].isSilent.Store(false)
		Eventually(func() string {
			result, _ := nodes[caller].client.Place(context.Background(), request)
			return result.Scheduler
		}, eventTimeout, 20*time.Millisecond).Should(Equal(first))
		Eventually(nodes[second].scheduler.Waiting, eventTimeout).ShouldNot(HaveKey(onlyShard))
	})
})
