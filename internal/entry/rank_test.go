package entry_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/entry"
	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/settings"
)

const urgencyHeader = "Acacialift-Request-Urgency"

// withPriorities gives the profiles for resumable streams the higher priority.
func withPriorities(c *fleet.Catalog, _ *entry.HandlerOptions) {
	for i := range c.Profiles {
		c.Profiles[i].Priority = 1
		if c.Profiles[i].Resumable {
			c.Profiles[i].Priority = 0
		}
	}
}

var _ = Describe("the rank of a request", func() {
	// Guards against a resumed attempt that states another urgency than the first, or none.
	It("is stated to the engines of a ranked service in each attempt", func() {
		endpoints := firstThen(send(respondAndReset(streamHead+chunk(events(1, 3)))), respond(streamHead+chunk(events(4, 6))+lastChunk))
		r := newRig(endpoints, withEngine, withPriorities)
		Expect(r.call("/resume/", urgencyHeader, "7").body).To(Equal(events(1, 6)))
		Expect(r.call("/stream/", urgencyHeader, "7").status).To(Equal(http.StatusOK))
		byPath := make(map[string][]string)
		for _, e := range endpoints {
			for _, received := range e.requests() {
				path := received.request.URL.Path
				byPath[path] = append(byPath[path], received.request.Header.Get(urgencyHeader))
			}
		}
		Expect(byPath["/resume/"]).To(Equal([]string{"0", "0"}))
		Expect(byPath["/stream/"]).To(Equal([]string{"1"}))
	})

	// Guards against requests of earlier deployments that change: plain services, and model services with equal priorities.
	DescribeTable("is not stated to others", func(options ...rigOption) {
		e := newEndpoint(respond(sealedResponse("answer")))
		r := newRig([]*fakeEndpoint{e}, options...)
		Expect(r.call("/safe/", urgencyHeader, "0").status).To(Equal(http.StatusOK))
		Expect(e.requests()[0].request.Header.Values(urgencyHeader)).To(BeEmpty())
	},
		Entry("endpoints of a plain service", rigOption(withPriorities)),
		Entry("engines of a service that is not ranked", rigOption(withEngine)),
	)

	// Guards against ranks that take effect on a plain service without the mode "on", and against a mode without effect.
	DescribeTable("decides about the queue of a plain endpoint", func(mode settings.Mode, low int) {
		e := newEndpoint(respond(sealedResponse("answer")))
		r := newRig([]*fakeEndpoint{e}, withPriorities, func(_ *fleet.Catalog, o *entry.HandlerOptions) { o.Queue = mode })
		endpoint := r.state.Snapshot().Endpoints["pool"][0]
		// The endpoint has 4 slots and 4 queue places, of which the lowest rank leaves 2 to the higher one.
		for range 6 {
			request := r.load.Add(load.Work{Primary: endpoint, Limit: time.Minute}, time.Now())
			defer request.End()
		}
		Expect(r.call("/safe/").status).To(Equal(low))
		Expect(r.call("/resume/").status).To(Equal(http.StatusOK))
	},
		Entry("where the mode is on", settings.ModeOn, http.StatusServiceUnavailable),
		Entry("not where it is by_priority", settings.ModeByPriority, http.StatusOK),
	)
})
