package entry_test

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/clock"
	"github.com/acacialift/acacialift/internal/entry"
	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/testkit"
)

var _ = Describe("admission", func() {
	// Guards against refusals of valid requests, and against requests dispatched for callers without a valid key or profile.
	DescribeTable("depends on path and key", func(path, key string, status int) {
		e := newEndpoint(respond(sealedResponse("answer")))
		public := func(c *fleet.Catalog, _ *entry.HandlerOptions) {
			open := profile("/open/", fleet.Idempotent, 1)
			open.Public = true
			c.Profiles = append(c.Profiles, open, profile("/safe/deeper/", fleet.Idempotent, 1))
		}
		got := newRig([]*fakeEndpoint{e}, withTeams, public).call(path, "Api-Key", key)
		Expect(got.status).To(Equal(status))
		Expect(totalRequests(e)).To(Equal(map[bool]int{true: 1}[status == http.StatusOK]))
	},
		Entry("a known key", "/safe/x", teamKey, 200),
		Entry("the longest prefix", "/safe/deeper/x", teamKey, 200),
		Entry("an unknown key", "/safe/x", "other", 401),
		Entry("no key", "/safe/x", "", 401),
		Entry("a public profile", "/open/x", "", 200),
		Entry("no profile", "/none/x", teamKey, 404),
		Entry("a prefix without its slash", "/safe", teamKey, 404),
	)

	// Guards against a route without a time limit, or with one of zero, whose callers get a refusal at once unless they state a deadline.
	It("does not end a request for which neither the profile nor the caller states a time limit", func() {
		e := newEndpoint(respond(sealedResponse("answer")))
		r := newRig([]*fakeEndpoint{e}, func(c *fleet.Catalog, _ *entry.HandlerOptions) {
			for i := range c.Profiles {
				c.Profiles[i].TimeLimit = 0
			}
		})
		got := r.call("/safe/x", "Acacialift-Deadline-Ms", "")
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(r.call("/safe/x", "Acacialift-Deadline-Ms", "8000").status).To(Equal(http.StatusOK))
	})

	// Guards against a 404 or 401 from an instance that has not loaded a configuration yet.
	It("returns 503 before the first configuration is loaded", func() {
		r := newRig(nil)
		*r.state = *fleet.NewState()
		got := r.call("/safe/x")
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	})

	// Guards against revoked keys that an instance without contact to the platform still accepts.
	It("refuses keys, but not public requests, while the configuration is unconfirmed", func() {
		e := newEndpoint(respond(sealedResponse("answer")))
		strict := func(c *fleet.Catalog, o *entry.HandlerOptions) {
			open := profile("/open/", fleet.Idempotent, 1)
			open.Public = true
			c.Profiles = append(c.Profiles, open)
			o.MaxCatalogAge = 80 * time.Millisecond
		}
		r := newRig([]*fakeEndpoint{e}, withTeams, strict)
		r.state.Confirm(fleet.Confirmation{At: clock.Boot()})
		time.Sleep(100 * time.Millisecond)
		Expect(r.call("/safe/x", "Api-Key", teamKey).status).To(Equal(http.StatusServiceUnavailable))
		Expect(r.call("/open/x").status).To(Equal(http.StatusOK))
		r.state.Confirm(fleet.Confirmation{At: clock.Boot() + time.Hour})
		Expect(r.call("/safe/x", "Api-Key", teamKey).status).To(Equal(http.StatusOK))
	})

	// Guards against requests that are cut without a response at the end of a graceful shutdown (LOST).
	DescribeTable("answers the requests that still run shortly before the end of a graceful shutdown",
		func(path string, script func(net.Conn, receivedRequest), expected func(reply) bool) {
			e := newEndpoint(script)
			r := newRig([]*fakeEndpoint{e})
			replies := make(chan reply, 1)
			go func() { replies <- r.call(path) }()
			Eventually(e.requests, waitTimeout).Should(HaveLen(1))
			const grace = time.Second
			began := time.Now()
			r.handler.StartShutdown(grace)
			var got reply
			Eventually(replies, waitTimeout).Should(Receive(&got))
			Expect(time.Since(began)).To(BeNumerically("<", grace))
			Expect(expected(got)).To(BeTrue(), "%+v", got)
		},
		Entry("with an unknown outcome", "/unsafe/", neverRespond, func(got reply) bool { return got.status == http.StatusGatewayTimeout }),
		Entry("with the end of a stream that has begun", "/stream/", func(conn net.Conn, r receivedRequest) {
			respond(streamHead+chunk(streamEvent(1)))(conn, r)
			neverRespond(conn, r)
		}, func(got reply) bool { return got.status == http.StatusOK && got.err != nil }),
	)

	// Guards against requests that come late in a graceful shutdown on open connections, are passed on and cut at its end (LOST).
	It("late in a graceful shutdown accepts only requests whose time limit ends before", func() {
		e := newEndpoint(respond(sealedResponse("answer")))
		r := newRig([]*fakeEndpoint{e}, func(c *fleet.Catalog, _ *entry.HandlerOptions) {
			for i := range c.Profiles {
				c.Profiles[i].TimeLimit = time.Minute
			}
		})
		r.handler.StartShutdown(12 * time.Second)
		Expect(r.call("/unsafe/", "Acacialift-Deadline-Ms", "30000").status).To(Equal(http.StatusOK))
		time.Sleep(3200 * time.Millisecond)
		Expect(r.call("/unsafe/", "Acacialift-Deadline-Ms", "30000").status).To(Equal(http.StatusServiceUnavailable))
		Expect(r.call("/unsafe/", "Acacialift-Deadline-Ms", "2000").status).To(Equal(http.StatusOK))
	})

	// Guards against requests that an instance accepts during its graceful shutdown and cannot finish, and against callers that stay on their
	// connections until these are cut, because the header of the endpoint's response has replaced "Connection: close".
	It("during a graceful shutdown refuses requests that would not end in time, and closes connections", func() {
		e := newEndpoint(respond(sealedResponse("answer")))
		r := newRig([]*fakeEndpoint{e})
		Expect(r.call("/safe/x").closes).To(BeFalse())
		r.handler.StartShutdown(time.Hour)
		got := r.call("/safe/x")
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.closes).To(BeTrue())
		r.handler.StartShutdown(4 * time.Second)
		Expect(r.call("/stream/x").status).To(Equal(http.StatusServiceUnavailable))
		r.handler.StartShutdown(time.Second)
		Expect(r.call("/safe/x").status).To(Equal(http.StatusServiceUnavailable))
		Expect(totalRequests(e)).To(Equal(2))
	})

	// Guards against callers that stay on their connections after a stream until these are cut.
	It("during a graceful shutdown closes the connection after a stream", func() {
		r := newRig([]*fakeEndpoint{newEndpoint(respond(streamHead + chunk(streamEvent(1)) + "0\r\n\r\n"))})
		r.handler.StartShutdown(time.Hour)
		got := r.call("/stream/x")
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.closes).To(BeTrue())
	})

	// Guards against malformed numbers that are treated as zero.
	DescribeTable("refuses malformed headers", func(header, value string) {
		e := newEndpoint(respond(sealedResponse("answer")))
		Expect(newRig([]*fakeEndpoint{e}).call("/safe/x", header, value).status).To(Equal(http.StatusBadRequest))
		Expect(totalRequests(e)).To(BeZero())
	},
		Entry("a deadline", "Acacialift-Deadline-Ms", "soon"),
		Entry("a negative deadline", "Acacialift-Deadline-Ms", "-1"),
		Entry("tokens", "Acacialift-Token-Usage", "many"),
		Entry("tokens without output", "Acacialift-Token-Usage", "12"),
		Entry("no id", "Acacialift-Request-Id", ""),
	)
})

var _ = Describe("the choice of endpoints", func() {
	// Guards against requests to endpoints that are leaving, out of service or removed.
	DescribeTable("excludes unavailable endpoints", func(makeUnavailable func(r *rig)) {
		e := newEndpoint(respond(sealedResponse("answer")))
		r := newRig([]*fakeEndpoint{e})
		makeUnavailable(r)
		got := r.call("/safe/x")
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(totalRequests(e)).To(BeZero())
	},
		Entry("leaving", func(r *rig) {
			e := *r.state.Endpoint("i-0")
			e.Leaving = true
			r.state.PutEndpoint(&e)
		}),
		Entry("in a failure domain out of service", func(r *rig) { r.state.SetOutOfService(map[string]bool{"yard-1": true}) }),
		Entry("removed", func(r *rig) { r.state.RemoveEndpoint("i-0") }),
	)

	// Guards against a burst of requests on an endpoint in cold start.
	It("limits the requests to an endpoint in cold start to this instance's share of the limit", func() {
		e := newEndpoint(respond(sealedResponse("answer")))
		coldRate := func(c *fleet.Catalog, _ *entry.HandlerOptions) { c.Services["pool"].ColdRate = 4 }
		r := newRig([]*fakeEndpoint{e}, coldRate)
		cold := *r.state.Endpoint("i-0")
		cold.ColdUntil = time.Now().Add(time.Hour)
		r.state.PutEndpoint(&cold)
		for range 30 {
			r.call("/safe/x")
		}
		// The limit of all instances is 4 per second x 1.5 + 5 = 11. A single instance's share of it is 0.8 / 1.5.
		Expect(totalRequests(e)).To(BeNumerically("<=", 11*2))
		Expect(totalRequests(e)).To(BeNumerically(">", 0))
	})
})

var _ = Describe("memory for a prompt that exceeds the memory of one engine", func() {
	const prompt = "150000,100"
	succeed := func(conn net.Conn, r receivedRequest) { respond(streamHead+chunk(streamEvent(1))+"0\r\n\r\n")(conn, r) }
	reset := func(conn net.Conn, r receivedRequest) { respondAndReset("")(conn, r) }

	operations := func(e *fakeEndpoint) []string {
		var names []string
		for _, body := range e.controlBodies() {
			var request struct {
				Operation string `json:"operation"`
			}
			Expect(json.Unmarshal([]byte(body), &request)).To(Succeed())
			names = append(names, request.Operation)
		}
		return names
	}

	// Guards against memory that stays reserved after its request has succeeded or failed.
	DescribeTable("is reserved before the request and released after it", func(script func(net.Conn, receivedRequest)) {
		a, b := newEndpoint(script), newEndpoint(script)
		r := newRig([]*fakeEndpoint{a, b}, withLongObjective)
		r.call("/stream/x", "Acacialift-Token-Usage", prompt)
		helper, primary := a, b
		if len(a.requests()) > 0 {
			helper, primary = b, a
		}
		Expect(primary.requests()).To(HaveLen(1))
		Expect(primary.requests()[0].request.Header.Get("Acacialift-Helpers")).To(ContainSubstring("/"))
		Eventually(func() []string { return operations(helper) }, waitTimeout).Should(Equal([]string{"reserve", "release"}))
	}, Entry("that succeeds", succeed), Entry("that fails", reset))

	// Guards against a request rate that is named in the response to a reservation and not respected.
	It("is reserved at an endpoint whose request rate is learned from the response", func() {
		a, b := newEndpoint(succeed), newEndpoint(succeed)
		a.controlHeader, b.controlHeader = "Server-Limit: 2\r\n", "Server-Limit: 2\r\n"
		var log testkit.LogBuffer
		newRig([]*fakeEndpoint{a, b}, withLongObjective, withLog(&log)).call("/stream/x", "Acacialift-Token-Usage", prompt)
		Expect(log.String()).To(ContainSubstring(`"max_rate":2,"message":"endpoint_limited"`))
	})

	// Guards against a request that is sent although the reservation of its memory was refused.
	It("prevents the request from being sent if its reservation is refused", func() {
		a, b := newEndpoint(succeed), newEndpoint(succeed)
		a.controlStatus, b.controlStatus = http.StatusConflict, http.StatusConflict
		got := newRig([]*fakeEndpoint{a, b}, withLongObjective).call("/stream/x", "Acacialift-Token-Usage", prompt)
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(totalRequests(a, b)).To(BeZero())
	})
})
