package load_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/testkit"
)

func TestLoad(t *testing.T) { testkit.RunSpecs(t, "load") }

var _ = Describe("a load tracker", func() {
	start := time.Unix(1_000_000, 0)
	a, b := &fleet.Endpoint{ID: "a"}, &fleet.Endpoint{ID: "b"}
	work := load.Work{
		Primary: a, Helpers: []*fleet.Endpoint{b}, Reserved: map[*fleet.Endpoint]int64{b: 300},
		Tokens: 700, Part: time.Second, Predicted: 3 * time.Second, MaxGap: time.Minute,
	}

	// Guards against work that is counted at the wrong endpoint or after its end.
	It("counts a request at its endpoints from placement to end", func() {
		tracker := load.NewTracker()
		request := tracker.Add(work, start)
		local := tracker.Local(start).Entries
		Expect(local[a.Key()]).To(Equal(load.Entry{
			Endpoint: a.Key(), Streams: 1, UsedTokens: 700, PrefillBacklog: time.Second, PrefillLeft: time.Second, MaxGap: time.Minute,
		}))
		Expect(local[b.Key()]).To(Equal(load.Entry{
			Endpoint: b.Key(), UsedTokens: 300, PrefillBacklog: time.Second, PrefillLeft: time.Second,
		}))
		request.PrefillDone()
		Expect(tracker.Local(start).Entries[a.Key()].PrefillBacklog).To(BeZero())
		Expect(tracker.Local(start).Entries[b.Key()]).To(Equal(load.Entry{Endpoint: b.Key(), UsedTokens: 300}))
		request.End()
		request.End()
		Expect(tracker.Local(start).Entries).To(BeEmpty())
	})

	// Guards against predictions that are too short. An endpoint prefills queued prompts one after the other, so the
	// backlog of a prompt must not shrink before its own prefill starts.
	It("counts a part in full until its prefill starts", func() {
		tracker := load.NewTracker()
		tracker.Add(work, start)
		backlog := func(after time.Duration) time.Duration {
			return tracker.Local(start.Add(after)).Entries[a.Key()].PrefillBacklog
		}
		Expect(backlog(1900 * time.Millisecond)).To(Equal(time.Second))
		Expect(backlog(2500 * time.Millisecond)).To(Equal(500 * time.Millisecond))
		Expect(backlog(time.Minute)).To(Equal(250 * time.Millisecond))
	})

	// Guards against an endpoint that has long prefilled its part of a prompt and counts as busy until a slower helper of that
	// prompt is done. PrefillBacklog counts it, because it is not known which helper is slow.
	It("estimates the prefill that is left without the parts that are probably done", func() {
		tracker := load.NewTracker()
		left := func(after time.Duration) time.Duration {
			return tracker.Local(start.Add(after)).Entries[b.Key()].PrefillLeft
		}
		tracker.Add(work, start)
		Expect(left(900*time.Millisecond)).To(Equal(300*time.Millisecond), "1 s, and a fifth more for decoding")
		tracker.Add(work, start.Add(time.Second))
		Expect(left(1100 * time.Millisecond)).To(Equal(1300 * time.Millisecond))
		Expect(left(2300 * time.Millisecond)).To(Equal(100 * time.Millisecond))
		Expect(left(2400 * time.Millisecond)).To(BeZero())
		Expect(tracker.Local(start.Add(2400 * time.Millisecond)).Entries[b.Key()].PrefillBacklog).To(BeNumerically(">", 0))
	})

	// Guards against prompts that become late because it is not known when their prefill is due, and against a late prompt
	// that is preceded by later prompts until its caller disconnects.
	It("states when the prefill is due: at the objective, and for late prompts at the limit", func() {
		timed := work
		timed.Objective, timed.Limit = 2*time.Second, 10*time.Second
		tracker := load.NewTracker()
		request := tracker.Add(timed, start)
		dueIn := func(after time.Duration, e *fleet.Endpoint) time.Duration {
			return tracker.Local(start.Add(after)).Entries[e.Key()].PrefillDueIn
		}
		Expect(dueIn(500*time.Millisecond, a)).To(Equal(1500 * time.Millisecond))
		Expect(dueIn(500*time.Millisecond, b)).To(Equal(1500 * time.Millisecond))
		Expect(dueIn(3*time.Second, a)).To(Equal(7 * time.Second))
		other := timed
		other.Objective = time.Second
		tracker.Add(other, start)
		Expect(dueIn(0, a)).To(Equal(time.Second))
		request.PrefillDone()
		Expect(dueIn(500*time.Millisecond, a)).To(Equal(500 * time.Millisecond))
	})

	// Guards against demand that an instance or an aggregator counts twice, or that is still counted when no prompts
	// arrive.
	It("counts the short prompts that arrive per second", func() {
		const service = 7
		tracker := load.NewTracker()
		now := start
		for range 400 {
			now = now.Add(50 * time.Millisecond)
			tracker.CountArrival(service, now)
		}
		local := tracker.Local(now)
		Expect(local.Demand[service]).To(BeNumerically("~", 20, 1))
		tracker.SetPeerCounts("other", load.Counts{Demand: map[uint32]float64{service: 30}}, now)
		Expect(tracker.PeerDemand(service, now)).To(BeNumerically("==", 30))
		totals, _ := tracker.Totals(now)
		Expect(totals.Demand[service]).To(BeNumerically("~", 50, 1))
		Expect(totals.Minus(tracker.PeerCounts("other")).Demand[service]).To(BeNumerically("~", local.Demand[service], 0.001))
		Expect(tracker.Local(now.Add(10 * time.Second)).Demand[service]).To(BeNumerically("<", 0.01))
	})

	// Guards against counts of an instance that has failed, and against an instance that is counted twice.
	It("adds the latest counts of peer instances until peerCountsLifetime after their arrival", func() {
		tracker := load.NewTracker()
		tracker.Add(work, start)
		peerCounts := load.Counts{Entries: map[uint32]load.Entry{
			a.Key(): {Endpoint: a.Key(), Streams: 2, UsedTokens: 100, MaxGap: time.Second, Suspect: true},
		}}
		tracker.SetPeerCounts("other", peerCounts, start)
		tracker.SetPeerCounts("other", peerCounts, start)
		totals, instances := tracker.Totals(start)
		Expect(instances).To(Equal(1))
		Expect(totals.Entries[a.Key()].Streams).To(Equal(3))
		Expect(totals.Entries[a.Key()].MaxGap).To(Equal(time.Second))
		Expect(totals.Entries[a.Key()].Suspect).To(BeTrue())
		totals, instances = tracker.Totals(start.Add(2 * time.Second))
		Expect(instances).To(BeZero())
		Expect(totals.Entries[a.Key()].Streams).To(Equal(1))
	})
})
