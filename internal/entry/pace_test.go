package entry_test

import (
	"bytes"
	"net"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/acacialift/acacialift/internal/entry"
	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/health"
	"github.com/acacialift/acacialift/internal/pace"
	"github.com/acacialift/acacialift/internal/settings"
)

// withPace tracks the pace of endpoints in a mode.
func withPace(tracker *pace.Tracker, mode settings.Mode) rigOption {
	return func(_ *fleet.Catalog, o *entry.HandlerOptions) { o.Pace, o.PaceMode = tracker, mode }
}

// streamAfter returns a script that sends a stream of one event after a delay.
func streamAfter(delay time.Duration) func(net.Conn, receivedRequest) {
	return func(conn net.Conn, r receivedRequest) {
		time.Sleep(delay)
		respond(streamHead+chunk(streamEvent(1))+"0\r\n\r\n")(conn, r)
	}
}

// slowdownOf returns the slowdown of an endpoint of the rig.
func slowdownOf(r *rig, tracker *pace.Tracker, id string) float64 {
	return tracker.Slowdown(r.state.Endpoint(id).Key(), time.Now())
}

var _ = Describe("an instance that tracks the pace of endpoints", func() {
	const late = 180 * time.Millisecond

	// Guards against an instance without schedulers that keeps sending requests to an engine with late first events.
	It("finds a slow engine by first events, and prefers the other one", func() {
		tracker := pace.NewTracker()
		slow, fast := newEndpoint(streamAfter(late)), newEndpoint(streamAfter(0))
		r := newRig([]*fakeEndpoint{slow, fast}, withEngine, withPace(tracker, settings.ModeOn))
		for range 30 {
			r.call("/stream/x")
		}
		Expect(slowdownOf(r, tracker, "i-0")).To(BeNumerically(">", 1.5))
		Expect(slowdownOf(r, tracker, "i-1")).To(Equal(1.0))
		Expect(len(fast.requests())).To(BeNumerically(">", len(slow.requests())))
	})

	// Guards against a plain endpoint that is slower than the others and gets as many requests.
	It("finds a slow plain endpoint by latencies", func() {
		tracker := pace.NewTracker()
		after := func(delay time.Duration) func(net.Conn, receivedRequest) {
			return func(conn net.Conn, request receivedRequest) {
				time.Sleep(delay)
				respond(sealedResponse("answer"))(conn, request)
			}
		}
		slow, fast, other := newEndpoint(after(late)), newEndpoint(after(time.Millisecond)), newEndpoint(after(time.Millisecond))
		r := newRig([]*fakeEndpoint{fast, slow, other}, withPace(tracker, settings.ModeOn))
		for range 12 {
			done := make(chan struct{}, 6)
			for range 6 {
				go func() {
					defer GinkgoRecover()
					defer func() { done <- struct{}{} }()
					r.call("/safe/x")
				}()
			}
			for range 6 {
				<-done
			}
		}
		Expect(slowdownOf(r, tracker, "i-1")).To(BeNumerically(">", 1.5))
		Expect(slowdownOf(r, tracker, "i-0")).To(Equal(1.0))
	})

	// Guards against operators who do not see why an endpoint gets few requests.
	It("logs and counts slow endpoints and slow starts", func() {
		tracker := pace.NewTracker()
		metrics := entry.NewMetrics()
		r := newRig(
			[]*fakeEndpoint{newEndpoint(streamAfter(late)), newEndpoint(streamAfter(0))}, withEngine, withPace(tracker, settings.ModeOn),
			func(_ *fleet.Catalog, o *entry.HandlerOptions) { o.Metrics = metrics },
		)
		for range 30 {
			r.call("/stream/x")
		}
		cold := *r.state.Endpoint("i-1")
		cold.Started++
		r.state.PutEndpoint(&cold)
		var log bytes.Buffer
		entry.MaintainPace(r.handler, zerolog.New(&log), time.Now().Add(time.Minute))
		Expect(log.String()).To(ContainSubstring(`"endpoint":"i-0","state":"slow","factor":`))
		Expect(log.String()).To(ContainSubstring(`"endpoint":"i-1","state":"slow_start_began","reason":"started","window":2,"message":"endpoint_pace"`))
		page := httptest.NewRecorder()
		metrics.ServeHTTP(page, nil)
		Expect(page.Body.String()).To(ContainSubstring("acacialift_endpoint_pace_slow 1"))
		Expect(page.Body.String()).To(ContainSubstring("acacialift_starting_endpoints"))
	})

	// Guards against an endpoint that begins a slow start again every second: its instance takes it for cold after a refused connection, and
	// the scheduler in the same process, which shares the tracker, does not.
	It("begins no slow start again and again after one refused connection", func() {
		tracker, healthTracker := pace.NewTracker(), health.NewTracker()
		r := newRig([]*fakeEndpoint{newEndpoint(streamAfter(0))}, withEngine, withPace(tracker, settings.ModeOn),
			func(c *fleet.Catalog, o *entry.HandlerOptions) {
				c.Services["pool"].ColdRate, o.Health = 14, healthTracker
			})
		key, start := r.state.Endpoint("i-0").Key(), time.Now()
		entry.MaintainPace(r.handler, zerolog.Nop(), start.Add(-time.Minute))
		healthTracker.Refused(key, start)
		began := 0
		for second := range 9 {
			now := start.Add(time.Duration(second) * time.Second)
			var log bytes.Buffer
			entry.MaintainPace(r.handler, zerolog.New(&log), now)
			began += strings.Count(log.String(), `"slow_start_began"`)
			for range 8 {
				// The scheduler assesses the endpoint when it places a request.
				now = now.Add(100 * time.Millisecond)
				tracker.Assess(key, pace.Condition{Slots: 4}, now)
				tracker.Observe(key, 50*time.Millisecond, 50*time.Millisecond, now)
			}
		}
		Expect(began).To(BeNumerically("<=", 1))
	})

	// Guards against any change where the mode is off, or by_priority for a service whose profiles have one priority.
	DescribeTable("observes nothing where it is off", func(mode settings.Mode) {
		tracker := pace.NewTracker()
		r := newRig([]*fakeEndpoint{newEndpoint(streamAfter(late))}, withEngine, withPace(tracker, mode))
		for range 5 {
			r.call("/stream/x")
		}
		Expect(slowdownOf(r, tracker, "i-0")).To(Equal(1.0))
		Expect(tracker.TakeChanges()).To(BeEmpty())
	},
		Entry("off", settings.ModeOff), Entry("by priority", settings.ModeByPriority),
	)
})
