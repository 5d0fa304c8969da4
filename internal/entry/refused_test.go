package entry_test

import (
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/clock"
	"github.com/acacialift/acacialift/internal/engine"
	"github.com/acacialift/acacialift/internal/entry"
	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/limit"
)

// restartAt starts an endpoint at the address of one that has crashed.
func restartAt(crashed *fakeEndpoint, script func(net.Conn, receivedRequest)) *fakeEndpoint {
	listener, err := net.Listen("tcp", crashed.listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	e := &fakeEndpoint{
		listener: listener, scripts: []func(net.Conn, receivedRequest){script}, started: endpointStarted, id: crashed.id,
		open: make(map[net.Conn]bool),
	}
	go e.accept(listener)
	DeferCleanup(func() { _ = listener.Close() })
	return e
}

var _ = Describe("an endpoint that has refused connections", func() {
	coldRate := func(c *fleet.Catalog, _ *entry.HandlerOptions) { c.Services["pool"].ColdRate = 4 }
	// The limit of all instances is 4 per second x 1.5 + 5 = 11.
	const bound = 11

	// callFor sends requests for a time, several at once, and returns how many reached the endpoint.
	callFor := func(r *rig, e *fakeEndpoint, length time.Duration) int {
		before := totalRequests(e)
		until := time.Now().Add(length)
		var all sync.WaitGroup
		for range 4 {
			all.Add(1)
			go func() {
				defer GinkgoRecover()
				defer all.Done()
				for time.Now().Before(until) {
					r.call("/safe/x")
				}
			}()
		}
		all.Wait()
		return totalRequests(e) - before
	}

	// Guards against a server that starts anew under its id while the store is down: its entry still names the earlier incarnation
	// as warm, and it crashes of its whole share.
	It("gets at most the requests of a cold start when it listens again with an unchanged entry", func() {
		e := newEndpoint(respond(sealedResponse("answer")))
		r := newRig([]*fakeEndpoint{e}, coldRate)
		Expect(r.call("/safe/x").status).To(Equal(200))
		e.crash()
		r.call("/safe/x")
		again := restartAt(e, respond(sealedResponse("answer")))
		// A window of a second may begin at any time in the two seconds.
		sent := callFor(r, again, 2*time.Second)
		Expect(sent).To(BeNumerically("<=", 2*bound))
		Expect(sent).To(BeNumerically(">", 0))
	})

	// fullEndpoint returns an endpoint that accepts no connection until listen is called.
	fullEndpoint := func() (e *fakeEndpoint, listen func()) {
		listener, queued := newFullListener()
		e = &fakeEndpoint{
			listener: listener, scripts: []func(net.Conn, receivedRequest){respond(sealedResponse("answer"))}, open: make(map[net.Conn]bool),
			started: endpointStarted,
		}
		return e, func() {
			for _, conn := range queued {
				_ = conn.Close()
			}
			go e.accept(listener)
		}
	}
	// muteEndpoint returns an endpoint that does not answer its first request.
	muteEndpoint := func() (e *fakeEndpoint, listen func()) {
		return newEndpoint(neverRespond, respond(sealedResponse("answer"))), func() {}
	}

	// Guards against a server that was dark while the store is down and starts anew under its id (review/15): it refuses no connection.
	DescribeTable("gets at most the requests of a cold start when it was silent and no entry can come", func(start func() (*fakeEndpoint, func())) {
		e, listen := start()
		r := newRig([]*fakeEndpoint{e}, coldRate, func(_ *fleet.Catalog, o *entry.HandlerOptions) {
			o.Client = engine.NewClientWithOptions(engine.ClientOptions{Reuse: true, AllowUnframed: true, DialTimeout: unreachedTime})
		})
		confirmed := r.state.Confirmed().At
		r.call("/once/x", "Acacialift-Deadline-Ms", "700")
		// What is published counts as current for some seconds after its last confirmation.
		const currentTime = 3 * time.Second
		time.Sleep(currentTime - (clock.Boot() - confirmed))
		listen()
		sent := callFor(r, e, 2*time.Second)
		Expect(sent).To(BeNumerically("<=", 2*bound))
		Expect(sent).To(BeNumerically(">", 0))
	},
		Entry("it accepted no connection", fullEndpoint),
		Entry("it answered nothing", muteEndpoint),
	)

	// Guards against an endpoint that is still treated as cold once the store states its new incarnation, and when it was.
	It("is as its entry says once there is a new one", func() {
		e := newEndpoint(respond(sealedResponse("answer")))
		r := newRig([]*fakeEndpoint{e}, coldRate)
		e.crash()
		r.call("/safe/x")
		again := restartAt(e, respond(sealedResponse("answer")))
		renewed := *r.state.Endpoint("i-0")
		renewed.Started++
		r.state.PutEndpoint(&renewed)
		Expect(callFor(r, again, time.Second)).To(BeNumerically(">", 3*bound))
	})

	// Guards against an endpoint that a large fleet leaves unused for long after one refused connection: with the store available, a
	// new entry would have come, and the share of one of 82 instances in the requests to a cold endpoint is below one a second.
	It("is as its entry says after some seconds if the state is current", func() {
		e := newEndpoint(respond(sealedResponse("answer")))
		r := newRig([]*fakeEndpoint{e}, coldRate, func(_ *fleet.Catalog, o *entry.HandlerOptions) {
			o.ColdLimiter = limit.NewColdLimiter(1.5, 5, limit.NewFleetShare(82, time.Now()))
		})
		e.crash()
		r.call("/safe/x")
		again := restartAt(e, respond(sealedResponse("answer")))
		r.state.Confirm(fleet.Confirmation{At: clock.Boot()})
		Expect(callFor(r, again, time.Second)).To(BeZero())
		Eventually(func() int {
			r.state.Confirm(fleet.Confirmation{At: clock.Boot()})
			return callFor(r, again, 100*time.Millisecond)
		}, 5*time.Second).Should(BeNumerically(">", 0))
	})
})
