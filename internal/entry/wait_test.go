package entry_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/entry"
	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/placement"
	"github.com/acacialift/acacialift/internal/scheduler"
	"github.com/acacialift/acacialift/internal/settings"
	"github.com/acacialift/acacialift/internal/testkit"
)

// replyTimeout is how long after its hold time an instance waits for a scheduler.
const replyTimeout = 80 * time.Millisecond

// scriptedSchedulers replies to the n-th place request, from 0, with the result of a function.
type scriptedSchedulers struct {
	reply func(ctx context.Context, n int, request scheduler.PlaceRequest) (scheduler.PlaceResult, bool)

	mu       sync.Mutex
	requests []scheduler.PlaceRequest
	times    []time.Time
}

func (s *scriptedSchedulers) Enabled(time.Time) bool { return true }

func (s *scriptedSchedulers) Place(ctx context.Context, request scheduler.PlaceRequest) (scheduler.PlaceResult, bool) {
	s.mu.Lock()
	n := len(s.requests)
	s.requests, s.times = append(s.requests, request), append(s.times, time.Now())
	s.mu.Unlock()
	return s.reply(ctx, n, request)
}

func (s *scriptedSchedulers) received() []scheduler.PlaceRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]scheduler.PlaceRequest(nil), s.requests...)
}

// silent does not reply within the time that an instance waits.
func silent(ctx context.Context, _ int, request scheduler.PlaceRequest) (scheduler.PlaceResult, bool) {
	select {
	case <-ctx.Done():
	case <-time.After(request.Terms.Hold + replyTimeout):
	}
	return scheduler.PlaceResult{}, false
}

// stillWaiting replies after the hold time.
func stillWaiting(ctx context.Context, _ int, request scheduler.PlaceRequest) (scheduler.PlaceResult, bool) {
	select {
	case <-ctx.Done():
		return scheduler.PlaceResult{}, false
	case <-time.After(request.Terms.Hold):
		return scheduler.PlaceResult{Waiting: true, Queues: true, Scheduler: "10.0.0.9:1"}, true
	}
}

func refused(reason placement.Reason) scheduler.PlaceResult {
	return scheduler.PlaceResult{
		Queues: true, Scheduler: "10.0.0.9:1", Refusal: &placement.Refusal{Reason: reason, RetryAfter: 700 * time.Millisecond},
	}
}

// withQueue lets requests for the engines wait.
func withQueue(c *fleet.Catalog, o *entry.HandlerOptions) {
	withEngine(c, o)
	o.Queue = settings.ModeOn
}

// withSchedulers makes the handler send its place requests to schedulers.
func withSchedulers(s *scriptedSchedulers) rigOption {
	return func(_ *fleet.Catalog, o *entry.HandlerOptions) { o.Schedulers = s }
}

// addShards adds endpoints at an address until the service has two shards.
func addShards(r *rig, address string) {
	const twoShards = 80
	for i := range twoShards {
		r.state.PutEndpoint(&fleet.Endpoint{
			ID: fmt.Sprintf("more-%d", i), Started: endpointStarted, Service: "pool", Address: address, Domain: "yard-1", Slots: 4,
		})
	}
}

var _ = Describe("a request that may wait in a queue", func() {
	var log testkit.LogBuffer
	BeforeEach(func() { log = testkit.LogBuffer{} })

	// gate returns a script that responds once the gate is closed.
	gate := func(opened <-chan struct{}) func(net.Conn, receivedRequest) {
		return func(conn net.Conn, r receivedRequest) {
			<-opened
			respond(sealedResponse("answer"))(conn, r)
		}
	}
	// placedOn returns the result of a scheduler that has chosen the only endpoint.
	placedOn := func(r *rig) scheduler.PlaceResult {
		return scheduler.PlaceResult{
			Choice: placement.Choice{Primary: r.state.Endpoint("i-0")}, Queues: true, Scheduler: "10.0.0.9:1",
		}
	}
	// call sends a request and returns the channel of its reply.
	call := func(r *rig, headers ...string) <-chan reply {
		replies := make(chan reply, 1)
		go func() {
			defer GinkgoRecover()
			replies <- r.call("/safe/x", headers...)
		}()
		return replies
	}

	// Guards against requests that are refused in a small fleet although a slot becomes free within their useful time.
	DescribeTable("where no scheduler decides", func(mode settings.Mode, status int) {
		opened := make(chan struct{})
		e := newEndpoint(gate(opened))
		r := newRig([]*fakeEndpoint{e}, withQueue, withLog(&log), func(_ *fleet.Catalog, o *entry.HandlerOptions) { o.Queue = mode })
		var replies []<-chan reply
		for range 4 {
			replies = append(replies, call(r))
		}
		Eventually(e.requests, waitTimeout).Should(HaveLen(4))
		last := call(r)
		time.Sleep(400 * time.Millisecond)
		Expect(e.requests()).To(HaveLen(4))
		close(opened)
		var got reply
		Eventually(last, waitTimeout).Should(Receive(&got))
		Expect(got.status).To(Equal(status))
		for _, other := range replies {
			Eventually(other, waitTimeout).Should(Receive(&got))
			Expect(got.status).To(Equal(http.StatusOK))
		}
		Expect(r.load.Requests(time.Now())).To(BeEmpty())
		if mode == settings.ModeOn {
			Expect(log.String()).To(ContainSubstring("request_waits"))
		} else {
			Expect(log.String()).NotTo(Or(ContainSubstring("request_waits"), ContainSubstring(`"rank"`)))
		}
	},
		Entry("waits for a slot", settings.ModeOn, http.StatusOK),
		Entry("is refused if queues are off", settings.ModeOff, http.StatusServiceUnavailable),
		Entry("is refused if the service is not ranked", settings.ModeByPriority, http.StatusServiceUnavailable),
	)

	// Guards against a slot that is lost when a caller leaves the queue of the instance.
	It("leaves the queue of the instance with its caller", func() {
		opened := make(chan struct{})
		e := newEndpoint(gate(opened))
		r := newRig([]*fakeEndpoint{e}, withQueue, withLog(&log))
		for range 4 {
			call(r)
		}
		Eventually(e.requests, waitTimeout).Should(HaveLen(4))
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			_, _ = http.DefaultTransport.RoundTrip(r.newRequest(ctx, "/safe/x"))
		}()
		Eventually(log.String, waitTimeout).Should(ContainSubstring("request_waits"))
		cancel()
		Eventually(log.String, waitTimeout).Should(ContainSubstring("caller_left"))
		close(opened)
		Eventually(func() int { return len(r.load.Requests(time.Now())) }, waitTimeout).Should(BeZero())
		Expect(e.requests()).To(HaveLen(4))
	})

	// Guards against a request that is sent anew, with a new place in the queue, and against one that is sent to an endpoint twice.
	It("renews its place at the scheduler until it is placed", func() {
		e := newEndpoint(respond(sealedResponse("answer")))
		var r *rig
		s := &scriptedSchedulers{reply: func(ctx context.Context, n int, request scheduler.PlaceRequest) (scheduler.PlaceResult, bool) {
			if n < 2 {
				return stillWaiting(ctx, n, request)
			}
			return placedOn(r), true
		}}
		r = newRig([]*fakeEndpoint{e}, withQueue, withSchedulers(s), withLog(&log))
		Expect(r.call("/safe/x").status).To(Equal(http.StatusOK))
		requests := s.received()
		Expect(requests).To(HaveLen(3))
		for _, request := range requests {
			Expect(request.Number).To(Equal(requests[0].Number))
			Expect(request.Shard).To(Equal(requests[0].Shard))
		}
		Expect(requests[2].Terms.Used).To(BeNumerically(">=", requests[0].Terms.Hold+requests[1].Terms.Hold))
		Expect(requests[2].Need.Objective).To(BeNumerically("<", requests[0].Need.Objective))
		Expect(totalRequests(e)).To(Equal(1))
		Expect(log.String()).To(And(ContainSubstring("request_waits"), ContainSubstring(`"rank":0`), ContainSubstring("waited_ms")))
	})

	// Guards against a request that waits for a scheduler that has died, frozen or been cut off. The page of the design allows 500 ms
	// from the first silence until the request is placed by other means.
	It("is placed by the counts of the instance within 500 ms if schedulers are silent", func() {
		e := newEndpoint(respond(sealedResponse("answer")))
		s := &scriptedSchedulers{reply: silent}
		r := newRig([]*fakeEndpoint{e}, withQueue, withSchedulers(s), func(c *fleet.Catalog, _ *entry.HandlerOptions) {
			for i := range c.Profiles {
				c.Profiles[i].Objective = 6 * time.Second
			}
		})
		addShards(r, e.listener.Addr().String())
		start := time.Now()
		call(r)
		Eventually(e.requests, time.Second, time.Millisecond).Should(HaveLen(1))
		Expect(time.Since(start)).To(BeNumerically("<", 500*time.Millisecond))
		requests := s.received()
		Expect(requests).To(HaveLen(2))
		Expect(requests[0].Shard).NotTo(Equal(requests[1].Shard))
		Expect(requests[1].Terms.Try).To(BeFalse())
		Expect(requests[1].Need.Objective).To(BeNumerically("<=", requests[0].Need.Objective-replyTimeout))
	})

	// Guards against a request that waits at three schedulers, and against one that is refused by the first although another has
	// capacity.
	It("goes to one other shard if a scheduler refuses it", func() {
		e := newEndpoint(respond(sealedResponse("answer")))
		var r *rig
		s := &scriptedSchedulers{reply: func(ctx context.Context, n int, request scheduler.PlaceRequest) (scheduler.PlaceResult, bool) {
			switch n {
			case 0, 2:
				return stillWaiting(ctx, n, request)
			case 1:
				return refused(placement.SlotsFull), true
			case 3:
				return refused("displaced"), true
			}
			return placedOn(r), true
		}}
		r = newRig([]*fakeEndpoint{e}, withQueue, withSchedulers(s), withLog(&log))
		addShards(r, "127.0.0.1:1")
		Expect(r.call("/safe/x").status).To(Equal(http.StatusOK))
		requests := s.received()
		Expect(requests).To(HaveLen(5))
		for _, n := range []int{2, 3} {
			Expect(requests[n].Shard).To(Equal(requests[0].Shard))
			Expect(requests[n].Number).To(Equal(requests[0].Number))
		}
		Expect(requests[4].Shard).NotTo(Equal(requests[0].Shard))
		Expect(requests[4].Number).NotTo(Equal(requests[0].Number))
		Expect(requests[4].Terms.Try).To(BeFalse())
		Expect(requests[4].Terms.Used).To(BeNumerically(">=", requests[2].Terms.Hold))
		Expect(log.String()).To(ContainSubstring(`"displaced":"displaced"`))
	})

	// Guards against a shard that is idle while requests wait at the other one.
	It("is placed at once by the other shard while it waits at the first", func() {
		e := newEndpoint(respond(sealedResponse("answer")))
		var r *rig
		s := &scriptedSchedulers{reply: func(ctx context.Context, n int, request scheduler.PlaceRequest) (scheduler.PlaceResult, bool) {
			if n == 0 {
				return stillWaiting(ctx, n, request)
			}
			return placedOn(r), true
		}}
		r = newRig([]*fakeEndpoint{e}, withQueue, withSchedulers(s), withLog(&log))
		addShards(r, "127.0.0.1:1")
		Expect(r.call("/safe/x").status).To(Equal(http.StatusOK))
		requests := s.received()
		Expect(requests).To(HaveLen(2))
		Expect(requests[0].Terms.Hold).To(BeZero())
		Expect(requests[1].Shard).NotTo(Equal(requests[0].Shard))
		Expect(requests[1].Terms.Try).To(BeTrue())
		Expect(log.String()).NotTo(ContainSubstring("request_waits"))
	})

	// Guards against a caller that waits in vain after all schedulers have refused it.
	It("is refused with the first scheduler's return time if both refuse it", func() {
		s := &scriptedSchedulers{reply: func(context.Context, int, scheduler.PlaceRequest) (scheduler.PlaceResult, bool) {
			return refused("queue_infeasible"), true
		}}
		r := newRig(nil, withQueue, withSchedulers(s))
		addShards(r, "127.0.0.1:1")
		got := r.call("/safe/x")
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).To(Equal("0.700"))
		Expect(got.body).To(ContainSubstring("queue_infeasible"))
		Expect(s.received()).To(HaveLen(2))
	})

	// Guards against instances of the earlier version: they refuse at once, and the request must be placed as it was with them.
	It("polls schedulers without a queue", func() {
		e := newEndpoint(respond(sealedResponse("answer")))
		var r *rig
		s := &scriptedSchedulers{reply: func(_ context.Context, n int, _ scheduler.PlaceRequest) (scheduler.PlaceResult, bool) {
			if n < 3 {
				return scheduler.PlaceResult{Refusal: &placement.Refusal{Reason: placement.SlotsFull}}, true
			}
			return placedOn(r), true
		}}
		r = newRig([]*fakeEndpoint{e}, withQueue, withSchedulers(s))
		Expect(r.call("/safe/x").status).To(Equal(http.StatusOK))
		requests := s.received()
		Expect(requests).To(HaveLen(4))
		Expect(requests[0].Terms).NotTo(BeNil())
		Expect(requests[1].Terms).To(BeNil())
	})

	// Guards against new fields, and against other messages, where queues are off.
	It("states nothing about waiting if queues are off", func() {
		e := newEndpoint(respond(sealedResponse("answer")))
		var r *rig
		s := &scriptedSchedulers{reply: func(context.Context, int, scheduler.PlaceRequest) (scheduler.PlaceResult, bool) {
			return placedOn(r), true
		}}
		r = newRig([]*fakeEndpoint{e}, withEngine, withSchedulers(s))
		Expect(r.call("/safe/x").status).To(Equal(http.StatusOK))
		Expect(s.received()[0].Terms).To(BeNil())
	})

	// Guards against a caller that starts anew when it comes back.
	It("keeps the time that its caller has used before", func() {
		s := &scriptedSchedulers{reply: func(context.Context, int, scheduler.PlaceRequest) (scheduler.PlaceResult, bool) {
			return refused("queue_infeasible"), true
		}}
		r := newRig(nil, withQueue, withSchedulers(s))
		r.call("/safe/x", "Acacialift-Deadline-Ms", "6000")
		// The time limit is 10 s.
		Expect(s.received()[0].Terms.Used).To(And(BeNumerically(">=", 4*time.Second), BeNumerically("<", 5*time.Second)))
	})

	// Guards against a retry that starts anew behind all requests that wait, and against one that waits for the endpoint that has failed.
	It("keeps its arrival in a retry", func() {
		var r *rig
		s := &scriptedSchedulers{reply: func(ctx context.Context, n int, request scheduler.PlaceRequest) (scheduler.PlaceResult, bool) {
			if n == 0 {
				return stillWaiting(ctx, n, request)
			}
			result := placedOn(r)
			if n > 1 {
				result.Choice.Primary = r.state.Endpoint("i-1")
			}
			return result, true
		}}
		r = newRig([]*fakeEndpoint{
			newEndpoint(func(conn net.Conn, _ receivedRequest) { _ = conn.Close() }), newEndpoint(respond(sealedResponse("answer"))),
		}, withQueue, withSchedulers(s))
		Expect(r.call("/safe/x").status).To(Equal(http.StatusOK))
		requests := s.received()
		Expect(requests).To(HaveLen(3))
		Expect(requests[2].Terms.Used).To(BeNumerically(">=", requests[0].Terms.Hold))
		Expect(requests[2].Avoid).To(ContainElement(r.state.Endpoint("i-0").Key()))
	})

	// Guards against a request that holds its place while nobody waits for the answer.
	It("cancels at the scheduler when its caller leaves", func() {
		ended := make(chan struct{})
		s := &scriptedSchedulers{reply: func(ctx context.Context, _ int, _ scheduler.PlaceRequest) (scheduler.PlaceResult, bool) {
			<-ctx.Done()
			close(ended)
			return scheduler.PlaceResult{}, false
		}}
		r := newRig(nil, withQueue, withSchedulers(s))
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _, _ = http.DefaultTransport.RoundTrip(r.newRequest(ctx, "/safe/x")) }()
		Eventually(s.received, waitTimeout).Should(HaveLen(1))
		cancel()
		Eventually(ended, waitTimeout).Should(BeClosed())
		Consistently(s.received, 200*time.Millisecond).Should(HaveLen(1))
	})

	// Guards against waiting requests that are cut without an answer at the end of a graceful shutdown, and against an answer that
	// does not say that they have not run.
	It("is answered as not run shortly before the end of a graceful shutdown", func() {
		s := &scriptedSchedulers{reply: stillWaiting}
		r := newRig(nil, withQueue, withSchedulers(s))
		replies := call(r)
		Eventually(s.received, waitTimeout).ShouldNot(BeEmpty())
		const grace = time.Second
		began := time.Now()
		r.handler.StartShutdown(grace)
		var got reply
		Eventually(replies, waitTimeout).Should(Receive(&got))
		Expect(time.Since(began)).To(BeNumerically("<", grace))
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.body).To(ContainSubstring("stopping"))
	})

	// Guards against callers that wait beyond their own time.
	It("is answered as not run when the time of its caller ends", func() {
		s := &scriptedSchedulers{reply: stillWaiting}
		r := newRig(nil, withQueue, withSchedulers(s))
		start := time.Now()
		got := r.call("/safe/x", "Acacialift-Deadline-Ms", "600")
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(time.Since(start)).To(BeNumerically("<", 900*time.Millisecond))
		Expect(got.body).To(ContainSubstring("time_limit"))
	})
})

var _ = Describe("the end of a stream", func() {
	// Guards against pauses in a stream that nobody can find in the log.
	It("is logged with the longest pause between its events", func() {
		var log testkit.LogBuffer
		e := newEndpoint(func(conn net.Conn, r receivedRequest) {
			respond(streamHead+chunk(events(1, 2)))(conn, r)
			time.Sleep(300 * time.Millisecond)
			respond(chunk(events(3, 3))+"0\r\n\r\n")(conn, r)
		})
		Expect(newRig([]*fakeEndpoint{e}, withLog(&log)).call("/stream/").err).NotTo(HaveOccurred())
		Eventually(log.String, waitTimeout).Should(MatchRegexp(`"longest_gap_ms":[2-9][0-9][0-9]\.`))
	})
})
