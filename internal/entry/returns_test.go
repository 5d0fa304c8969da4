package entry_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/acacialift/acacialift/internal/entry"
	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/placement"
	"github.com/acacialift/acacialift/internal/returntimes"
	"github.com/acacialift/acacialift/internal/scheduler"
	"github.com/acacialift/acacialift/internal/settings"
	"github.com/acacialift/acacialift/internal/testkit"
	"github.com/acacialift/acacialift/platform"
)

// withReturnTimes sets the mode of return times, and whether the instance reaches most of the fleet.
func withReturnTimes(mode settings.Mode, hasMajority bool) rigOption {
	return func(_ *fleet.Catalog, o *entry.HandlerOptions) {
		o.ReturnTimes = mode
		o.HasMajority = func(time.Time) bool { return hasMajority }
	}
}

// withRankedService adds a second profile with another priority on the model service.
func withRankedService(c *fleet.Catalog, o *entry.HandlerOptions) {
	withEngine(c, o)
	c.Profiles[0].Priority = 1
}

// withUnconfirmedCatalog lets the age of the catalog exceed the limit at once.
func withUnconfirmedCatalog(c *fleet.Catalog, o *entry.HandlerOptions) {
	withTeams(c, o)
	o.MaxCatalogAge = time.Nanosecond
}

// retryAfter returns the delay of a refusal.
func retryAfter(r reply) time.Duration {
	Expect(r.err).NotTo(HaveOccurred())
	Expect(r.status).To(Equal(503))
	seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	Expect(err).NotTo(HaveOccurred())
	return time.Duration(seconds * float64(time.Second))
}

// retryDelays returns the delays of a number of calls with a budget of 8 s.
func retryDelays(r *rig, calls int) []time.Duration {
	var delays []time.Duration
	for range calls {
		delays = append(delays, retryAfter(r.call("/safe/")))
	}
	return delays
}

const (
	// leastOutageDelay and mostOutageDelay are a sixth and a third of the budget of 8 s.
	leastOutageDelay = 8 * time.Second / 6
	mostOutageDelay  = 8 * time.Second / 3
	// todaysOutageDelay is the delay without return times.
	todaysOutageDelay = 500 * time.Millisecond
)

var _ = Describe("the time told while keys cannot be checked", func() {
	// Guards against callers that come back into the same outage, and against returns in the same tenth of a second after it.
	It("is spread between a sixth and a third of the remaining time if most of the fleet is reached", func() {
		r := newRig(nil, withReturnTimes(settings.ModeOn, true), withUnconfirmedCatalog)
		delays := retryDelays(r, 40)
		Expect(slices.Min(delays)).To(BeNumerically(">=", leastOutageDelay-time.Millisecond))
		Expect(slices.Max(delays)).To(BeNumerically("<=", mostOutageDelay))
		// 40 delays over 1.3 s: at least a third of the range is used with near certainty.
		Expect(slices.Max(delays) - slices.Min(delays)).To(BeNumerically(">=", (mostOutageDelay-leastOutageDelay)/3))
	})

	// Guards against a caller with a limit of days that is told to return after hours, although outages take seconds.
	It("is at most the longest delay that a schedule plans", func() {
		r := newRig(nil, withReturnTimes(settings.ModeOn, true), withUnconfirmedCatalog)
		for range 20 {
			got := r.call("/safe/", "Acacialift-Deadline-Ms", "2147483647")
			Expect(retryAfter(got)).To(And(BeNumerically(">=", returntimes.Horizon/2-time.Millisecond), BeNumerically("<=", returntimes.Horizon)))
		}
	})

	DescribeTable("is as short as before", func(mode settings.Mode, hasMajority bool, options ...rigOption) {
		r := newRig(nil, append(options, withReturnTimes(mode, hasMajority), withUnconfirmedCatalog)...)
		Expect(retryAfter(r.call("/safe/"))).To(Equal(todaysOutageDelay))
	},
		// Guards against callers that wait for nothing: other instances can probably check keys.
		Entry("if this instance is cut off", settings.ModeOn, false),
		// Guards against an effect on deployments that do not ask for return times.
		Entry("if return times are off", settings.ModeOff, true),
		Entry("if no service is ranked", settings.ModeByPriority, true, withEngine),
	)

	// Guards against a deployment with ranks that is not covered.
	It("is spread if a service is ranked", func() {
		r := newRig(nil, withReturnTimes(settings.ModeByPriority, true), withRankedService, withUnconfirmedCatalog)
		Expect(retryAfter(r.call("/safe/"))).To(BeNumerically(">=", leastOutageDelay-time.Millisecond))
	})

	// Guards against an instance without a catalog, which cannot know whether a service is ranked.
	DescribeTable("without a catalog", func(mode settings.Mode, least, most time.Duration) {
		handler := entry.NewHandler(entry.HandlerOptions{
			Protocol: platform.Protocol{}, State: fleet.NewState(), Log: zerolog.Nop(), Metrics: entry.NewMetrics(), ReturnTimes: mode,
			HasMajority: func(time.Time) bool { return true },
		})
		request := httptest.NewRequest("POST", "/safe/", nil)
		request.Header.Set("Acacialift-Request-Id", callID)
		request.Header.Set("Acacialift-Deadline-Ms", "8000")
		response := httptest.NewRecorder()
		handler.ServeHTTP(response, request)
		Expect(retryAfter(reply{status: response.Code, header: response.Header()})).To(And(
			BeNumerically(">=", least), BeNumerically("<=", most),
		))
	},
		Entry("is spread if the mode is on", settings.ModeOn, leastOutageDelay-time.Millisecond, mostOutageDelay),
		Entry("is short if only ranked services have return times", settings.ModeByPriority, todaysOutageDelay, todaysOutageDelay),
	)
})

var _ = Describe("the time told by an instance", func() {
	// fill makes the only endpoint full.
	fill := func(r *rig) {
		e := r.state.Endpoint("i-0")
		for range 2 * 4 {
			r.load.Add(load.Work{Primary: e, Limit: time.Minute}, time.Now())
		}
	}

	// Guards against returns within the next tenth of a second to a service that is still full.
	It("spreads callers of a full plain service up to a third of their time, if the mode is on", func() {
		var log testkit.LogBuffer
		r := newRig([]*fakeEndpoint{newEndpoint(neverRespond)}, withReturnTimes(settings.ModeOn, true), withLog(&log))
		fill(r)
		delays := retryDelays(r, 40)
		Expect(slices.Max(delays)).To(BeNumerically("<=", mostOutageDelay))
		Expect(slices.Min(delays)).To(BeNumerically(">=", 100*time.Millisecond))
		Expect(slices.Max(delays)).To(BeNumerically(">=", time.Second))
		Expect(log.String()).To(ContainSubstring("told_ms"))
		Expect(log.String()).To(ContainSubstring("returning"))
	})

	// Guards against counters that operators cannot read, and against callers that are recognised although they ignore the time.
	It("counts what became of the callers", func() {
		metrics := entry.NewMetrics()
		r := newRig([]*fakeEndpoint{newEndpoint(neverRespond)}, withReturnTimes(settings.ModeOn, true),
			func(_ *fleet.Catalog, o *entry.HandlerOptions) { o.Metrics = metrics })
		fill(r)
		const ownPart = "4e6a1"
		delay := retryAfter(r.call("/safe/", partsHeader, ownPart))
		time.Sleep(delay)
		retryAfter(r.call("/safe/", partsHeader, ownPart))
		counted := func() string {
			// A request moves the schedule on, which counts the callers whose time is over.
			retryAfter(r.call("/safe/"))
			response := httptest.NewRecorder()
			metrics.ServeHTTP(response, nil)
			return response.Body.String()
		}
		Eventually(counted, waitTimeout, time.Second).Should(And(
			ContainSubstring("acacialift_returned_in_time 1"), ContainSubstring("acacialift_refused_again 1"),
		))
	})

	// Guards against an effect on plain services of deployments that ask for return times of ranked services only.
	It("is as short as before for a full plain service, if the mode is by_priority", func() {
		var log testkit.LogBuffer
		r := newRig([]*fakeEndpoint{newEndpoint(neverRespond)}, withReturnTimes(settings.ModeByPriority, true), withLog(&log))
		fill(r)
		Expect(slices.Max(retryDelays(r, 20))).To(BeNumerically("<=", 200*time.Millisecond))
		Expect(log.String()).NotTo(ContainSubstring("told_ms"))
	})

	// Guards against callers that all return 150 ms after endpoints have failed.
	DescribeTable("if no endpoint accepts the request", func(mode settings.Mode, least, most time.Duration) {
		// One endpoint more than a request may find unreachable.
		var endpoints []*fakeEndpoint
		for range 5 {
			endpoints = append(endpoints, newEndpoint(neverRespond))
		}
		r := newRig(endpoints, withReturnTimes(mode, true))
		for _, e := range endpoints {
			e.crash()
		}
		Expect(r.call("/safe/").body).To(ContainSubstring("endpoint_refused"))
		delays := retryDelays(r, 20)
		Expect(slices.Min(delays)).To(BeNumerically(">=", 100*time.Millisecond), fmt.Sprint(delays))
		Expect(slices.Max(delays)).To(And(BeNumerically(">=", least), BeNumerically("<=", most)))
	},
		Entry("is spread if the mode is on", settings.ModeOn, 300*time.Millisecond, mostOutageDelay),
		Entry("is short otherwise", settings.ModeOff, time.Duration(0), 250*time.Millisecond),
	)
})

const (
	toldDelay      = 1500 * time.Millisecond
	estimatedDelay = 300 * time.Millisecond
)

// refuseAll refuses a request. The scheduler of the shard that the caller's prompt selects tells a return time.
func refuseAll(_ context.Context, _ int, r scheduler.PlaceRequest) (scheduler.PlaceResult, bool) {
	refusal := &placement.Refusal{Reason: placement.TooLate, RetryAfter: estimatedDelay}
	if r.Returns != nil && r.Returns.Prompt%uint64(r.Shard.Count) == uint64(r.Shard.Index) {
		refusal.RetryAfter, refusal.Told = toldDelay, true
	}
	return scheduler.PlaceResult{Refusal: refusal}, true
}

var _ = Describe("the time told by the schedulers of a larger fleet", func() {
	const ownPart = 0x4e6a3

	newFleet := func(mode settings.Mode) (*rig, *scriptedSchedulers) {
		schedulers := &scriptedSchedulers{reply: refuseAll}
		r := newRig(nil, withReturnTimes(mode, true), withEngine, withSchedulers(schedulers))
		for i := range 200 {
			r.state.PutEndpoint(&fleet.Endpoint{ID: fmt.Sprintf("engine-%d", i), Service: "pool", Domain: "yard-1", Slots: 4})
		}
		return r, schedulers
	}
	call := func(r *rig) time.Duration {
		return retryAfter(r.call("/safe/", partsHeader, fmt.Sprintf("%x", ownPart), "Acacialift-Prompt-Tokens", "1000"))
	}

	// Guards against a time of a shard at which nobody expects the caller: its next attempt goes first to the shard that its
	// prompt selects.
	It("is that of the shard which the caller's prompt selects", func() {
		r, schedulers := newFleet(settings.ModeOn)
		Expect(call(r)).To(BeNumerically("~", toldDelay, 100*time.Millisecond))
		requests := schedulers.received()
		Expect(len(requests)).To(BeNumerically(">", 1))
		first := requests[0]
		Expect(first.Shard.Count).To(BeNumerically(">", 1))
		Expect(first.Shard.Index).To(Equal(uint8(ownPart % int(first.Shard.Count))))
		for _, request := range requests {
			Expect(request.Returns.Prompt).To(Equal(uint64(ownPart)))
		}
	})

	// Guards against an effect on the place requests of deployments that do not ask for return times.
	It("is the estimate of a scheduler if return times are off", func() {
		r, schedulers := newFleet(settings.ModeOff)
		Expect(call(r)).To(Equal(estimatedDelay))
		for _, request := range schedulers.received() {
			Expect(request.Returns).To(BeNil())
		}
	})
})
