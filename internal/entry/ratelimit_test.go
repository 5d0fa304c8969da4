package entry_test

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/acacialift/acacialift/internal/entry"
	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/limit"
	"github.com/acacialift/acacialift/internal/testkit"
)

// limitedResponse returns a response of an endpoint that names a request rate.
func limitedResponse(rate string) string {
	return strings.Replace(sealedResponse("limited"), "\r\n", "\r\nServer-Limit: "+rate+"\r\n", 1)
}

// withLog makes the rig write its log lines to the buffer.
func withLog(b *testkit.LogBuffer) rigOption {
	return func(_ *fleet.Catalog, options *entry.HandlerOptions) { options.Log = zerolog.New(b) }
}

var _ = Describe("an endpoint that limits its request rate", func() {
	// Guards against logs that do not tell when an instance learned that an endpoint has a limit, which value it used, and
	// when the limit ended.
	It("is logged when the limit begins, changes and ends, and at each placement", func() {
		e := newEndpoint(
			respond(limitedResponse("1000")), respond(limitedResponse("500")), respond(limitedResponse("500")),
			respond(sealedResponse("free")),
		)
		var log testkit.LogBuffer
		r := newRig([]*fakeEndpoint{e}, withLog(&log))
		for range 5 {
			Eventually(func() int { return r.call("/safe/").status }, waitTimeout).Should(Equal(200))
		}
		lines := log.String()
		Expect(strings.Count(lines, "endpoint_limited")).To(Equal(2))
		Expect(lines).To(ContainSubstring(`"endpoint":"i-0","max_rate":1000,"message":"endpoint_limited"`))
		Expect(lines).To(ContainSubstring(`"endpoint":"i-0","max_rate":500,"message":"endpoint_limited"`))
		Expect(strings.Count(lines, `"max_rate_age_ms"`)).To(Equal(3))
		Expect(strings.Count(lines, "endpoint_limit_ended")).To(Equal(1))
	})
})

var _ = Describe("an endpoint that names a number that cannot be its request rate", func() {
	// Guards against one answer that stops an instance, and all others: a rate of 1e10 made the handler of each later request panic.
	DescribeTable("gets requests as before, and is logged once", func(stated string) {
		e := newEndpoint(respond(limitedResponse(stated)))
		var log testkit.LogBuffer
		r := newRig([]*fakeEndpoint{e}, withLog(&log))
		for range 5 {
			got := r.call("/safe/")
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.status).To(Equal(200))
		}
		Expect(strings.Count(log.String(), "endpoint_limit_rejected")).To(Equal(1))
		Expect(log.String()).To(ContainSubstring(`"stated":"` + stated + `"`))
	}, Entry("too large", "10000000000"), Entry("infinite", "Inf"), Entry("not a number", "NaN"), Entry("negative", "-3"))

	// Guards against a limit that ends although the endpoint still states one, in a way that cannot be read.
	It("keeps the limit that it has named before", func() {
		e := newEndpoint(respond(limitedResponse("0.5")), respond(limitedResponse("few")))
		r := newRig([]*fakeEndpoint{e})
		Expect(r.call("/safe/").status).To(Equal(200))
		Eventually(func() int { return r.call("/safe/").status }, waitTimeout).Should(Equal(200))
		Expect(r.call("/safe/").status).To(Equal(503))
	})
})

var _ = Describe("an endpoint that limits the rate of a fleet of 8", func() {
	const (
		instances        = 8
		callsPerInstance = 12
		rate             = 2.0
		window           = 4 * time.Second
		// bound is the number of requests that the endpoint may get within the window: one and a half times its rate, and 5.
		bound = 1.5*rate*4 + 5
	)

	// Guards against an endpoint in need that gets more requests than the rate that it has named, because the instances do not
	// know the rate, or because each uses the whole rate (incident inc1).
	It("gets at most its rate from all instances together, and the others serve the remaining requests", func() {
		limited := newEndpoint(respond(limitedResponse("2")))
		free := newEndpoint(respond(sealedResponse("free")))
		var arrivals arrivalTimes
		rigs := make([]*rig, instances)
		for i := range rigs {
			rigs[i] = newRig([]*fakeEndpoint{limited}, withFleetOf(instances))
			Expect(rigs[i].call("/safe/").body).To(Equal("limited"))
			rigs[i].state.PutEndpoint(&fleet.Endpoint{
				ID: "i-free", Service: "pool", Address: free.listener.Addr().String(), Domain: "yard-2", Slots: 4,
			})
		}
		// All instances have been told the rate now.
		var calls sync.WaitGroup
		for _, r := range rigs {
			calls.Go(func() {
				defer GinkgoRecover()
				for range callsPerInstance {
					at := time.Now()
					got := r.call("/safe/")
					Expect(got.status).To(Equal(200))
					if got.body == "limited" {
						arrivals.add(at)
					}
				}
			})
		}
		calls.Wait()
		Expect(arrivals.maxWithin(window)).To(BeNumerically("<=", bound))
	})
})

// arrivalTimes collects the times of requests. It is safe for concurrent use.
type arrivalTimes struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivalTimes) add(at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, at)
}

// maxWithin returns the largest number of requests in any window of the given length.
func (a *arrivalTimes) maxWithin(window time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return testkit.MaxWithin(a.times, window)
}

// withFleetOf makes the rig an instance of a fleet that has been running for an hour.
func withFleetOf(instances int) rigOption {
	return func(_ *fleet.Catalog, options *entry.HandlerOptions) {
		share := limit.NewFleetShare(1, time.Now().Add(-time.Hour))
		share.ObservePeers(instances - 1)
		options.RateLimiter = limit.NewRateLimiter(share, rand.Float64)
	}
}
