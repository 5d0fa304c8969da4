package limit_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/acacialift/acacialift/internal/limit"
)

const (
	coldRate, coldFactor, coldSlack = 14.0, 1.5, 5.0
	coldBound                       = coldRate*coldFactor + coldSlack
	coldEndpoint                    = 7
	fleetSize                       = 300
	// noticeTime is how long an instance goes on by its old view of the fleet after a split.
	noticeTime = 3 * time.Second
)

// sentWithin returns the most times in any span of a second.
func sentWithin(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

var _ = Describe("grants for endpoints in cold start", func() {
	start := time.Unix(0, 0)

	// Guards against an endpoint in cold start that nobody may use: in a fleet of 300 a fixed share is 0.06 requests.
	It("use half of the bound in calm times", func() {
		grants := limit.NewFleetColdLimiter(coldFactor, coldSlack, func(time.Time) bool { return true })
		var sent []time.Time
		for ms := range 5000 {
			if now := start.Add(time.Duration(ms) * time.Millisecond); grants.Take(coldEndpoint, coldRate, now) {
				sent = append(sent, now)
			}
		}
		Expect(sentWithin(sent)).To(BeNumerically(">=", coldBound/2))
		Expect(sentWithin(sent)).To(BeNumerically("<=", coldBound))
	})

	// Guards against more than the bound under a split of the fleet into any parts, each of which has an instance that
	// would grant, while the instances notice the split late, grant at full speed, and requests are sent up to the end of
	// their grants.
	It("stay within the bound of an endpoint under any split", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			parts := rapid.IntRange(1, 5).Draw(t, "parts")
			size := make([]int, parts)
			for range fleetSize {
				size[rapid.IntRange(0, parts-1).Draw(t, "part")]++
			}
			split := time.Duration(rapid.IntRange(0, 3000).Draw(t, "split ms")) * time.Millisecond
			var sent []time.Time
			for i := range parts {
				noticed := split + time.Duration(rapid.IntRange(0, int(noticeTime.Milliseconds())).Draw(t, "notice ms"))*time.Millisecond
				// Before the split only the first instance is the one that all ask. Others begin once their part has noticed.
				grants := limit.NewFleetColdLimiter(coldFactor, coldSlack, func(now time.Time) bool {
					elapsed := now.Sub(start)
					if elapsed < noticed {
						return i == 0
					}
					return 2*size[i] > fleetSize
				})
				for ms := 0; ms < 8000; ms += rapid.IntRange(1, 40).Draw(t, "pause ms") {
					now := start.Add(time.Duration(ms) * time.Millisecond)
					if grants.Take(coldEndpoint, coldRate, now) {
						late := time.Duration(rapid.IntRange(0, int(limit.MaxGrantAge.Milliseconds())).Draw(t, "late ms")) * time.Millisecond
						sent = append(sent, now.Add(late))
					}
				}
			}
			if most := sentWithin(sent); float64(most) > coldBound {
				t.Fatalf("%d requests in a second", most)
			}
		})
	})

	// Guards against a part of the fleet that grants although the larger part may do so too.
	It("are refused without a majority", func() {
		grants := limit.NewFleetColdLimiter(coldFactor, coldSlack, func(time.Time) bool { return false })
		Expect(grants.Take(coldEndpoint, coldRate, start)).To(BeFalse())
	})
})

var _ = Describe("the retry budget of a fleet of 300", func() {
	const ratio, slack, window = 0.2, 660.0, 10 * time.Second

	// Guards against a fleet that repeats more than its budget allows, and against one that can use hardly any of it: each
	// instance gets about one request a second.
	It("is kept in sum, and half of its share of the requests is usable in calm times", func() {
		start := time.Unix(0, 0)
		repeats, requests := 0, 0
		for range fleetSize {
			fleet := limit.NewFleetShare(12, start)
			fleet.ObservePeers(fleetSize - 1)
			retries := limit.NewRetryBudget(limit.RetryBudgetOptions{Ratio: ratio, Slack: slack, Window: window, Fleet: fleet})
			for second := range 10 {
				now := start.Add(5*time.Second + time.Duration(second)*time.Second)
				retries.CountRequest("pool", now)
				requests++
				for range 3 {
					if retries.Take("pool", now) {
						repeats++
					}
				}
			}
		}
		budget := ratio*float64(requests) + slack
		Expect(float64(repeats)).To(BeNumerically("<=", budget))
		Expect(float64(repeats)).To(BeNumerically(">=", ratio*float64(requests)/2))
	})
})
