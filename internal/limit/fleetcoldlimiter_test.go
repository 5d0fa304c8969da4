package limit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/acacialift/acacialift/internal/limit"
	"github.com/acacialift/acacialift/internal/testkit"
)

const (
	coldRate, coldFactor, coldSlack = 14.0, 1.5, 5.0
	coldBound                       = coldRate*coldFactor + coldSlack
	coldEndpoint                    = 7
	fleetSize                       = 300
	// maxDetectionTime is the longest time from a partition until an instance detects it.
	maxDetectionTime = 3 * time.Second
)

var _ = Describe("a fleet-wide limiter of requests to endpoints in cold start", func() {
	start := time.Unix(0, 0)

	// Guards against an endpoint in cold start that gets no requests. In a fleet of 300, the share of one instance is 0.05
	// requests per second.
	It("grants at least half of the bound, and at most the bound, without a partition", func() {
		limiter := limit.NewFleetColdLimiter(coldFactor, coldSlack, func(time.Time) bool { return true })
		var sent []time.Time
		for ms := range 5000 {
			if now := start.Add(time.Duration(ms) * time.Millisecond); limiter.Take(coldEndpoint, coldRate, now) {
				sent = append(sent, now)
			}
		}
		Expect(testkit.MaxWithin(sent, time.Second)).To(BeNumerically(">=", coldBound/2))
		Expect(testkit.MaxWithin(sent, time.Second)).To(BeNumerically("<=", coldBound))
	})

	// Guards against more requests than the bound in a fleet that is partitioned in any way. Each side has an instance
	// that would grant requests. The instances detect the partition up to maxDetectionTime late, try to grant a request
	// every 1 to 40 ms, and a request is sent up to MaxGrantAge after its grant.
	It("keeps the requests within the bound of an endpoint under any partition", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			sides := rapid.IntRange(1, 5).Draw(t, "sides")
			size := make([]int, sides)
			for range fleetSize {
				size[rapid.IntRange(0, sides-1).Draw(t, "side")]++
			}
			partitionedAt := time.Duration(rapid.IntRange(0, 3000).Draw(t, "partition ms")) * time.Millisecond
			var sent []time.Time
			for i := range sides {
				detectedAt := partitionedAt +
					time.Duration(rapid.IntRange(0, int(maxDetectionTime.Milliseconds())).Draw(t, "detection ms"))*time.Millisecond
				// Only the first instance grants until its side has detected the partition. The instances of the other
				// sides grant only after their side has detected the partition. After that, each needs a majority.
				limiter := limit.NewFleetColdLimiter(coldFactor, coldSlack, func(now time.Time) bool {
					elapsed := now.Sub(start)
					if elapsed < detectedAt {
						return i == 0
					}
					return 2*size[i] > fleetSize
				})
				for ms := 0; ms < 8000; ms += rapid.IntRange(1, 40).Draw(t, "interval ms") {
					now := start.Add(time.Duration(ms) * time.Millisecond)
					if limiter.Take(coldEndpoint, coldRate, now) {
						sendDelay := time.Duration(rapid.IntRange(0, int(limit.MaxGrantAge.Milliseconds())).Draw(t, "send delay ms")) * time.Millisecond
						sent = append(sent, now.Add(sendDelay))
					}
				}
			}
			if most := testkit.MaxWithin(sent, time.Second); float64(most) > coldBound {
				t.Fatalf("%d requests within a second", most)
			}
		})
	})

	// Guards against a side of a partition that has no majority and grants requests, although another side may grant
	// requests too.
	It("grants nothing without a majority", func() {
		limiter := limit.NewFleetColdLimiter(coldFactor, coldSlack, func(time.Time) bool { return false })
		Expect(limiter.Take(coldEndpoint, coldRate, start)).To(BeFalse())
	})
})

var _ = Describe("the retry budget of a fleet of 300", func() {
	const ratio, slack, window = 0.2, 660.0, 10 * time.Second

	// Guards against a fleet that sends more retries than its budget allows, and against shares so small that most of the
	// budget stays unused when each instance gets about one request per second.
	It("is not exceeded by all instances together, and allows at least half of ratio x requests", func() {
		start := time.Unix(0, 0)
		retries, requests := 0, 0
		for range fleetSize {
			fleet := limit.NewFleetShare(12, start)
			fleet.ObservePeers(fleetSize - 1)
			budget := limit.NewRetryBudget(limit.RetryBudgetOptions{Ratio: ratio, Slack: slack, Window: window, Fleet: fleet})
			for second := range 10 {
				now := start.Add(5*time.Second + time.Duration(second)*time.Second)
				budget.CountRequest("pool", now)
				requests++
				for range 3 {
					if budget.Take("pool", now) {
						retries++
					}
				}
			}
		}
		bound := ratio*float64(requests) + slack
		Expect(float64(retries)).To(BeNumerically("<=", bound))
		Expect(float64(retries)).To(BeNumerically(">=", ratio*float64(requests)/2))
	})
})
