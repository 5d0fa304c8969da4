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

// settled returns the shares of an instance that has run for a while among the given number of others.
func settled(others int) *limit.FleetShare {
	f := limit.NewFleetShare(1, start.Add(-time.Hour))
	f.ObservePeers(others)
	return f
}

// Guards against repeats of all instances together beyond the common bound in any window, whatever the order of
// requests, repeats, restarts and silence.
func TestRetriesKeepTheCommonBound(t *testing.T) {
	testkit.FixRapidSeed()
	const ratio, slack, window = 0.2, 100, 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 12).Draw(t, "instances")
		budgets := make([]*limit.RetryBudget, instances)
		for i := range budgets {
			budgets[i] = limit.NewRetryBudget(limit.RetryBudgetOptions{
				Ratio: ratio, Slack: slack, Window: window, Fleet: settled(instances - 1),
			})
		}
		var requests, repeats []time.Time
		now := start
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, instances-1).Draw(t, "instance")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				// A restarted instance has forgotten its repeats.
				budgets[i] = limit.NewRetryBudget(limit.RetryBudgetOptions{
					Ratio: ratio, Slack: slack, Window: window, Fleet: limit.NewFleetShare(1, now),
				})
			case 1, 2, 3:
				budgets[i].CountRequest("s", now)
				requests = append(requests, now)
			default:
				if budgets[i].Take("s", now) {
					repeats = append(repeats, now)
				}
			}
			// Requests that began in the window before count too.
			if float64(within(repeats, now, window)) > ratio*float64(within(requests, now, 2*window))+slack {
				t.Fatalf("%d repeats in a window", within(repeats, now, window))
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

var _ = Describe("the share of a bound", func() {
	// Guards against a restarted instance that uses up its share a second time, and against shares that grow behind a
	// partition.
	It("is nothing after a start and does not grow when others fall silent", func() {
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
	// Guards against more requests in a second than a cold endpoint bears, from all instances together.
	It("gets at most the bound in a second from all instances", func() {
		const instances, rate, factor, slack = 7, 36, 1.5, 5
		sent := 0
		for range instances {
			cold := limit.NewColdLimiter(factor, slack, settled(instances-1))
			for i := range 200 {
				if cold.Take(1, rate, start.Add(time.Duration(i)*5*time.Millisecond)) {
					sent++
				}
			}
		}
		Expect(sent).To(BeNumerically("<=", rate*factor+slack))
		Expect(sent).To(BeNumerically(">", rate/2))
	})

	// Guards against counts that are kept for ever.
	It("is allowed again when its second is over", func() {
		cold := limit.NewColdLimiter(1, 1, settled(0))
		Expect(cold.Take(1, 1, start)).To(BeTrue())
		Expect(cold.Take(1, 1, start)).To(BeFalse())
		cold.Forget(start.Add(2 * time.Second))
		Expect(cold.Allows(1, 1, start.Add(2*time.Second))).To(BeTrue())
	})
})
