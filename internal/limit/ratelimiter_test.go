package limit_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pgregory.net/rapid"

	"github.com/acacialift/acacialift/internal/limit"
	"github.com/acacialift/acacialift/internal/testkit"
)

var _ = Describe("the request rate of an endpoint", func() {
	const endpoint = 7

	// Guards against a limit that is dropped because the response to an earlier request arrives late, and against one that
	// is kept after the endpoint no longer names it.
	It("holds until a response without it to a request that was sent after the latest statement", func() {
		l := limit.NewRateLimiter(establishedShare(0), rand.Float64)
		Expect(l.Observe(endpoint, 2, start)).To(BeTrue())
		Expect(l.Observe(endpoint, 2, start.Add(time.Second))).To(BeFalse())
		Expect(l.Observe(endpoint, 1.6, start.Add(2*time.Second))).To(BeTrue())
		rate, age, limited := l.Rate(endpoint, start.Add(5*time.Second))
		Expect(limited).To(BeTrue())
		Expect(rate).To(Equal(1.6))
		Expect(age).To(Equal(3 * time.Second))

		Expect(l.ObserveNone(endpoint, start.Add(2*time.Second), start.Add(3*time.Second))).To(BeFalse())
		Expect(l.Count()).To(Equal(1))
		Expect(l.ObserveNone(endpoint, start.Add(2001*time.Millisecond), start.Add(3*time.Second))).To(BeTrue())
		Expect(l.ObserveNone(endpoint, start.Add(3*time.Second), start.Add(4*time.Second))).To(BeFalse())
		Expect(l.Count()).To(BeZero())
	})

	// Guards against an older statement of another instance that replaces a newer one, and against a limit that holds at the
	// instances which did not observe its end.
	It("is the newest statement of all instances", func() {
		l := limit.NewRateLimiter(establishedShare(0), rand.Float64)
		Expect(l.Merge(limit.Statement{Endpoint: endpoint, None: true}, limit.OriginMember, start)).To(BeFalse())
		Expect(l.Merge(limit.Statement{Endpoint: endpoint, PerSecond: 2}, limit.OriginMember, start)).To(BeTrue())
		older := limit.Statement{Endpoint: endpoint, PerSecond: 3, Age: 2 * time.Second}
		Expect(l.Merge(older, limit.OriginFleet, start.Add(time.Second))).To(BeFalse())
		Expect(l.Observe(endpoint, 4, start.Add(time.Second))).To(BeTrue())
		Expect(l.Count()).To(Equal(1))
		end := limit.Statement{Endpoint: endpoint, None: true, Age: time.Second}
		Expect(l.Merge(end, limit.OriginFleet, start.Add(1500*time.Millisecond))).To(BeFalse())
		Expect(l.Merge(end, limit.OriginFleet, start.Add(2500*time.Millisecond))).To(BeTrue())
		Expect(l.Count()).To(BeZero())
		Expect(l.Full(start.Add(2500 * time.Millisecond))).To(BeEmpty())
		Expect(l.Observe(endpoint, 4, start.Add(3*time.Second))).To(BeTrue())
	})

	// Guards against statements that circulate between instances and therefore never become old, and against ended limits that
	// other instances never learn of.
	It("is passed on only from its observer outwards, and its end too", func() {
		l := limit.NewRateLimiter(establishedShare(0), rand.Float64)
		l.Observe(1, 1, start)
		l.Merge(limit.Statement{Endpoint: 2, PerSecond: 2}, limit.OriginMember, start)
		l.Merge(limit.Statement{Endpoint: 3, PerSecond: 3}, limit.OriginFleet, start)
		now := start.Add(5 * time.Second)
		Expect(l.Statements(limit.OriginSelf, now)).To(ConsistOf(
			limit.Statement{Endpoint: 1, PerSecond: 1, Age: 5 * time.Second}))
		Expect(l.Statements(limit.OriginMember, now)).To(HaveLen(2))
		Expect(l.Statements(limit.OriginFleet, now)).To(HaveLen(3))
		l.ObserveNone(1, now, now)
		Expect(l.Statements(limit.OriginSelf, now.Add(time.Second))).To(ConsistOf(
			limit.Statement{Endpoint: 1, None: true, Age: time.Second}))
		Expect(l.Statements(limit.OriginFleet, now.Add(time.Minute))).To(BeEmpty())
		l.Forget(now.Add(time.Minute))
		Expect(l.Count()).To(Equal(2))
		l.Forget(now.Add(time.Hour))
		Expect(l.Count()).To(BeZero())
	})

	// Guards against a malformed statement of another instance that blocks an endpoint.
	DescribeTable("is not taken from an invalid statement", func(s limit.Statement) {
		l := limit.NewRateLimiter(establishedShare(0), rand.Float64)
		Expect(l.Merge(s, limit.OriginMember, start)).To(BeFalse())
		Expect(l.Count()).To(BeZero())
	},
		Entry("no number", limit.Statement{Endpoint: endpoint, PerSecond: math.NaN()}),
		Entry("a negative rate", limit.Statement{Endpoint: endpoint, PerSecond: -1}),
		Entry("a negative age", limit.Statement{Endpoint: endpoint, PerSecond: 1, Age: -time.Second}),
	)

	// Guards against an instance that sends to a limited endpoint right after its start, although it may have used its share
	// before.
	It("gets nothing from an instance that has just started", func() {
		l := limit.NewRateLimiter(limit.NewFleetShare(1, start), rand.Float64)
		l.Observe(endpoint, 100, start)
		Expect(l.Take(endpoint, start.Add(time.Second))).To(BeFalse())
		Expect(l.Take(endpoint, start.Add(10*time.Second))).To(BeTrue())
	})

	// Guards against a rate of zero that holds forever because no request could show that it has ended.
	It("of zero still admits a request now and then", func() {
		l := limit.NewRateLimiter(establishedShare(0), rand.Float64)
		l.Observe(endpoint, 0, start)
		Expect(countTaken(l, endpoint, 0, time.Minute)).To(BeNumerically("~", 6, 1))
	})
})

// countTaken returns how many requests the limiter allows if one is tried every 100 ms.
func countTaken(l *limit.RateLimiter, endpoint uint32, from, to time.Duration) int {
	taken := 0
	for at := from; at < to; at += 100 * time.Millisecond {
		if l.Take(endpoint, start.Add(at)) {
			taken++
		}
	}
	return taken
}

// Guards against more requests of all instances than an endpoint in need allows: one and a half times its rate in any 4 s,
// and 5. The instances learn the rate at different times, and their load comes and goes: none for a while, then as many
// requests as the limiters allow.
func TestLimitedEndpointsGetAtMostTheirRateFromAllInstances(t *testing.T) {
	testkit.FixRapidSeed()
	const window = 4 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.OneOf(rapid.IntRange(1, 12), rapid.IntRange(13, 300)).Draw(t, "instances")
		rate := rapid.Float64Range(0.3, 40).Draw(t, "rate")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		limiters := make([]*limit.RateLimiter, instances)
		for i := range limiters {
			limiters[i] = limit.NewRateLimiter(establishedShare(instances-1), random.Float64)
			limiters[i].Observe(1, rate, start.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "told ms"))*time.Millisecond))
		}
		var sent []time.Time
		now := start.Add(3 * time.Second)
		for range rapid.IntRange(1, 6).Draw(t, "phases") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "idle ms")) * time.Millisecond)
			for range rapid.IntRange(1, 200).Draw(t, "busy intervals of 50 ms") {
				now = now.Add(50 * time.Millisecond)
				for _, l := range limiters {
					if l.Take(1, now) {
						sent = append(sent, now)
					}
				}
			}
		}
		if most := testkit.MaxWithin(sent, window); float64(most) > 1.5*rate*window.Seconds()+5 {
			t.Fatalf("%d requests within 4 s", most)
		}
	})
}

var _ = Describe("a fleet with a limited endpoint", func() {
	// Guards against shares so small that an endpoint in need gets much less than the rate that it has named, and against an
	// interval that is bounded: 300 instances that each send a request every 10 minutes exceed a low rate.
	DescribeTable("uses most of the rate while its load is high", func(instances int, rate, least float64) {
		const seconds = 300
		random := rand.New(rand.NewPCG(1, 1))
		taken := 0
		for range instances {
			l := limit.NewRateLimiter(establishedShare(instances-1), random.Float64)
			l.Observe(1, rate, start)
			taken += countTaken(l, 1, 3*time.Second, (3+seconds)*time.Second)
		}
		Expect(float64(taken)).To(BeNumerically(">=", least*rate*seconds))
		Expect(float64(taken)).To(BeNumerically("<=", rate*seconds+float64(min(instances, 13))))
	},
		Entry("one instance", 1, 2.0, 0.9), Entry("8 instances", 8, 2.0, 0.9), Entry("13 instances", 13, 2.0, 0.9),
		Entry("63 instances", 63, 2.0, 0.6), Entry("295 instances", 295, 2.0, 0.6), Entry("295 instances, a low rate", 295, 0.3, 0.5),
	)
})

// TestNoRateStopsAnInstance guards against a number of an endpoint, or of another instance, that makes each decision about the endpoint
// panic: a rate of 1e10 led to an interval of zero.
func TestNoRateStopsAnInstance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		l := limit.NewRateLimiter(limit.NewFleetShare(rapid.IntRange(1, 400).Draw(t, "instances"), now.Add(-time.Hour)), rand.Float64)
		rate := rapid.OneOf(
			rapid.Float64(), rapid.Float64Range(0, 1e12), rapid.SampledFrom([]float64{math.NaN(), math.Inf(1), math.Inf(-1), 1e10, 0}),
		).Draw(t, "rate")
		if rapid.Bool().Draw(t, "from another instance") {
			age := time.Duration(rapid.Int64().Draw(t, "age"))
			l.Merge(limit.Statement{Endpoint: 1, PerSecond: rate, Age: age}, limit.OriginFleet, now)
		} else {
			l.Observe(1, rate, now)
		}
		for range 10 {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "elapsed")))
			l.Full(now)
			l.Take(1, now)
			l.Statements(limit.OriginFleet, now)
			if stated, _, limited := l.Rate(1, now); limited && !limit.IsValidRate(stated) {
				t.Fatalf("the limiter keeps a rate of %g", stated)
			}
		}
	})
}
