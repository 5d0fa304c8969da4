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
)

var _ = Describe("admission", func() {
	// Guards against refusals of proper requests, and against work for callers without a valid key or profile.
	DescribeTable("decides by host, path and key", func(path, key string, status int) {
		e := newEndpoint(text(whole("answer")))
		public := func(c *fleet.Catalog, _ *entry.HandlerOptions) {
			open := profile("/open/", fleet.Idempotent, 1)
			open.Public = true
			c.Profiles = append(c.Profiles, open, profile("/safe/deeper/", fleet.Idempotent, 1))
		}
		got := newRig([]*fakeEndpoint{e}, withTeams, public).call(path, "Api-Key", key)
		Expect(got.status).To(Equal(status))
		Expect(total(e)).To(Equal(map[bool]int{true: 1}[status == http.StatusOK]))
	},
		Entry("a known key", "/safe/x", teamKey, 200),
		Entry("the longest prefix", "/safe/deeper/x", teamKey, 200),
		Entry("an unknown key", "/safe/x", "other", 401),
		Entry("no key", "/safe/x", "", 401),
		Entry("a public profile", "/open/x", "", 200),
		Entry("no profile", "/none/x", teamKey, 404),
		Entry("a prefix without its slash", "/safe", teamKey, 404),
	)

	// Guards against a 404 or 401 by an instance that knows no configuration yet.
	It("answers 503 before the first configuration was read", func() {
		r := newRig(nil)
		*r.state = *fleet.NewState()
		got := r.call("/safe/x")
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	})

	// Guards against keys that work on an instance that cannot know whether they were taken away.
	It("refuses keys while the configuration is unconfirmed, and no public request", func() {
		e := newEndpoint(text(whole("answer")))
		strict := func(c *fleet.Catalog, o *entry.HandlerOptions) {
			open := profile("/open/", fleet.Idempotent, 1)
			open.Public = true
			c.Profiles = append(c.Profiles, open)
			o.MaxCatalogAge = 80 * time.Millisecond
		}
		r := newRig([]*fakeEndpoint{e}, withTeams, strict)
		r.state.Confirm(clock.Boot())
		time.Sleep(100 * time.Millisecond)
		Expect(r.call("/safe/x", "Api-Key", teamKey).status).To(Equal(http.StatusServiceUnavailable))
		Expect(r.call("/open/x").status).To(Equal(http.StatusOK))
		r.state.Confirm(clock.Boot() + time.Hour)
		Expect(r.call("/safe/x", "Api-Key", teamKey).status).To(Equal(http.StatusOK))
	})

	// Guards against requests that an instance reads during its stop and cannot finish.
	It("refuses during a planned stop what would not end in time, and closes connections", func() {
		e := newEndpoint(text(whole("answer")))
		r := newRig([]*fakeEndpoint{e})
		r.handler.StartShutdown(time.Hour)
		got := r.call("/safe/x")
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.closes).To(BeTrue())
		r.handler.StartShutdown(4 * time.Second)
		Expect(r.call("/stream/x").status).To(Equal(http.StatusServiceUnavailable))
		r.handler.StartShutdown(time.Second)
		Expect(r.call("/safe/x").status).To(Equal(http.StatusServiceUnavailable))
		Expect(total(e)).To(Equal(1))
	})

	// Guards against malformed numbers that are taken for zero.
	DescribeTable("refuses malformed headers", func(header, value string) {
		e := newEndpoint(text(whole("answer")))
		Expect(newRig([]*fakeEndpoint{e}).call("/safe/x", header, value).status).To(Equal(http.StatusBadRequest))
		Expect(total(e)).To(BeZero())
	},
		Entry("a deadline", "Acacialift-Deadline-Ms", "soon"),
		Entry("a negative deadline", "Acacialift-Deadline-Ms", "-1"),
		Entry("tokens", "Acacialift-Token-Usage", "many"),
		Entry("tokens without output", "Acacialift-Token-Usage", "12"),
		Entry("no id", "Acacialift-Request-Id", ""),
	)
})

var _ = Describe("withdrawn endpoints", func() {
	// Guards against requests to endpoints that are leaving, out of service or gone, chosen or about to be sent.
	DescribeTable("get no request", func(withdraw func(r *rig)) {
		e := newEndpoint(text(whole("answer")))
		r := newRig([]*fakeEndpoint{e})
		withdraw(r)
		got := r.call("/safe/x")
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(total(e)).To(BeZero())
	},
		Entry("leaving", func(r *rig) {
			e := *r.state.Endpoint("i-0")
			e.Leaving = true
			r.state.PutEndpoint(&e)
		}),
		Entry("in a domain out of service", func(r *rig) { r.state.SetOutOfService(map[string]bool{"yard-1": true}) }),
		Entry("gone", func(r *rig) { r.state.RemoveEndpoint("i-0") }),
	)

	// Guards against a burst of requests on an endpoint in cold start.
	It("in cold start get no more than this instance's share in a second", func() {
		e := newEndpoint(text(whole("answer")))
		coldRate := func(c *fleet.Catalog, _ *entry.HandlerOptions) { c.Services["pool"].ColdRate = 4 }
		r := newRig([]*fakeEndpoint{e}, coldRate)
		cold := *r.state.Endpoint("i-0")
		cold.ColdUntil = time.Now().Add(time.Hour)
		r.state.PutEndpoint(&cold)
		for range 30 {
			r.call("/safe/x")
		}
		// 4 a second x 1.5 + 5 = 11 for all instances, of which the share of a single instance is 0.8 / 1.5.
		Expect(total(e)).To(BeNumerically("<=", 11*2))
		Expect(total(e)).To(BeNumerically(">", 0))
	})
})

var _ = Describe("memory for a prompt larger than one engine's", func() {
	const prompt = "150000,100"
	long := func(c *fleet.Catalog, o *entry.HandlerOptions) {
		withEngine(c, o)
		for i := range c.Profiles {
			c.Profiles[i].Objective = 10 * time.Second
		}
	}
	finished := func(conn net.Conn, a arrival) { text(streamHead+chunk(streamEvent(1))+"0\r\n\r\n")(conn, a) }
	reset := func(conn net.Conn, a arrival) { reset("")(conn, a) }

	operations := func(e *fakeEndpoint) []string {
		var names []string
		for _, body := range e.ordered() {
			var order struct {
				Operation string `json:"operation"`
			}
			Expect(json.Unmarshal([]byte(body), &order)).To(Succeed())
			names = append(names, order.Operation)
		}
		return names
	}

	// Guards against memory that stays set aside when its request has ended, well or not.
	DescribeTable("is reserved before the request and released after it", func(script func(net.Conn, arrival)) {
		a, b := newEndpoint(script), newEndpoint(script)
		r := newRig([]*fakeEndpoint{a, b}, long)
		r.call("/stream/x", "Acacialift-Token-Usage", prompt)
		holder, first := a, b
		if len(a.reached()) > 0 {
			holder, first = b, a
		}
		Expect(first.reached()).To(HaveLen(1))
		Expect(first.reached()[0].request.Header.Get("Acacialift-Helpers")).To(ContainSubstring("/"))
		Eventually(func() []string { return operations(holder) }, eventLimit).Should(Equal([]string{"reserve", "release"}))
	}, Entry("that succeeds", finished), Entry("that fails", reset))

	// Guards against a request that is sent although its memory was refused.
	It("that is refused keeps the request from being sent", func() {
		a, b := newEndpoint(finished), newEndpoint(finished)
		a.orderStatus, b.orderStatus = http.StatusConflict, http.StatusConflict
		got := newRig([]*fakeEndpoint{a, b}, long).call("/stream/x", "Acacialift-Token-Usage", prompt)
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(total(a, b)).To(BeZero())
	})
})
