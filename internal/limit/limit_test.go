package limit_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/acacialift/acacialift/internal/limit"
	"github.com/acacialift/acacialift/internal/testkit"
)

func TestLimit(t *testing.T) { testkit.RunSpecs(t, "limit") }

var start = time.Unix(1_000_000, 0)

// establishedShare returns the share of an instance that started an hour ago and has the given number of peers.
func establishedShare(peers int) *limit.FleetShare {
	f := limit.NewFleetShare(1, start.Add(-time.Hour))
	f.ObservePeers(peers)
	return f
}

// Guards against more retries of all instances than the fleet-wide bound allows in any window. Requests, retries and
// restarts come in any order.
func TestRetriesStayWithinTheFleetBound(t *testing.T) {
	testkit.FixRapidSeed()
	const ratio, slack, window = 0.2, 100, 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 12).Draw(t, "instances")
		budgets := make([]*limit.RetryBudget, instances)
		for i := range budgets {
			budgets[i] = limit.NewRetryBudget(limit.RetryBudgetOptions{
				Ratio: ratio, Slack: slack, Window: window, Fleet: establishedShare(instances - 1),
			})
		}
		var requests, retries []time.Time
		now := start
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "interval ms")) * time.Millisecond)
			i := rapid.IntRange(0, instances-1).Draw(t, "instance")
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				// A restarted instance has no record of its retries.
				budgets[i] = limit.NewRetryBudget(limit.RetryBudgetOptions{
					Ratio: ratio, Slack: slack, Window: window, Fleet: limit.NewFleetShare(1, now),
				})
			case 1, 2, 3:
				budgets[i].CountRequest("s", now)
				requests = append(requests, now)
			default:
				if budgets[i].Take("s", now) {
					retries = append(retries, now)
				}
			}
			// Each retry is allowed by the requests of the window that ends with it, so requests of two windows count.
			if float64(within(retries, now, window)) > ratio*float64(within(requests, now, 2*window))+slack {
				t.Fatalf("%d retries in a window", within(retries, now, window))
			}
		}
	})
}

func within(times []time.Time, now time.Time, window time.Duration) int {
	n := 0
	for _, at := range times {
		if now.Sub(at) < window {
			n++
		}
	}
	return n
}

var _ = Describe("the share of a fleet-wide bound", func() {
	// Guards against a restarted instance that uses its share a second time, and against shares that grow behind a
	// partition.
	It("is zero after a start and does not grow when peers stop responding", func() {
		f := limit.NewFleetShare(4, start)
		Expect(f.Share(start.Add(time.Second))).To(BeZero())
		Expect(f.Share(start.Add(time.Minute))).To(Equal(0.25))
		f.ObservePeers(7)
		Expect(f.Share(start.Add(time.Minute))).To(Equal(1.0 / 12))
		f.ObservePeers(0)
		Expect(f.Share(start.Add(time.Minute))).To(Equal(1.0 / 12))
	})
})

var _ = Describe("an endpoint in cold start", func() {
	// Guards against more requests per second from all instances than an endpoint in cold start can handle.
	It("gets at most the bound per second from all instances", func() {
		const instances, rate, factor, slack = 7, 36, 1.5, 5
		sent := 0
		for range instances {
			limiter := limit.NewColdLimiter(factor, slack, establishedShare(instances-1))
			for i := range 200 {
				if limiter.Take(1, rate, start.Add(time.Duration(i)*5*time.Millisecond)) {
					sent++
				}
			}
		}
		Expect(sent).To(BeNumerically("<=", rate*factor+slack))
		Expect(sent).To(BeNumerically(">", rate/2))
	})

	// Guards against counts that are kept forever.
	It("accepts requests again after the window", func() {
		limiter := limit.NewColdLimiter(1, 1, establishedShare(0))
		Expect(limiter.Take(1, 1, start)).To(BeTrue())
		Expect(limiter.Take(1, 1, start)).To(BeFalse())
		limiter.Forget(start.Add(2 * time.Second))
		Expect(limiter.Allows(1, 1, start.Add(2*time.Second))).To(BeTrue())
	})
})
